package crmesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crregistry"
)

// countViews returns the number of views that events cause, and the last one.
func countViews(s *crmesh.State, events []crevent.Event) (n int, last *crmesh.View) {
	for _, ev := range events {
		for _, v := range views(s.Step(ev)) {
			n, last = n+1, v
		}
	}
	return n, last
}

// withTicks returns a heartbeat of each peer, spread evenly over a duration, and the ticks
// in that time and after it.
func withTicks(peers []crid.Daemon, d time.Duration, storeUnavailable bool) []crevent.Event {
	var out []crevent.Event
	tick := start
	for i, from := range peers {
		now := start.Add(time.Second + d*time.Duration(i)/time.Duration(len(peers)))
		for ; tick < now; tick = tick.Add(100 * time.Millisecond) {
			out = append(out, crevent.Tick{Now: tick})
		}
		out = append(out, received(from, i, now, storeUnavailable))
	}
	return append(out, crevent.Tick{Now: tick}, crevent.Tick{Now: tick.Add(100 * time.Millisecond)})
}

// Guards against daemons that are busy with building views when a third of them lose the store.
func TestReportsOfManyPeersShareViews(t *testing.T) {
	g := gomega.NewWithT(t)
	s, peers := largeState(353)
	n, last := countViews(s, withTicks(peers[:117], time.Second, true))
	g.Expect(n).To(gomega.BeNumerically("<=", 12))
	g.Expect(last).NotTo(gomega.BeNil())
	g.Expect(last.Live).To(gomega.HaveLen(353))
}

// A change of the targets reaches request handling at once, however large the fleet is.
func TestRecordsArePublishedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s, peers := largeState(353)
	s.Step(received(peers[0], 0, start.Add(time.Second), true))
	v := views(s.Step(crmesh.RecordsChanged{Now: start.Add(time.Second), Revision: 6}))
	g.Expect(v).To(gomega.HaveLen(1))
}

// Guards against new daemons that read the store directly until the next heartbeat of a reader.
func TestReaderAnswersNewDaemonAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.3", Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 5}})
	s.Step(crevent.Tick{Now: start})
	restarted := crmesh.HeartbeatReceived{Now: start.Add(10 * time.Millisecond), From: "10.0.0.3", Heartbeat: crmesh.Heartbeat{Incarnation: 2}}
	s.Step(restarted)
	g.Expect(heartbeats(s.Step(crevent.Tick{Now: start.Add(20 * time.Millisecond)}))).To(gomega.Equal([]crid.Daemon{"10.0.0.3"}))
}

// Guards against refusals by owners that do not serve yet.
func TestJoiningDaemonOwnsAccountsFromItsFirstHeartbeat(t *testing.T) {
	g := gomega.NewWithT(t)
	s, _ := largeState(30)
	now := start.Add(time.Minute)
	record := &crregistry.Record{Target: "t30", Service: "booking", Address: "10.9.0.30:80", Domain: "a", Slots: 5}
	v := views(s.Step(crmesh.RecordsChanged{Now: now, Revision: 6, Changes: []crregistry.Change{{Key: "t30", Revision: 6, Record: record}}}))[0]
	g.Expect(v.Owners).NotTo(gomega.ContainElement(crid.Daemon("10.9.0.30")))
	g.Expect(v.Members).To(gomega.ContainElement(crid.Daemon("10.9.0.30")))
	v = views(s.Step(received("10.9.0.30", 29, now.Add(time.Second), false)))[0]
	g.Expect(v.Owners).To(gomega.ContainElement(crid.Daemon("10.9.0.30")))
}

// Guards against new owners that grant the fraction of a lone daemon.
func TestNewOwnerGrantsTheRateToItsPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	v := views(s.Step(recordsListed()))[0]
	g.Expect(v.Live).To(gomega.HaveLen(1))
	g.Expect(v.RateFraction(true)).To(gomega.Equal(1.0))
	g.Expect(v.RateFraction(false)).To(gomega.BeNumerically("<", 0.5))
}

