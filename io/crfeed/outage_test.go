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
	// applyTime is the time in which a confirmed change has to be in force.
	applyTime = 2 * time.Second
	// calmTime is the time after a disruption in which none is owed.
	calmTime = 3 * time.Second
	// settled is when a fleet that has just started has found its readers.
	settled = 12 * time.Second
	// played is the time of a play.
	played = 35 * time.Second
	// gathered is the time from a change to a silence that swallows the watches after it.
	gathered = 450 * time.Millisecond
	// plays is the number of plays of a test.
	plays = 20
)

// Versions: the first is in force at the start.
const (
	changedBefore = 2
	firstAfter    = 3
)

// lateness is by how much the last daemon was late with a change.
type lateness struct {
	daemon  crid.Daemon
	version int
	late    time.Duration
}

// trouble is how often, and for how long, a store falls silent.
type trouble struct {
	times             int
	shortest, longest time.Duration
	changed           bool // a change comes just before, and only the watches after it are lost
}

// silences draws the times in which the store is silent.
func (o trouble) silences(r *rand.Rand, began time.Time) []silence {
	draw := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	at := began.Add(draw(settled, settled+5*time.Second))
	out := make([]silence, 0, o.times)
	for range o.times {
		until := at.Add(draw(o.shortest, o.longest))
		out = append(out, silence{from: at, until: until, spares: o.changed})
		at = until.Add(draw(0, 2*time.Second))
	}
	return out
}

// outage plays a fleet whose store falls silent, with changes in series after its
// return, and returns the change that was in force last, by its bound.
func outage(t *testing.T, seed uint64, o trouble, sizes ...int) lateness {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(sizes...)
	f.store.silences = o.silences(r, f.began)
	until := f.store.silences[o.times-1].until
	if o.changed {
		time.AfterFunc(time.Until(f.store.silences[0].from.Add(-gathered)), func() { f.store.publish(changedBefore) })
	}
	var confirmed []time.Time
	at := until.Add(100 * time.Millisecond)
	for at.Before(until.Add(calmTime)) {
		version := len(confirmed) + firstAfter
		confirmed = append(confirmed, at)
		time.AfterFunc(time.Until(at), func() { f.store.publish(version) })
		at = at.Add(50*time.Millisecond + time.Duration(r.Int64N(int64(time.Second))))
	}
	f.run(t, played)
	worst := lateness{late: -played}
	for i, at := range confirmed {
		due := at.Add(applyTime)
		if calm := until.Add(calmTime); due.Before(calm) {
			due = calm
		}
		for _, m := range f.members {
			took := m.took(i + firstAfter)
			if took.IsZero() {
				took = f.began.Add(played)
			}
			if late := took.Sub(due); late > worst.late {
				worst = lateness{m.id, i + firstAfter, late}
			}
		}
	}
	return worst
}

// outages plays a number of outages and reports each in which a change was late.
func outages(t *testing.T, o trouble) {
	t.Helper()
	for seed := range uint64(plays) {
		var worst lateness
		synctest.Test(t, func(t *testing.T) { worst = outage(t, seed, o, 7, 7, 4, 4) })
		if worst.late > 0 {
			t.Errorf("seed %d: %s had version %d in force %v late", seed, worst.daemon, worst.version, worst.late)
		}
	}
}

// Watches sent into a silent store leave their readers deaf long after its return.
func TestAChangeIsInForceInTimeAfterALongSilence(t *testing.T) {
	outages(t, trouble{times: 1, shortest: 4 * time.Second, longest: 7 * time.Second})
}

// Watches that a short silence swallowed leave their readers deaf until their wait is over.
func TestAChangeIsInForceInTimeAfterAShortSilence(t *testing.T) {
	outages(t, trouble{times: 1, shortest: time.Millisecond, longest: 2 * time.Second})
}

// A change ends all watches at one moment, and a silence right after it swallows all those that follow.
func TestAChangeIsInForceInTimeAfterASilenceBehindAChange(t *testing.T) {
	outages(t, trouble{times: 1, shortest: time.Second, longest: 2 * time.Second, changed: true})
}

// Pauses after each silent call add up while the store falls silent again and again.
func TestAChangeIsInForceInTimeAfterSilencesInSeries(t *testing.T) {
	outages(t, trouble{times: 4, shortest: time.Millisecond, longest: time.Second})
}

// hang answers no watch for as long as its client waits.
type hang struct{ store }

func (h *hang) Watch(ctx context.Context, _ crwatch.Scope, _ crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	h.calls++
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// A silent store is noticed late, or a slow one never read, if all watches are given the same time.
func TestEachOtherWatchOfASilentStoreIsGivenUpEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed := crfeed.New(crfeed.Options{
			Self: "self", Store: &hang{}, Peers: &peers{}, Readers: func() []crid.Daemon { return []crid.Daemon{"self"} },
			Clock: func() crid.Instant { return start }, PeersPending: func() bool { return false }, Log: crlog.New(io.Discard, "info", "self"),
		})
		for _, took := range []time.Duration{1700 * time.Millisecond, 2500 * time.Millisecond, 1700 * time.Millisecond} {
			began := time.Now()
			_, _, err := feed.Watch(t.Context(), crwatch.Records, 4, time.Second)
			g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
			g.Expect(time.Since(began)).To(gomega.Equal(took))
		}
	})
}
