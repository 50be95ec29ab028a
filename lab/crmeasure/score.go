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

// Result is the score of one run.
type Result struct {
	Shape  string `json:"shape"`
	Case   string `json:"case"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`

	DetectSeconds     float64 `json:"detect"`   // seconds until the last sick target was found; below zero: one was not
	UnhealthyWork     float64 `json:"sickwork"` // work of the sick during the fault, of their fair share
	FalseEjections    int     `json:"false"`    // healthy targets ejected
	WorstShare        float64 `json:"share"`    // answered part of the worst-served account
	WorstP99Millis    float64 `json:"p99"`      // milliseconds, of the account with the highest
	MedianP99Millis   float64 `json:"median"`   // milliseconds, the median account's p99
	RefusedWithinRate int     `json:"refused"`  // though inside the account's rate
	RateLimited       int     `json:"limited"`  // refusals by the account's rate, wrongful or not
	WorstAccount      string  `json:"worst"`    // the worst-served account, by Share
	Sent              int     `json:"sent"`

	RefusalReasons map[string]int `json:"reasons"` // of refusals
	Ejections      []string       `json:"ejected"` // every ejection: when after the fault, target, cause

	Cut                 int `json:"cut"`
	Unknown             int `json:"unknown"`
	WithoutResponse     int `json:"noword"` // the connection failed without an answer
	MismatchedResponses int `json:"mixed"`
	RanTwice            int `json:"twice"` // once-only requests that ran more than once
	FalseNotRun         int `json:"lied"`  // told "not run", and ran
}

// record is all that was seen of one run.
type record struct {
	trial
	plan     crload.Plan
	stage    *stage
	fleet    *crfleet.Fleet
	from, to time.Duration // of the fault, after start
	start    time.Time
	told     []crload.Sample
}

const (
	// window and step are those in which a target's work is compared with its
	// fair share, and found is the share below which it counts as out of work.
	window = 500 * time.Millisecond
	step   = 50 * time.Millisecond
	found  = 0.1
	// hurt is the latency from which a request counts as hurt by a fault
	// between daemons.
	hurt = 500 * time.Millisecond
)

func (r *record) score() Result {
	m := Result{
		Shape: r.shape.Name, Case: r.fault.Name, Policy: r.policy.Name, Seed: r.seed,
		Sent: len(r.told),
	}
	r.ejections(&m)
	r.detect(&m)
	r.count(&m)
	r.serve(&m)
	return m
}

// detect finds when the sick got no more work.
func (r *record) detect(m *Result) {
	if r.fault.byCallers {
		for _, t := range r.told {
			bad := t.Result == crload.Unknown || t.Result == crload.Cut || t.Latency > hurt
			if bad && t.Planned >= r.from && t.Planned < r.to {
				m.DetectSeconds = max(m.DetectSeconds, (t.Planned - r.from).Seconds())
			}
		}
		return
	}
	for _, target := range r.stage.sick {
		own, fair := r.work(target)
		m.UnhealthyWork += inSpan(own, r.from, r.to) / max(1, inSpan(fair, r.from, r.to)) * r.peers(target) / float64(len(r.stage.sick))
		at := r.foundAt(own, fair, r.peers(target))
		if at < 0 || m.DetectSeconds < 0 {
			m.DetectSeconds = -1
			continue
		}
		m.DetectSeconds = max(m.DetectSeconds, at)
	}
}

// work returns the times of a target's runs, and of its whole service's.
func (r *record) work(target *crfleet.Target) (own, all []time.Duration) {
	own = r.after(target.Log())
	for _, t := range r.fleet.Targets() {
		if t.Service() == target.Service() {
			all = append(all, r.after(t.Log())...)
		}
	}
	return own, all
}

func (r *record) after(runs []crupstream.Run) []time.Duration {
	out := make([]time.Duration, 0, len(runs))
	for _, run := range runs {
		out = append(out, run.At.Sub(r.start))
	}
	return out
}

func (r *record) peers(target *crfleet.Target) float64 {
	n := 0.0
	for _, t := range r.fleet.Targets() {
		if t.Service() == target.Service() {
			n++
		}
	}
	return n
}

func (r *record) foundAt(own, all []time.Duration, peers float64) float64 {
	for at := r.from; at+window <= r.to; at += step {
		if inSpan(own, at, at+window) < found*inSpan(all, at, at+window)/peers {
			return (at - r.from).Seconds()
		}
	}
	return -1
}

func inSpan(at []time.Duration, from, to time.Duration) float64 {
	n := 0.0
	for _, t := range at {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// ejections reads them from the daemons' logs, and counts the healthy targets
// that any daemon ejected.
func (r *record) ejections(m *Result) {
	wrongly := make(map[string]bool)
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
			wrongly[e.Target] = true
			after := e.Time.Sub(r.start) - r.from
			m.Ejections = append(m.Ejections, fmt.Sprintf("%s: %.0fs: %s: %s", d.Name(), after.Seconds(), e.Target, e.Detail))
		}
	}
	for _, t := range r.stage.sick {
		delete(wrongly, t.Name())
	}
	m.FalseEjections = len(wrongly)
}

// count checks what callers were told against what ran.
func (r *record) count(m *Result) {
	runs := r.fleet.Runs()
	for _, t := range r.told {
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

// serve scores the accounts one beside the other.
func (r *record) serve(m *Result) {
	m.WorstShare = 1
	m.RefusalReasons = make(map[string]int)
	var p99s []float64
	for _, a := range accounts() {
		told := r.of(a.Name)
		inside := ideal(told, a)
		answered, refused := 0, 0
		var took []float64
		for _, t := range told {
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
		m.RefusedWithinRate += max(0, refused-(len(told)-inside))
		if share := float64(answered) / float64(max(1, inside)); share < m.WorstShare {
			m.WorstShare, m.WorstAccount = share, a.Name
		}
		p99s = append(p99s, quantile(took, 0.99))
	}
	m.WorstP99Millis = slices.Max(p99s)
	m.MedianP99Millis = quantile(p99s, 0.5)
}

// of returns an account's requests in the order of their planned times.
func (r *record) of(account string) []crload.Sample {
	var out []crload.Sample
	for _, t := range r.told {
		if t.Account == account {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b crload.Sample) int { return int(a.Planned - b.Planned) })
	return out
}

// ideal counts the requests that one token bucket for the whole fleet, full at
// the start, would let pass. Counts and not single requests are compared: over
// the rate, two right limiters pass different requests of a crowd.
func ideal(told []crload.Sample, a crfleet.Account) int {
	level, at, n := a.Burst, time.Duration(0), 0
	for _, t := range told {
		level = min(a.Burst, level+a.Rate*(t.Planned-at).Seconds())
		at = t.Planned
		if level >= 1 {
			level--
			n++
		}
	}
	return n
}

// quantile sorts its argument; zero for none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}
