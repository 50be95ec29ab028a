package crbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
)

// callingFleet is a fleet in which runs on the targets of one service, book, make calls to
// another one, desk. Each book target has a daemon, where its calls enter.
type callingFleet struct {
	rng             *rand.Rand
	own             crbudget.Params
	pool            *crbudget.Pool
	owner           crbudget.Ownership
	budgets         []*crbudget.Budget
	rates           []*crbudget.CallRates
	costs           []*crbudget.CallCosts
	bookTargets     int
	sick            []bool // book targets that fail most runs before they call
	rejecting       bool   // desk rejects everything
	failing         bool   // desk fails most runs, and so do the book runs that called it
	requests, again int    // at desk, and those beyond the first of a request
}

const callsPerRun = 0.7

func newCallingFleet(seed uint64, p crbudget.Params, daemons, bookTargets int) *callingFleet {
	own, pooled := crbudget.Split(p)
	f := &callingFleet{
		rng: rand.New(rand.NewPCG(seed, 9)), own: own, pool: crbudget.NewPool(pooled), owner: owned, bookTargets: bookTargets, //nolint:gosec // a test must be reproducible
		budgets: make([]*crbudget.Budget, daemons), rates: make([]*crbudget.CallRates, daemons),
		costs: make([]*crbudget.CallCosts, daemons), sick: make([]bool, bookTargets),
	}
	for i := range f.budgets {
		f.start(i, settled)
	}
	return f
}

func (f *callingFleet) start(i int, started crbudget.Start) {
	f.budgets[i], f.rates[i], f.costs[i] = crbudget.New(f.own, started), crbudget.NewCallRates(), crbudget.NewCallCosts()
}

// look handles a repeatable request for book. A retry goes to a target that is not sick.
func (f *callingFleet) look(now crid.Instant) {
	entry := f.rng.IntN(len(f.budgets))
	f.budgets[entry].RecordRequest(now, "book")
	target := f.rng.IntN(f.bookTargets)
	if f.run(now, target, false, true) {
		return
	}
	ok, charged := f.spendForLook(now, entry, f.rates[target].Report(now))
	if !ok {
		return
	}
	for f.sick[target] {
		target = f.rng.IntN(f.bookTargets)
	}
	f.run(now, target, true, charged)
}

// spendForLook spends a retry of a look and the calls that its run makes, given the report of the
// run before it.
func (f *callingFleet) spendForLook(now crid.Instant, entry int, r crbudget.CallReport) (ok, charged bool) {
	f.costs[entry].Record("book", r)
	cost := []crbudget.Retry{{Service: "book", Priority: 2, FleetSize: len(f.budgets), Cost: 1}}
	for _, c := range f.costs[entry].Estimate("book", r.Failed) {
		cost = append(cost, crbudget.Retry{Service: c.Service, Priority: 2, FleetSize: len(f.budgets), Cost: c.PerRun})
	}
	payment := crbudget.NewPayment(f.budgets[entry])
	take := func(s crid.Service) bool { return f.pool.Take(now, s, f.owner) }
	return payment.Pay(now, cost, take), len(cost) > 1
}

// recordCall counts a call that a book target makes. The exit knows the share of retries among
// the runs on its target, which is all of them here.
func (f *callingFleet) recordCall(now crid.Instant, target int, repeat, charged bool) {
	f.rates[target].RecordCall("desk")
	recordCall(f.budgets[target], now, repeat, charged)
}

// recordCall counts a call to desk at the daemon where it enters.
func recordCall(b *crbudget.Budget, now crid.Instant, repeat, charged bool) {
	if !repeat {
		b.RecordCall(now, "desk", 0)
		return
	}
	b.RecordCall(now, "desk", 1)
	if !charged {
		b.Charge(now, "desk", 1)
	}
}

// run runs a look on a book target; it reports whether the target did not fail.
func (f *callingFleet) run(now crid.Instant, target int, repeat, charged bool) bool {
	f.rates[target].RecordRun()
	if f.sick[target] && f.rng.Float64() < 0.8 {
		return false
	}
	if f.rng.Float64() < callsPerRun {
		f.recordCall(now, target, repeat, charged)
		if repeat {
			f.again++
		}
		f.desk(now, target, 2)
	}
	return true
}

// deposit handles a request for desk.
func (f *callingFleet) deposit(now crid.Instant) {
	entry := f.rng.IntN(len(f.budgets))
	f.budgets[entry].RecordRequest(now, "desk")
	f.desk(now, entry, 0)
}

func (f *callingFleet) desk(now crid.Instant, entry, priority int) {
	f.requests++
	r := crbudget.Retry{Service: "desk", Priority: priority, FleetSize: len(f.budgets), Cost: 1}
	for range 2 {
		if f.rejecting && (f.budgets[entry].Spend(now, r) || f.pool.Take(now, "desk", f.owner)) {
			f.again++
		}
	}
}

// Guards against retries that cost the calls of a sick target beside the entry, and make those of a well one.
func TestRetriesElsewhereStayWithinTheCalledServicesBudget(t *testing.T) {
	const (
		daemons, bookTargets = 29, 23
		looks, deposits      = 60.0, 30.0 // a second
		length, step         = 40 * time.Second, 5 * time.Millisecond
	)
	p := crbudget.Params{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}
	width := int(p.Window / step)
	for seed := range uint64(20) {
		f := newCallingFleet(seed, p, daemons, bookTargets)
		requests, again := make([]int, length/step), make([]int, length/step)
		restartAt := int(12*time.Second/step) + f.rng.IntN(width)
		for n := range requests {
			at := time.Duration(n) * step
			if n%width == 0 {
				for i := range f.sick {
					f.sick[i] = f.rng.Float64() < 0.5
				}
			}
			f.rejecting = at >= 12*time.Second
			if n == restartAt {
				for i := range daemons / 2 {
					f.start(2*i, crbudget.Start{At: start.Add(at), Successor: true})
				}
			}
			f.requests, f.again = 0, 0
			if f.rng.Float64() < looks*step.Seconds() {
				f.look(start.Add(at))
			}
			if f.rng.Float64() < deposits*step.Seconds() {
				f.deposit(start.Add(at))
			}
			requests[n], again[n] = f.requests, f.again
		}
		for n := width; n < len(requests); n++ {
			limit := p.Ratio*float64(max(sum(requests[n-width:n]), sum(requests[max(n-2*width, 0):n-width]))) + p.Slack
			if beyond := sum(again[n-width : n]); float64(beyond) > limit {
				t.Fatalf("seed %d: %d beyond the first in the window that ends at %v, %.0f allowed", seed, beyond, time.Duration(n)*step, limit)
			}
		}
	}
}
