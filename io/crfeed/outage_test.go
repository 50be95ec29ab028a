package crfeed_test

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/io/crfeed"
	"camphorroad/io/crlog"
	"camphorroad/io/crwatch"
)

const (
	// applyTime is the time within which a confirmed change has to be in force.
	applyTime = 2 * time.Second
	// recoveryTime is the time after an outage during which no change is due.
	recoveryTime = 3 * time.Second
	// startupTime is the time within which a new fleet finds its readers.
	startupTime = 12 * time.Second
	// runTime is the virtual time of a run.
	runTime = 35 * time.Second
	// outageDelay is the time from a change to the start of an outage in which the
	// watches that follow the change are lost.
	outageDelay = 450 * time.Millisecond
	// runs is the number of runs of a test.
	runs = 20
)

// Versions of the plan. Version 1 is in force at the start.
const (
	versionBeforeOutage = 2
	firstVersionAfter   = 3
)

// lateness is the delay of the change that came into force latest after it was due.
type lateness struct {
	daemon  crid.Daemon
	version int
	delay   time.Duration
}

// outageParams are the number and durations of the outages of a store.
type outageParams struct {
	count             int
	shortest, longest time.Duration
	afterChange       bool // the first outage follows a change, and only the watches after the change are lost
	readerCount       int  // see fleet
}

// outages returns random outages.
func (p outageParams) outages(r *rand.Rand, start time.Time) []outage {
	randomBetween := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	at := start.Add(randomBetween(startupTime, startupTime+5*time.Second))
	out := make([]outage, 0, p.count)
	for range p.count {
		until := at.Add(randomBetween(p.shortest, p.longest))
		out = append(out, outage{from: at, until: until, answersPending: p.afterChange})
		at = until.Add(randomBetween(0, 2*time.Second))
	}
	return out
}

// runOutages runs a fleet whose store has outages, with a series of changes after the
// last one, and returns the change with the largest lateness.
func runOutages(t *testing.T, seed uint64, p outageParams, sizes ...int) lateness {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(sizes...)
	f.readerCount = p.readerCount
	f.store.outages = p.outages(r, f.started)
	until := f.store.outages[p.count-1].until
	if p.afterChange {
		time.AfterFunc(time.Until(f.store.outages[0].from.Add(-outageDelay)), func() { f.store.publish(versionBeforeOutage) })
	}
	var confirmed []time.Time
	at := until.Add(100 * time.Millisecond)
	for at.Before(until.Add(recoveryTime)) {
		version := len(confirmed) + firstVersionAfter
		confirmed = append(confirmed, at)
		time.AfterFunc(time.Until(at), func() { f.store.publish(version) })
		at = at.Add(50*time.Millisecond + time.Duration(r.Int64N(int64(time.Second))))
	}
	f.run(t, runTime)
	worst := lateness{delay: -runTime}
	for i, at := range confirmed {
		due := at.Add(applyTime)
		if recovered := until.Add(recoveryTime); due.Before(recovered) {
			due = recovered
		}
		for _, m := range f.members {
			since := m.inForceSince(i + firstVersionAfter)
			if since.IsZero() {
				since = f.started.Add(runTime)
			}
			if delay := since.Sub(due); delay > worst.delay {
				worst = lateness{m.id, i + firstVersionAfter, delay}
			}
		}
	}
	return worst
}

// checkOutages repeats a run with different seeds and reports each in which a change was late.
func checkOutages(t *testing.T, p outageParams) {
	t.Helper()
	for seed := range uint64(runs) {
		var worst lateness
		synctest.Test(t, func(t *testing.T) { worst = runOutages(t, seed, p, 7, 7, 4, 4) })
		if worst.delay > 0 {
			t.Errorf("seed %d: %s had version %d in force %v too late", seed, worst.daemon, worst.version, worst.delay)
		}
	}
}

// Watches that were sent during a long outage are never answered, so readers could miss changes long after it.
func TestAChangeIsInForceInTimeAfterALongOutage(t *testing.T) {
	checkOutages(t, outageParams{count: 1, shortest: 4 * time.Second, longest: 7 * time.Second})
}

// Readers whose watches were lost in a short outage would receive no change until the wait of the watch is over.
func TestAChangeIsInForceInTimeAfterAShortOutage(t *testing.T) {
	checkOutages(t, outageParams{count: 1, shortest: time.Millisecond, longest: 2 * time.Second})
}

// A change ends all watches at the same moment. In an outage right after it, all watches that follow are lost.
func TestAChangeIsInForceInTimeAfterASilenceThatFollowsAChange(t *testing.T) {
	checkOutages(t, outageParams{count: 1, shortest: time.Second, longest: 2 * time.Second, afterChange: true})
}

// Guards against a silence that nobody detects because all watches after a change have drawn long waits.
func TestAChangeIsInForceInTimeWhenWatchesDrawLongWaits(t *testing.T) {
	checkOutages(t, outageParams{count: 1, shortest: time.Second, longest: 2 * time.Second, afterChange: true, readerCount: 40})
}

// The backoff after unanswered calls grows over repeated outages, and could delay the first call after the last.
func TestAChangeIsInForceInTimeAfterRepeatedOutages(t *testing.T) {
	checkOutages(t, outageParams{count: 4, shortest: time.Millisecond, longest: time.Second})
}

// hangingStore answers no watch; its client times out.
type hangingStore struct{ fakeStore }

func (s *hangingStore) Watch(ctx context.Context, _ crwatch.Scope, _ crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	s.calls++
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// With one timeout for all watches, an unresponsive store is detected late, or a slow one is never read.
func TestEveryOtherWatchOfAnUnresponsiveStoreTimesOutEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed := crfeed.New(crfeed.Options{
			Self: "self", Store: &hangingStore{}, Peers: &fakePeers{}, Readers: func() []crid.Daemon { return []crid.Daemon{"self"} },
			Clock: func() crid.Instant { return start }, ReadersPending: func() bool { return false }, Log: crlog.New(io.Discard, "info", "self"),
		})
		for _, want := range []time.Duration{1700 * time.Millisecond, 2500 * time.Millisecond, 1700 * time.Millisecond} {
			started := time.Now()
			_, _, err := feed.Watch(t.Context(), crwatch.Records, 4, time.Second)
			g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
			g.Expect(time.Since(started)).To(gomega.Equal(want))
		}
	})
}
