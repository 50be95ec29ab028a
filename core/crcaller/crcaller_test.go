package crcaller_test

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crcaller"
)

// Guards against calls of unimportant requests that count as urgent ones.
func TestCallHasThePriorityOfItsCaller(t *testing.T) {
	for _, holds := range []float64{0.2, 0.8, 0.95} {
		g := gomega.NewWithT(t)
		tracker := crcaller.NewTracker()
		rng := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a test must be reproducible
		last := -1
		for range 300 {
			others := map[int]bool{0: rng.Float64() < 0.1, 1: rng.Float64() < holds}
			tracker.Started(2)
			for p, present := range others {
				if present {
					tracker.Started(p)
				}
			}
			last = tracker.CallPriority("check", 0)
			for p, present := range others {
				if present {
					tracker.Ended(p)
				}
			}
			tracker.Ended(2)
		}
		g.Expect(last).To(gomega.Equal(2), "holds run at %v of the calls", holds)
	}
}

func TestCallIsNoMoreUrgentThanItsRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := crcaller.NewTracker()
	tracker.Started(0)
	g.Expect(tracker.CallPriority("check", 1)).To(gomega.Equal(1), "nothing is known yet")
	for range 100 {
		tracker.CallPriority("check", 1)
	}
	g.Expect(tracker.CallPriority("check", 1)).To(gomega.Equal(1))
	g.Expect(tracker.CallPriority("check", 3)).To(gomega.Equal(3))
}
