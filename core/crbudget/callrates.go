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
	// minRunWeight is the weight of the runs from which on the rates are known.
	minRunWeight = 20
	// minCallsPerRun is the rate below which a service counts as not called.
	minCallsPerRun = 0.02
)

// Call is a service that the runs of another one call.
type Call struct {
	Service crid.Service
	PerRun  float64
}

// CallRates learns how many calls a run on one target makes to each service. A retry makes
// them again. It is safe for concurrent use.
//
//	rates.RecordRun()
//	rates.RecordCall(service)
//	calls, known := rates.Calls()
type CallRates struct {
	mu    sync.Mutex
	runs  float64
	calls map[crid.Service]float64
}

// NewCallRates returns rates that are not known yet.
func NewCallRates() *CallRates { return &CallRates{calls: make(map[crid.Service]float64)} }

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

// Calls returns the calls of one run, sorted by service. It returns false as long as there
// were too few runs.
func (r *CallRates) Calls() ([]Call, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs < minRunWeight {
		return nil, false
	}
	var out []Call
	for s, n := range r.calls {
		if perRun := n / r.runs; perRun >= minCallsPerRun {
			out = append(out, Call{Service: s, PerRun: perRun})
		}
	}
	slices.SortFunc(out, func(a, b Call) int { return cmp.Compare(a.Service, b.Service) })
	return out, true
}
