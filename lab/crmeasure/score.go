package crmeasure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"camphorroad/core/crhealth"
	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
	"camphorroad/lab/crupstream"
)

// Result is the result of one run.
type Result struct {
	Shape  string `json:"shape"`
	Case   string `json:"case"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`

	DetectSeconds     float64 `json:"detect"`   // until the last unhealthy target was detected; negative: one was not
	UnhealthyWork     float64 `json:"sickwork"` // work of unhealthy targets during the fault, as a ratio to their fair share
	FalseEjections    int     `json:"false"`    // number of healthy targets that were ejected
	WorstShare        float64 `json:"share"`    // answered requests of the worst-served account, as a share of those within its rate
	WorstP99Millis    float64 `json:"p99"`      // of the account with the highest p99
	MedianP99Millis   float64 `json:"median"`   // median over the accounts
	RefusedWithinRate int     `json:"refused"`  // refusals that a correct rate limit does not explain
	RateLimited       int     `json:"limited"`  // refusals by the rate limit, wrongful or not
	WorstAccount      string  `json:"worst"`    // the worst-served account, by WorstShare
	Sent              int     `json:"sent"`

	RefusalReasons map[string]int `json:"reasons"` // number of refusals by reason
	Ejections      []string       `json:"ejected"` // daemon, time since the start of the fault, target and detail of each

	Cut                 int `json:"cut"`
	Unknown             int `json:"unknown"`
	WithoutResponse     int `json:"noword"` // the connection failed before a response
	MismatchedResponses int `json:"mixed"`
	RanTwice            int `json:"twice"` // requests of class once that ran more than once
	FalseNotRun         int `json:"lied"`  // requests that ran, with the outcome notrun
}

// record holds the observations of one run.
type record struct {
	runConfig
	plan        crload.Plan
	environment *environment
	fleet       *crfleet.Fleet
	from, to    time.Duration // of the fault, since start
	start       time.Time
	samples     []crload.Sample
}

const (
	// A target counts as detected at the start of the first detectWindow in which it runs
	// less than detectShare of its fair share. The windows start every detectStep.
	detectWindow = 500 * time.Millisecond
	detectStep   = 50 * time.Millisecond
	detectShare  = 0.1
	// A request with a higher latency counts as affected by a fault between daemons.
	slowLatency = 500 * time.Millisecond
)

func (r *record) score() Result {
	m := Result{
		Shape: r.shape.Name, Case: r.fault.Name, Policy: r.policy.Name, Seed: r.seed,
		Sent: len(r.samples),
	}
	r.readEjections(&m)
	r.measureDetection(&m)
	r.countOutcomes(&m)
	r.scoreAccounts(&m)
	return m
}

// measureDetection determines when the unhealthy targets got no more work, or when callers
// saw the last affected request.
func (r *record) measureDetection(m *Result) {
	if r.fault.byCallers {
		for _, t := range r.samples {
			affected := t.Result == crload.Unknown || t.Result == crload.Cut || t.Latency > slowLatency
			if affected && t.Planned >= r.from && t.Planned < r.to {
				m.DetectSeconds = max(m.DetectSeconds, (t.Planned - r.from).Seconds())
			}
		}
		return
	}
	for _, target := range r.environment.unhealthyTargets {
		own, all := r.runTimes(target)
		m.UnhealthyWork += countBetween(own, r.from, r.to) / max(1, countBetween(all, r.from, r.to)) * r.targetCount(target) / float64(len(r.environment.unhealthyTargets))
		at := r.detectionSeconds(own, all, r.targetCount(target))
		if at < 0 || m.DetectSeconds < 0 {
			m.DetectSeconds = -1
			continue
		}
		m.DetectSeconds = max(m.DetectSeconds, at)
	}
}

// runTimes returns the times of the runs of a target, and of all targets of its service.
func (r *record) runTimes(target *crfleet.Target) (own, all []time.Duration) {
	own = r.sinceStart(target.Log())
	for _, t := range r.fleet.Targets() {
		if t.Service() == target.Service() {
			all = append(all, r.sinceStart(t.Log())...)
		}
	}
	return own, all
}

func (r *record) sinceStart(runs []crupstream.Run) []time.Duration {
	out := make([]time.Duration, 0, len(runs))
	for _, run := range runs {
		out = append(out, run.At.Sub(r.start))
	}
	return out
}

