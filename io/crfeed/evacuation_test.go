package crfeed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
)

const (
	// calmEvacuationTime is the time within which an evacuation, or its end, has to be in
	// force while the store serves all daemons.
	calmEvacuationTime = 2 * time.Second
	// evacuationTime is that time for daemons which the store does not serve.
	evacuationTime = 5 * time.Second
)

func evacuated(v *crmesh.View, d crid.Domain) bool {
	for _, e := range v.Evacuations {
		if e.Domain == d {
			return true
		}
	}
	return false
}

// expectEvacuation checks at an instant of virtual time that all daemons agree.
func (f *fleet) expectEvacuation(t *testing.T, after time.Duration, d crid.Domain, want bool) {
	time.AfterFunc(after, func() {
		for _, m := range f.members {
			v := m.view.Load()
			if evacuated(v, d) != want {
				t.Errorf("after %v: %s has the evacuation of %s: %t", after, m.id, d, !want)
			}
			for _, c := range v.Targets["s"] {
				if c.Domain == d && want {
					t.Errorf("after %v: %s may send requests to %s", after, m.id, c.Target)
				}
			}
			if v.OwnEvacuated != (want && m.domain == d) {
				t.Errorf("after %v: %s takes its own domain for evacuated: %t", after, m.id, v.OwnEvacuated)
			}
		}
	})
}

func TestEvacuationIsInForceAtAllDaemonsInTime(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(7, 7, 4, 4)
			start := startupTime + time.Duration(seed)*37*time.Millisecond
			time.AfterFunc(start, func() { f.store.evacuate("d1", false) })
			f.expectEvacuation(t, start+calmEvacuationTime, "d1", true)
			time.AfterFunc(start+4*time.Second, func() { f.store.evacuate("d1", true) })
			f.expectEvacuation(t, start+4*time.Second+calmEvacuationTime, "d1", false)
			f.run(t, runTime)
		})
	}
}

// Guards against an evacuation that only the daemons learn of which the store serves.
func TestEvacuationReachesDaemonsThatTheStoreRejects(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(7, 7, 4, 4)
			rejected := make(map[crid.Daemon]bool)
			for id, m := range f.members {
				rejected[id] = m.domain == "d1" || m.domain == "d2"
			}
			start := startupTime + time.Duration(seed)*37*time.Millisecond
			f.store.outages = []outage{{from: f.started.Add(start - time.Second), until: f.started.Add(start + 12*time.Second), only: rejected}}
			time.AfterFunc(start, func() { f.store.evacuate("d1", false) })
			f.expectEvacuation(t, start+evacuationTime, "d1", true)
			time.AfterFunc(start+6*time.Second, func() { f.store.evacuate("d1", true) })
			f.expectEvacuation(t, start+6*time.Second+evacuationTime, "d1", false)
			f.run(t, runTime)
		})
	}
}

// Guards against an evacuation that stays in force since it ended during an outage of the store.
func TestEvacuationThatEndsDuringAnOutageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, 7, 4, 4)
		until := startupTime + 9*time.Second
		f.store.outages = []outage{{from: f.started.Add(startupTime + 3*time.Second), until: f.started.Add(until)}}
		time.AfterFunc(startupTime, func() { f.store.evacuate("d1", false) })
		time.AfterFunc(startupTime+5*time.Second, func() { f.store.evacuate("d1", true) })
		f.expectEvacuation(t, startupTime+8*time.Second, "d1", true)
		f.expectEvacuation(t, until+recoveryTime+calmEvacuationTime, "d1", false)
		f.run(t, runTime)
	})
}

// Guards against a daemon that starts during an evacuation and sends requests there.
func TestNewDaemonKnowsTheEvacuationFromItsFirstList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 3)
		f.store.evacuate("d0", false)
		f.expectEvacuation(t, startupTime, "d0", true)
		f.run(t, startupTime+time.Second)
		for _, m := range f.members {
			gomega.NewWithT(t).Expect(m.view.Load().Targets["s"]).To(gomega.HaveLen(3))
		}
	})
}
