package crbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
)

// retryFleet is a fleet whose daemons share the retry budget of one service.
type retryFleet struct {
	params  crbudget.Params
	daemons []*retryDaemon
}

type retryDaemon struct {
	budget    *crbudget.Budget
	pool      *crbudget.Pool
	startedAt crid.Instant
	fleetSize int // that it knows
}

func newRetryFleet(p crbudget.Params, size int) *retryFleet {
	f := &retryFleet{params: p, daemons: make([]*retryDaemon, size)}
	for i := range f.daemons {
		f.start(i, settled, size)
	}
	return f
}

// start starts a daemon, or starts it again.
func (f *retryFleet) start(i int, started crbudget.Start, knownSize int) {
	own, pooled := crbudget.Split(f.params)
	f.daemons[i] = &retryDaemon{
		budget: crbudget.New(own, started), pool: crbudget.NewPool(pooled), startedAt: started.At, fleetSize: knownSize,
	}
}

// retry asks for a retry of a request that entered at a daemon. The first daemon owns the pool.
func (f *retryFleet) retry(now crid.Instant, entry int) bool {
	d := f.daemons[entry]
	r := crbudget.Retry{Service: "desk", Priority: 1, FleetSize: d.fleetSize, Cost: 1}
	owner := f.daemons[0]
	return d.budget.Spend(now, r) || owner.pool.Take(now, "desk", crbudget.Ownership{Fraction: 1, Since: owner.startedAt})
}

// play plays a service that rejects every request from an instant on, and returns the
// greatest excess over the limit in any window.
func (f *retryFleet) play(rng *rand.Rand, perSecond float64, rejectsFrom time.Duration, restart func(at time.Duration)) (excess float64) {
	const length, step = 40 * time.Second, 5 * time.Millisecond
	requests, retries := make([]int, length/step), make([]int, length/step)
	for n := range requests {
		at := time.Duration(n) * step
		now := start.Add(at)
		restart(at)
		if rng.Float64() >= perSecond*step.Seconds() {
			continue
		}
		entry := rng.IntN(len(f.daemons))
		f.daemons[entry].budget.RecordRequest(now, "desk")
		requests[n]++
		for range 2 {
			if at >= rejectsFrom && f.retry(now, entry) {
				retries[n]++
			}
		}
	}
	width := int(f.params.Window / step)
	for n := width; n < len(requests); n++ {
		before := requests[max(n-2*width, 0) : n-width]
		limit := f.params.Ratio*float64(max(sum(requests[n-width:n]), sum(before))) + f.params.Slack
		excess = max(excess, float64(sum(retries[n-width:n]))-limit)
	}
	return excess
}

// Guards against daemons that spend their part of the budget again after a restart.
func TestRestartedDaemonsStayWithinBudget(t *testing.T) {
	const size = 29
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7)) //nolint:gosec // a test must be reproducible
		f := newRetryFleet(crbudget.Params{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}, size)
		restartAt := 12*time.Second + time.Duration(rng.IntN(8000))*time.Millisecond
		excess := f.play(rng, 53, 12*time.Second, func(at time.Duration) {
			if at.Truncate(5*time.Millisecond) != restartAt.Truncate(5*time.Millisecond) {
				return
			}
			for i := range f.daemons {
				if i == 0 || rng.Float64() < 0.5 {
					f.start(i, crbudget.Start{At: start.Add(at), Successor: true}, size)
				}
			}
		})
		if excess > 0 {
			t.Errorf("seed %d: %.0f retries too many in a window, restart after %v", seed, excess, restartAt-12*time.Second)
		}
	}
}

// Guards against daemons that take the part of many while they know few others.
func TestDaemonsThatKnowFewOthersStayWithinBudget(t *testing.T) {
	const size, seeds = 29, 3
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 8)) //nolint:gosec // a test must be reproducible
		f := newRetryFleet(crbudget.Params{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}, size)
		for i := range f.daemons {
			f.start(i, crbudget.Start{At: start, Successor: seed%2 == 0}, 1+seeds)
		}
		excess := f.play(rng, 53, 0, func(at time.Duration) {
			for _, d := range f.daemons {
				if at >= 2*time.Second {
					d.fleetSize = size
				}
			}
		})
		if excess > 0 {
			t.Errorf("seed %d: %.0f retries too many in a window", seed, excess)
		}
	}
}