func (r *record) targetCount(target *crfleet.Target) float64 {
	n := 0.0
	for _, t := range r.fleet.Targets() {
		if t.Service() == target.Service() {
			n++
		}
	}
	return n
}

func (r *record) detectionSeconds(own, all []time.Duration, targets float64) float64 {
	for at := r.from; at+detectWindow <= r.to; at += detectStep {
		if countBetween(own, at, at+detectWindow) < detectShare*countBetween(all, at, at+detectWindow)/targets {
			return (at - r.from).Seconds()
		}
	}
	return -1
}

func countBetween(times []time.Duration, from, to time.Duration) float64 {
	n := 0.0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// readEjections reads the ejections from the daemons' logs, and counts the healthy targets
// that any daemon ejected.
func (r *record) readEjections(m *Result) {
	ejected := make(map[string]bool)
	for _, d := range r.fleet.Daemons() {
		for line := range strings.Lines(d.Log()) {
			var e struct {
				Event  int       `json:"event"`
				Target string    `json:"target"`
				Detail string    `json:"detail"`
				Time   time.Time `json:"time"`
			}
			if json.Unmarshal([]byte(line), &e) != nil || e.Event != crhealth.EventEjected {
				continue
			}
			ejected[e.Target] = true
			after := e.Time.Sub(r.start) - r.from
			m.Ejections = append(m.Ejections, fmt.Sprintf("%s: %.0fs: %s: %s", d.Name(), after.Seconds(), e.Target, e.Detail))
		}
	}
	for _, t := range r.environment.unhealthyTargets {
		delete(ejected, t.Name())
	}
	m.FalseEjections = len(ejected)
}

// countOutcomes counts the outcomes, and compares them with the requests that ran.
func (r *record) countOutcomes(m *Result) {
	runs := r.fleet.Runs()
	for _, t := range r.samples {
		switch t.Result {
		case crload.Cut:
			m.Cut++
		case crload.Unknown:
			m.Unknown++
		case crload.NoResponse:
			m.WithoutResponse++
		case crload.Mismatched:
			m.MismatchedResponses++
		case crload.NotRun:
			if runs[t.ID] > 0 {
				m.FalseNotRun++
			}
		case crload.Answered:
		}
		if t.Method != "GET" && runs[t.ID] > 1 {
			m.RanTwice++
		}
	}
}

// scoreAccounts compares the service that the accounts got.
func (r *record) scoreAccounts(m *Result) {
	m.WorstShare = 1
	m.RefusalReasons = make(map[string]int)
	var p99s []float64
	for _, a := range accounts() {
		samples := r.samplesOf(a.Name)
		withinRate := idealAdmitted(samples, a)
		answered, refused := 0, 0
		var took []float64
		for _, t := range samples {
			switch t.Result {
			case crload.Answered:
				answered++
				took = append(took, t.Latency.Seconds()*1e3)
			case crload.NotRun:
				refused++
				m.RefusalReasons[t.Reason]++
				if t.Status == http.StatusTooManyRequests {
					m.RateLimited++
				}
			case crload.Unknown, crload.Cut, crload.NoResponse, crload.Mismatched:
			}
		}
		m.RefusedWithinRate += max(0, refused-(len(samples)-withinRate))
		if share := float64(answered) / float64(max(1, withinRate)); share < m.WorstShare {
			m.WorstShare, m.WorstAccount = share, a.Name
		}
		p99s = append(p99s, quantile(took, 0.99))
	}
	m.WorstP99Millis = slices.Max(p99s)
	m.MedianP99Millis = quantile(p99s, 0.5)
}

// samplesOf returns the requests of an account in the order of their planned times.
func (r *record) samplesOf(account string) []crload.Sample {
	var out []crload.Sample
	for _, t := range r.samples {
		if t.Account == account {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b crload.Sample) int { return int(a.Planned - b.Planned) })
	return out
}

// idealAdmitted counts the requests that one token bucket for the whole fleet, full at the
// start, would admit. Only the counts are compared, not single requests: above the rate,
// two correct rate limiters may admit different requests.
func idealAdmitted(samples []crload.Sample, a crfleet.Account) int {
	level, at, n := a.Burst, time.Duration(0), 0
	for _, t := range samples {
		level = min(a.Burst, level+a.Rate*(t.Planned-at).Seconds())
		at = t.Planned
		if level >= 1 {
			level--
			n++
		}
	}
	return n
}

// quantile sorts values and returns their quantile q, or zero if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}