// Guards against owners that never come back after a loss of power.
func TestOwnerWithoutHeartbeatsIsReplacedWhenItDoesNotAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	v := views(s.Step(largeFleet(353)))[0]
	s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.1.0.5", Heartbeat: crmesh.Heartbeat{Incarnation: 1}})
	v = lastView(v, s.Step(crevent.Tick{Now: start.Add(200 * time.Millisecond)}))
	const dead = crid.Daemon("10.1.0.2")
	g.Expect(v.Owners).To(gomega.ContainElement(dead))
	for at := time.Duration(0); at <= 1100*time.Millisecond; at += 100 * time.Millisecond {
		now := start.Add(time.Second + at)
		v = lastView(v, s.Step(crmesh.TokenRequestUnanswered{Now: now, Peer: dead}))
		v = lastView(v, s.Step(crevent.Tick{Now: now}))
	}
	v = lastView(v, s.Step(crevent.Tick{Now: start.Add(2300 * time.Millisecond)}))
	g.Expect(v.Owners).NotTo(gomega.ContainElement(dead))
	g.Expect(v.Members).To(gomega.ContainElement(dead))
	v = lastView(v, s.Step(crmesh.HeartbeatReceived{Now: start.Add(3 * time.Second), From: dead, Heartbeat: crmesh.Heartbeat{Incarnation: 1}}))
	g.Expect(v.Owners).To(gomega.ContainElement(dead))
}

// lastView returns the last view among the effects, or v if there is none.
func lastView(v *crmesh.View, effects []crevent.Effect) *crmesh.View {
	if vs := views(effects); len(vs) > 0 {
		return vs[len(vs)-1]
	}
	return v
}

// Guards against daemons that divide the fleet's limits by fewer daemons than use them, when targets crash and the daemons beside them keep running.
func TestDaemonsWithoutARecordCountForTheSizeOfTheFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	s, peers := largeState(30)
	removed := crmesh.RecordsChanged{Now: start.Add(time.Second), Revision: 6}
	for i := 1; i <= 15; i++ {
		removed.Changes = append(removed.Changes, crregistry.Change{Key: fmt.Sprintf("t%d", i), Revision: 6})
	}
	v := views(s.Step(removed))[0]
	g.Expect(v.Targets["booking"]).To(gomega.HaveLen(15))
	g.Expect(v.Size).To(gomega.Equal(30))
	for at := 2 * time.Second; at <= 12*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		for i, d := range peers[15:] {
			v = lastView(v, s.Step(received(d, i+15, now, false)))
		}
		v = lastView(v, s.Step(crevent.Tick{Now: now}))
	}
	g.Expect(v.Size).To(gomega.Equal(15), "those that sent no heartbeats any more are gone")
}

// Guards against daemons of a large fleet that do not know of a request which ends targets.
func TestEndOfATargetIsToldToAllPeers(t *testing.T) {
	for _, n := range []int{22, 101, 353, 1000} {
		g := gomega.NewWithT(t)
		s, peers := largeState(n)
		for at := time.Second; at < 20*time.Second; at += 100 * time.Millisecond {
			s.Step(crevent.Tick{Now: start.Add(at)})
		}
		now := start.Add(20 * time.Second)
		told := heartbeats(s.Step(crmesh.TargetChanged{Now: now, Ended: true}))
		g.Expect(told).To(gomega.ConsistOf(peers), "at once")
		told = nil
		for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
			told = append(told, heartbeats(s.Step(crevent.Tick{Now: now.Add(at)}))...)
		}
		for _, d := range peers {
			g.Expect(told).To(gomega.ContainElement(d), "again, as a heartbeat may be lost")
		}
	}
}

// Guards against a target that ends again and again, and uses up the processor time of its daemon with heartbeats.
func TestHeartbeatsAfterEndsAreBounded(t *testing.T) {
	const seconds = 40
	sent := func(ended bool) (n int) {
		s, _ := largeState(1000)
		for at := time.Second; at < (1+seconds)*time.Second; at += 100 * time.Millisecond {
			n += len(heartbeats(s.Step(crmesh.TargetChanged{Now: start.Add(at), Ended: ended})))
		}
		return n
	}
	extra := sent(true) - sent(false)
	gomega.NewWithT(t).Expect(extra).To(gomega.BeNumerically("<=", seconds*250+1000), "what a daemon of a large fleet sends anyway")
}
