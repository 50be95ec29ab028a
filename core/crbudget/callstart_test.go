package crbudget_test

import (
	"testing"
	"time"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
)

// lookWithCall handles a repeatable request for book that makes one call to desk, or none. The
// request fails if its call fails, and then makes the call again when it is repeated.
func (f *callingFleet) lookWithCall(now crid.Instant) {
	entry, target, calls := f.rng.IntN(len(f.budgets)), f.rng.IntN(f.bookTargets), f.rng.Float64() < callsPerRun
	f.budgets[entry].RecordRequest(now, "book")
	if f.runWithCall(now, target, calls, false, false) {
		return
	}
	if ok, charged := f.spendForLook(now, entry, f.rates[target].Report(now)); ok {
		f.runWithCall(now, f.rng.IntN(f.bookTargets), calls, true, charged)
	}
}

// runWithCall runs a look on a book target; it reports whether the run succeeded.
func (f *callingFleet) runWithCall(now crid.Instant, target int, calls, repeat, charged bool) bool {
	f.rates[target].RecordRun()
	if !calls {
		return f.rng.Float64() < 0.95
	}
	f.recordCall(now, target, repeat, charged)
	if repeat {
		f.again++
	} else {
		f.requests++
	}
	if f.deskRun() {
		return true
	}
	r := crbudget.Retry{Service: "desk", Priority: 2, FleetSize: len(f.budgets), Cost: 1}
	if f.budgets[target].Spend(now, r) || f.pool.Take(now, "desk", f.owner) {
		f.again++
		if f.deskRun() {
			return true
		}
	}
	f.rates[target].RecordFailure(now, "desk")
	return false
}

// deskRun runs a call on a desk target.
func (f *callingFleet) deskRun() bool { return !f.failing || f.rng.Float64() < 0.1 }

// Guards against retries in a fleet that has just started whose calls exceed the called service's budget.
func TestRetriesAfterAStartStayWithinTheCalledServicesBudget(t *testing.T) {
	const (
		daemons, bookTargets = 29, 23
		looks, others        = 40.0, 85.0 // requests for book a second; others are not repeated
		deposits             = 30.0       // requests for desk a second
		length, step         = 30 * time.Second, 5 * time.Millisecond
	)
	p := crbudget.Params{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}
	width := int(p.Window / step)
	over, worst := 0, 0.0
	for seed := range uint64(40) {
		f := newCallingFleet(seed, p, daemons, bookTargets)
		for i := range daemons {
			f.start(i, crbudget.Start{At: start})
		}
		f.owner.Since = start
		requests, again := make([]int, length/step), make([]int, length/step)
		for n := range requests {
			at := time.Duration(n) * step
			f.failing = at < 20*time.Second
			f.requests, f.again = 0, 0
			if f.rng.Float64() < looks*step.Seconds() {
				f.lookWithCall(start.Add(at))
			}
			if f.rng.Float64() < others*step.Seconds() {
				f.budgets[f.rng.IntN(daemons)].RecordRequest(start.Add(at), "book")
			}
			if f.rng.Float64() < deposits*step.Seconds() {
				f.budgets[f.rng.IntN(daemons)].RecordRequest(start.Add(at), "desk")
				f.requests++
			}
			requests[n], again[n] = f.requests, f.again
		}
		excess := 0.0
		for n := width; n < len(requests); n++ {
			half, before := max(n-width*3/2, 0), max(n-2*width, 0)
			limit := p.Ratio*float64(max(sum(requests[n-width:n]), sum(requests[half:half+width]), sum(requests[before:n-width]))) + p.Slack
			excess = max(excess, float64(sum(again[n-width:n]))-limit)
		}
		if excess > 0 {
			over, worst = over+1, max(worst, excess)
		}
	}
	if over > 0 {
		t.Errorf("%d of 40 seeds exceed the budget of the called service, by up to %.0f", over, worst)
	}
}
