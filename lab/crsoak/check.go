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

// Limits that the operators' documentation guarantees, and the tolerances of the checks.
const (
	routeTimeout    = 1500 * time.Millisecond
	latencySlack    = 500 * time.Millisecond
	withdrawalBound = 5 * time.Second        // from the withdrawal of a key until no request with it runs
	applyBound      = 2 * time.Second        // from the issue of a key until it is accepted
	drainSlack      = 300 * time.Millisecond // for requests in flight
	quotaWindow     = 5 * time.Second
	quotaTolerance  = 1.25
	quotaSlack      = 20
	recoveryTime    = 4 * time.Second
	recoveryRatio   = 0.95
	// settleTime is how long a machine still counts as affected after a fault ended.
	settleTime = 3 * time.Second
)

// observations is the data of a run that the checks read.
type observations struct {
	calls           []call
	runsByRequest   map[string][]crtarget.Run // by request ID
	allRuns         []crtarget.Run
	injections      []injection
	drainStarts     []drainStart
	limits          []namedLimit
	arrivals        []crtarget.Arrival
	unannounced     []unannounced
	stops           []daemonStop
	unexpectedExits []string
	keys            *keyring
	accounts        []crstage.Account
	machines        []*machine
	recoveryStart   time.Time // settleTime after the last fault; zero while faults are injected
}

// violations collects one line for each violated guarantee.
type violations struct{ list []string }

func (v *violations) add(format string, args ...any) {
	v.list = append(v.list, fmt.Sprintf(format, args...))
}

// checkInvariants checks the guarantees that hold during every fault.
func (o *observations) checkInvariants(v *violations) {
	for _, c := range o.calls {
		o.checkResponse(v, c)
		o.checkRuns(v, c)
	}
	for _, exit := range o.unexpectedExits {
		v.add("exit: %s", exit)
	}
	o.checkQuota(v)
	o.checkRetryBudget(v)
	o.checkLimits(v)
	o.checkLeaving(v)
	o.checkCold(v)
}

func (o *observations) checkResponse(v *violations, c call) {
	runs := o.runsByRequest[c.id]
	if c.mismatch != "" {
		v.add("mismatch: %s at machine %d: %s", c.id, c.machine, c.mismatch)
	}
	if isRejection(c.status) && len(runs) > 0 {
		v.add("refused: %s got status %d but ran at %s", c.id, c.status, runs[0].Target)
	}
	if c.notRead && len(runs) > 0 {
		v.add("behind: %s was sent behind a response that closed the connection, but ran at %s", c.id, runs[0].Target)
	}
	issuedAt, withdrawnAt := o.keys.validity(c.key)
	if (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound) && issuedAt.IsZero() && withdrawnAt.IsZero() {
		v.add("denied: %s got status %d, but its key was valid throughout the run", c.id, c.status)
	}
}

func isRejection(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

func (o *observations) checkRuns(v *violations, c call) {
	runs := o.runsByRequest[c.id]
	if c.kind.nonIdempotent && len(runs) > 1 {
		v.add("twice: %s ran at %s and at %s", c.id, runs[0].Target, runs[1].Target)
	}
	if len(runs) > c.kind.maxAttempts {
		v.add("attempts: %s ran %d times", c.id, len(runs))
	}
	for _, r := range runs {
		if r.Account != c.account {
			v.add("account: %s of account %s ran for account %q", c.id, c.account, r.Account)
		}
		if r.Header.Get("Authorization") != "" {
			v.add("key: %s was forwarded to %s with its API key", c.id, r.Target)
		}
		if r.Method != c.kind.method || r.URI != c.path || r.Sum != c.sum {
			v.add("changed: %s ran as %s %s with a body of %d bytes, sent were %d: %q", c.id, r.Method, r.URI, r.Size, c.size, r.Body)
		}
		if want := o.machines[c.machine].service(); r.From != want {
			v.add("caller: %s was sent from service %s, but its target received service %q as the caller", c.id, want, r.From)
		}
	}
}

// checkQuota checks the number of runs of each account in every window that ends with
// a run.
func (o *observations) checkQuota(v *violations) {
	for _, a := range o.accounts {
		if a.Rate <= 0 {
			continue // no limit
		}
		limit := (a.Rate*quotaWindow.Seconds()+a.Burst)*quotaTolerance + quotaSlack
		var times []time.Time
		for _, r := range o.allRuns {
			if r.Account == a.Name {
				times = append(times, r.At)
			}
		}
		if n, end := maxInWindow(times, quotaWindow); float64(n) > limit {
			v.add("quota: %s ran %d requests in the %v before %s, limit is %.0f", a.Name, n, quotaWindow, end.Format("15:04:05.000"), limit)
		}
	}
}

// maxInWindow returns the maximum number of times in any window of the given length,
// and the last time in that window. It sorts times in place.
func maxInWindow(times []time.Time, window time.Duration) (count int, end time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) > window {
			first++
		}
		if n := i - first + 1; n > count {
			count, end = n, t
		}
	}
	return count, end
}

