package crbudget

import (
	"cmp"
	"slices"
	"sync"

	"camphorroad/core/crid"
)

const (
	// callRateDecay is the factor by which a run reduces the weight of earlier ones. The
	// rates then cover about a hundred runs.
	callRateDecay = 0.99
	// minCallsPerRun is the rate below which a service counts as not called.
	minCallsPerRun = 0.02
)

// Call is a service that the runs of another one call.
type Call struct {
	_       struct{} `cbor:",toarray"`
	Service crid.Service
	PerRun  float64
}

// CallReport is what the daemon beside a target reports of the calls that its runs make, with
// the response to a request.
type CallReport struct {
	_      struct{}       `cbor:",toarray"`
	Runs   float64        // weight of the runs on which the rates are based
	Calls  []Call         // sorted by service
	Failed []crid.Service // services of which a call has failed during this run
}

// CallRates learns how many calls a run on one target makes to each service. A retry makes
// them again. It is safe for concurrent use.
//
//	rates.RecordRun()
//	rates.RecordCall(service)
//	report := rates.Report(started)
type CallRates struct {
	mu       sync.Mutex
	runs     float64
	calls    map[crid.Service]float64
	failedAt map[crid.Service]crid.Instant // when a call failed last
}

// NewCallRates returns rates without runs.
func NewCallRates() *CallRates {
	return &CallRates{calls: make(map[crid.Service]float64), failedAt: make(map[crid.Service]crid.Instant)}
}

// RecordRun counts a run of an idempotent request. Others are never repeated.
func (r *CallRates) RecordRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = r.runs*callRateDecay + 1
	for s := range r.calls {
		r.calls[s] *= callRateDecay
	}
}

// RecordCall counts a call that the target makes.
func (r *CallRates) RecordCall(s crid.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[s]++
}

// RecordFailure records that a call of the target has failed.
func (r *CallRates) RecordFailure(now crid.Instant, s crid.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt[s] = now
}

// Report returns the calls of one run, and the services of which a call has failed since a run
// started.
func (r *CallRates) Report(started crid.Instant) CallReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := CallReport{Runs: r.runs, Calls: perRun(r.calls, r.runs)}
	for s, at := range r.failedAt {
		if !at.Before(started) {
			report.Failed = append(report.Failed, s)
		}
	}
	slices.Sort(report.Failed)
	return report
}

// perRun divides calls by runs, and sorts the services that are called by name.
func perRun(calls map[crid.Service]float64, runs float64) []Call {
	var out []Call
	for s, n := range calls {
		if rate := n / max(runs, 1); rate >= minCallsPerRun {
			out = append(out, Call{Service: s, PerRun: rate})
		}
	}
	slices.SortFunc(out, func(a, b Call) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
