package crfeed_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/io/croffer"
	"camphorroad/io/crwatch"
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

// Guards against a start of the fleet in which each daemon calls the store.
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

// Guards against seeds that send each record unpacked to a hundred daemons of other domains.
func TestManyChangesArePackedForTransfer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("self", "a")
	items := make([]crwatch.Item, 50)
	for i := range items {
		items[i] = crwatch.Item{Key: fmt.Sprintf("targets/%d", i), Value: []byte(`{"service":"booking","address":"10.0.0.1:80","slots":5}`), Revision: crid.Revision(i + 1)}
	}
	for _, q := range []croffer.FeedQuery{{Scope: crwatch.Records, Full: true}, {Scope: crwatch.Records, After: 1, Wait: time.Second}} {
		page := f.feed.Serve(t.Context(), fixedSource(items), q)
		g.Expect(page.State).To(gomega.Equal(croffer.FeedServed))
		g.Expect(page.Items).To(gomega.BeEmpty())
		g.Expect(len(page.Packed)).To(gomega.BeNumerically("<", len(items)*len(items[0].Value)/4))
		g.Expect(crwatch.Unpack(page.Packed)).To(gomega.Equal(items))
	}
}

// fixedSource is a source that always has the same items.
type fixedSource []crwatch.Item

func (s fixedSource) Snapshot(crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	return s, 50, nil
}

func (s fixedSource) ChangesAfter(context.Context, crwatch.Scope, crid.Revision, time.Duration) ([]crwatch.Item, crid.Revision, error) {
	return s, 50, nil
}