// checkRetryBudget compares the retries of each service in a window with the requests
// of that window or of the one before, whichever has more.
func (o *observations) checkRetryBudget(v *violations) {
	for i := range services {
		service := fmt.Sprintf("s%d", i)
		var sent, retries []time.Time
		for _, c := range o.calls {
			if c.kind.service != service {
				continue
			}
			sent = append(sent, c.sent)
			runs := o.runsByRequest[c.id]
			for _, r := range runs[min(len(runs), 1):] {
				retries = append(retries, r.At)
			}
		}
		slices.SortFunc(retries, time.Time.Compare)
		for _, end := range retries {
			n := countBetween(retries, end.Add(-crstage.BudgetWindow), end)
			requests := max(countBetween(sent, end.Add(-crstage.BudgetWindow), end), countBetween(sent, end.Add(-2*crstage.BudgetWindow), end.Add(-crstage.BudgetWindow)))
			if limit := crstage.BudgetRatio*float64(requests) + crstage.BudgetSlack; float64(n) > limit {
				v.add("budget: %s got %d retries in %v, limit is %.0f", service, n, crstage.BudgetWindow, limit)
				break
			}
		}
	}
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// Kinds of faults that suspend a check on the affected machines, for the time of the
// fault and settleTime after it.
var (
	processFaults     = []string{"kill", "herd", "pause"}
	propagationFaults = []string{"kill", "herd", "pause", "term", "roll", "store", "store link", "peer", "datagrams", "loss", "compact"}
)

// affected reports whether a fault of the given kinds affected a machine between from
// and to, or in the settleTime before from.
func (o *observations) affected(kinds []string, machine int, from, to time.Time) bool {
	return slices.ContainsFunc(o.injections, func(i injection) bool {
		return slices.Contains(kinds, i.kind) && i.overlaps(machine, from.Add(-settleTime), to)
	})
}

// checkTimeBounds checks the guarantees that hold only on machines without a fault.
func (o *observations) checkTimeBounds(v *violations) {
	for _, c := range o.calls {
		o.checkLatency(v, c)
		o.checkLost(v, c)
		o.checkReady(v, c)
		o.checkKeyPropagation(v, c)
	}
	o.checkDrain(v)
	for _, stop := range o.stops {
		if !stop.inTime && !o.affected(processFaults, stop.machine, stop.at, stop.finished) {
			v.add("stop: machine %d had not exited %v after SIGTERM", stop.machine, stop.took.Round(time.Millisecond))
		}
	}
	o.checkRecovery(v)
}

func (o *observations) checkLatency(v *violations, c call) {
	// Requests of a batch may be served one after the other.
	if c.latency > time.Duration(c.position+1)*(routeTimeout+latencySlack) && !o.affected(processFaults, c.machine, c.sent, c.sent.Add(c.latency)) {
		v.add("latency: %s (%s %s, position %d) at machine %d took %v, ran %s, status %d %s", c.id, c.kind.method, c.path, c.position, c.machine, c.latency.Round(time.Millisecond), o.runTimes(c), c.status, c.err)
	}
}

// runTimes returns when a call ran and was responded to, after it was sent.
func (o *observations) runTimes(c call) string {
	text := fmt.Sprintf("%d times", len(o.runsByRequest[c.id]))
	for _, r := range o.runsByRequest[c.id] {
		text += fmt.Sprintf(", after %v at %s", r.At.Sub(c.sent).Round(time.Millisecond), r.Target)
		if !r.Responded.IsZero() {
			text += fmt.Sprintf(" with a response after %v", r.Responded.Sub(c.sent).Round(time.Millisecond))
		}
	}
	return text
}

// checkLost reports requests that ran at a target but got no response, although the
// daemon that received them was neither killed nor paused.
func (o *observations) checkLost(v *violations, c call) {
	if c.status != 0 || o.brokenByTarget(c) || len(o.runsByRequest[c.id]) == 0 || o.affected(processFaults, c.machine, c.sent, c.sent.Add(c.latency)) {
		return
	}
	v.add("lost: %s at machine %d ran, but got no response after %v: %s", c.id, c.machine, c.latency.Round(time.Millisecond), c.err)
}

func (o *observations) checkKeyPropagation(v *violations, c call) {
	issuedAt, withdrawnAt := o.keys.validity(c.key)
	if !withdrawnAt.IsZero() && c.sent.Sub(withdrawnAt) > withdrawalBound && len(o.runsByRequest[c.id]) > 0 && !o.affected(propagationFaults, c.machine, withdrawnAt, c.sent) {
		v.add("withdrawn: %s ran %v after its key was withdrawn", c.id, c.sent.Sub(withdrawnAt).Round(time.Millisecond))
	}
	valid := !issuedAt.IsZero() && c.sent.Sub(issuedAt) > applyBound && withdrawnAt.IsZero()
	if valid && c.status == http.StatusUnauthorized && !o.affected(propagationFaults, c.machine, issuedAt, c.sent) {
		v.add("apply: %s got status 401 %v after its key was issued", c.id, c.sent.Sub(issuedAt).Round(time.Millisecond))
	}
}

func (o *observations) checkDrain(v *violations) {
	callByID := make(map[string]call, len(o.calls))
	for _, c := range o.calls {
		callByID[c.id] = c
	}
	for _, d := range o.drainStarts {
		for _, r := range o.allRuns {
			if r.Target != d.targetID || r.At.Sub(d.at) < crstage.DrainTime+drainSlack {
				continue
			}
			c, known := callByID[r.ID]
			if !known || o.affected(propagationFaults, c.machine, d.at, r.At) || o.affected(propagationFaults, machineOfTarget(d.targetID), d.at, r.At) {
				continue
			}
			v.add("drain: %s ran at %s %v after the target started to drain", r.ID, d.targetID, r.At.Sub(d.at).Round(time.Millisecond))
		}
	}
}

// machineOfTarget returns the index of the machine from a target ID, or -1.
func machineOfTarget(id string) int {
	var machine, start int
	if _, err := fmt.Sscanf(id, "i-%d-%d", &machine, &start); err != nil {
		return -1
	}
	return machine
}

// checkRecovery checks the share of successful requests after the last fault.
func (o *observations) checkRecovery(v *violations) {
	if o.recoveryStart.IsZero() {
		return
	}
	total, served := 0, 0
	for _, c := range o.calls {
		_, withdrawnAt := o.keys.validity(c.key)
		if c.sent.Before(o.recoveryStart) || !withdrawnAt.IsZero() || c.status == http.StatusTooManyRequests {
			continue
		}
		total++
		if c.status == http.StatusOK {
			served++
		}
	}
	if float64(served) < recoveryRatio*float64(total) {
		v.add("recovery: %d of %d requests were served after the last fault", served, total)
	}
}

// checkLogs searches a daemon's log for data races and crashes.
func checkLogs(v *violations, machine int, text string) {
	for _, marker := range []string{"WARNING: DATA RACE", "panic:", "fatal error:"} {
		if strings.Contains(text, marker) {
			v.add("log: machine %d wrote %q", machine, marker)
		}
	}
}
