package crsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"camphorroad/lab/crstage"
	"camphorroad/lab/crtarget"
)

// Bounds of the promises, as the operators' pages give them.
const (
	routeTimeout = 1500 * time.Millisecond
	heldSlack    = 500 * time.Millisecond
	revokeBound  = 5 * time.Second
	applyBound   = 2 * time.Second
	drainSlack   = 300 * time.Millisecond // for a request on its way
	quotaSpan    = 5 * time.Second
	quotaOver    = 1.25
	quotaSlack   = 20
	calmTime     = 4 * time.Second
	calmServed   = 0.95
	// settleTime is how long after a fault a machine does not count as sound.
	settleTime = 3 * time.Second
)

// evidence is what a run left behind.
type evidence struct {
	calls    []call
	runs     map[string][]crtarget.Run // by request
	allRuns  []crtarget.Run
	spans    []span
	leaves   []leaving
	stops    []stopped
	exits    []string
	keys     *keyring
	accounts []crstage.Account
	machines []*machine
	calm     time.Time // when the last fault had ended; zero: not yet
}

// verdict collects what broke a promise.
type verdict struct{ broken []string }

func (v *verdict) add(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// always checks what no fault excuses.
func (e *evidence) always(v *verdict) {
	for _, c := range e.calls {
		e.checkAnswer(v, c)
		e.checkRuns(v, c)
	}
	for _, exit := range e.exits {
		v.add("exit: %s", exit)
	}
	e.checkQuota(v)
	e.checkBudget(v)
}

func (e *evidence) checkAnswer(v *verdict, c call) {
	runs := e.runs[c.id]
	if c.fault != "" {
		v.add("mixed: %s at machine %d: %s", c.id, c.machine, c.fault)
	}
	if refused(c.status) && len(runs) > 0 {
		v.add("refused: %s was answered %d and ran at %s", c.id, c.status, runs[0].Target)
	}
	issued, withdrawn := e.keys.times(c.key)
	if (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound) && issued.IsZero() && withdrawn.IsZero() {
		v.add("denied: %s was answered %d though its key always held", c.id, c.status)
	}
}

func refused(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

func (e *evidence) checkRuns(v *verdict, c call) {
	runs := e.runs[c.id]
	if c.kind.once && len(runs) > 1 {
		v.add("twice: %s ran at %s and at %s", c.id, runs[0].Target, runs[1].Target)
	}
	if len(runs) > c.kind.targets {
		v.add("attempts: %s ran %d times", c.id, len(runs))
	}
	for _, r := range runs {
		if r.Account != c.account {
			v.add("account: %s of %s ran for %q", c.id, c.account, r.Account)
		}
		if r.Header.Get("Authorization") != "" {
			v.add("key: %s bore its key to %s", c.id, r.Target)
		}
		if r.Method != c.kind.method || r.URI != c.path || r.Body != c.body {
			v.add("changed: %s ran as %s %s %q", c.id, r.Method, r.URI, r.Body)
		}
		if want := e.machines[c.machine].service(); r.From != want {
			v.add("from: %s came from %s and ran as of %s", c.id, want, r.From)
		}
	}
}

// checkQuota counts each account's runs in windows that end with a run.
func (e *evidence) checkQuota(v *verdict) {
	for _, a := range e.accounts {
		if a.Rate <= 0 {
			continue // no limit
		}
		most := (a.Rate*quotaSpan.Seconds()+a.Burst)*quotaOver + quotaSlack
		var times []time.Time
		for _, r := range e.allRuns {
			if r.Account == a.Name {
				times = append(times, r.At)
			}
		}
		if n, end := fullest(times, quotaSpan); float64(n) > most {
			v.add("quota: %s ran %d requests in %v until %s, %.0f are allowed", a.Name, n, quotaSpan, end.Format("15:04:05.000"), most)
		}
	}
}

// fullest returns the most times that lie within a span, and when that ends.
func fullest(times []time.Time, span time.Duration) (most int, end time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > span {
			first++
		}
		if n := i - first + 1; n > most {
			most, end = n, at
		}
	}
	return most, end
}

// checkBudget compares the runs beyond the first with the requests of the same
// window or the one before it.
func (e *evidence) checkBudget(v *verdict) {
	for i := range services {
		service := fmt.Sprintf("s%d", i)
		var asked, again []time.Time
		for _, c := range e.calls {
			if c.kind.service != service {
				continue
			}
			asked = append(asked, c.sent)
			runs := e.runs[c.id]
			for _, r := range runs[min(len(runs), 1):] {
				again = append(again, r.At)
			}
		}
		slices.SortFunc(again, time.Time.Compare)
		for _, end := range again {
			n := within(again, end.Add(-crstage.BudgetWindow), end)
			requests := max(within(asked, end.Add(-crstage.BudgetWindow), end), within(asked, end.Add(-2*crstage.BudgetWindow), end.Add(-crstage.BudgetWindow)))
			if bound := crstage.BudgetRatio*float64(requests) + crstage.BudgetSlack; float64(n) > bound {
				v.add("budget: %s got %d repeats in %v, %.0f are allowed", service, n, crstage.BudgetWindow, bound)
				break
			}
		}
	}
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// Faults that excuse a check where they touch its machine and time.
var (
	ofProcess = []string{"kill", "herd", "pause"}
	ofNews    = []string{"kill", "herd", "pause", "term", "roll", "store", "store link", "peer", "datagrams", "loss", "compact"}
)

// harmed reports whether faults of some kinds touched a machine in a time, or
// shortly before it.
func (e *evidence) harmed(kinds []string, machine int, from, to time.Time) bool {
	return slices.ContainsFunc(e.spans, func(s span) bool {
		return slices.Contains(kinds, s.kind) && s.touches(machine, from.Add(-settleTime), to)
	})
}

// bounded checks what has to hold in time where nothing harmed it.
func (e *evidence) bounded(v *verdict) {
	for _, c := range e.calls {
		e.checkHeld(v, c)
		e.checkCut(v, c)
		e.checkKey(v, c)
	}
	e.checkLeaving(v)
	for _, s := range e.stops {
		if !s.inTime && !e.harmed(ofProcess, s.machine, s.at, s.finished) {
			v.add("stop: machine %d had not ended %v after SIGTERM", s.machine, s.took.Round(time.Millisecond))
		}
	}
	e.checkCalm(v)
}

func (e *evidence) checkHeld(v *verdict, c call) {
	if c.took > routeTimeout+heldSlack && !e.harmed(ofProcess, c.machine, c.sent, c.sent.Add(c.took)) {
		v.add("held: %s at machine %d for %v, then %d %s", c.id, c.machine, c.took.Round(time.Millisecond), c.status, c.err)
	}
}

// checkCut looks at requests that were passed on and never answered, though the
// process at which they entered was neither killed nor paused.
func (e *evidence) checkCut(v *verdict, c call) {
	if c.status != 0 || len(e.runs[c.id]) == 0 || e.harmed(ofProcess, c.machine, c.sent, c.sent.Add(c.took)) {
		return
	}
	v.add("lost: %s at machine %d ran and got no answer after %v: %s", c.id, c.machine, c.took.Round(time.Millisecond), c.err)
}

func (e *evidence) checkKey(v *verdict, c call) {
	issued, withdrawn := e.keys.times(c.key)
	if !withdrawn.IsZero() && c.sent.Sub(withdrawn) > revokeBound && len(e.runs[c.id]) > 0 && !e.harmed(ofNews, c.machine, withdrawn, c.sent) {
		v.add("withdrawn: %s ran %v after its key was withdrawn", c.id, c.sent.Sub(withdrawn).Round(time.Millisecond))
	}
	known := !issued.IsZero() && c.sent.Sub(issued) > applyBound && withdrawn.IsZero()
	if known && c.status == http.StatusUnauthorized && !e.harmed(ofNews, c.machine, issued, c.sent) {
		v.add("apply: %s was answered 401 %v after its key was issued", c.id, c.sent.Sub(issued).Round(time.Millisecond))
	}
}

func (e *evidence) checkLeaving(v *verdict) {
	entry := make(map[string]call, len(e.calls))
	for _, c := range e.calls {
		entry[c.id] = c
	}
	for _, l := range e.leaves {
		for _, r := range e.allRuns {
			if r.Target != l.id || r.At.Sub(l.at) < crstage.DrainTime+drainSlack {
				continue
			}
			c, known := entry[r.ID]
			if !known || e.harmed(ofNews, c.machine, l.at, r.At) || e.harmed(ofNews, machineOf(l.id), l.at, r.At) {
				continue
			}
			v.add("drain: %s reached %s %v after it said that it leaves", r.ID, l.id, r.At.Sub(l.at).Round(time.Millisecond))
		}
	}
}

// machineOf reads the machine's number from its target's name.
func machineOf(id string) int {
	var machine, start int
	if _, err := fmt.Sscanf(id, "i-%d-%d", &machine, &start); err != nil {
		return -1
	}
	return machine
}

// checkCalm looks at the time after the last fault.
func (e *evidence) checkCalm(v *verdict) {
	if e.calm.IsZero() {
		return
	}
	n, served := 0, 0
	for _, c := range e.calls {
		_, withdrawn := e.keys.times(c.key)
		if c.sent.Before(e.calm) || !withdrawn.IsZero() || c.status == http.StatusTooManyRequests {
			continue
		}
		n++
		if c.status == http.StatusOK {
			served++
		}
	}
	if float64(served) < calmServed*float64(n) {
		v.add("recovery: %d of %d requests were served after the last fault", served, n)
	}
}

// checkLogs looks for what the race detector and a crash write.
func checkLogs(v *verdict, machine int, text string) {
	for _, sign := range []string{"WARNING: DATA RACE", "panic:", "fatal error:"} {
		if strings.Contains(text, sign) {
			v.add("log: machine %d wrote %q", machine, sign)
		}
	}
}
