package crfeed_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"camphorroad/core/crid"
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
)

// lateness is by how much the last daemon was late with a change.
type lateness struct {
	daemon  crid.Daemon
	version int
	late    time.Duration
}

// outage plays a fleet whose store falls silent once, with changes in series after
// its return, and returns the change that was in force last, by its bound.
func outage(t *testing.T, seed uint64, shortest, longest time.Duration, sizes ...int) lateness {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(sizes...)
	from := f.began.Add(settled + time.Duration(r.Int64N(int64(5*time.Second))))
	until := from.Add(shortest + time.Duration(r.Int64N(int64(longest-shortest))))
	f.store.silences = []silence{{from: from, until: until}}
	var confirmed []time.Time
	at := until.Add(100 * time.Millisecond)
	for at.Before(until.Add(calmTime)) {
		version := len(confirmed) + 2
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
			took := m.took(i + 2)
			if took.IsZero() {
				took = f.began.Add(played)
			}
			if late := took.Sub(due); late > worst.late {
				worst = lateness{m.id, i + 2, late}
			}
		}
	}
	return worst
}

// outages plays a number of outages and reports each in which a change was late.
func outages(t *testing.T, plays int, shortest, longest time.Duration) {
	t.Helper()
	for seed := range uint64(plays) {
		var worst lateness
		synctest.Test(t, func(t *testing.T) { worst = outage(t, seed, shortest, longest, 7, 7, 4, 4) })
		if worst.late > 0 {
			t.Errorf("seed %d: %s had version %d in force %v late", seed, worst.daemon, worst.version, worst.late)
		}
	}
}

// Watches sent into a silent store leave their readers deaf long after its return.
func TestAChangeIsInForceInTimeAfterALongSilence(t *testing.T) {
	outages(t, 20, 4*time.Second, 7*time.Second)
}

// Watches that a short silence swallowed leave their readers deaf until their wait is over.
func TestAChangeIsInForceInTimeAfterAShortSilence(t *testing.T) {
	outages(t, 20, time.Millisecond, 2*time.Second)
}
