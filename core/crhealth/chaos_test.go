package crhealth

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"camphorroad/core/crid"
)

// chaosParams returns params with short ejections, so that targets are ejected and
// return often.
func chaosParams() Params {
	p := DefaultParams()
	p.BaseEjectionTime = 500 * time.Millisecond
	p.MaxEjectionTime = time.Minute
	p.EjectionDecay = time.Second
	return p
}

func chaosWorld(p Params, seed uint64) *world {
	w := newWorld(p, seed, 5, 6, 5)
	w.requestsPerStep = 16
	return w
}

// injectFault applies one random fault or change.
func injectFault(w *world, pick func(n int) int) {
	n := w.nodes[w.names[pick(len(w.names))]]
	other := w.names[pick(len(w.names))]
	switch pick(9) {
	case 0, 1:
		w.behaviours[w.targets[pick(len(w.targets))]] = endWith(ResultWrong, 1)
	case 2:
		clear(w.behaviours)
	case 3:
		n.suspended = !n.suspended
	case 4:
		n.isolated = !n.isolated
	case 5:
		w.partitioned[[2]crid.Daemon{n.name, other}] = !w.partitioned[[2]crid.Daemon{n.name, other}]
	case 6:
		w.changeMembers(slices.DeleteFunc(slices.Clone(w.names), func(d crid.Daemon) bool { return d == other }))
	case 7:
		w.loss = []float64{0, 0.1, 0.4}[pick(3)]
		w.delay = []time.Duration{2 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}[pick(3)]
	case 8:
		w.start(n)
	}
}

// runSteps advances the world and reports whether the floor was breached after any
// step.
func runSteps(w *world, steps int) bool {
	for range steps {
		w.advance()
		if w.floorBreached() {
			return true
		}
	}
	return false
}

// If the ejections of two arbiters added up, a service would fall below its floor.
// Targets become unhealthy while daemons are suspended, restart, lose messages in one
// direction, hold stale lists, and the arbiter changes.
func TestFloorHoldsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := chaosWorld(chaosParams(), uint64(rapid.IntRange(1, 1<<20).Draw(rt, "seed")))
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		if runSteps(w, 60) {
			rt.Fatal("floor breached without faults")
		}
		for range 15 {
			injectFault(w, pick)
			if runSteps(w, 1+pick(40)) {
				rt.Fatalf("floor breached; ejected at the same time: %v", w.ejectedSomewhere())
			}
		}
	})
}

// findBreach searches for a run in which the floor is breached.
func findBreach(p Params, runs uint64) (seed uint64, ejections int) {
	for seed := range runs {
		w := chaosWorld(p, seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		runSteps(w, 40)
		for range 25 {
			injectFault(w, rng.IntN)
			if runSteps(w, 1+rng.IntN(40)) {
				return seed + 1, 0
			}
		}
		ejections += w.reports[EventEjected]
	}
	return 0, ejections
}

// With one guard disabled, some run must breach the floor; otherwise the guard, or
// this test, has no effect.
func TestEachFloorGuardIsNecessary(t *testing.T) {
	for name, g := range map[string]guard{
		"floor": guardFloor, "lease": guardLease, "expiry wait": guardExpiryWait, "maybe ejected": guardMaybeEjected, "sent time": guardSentTime,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := chaosParams()
			p.disabledGuards = g
			seed, _ := findBreach(p, 400)
			t.Logf("floor breached in run %d", seed)
			gomega.NewWithT(t).Expect(seed).NotTo(gomega.BeZero())
		})
	}
	seed, ejections := findBreach(chaosParams(), 25)
	gomega.NewWithT(t).Expect(seed).To(gomega.BeZero())
	gomega.NewWithT(t).Expect(ejections).To(gomega.BeNumerically(">", 100), "the runs must contain ejections")
}
