package crfeed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
)

// startSizes are the domains of a fleet of 120 daemons.
var startSizes = []int{20, 20, 20, 20, 20, 20}

var startSeeds = []crid.Daemon{"10.1.0.1", "10.2.0.1", "10.3.0.1"}

// expectPlanWithin checks that each daemon that runs had the first plan in force in time.
func expectPlanWithin(t *testing.T, f *fleet, limit time.Duration) {
	t.Helper()
	g := gomega.NewWithT(t)
	for _, m := range f.members {
		if f.failed[m.id] {
			continue
		}
		since := m.inForceSince(1)
		g.Expect(since.IsZero()).To(gomega.BeFalse(), string(m.id))
		g.Expect(since.Sub(f.started)).To(gomega.BeNumerically("<=", limit), string(m.id))
	}
}

// All daemons of a large fleet start at once. If each of them called the store, a start
// would cost more calls than the rest of a day.
func TestSimultaneousStartCallsTheStoreLessThanOnceADaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSeededFleet(startSeeds, startSizes...)
		calls := 0
		time.AfterFunc(6*time.Second, func() { calls = f.store.callCount() })
		f.run(t, 8*time.Second)
		gomega.NewWithT(t).Expect(calls).To(gomega.BeNumerically("<", len(f.members)))
		expectPlanWithin(t, f, maxStartDelay+time.Second)
	})
}

// The seeds may name machines that are down. New daemons must not wait for them.
func TestDaemonsStartWithoutTheirSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSeededFleet(startSeeds, startSizes...)
		for _, d := range startSeeds {
			f.failed[d] = true
		}
		f.run(t, 8*time.Second)
		expectPlanWithin(t, f, maxStartDelay+1500*time.Millisecond)
	})
}

// The seeds accept queries and do not answer. A new daemon must not wait for one after the other.
func TestDaemonsStartWhileTheirSeedsHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSeededFleet(startSeeds, startSizes...)
		for _, d := range startSeeds {
			f.hung[d] = true
		}
		f.run(t, 12*time.Second)
		expectPlanWithin(t, f, maxStartDelay+2*time.Second)
	})
}
