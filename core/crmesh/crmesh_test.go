package crmesh_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplan"
	"camphorroad/core/crregistry"
)

const start = crid.Instant(time.Hour)

func params() crmesh.Params {
	return crmesh.Params{
		Self: "10.0.0.1", Domain: "a", Service: "booking", Address: "10.0.0.1:80", Seeds: []crid.Daemon{"10.0.0.9"},
		LocalInterval: 400 * time.Millisecond, RemoteInterval: time.Second, RecordGrace: 1700 * time.Millisecond,
	}
}

func plan(t *testing.T, version uint64) *crplan.Plan {
	t.Helper()
	p, err := crplan.New(version, nil, nil, nil, crplan.Limits{})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

func recordsListed() crmesh.RecordsListed {
	ev := crmesh.RecordsListed{Now: start, Revision: 5}
	for i := 1; i <= 3; i++ {
		domain := crid.Domain("a")
		if i%2 == 0 {
			domain = "b"
		}
		ev.Changes = append(ev.Changes, crregistry.Change{
			Key: fmt.Sprintf("t%d", i), Revision: 5,
			Record: &crregistry.Record{
				Target: crid.Target(fmt.Sprintf("t%d", i)), Service: "booking", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: domain, Slots: 4,
			},
		})
	}
	return ev
}

func views(effects []crevent.Effect) []*crmesh.View {
	var out []*crmesh.View
	for _, e := range effects {
		if v, ok := e.(crmesh.PublishView); ok {
			out = append(out, v.View)
		}
	}
	return out
}

func pulls(effects []crevent.Effect) []crid.Daemon {
	var out []crid.Daemon
	for _, e := range effects {
		if p, ok := e.(crmesh.Pull); ok {
			out = append(out, p.From)
		}
	}
	return out
}

func renewals(effects []crevent.Effect) int {
	n := 0
	for _, e := range effects {
		if _, ok := e.(crmesh.RenewWatches); ok {
			n++
		}
	}
	return n
}

func heartbeats(effects []crevent.Effect) []crid.Daemon {
	var out []crid.Daemon
	for _, e := range effects {
		if b, ok := e.(crmesh.SendHeartbeats); ok {
			out = append(out, b.To...)
		}
	}
	return out
}

// A lagging store or peer delivers an older plan after a newer one. If it came into
// force, a withdrawn key would work again.
func TestOlderPlanIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	g.Expect(views(s.Step(crmesh.PlanReceived{Now: start, Plan: plan(t, 7)}))).To(gomega.HaveLen(1))
	g.Expect(s.Step(crmesh.PlanReceived{Now: start, Plan: plan(t, 5)})).To(gomega.BeEmpty())
	g.Expect(s.Step(crmesh.PlanReceived{Now: start, Plan: plan(t, 7)})).To(gomega.BeEmpty())
	v := views(s.Step(crmesh.PlanReceived{Now: start, Plan: plan(t, 8)}))
	g.Expect(v[0].Plan.Version()).To(gomega.Equal(uint64(8)))
}

func TestRecordsNamePeersAndOwnTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	v := views(s.Step(recordsListed()))[0]
	g.Expect(v.Targets["booking"]).To(gomega.HaveLen(3))
	g.Expect(v.OwnRecord.Target).To(gomega.Equal(crid.Target("t1")))
	g.Expect(v.Size).To(gomega.Equal(4), "itself, two peers and the seed")
}

// The store does not answer this daemon while a peer reads a newer plan. Without the
// peer's copy, a withdrawn key would go on working.
func TestNewerPlanIsPulledFromPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(crmesh.PlanReceived{Now: start, Plan: plan(t, 7)})
	s.Step(recordsListed())
	s.Step(crmesh.StoreUnavailable{Now: start})
	newer := crmesh.Heartbeat{PlanVersion: 9, RecordRevision: 5}
	g.Expect(pulls(s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.2", Heartbeat: newer}))).To(gomega.BeEmpty())
	g.Expect(pulls(s.Step(crmesh.HeartbeatReceived{Now: start.Add(700 * time.Millisecond), From: "10.0.0.2", Heartbeat: newer}))).
		To(gomega.Equal([]crid.Daemon{"10.0.0.2"}))
	g.Expect(pulls(s.Step(crevent.Tick{Now: start.Add(800 * time.Millisecond)}))).To(gomega.BeEmpty(), "not again at once")
	g.Expect(pulls(s.Step(crevent.Tick{Now: start.Add(1200 * time.Millisecond)}))).To(gomega.HaveLen(1))
}

// Copies are large, and bytes between domains are expensive.
func TestPullPrefersTheSameDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	newer := crmesh.Heartbeat{PlanVersion: 9, RecordRevision: 5}
	s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.3", Heartbeat: newer})
	s.Step(crmesh.HeartbeatReceived{Now: start.Add(100 * time.Millisecond), From: "10.0.0.2", Heartbeat: newer})
	g.Expect(pulls(s.Step(crevent.Tick{Now: start.Add(800 * time.Millisecond)}))).To(gomega.Equal([]crid.Daemon{"10.0.0.3"}))
}

// Every change reaches the daemons a few milliseconds apart. If each daemon that a
// heartbeat reaches before the change pulled it, each change would cost a full copy.
func TestNoPullIfTheStoreCatchesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(crmesh.PlanReceived{Now: start, Plan: plan(t, 7)})
	s.Step(recordsListed())
	s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.2", Heartbeat: crmesh.Heartbeat{PlanVersion: 9, RecordRevision: 6}})
	s.Step(crmesh.PlanReceived{Now: start.Add(400 * time.Millisecond), Plan: plan(t, 9)})
	s.Step(crmesh.RecordsChanged{Now: start.Add(400 * time.Millisecond), Revision: 6})
	g.Expect(pulls(s.Step(crevent.Tick{Now: start.Add(time.Second)}))).To(gomega.BeEmpty())
}

// A peer's machine fails, and its target's record expires only later. No requests must be
// offered to the target in between.
func TestPeerWithoutHeartbeatsIsUnresponsive(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	v := views(s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.3", Heartbeat: crmesh.Heartbeat{Target: "t3"}}))[0]
	g.Expect(v.Live).To(gomega.Equal([]crid.Daemon{"10.0.0.1", "10.0.0.3"}))
	for _, early := range views(s.Step(crevent.Tick{Now: start.Add(1100 * time.Millisecond)})) {
		g.Expect(early.Live).To(gomega.Equal([]crid.Daemon{"10.0.0.1", "10.0.0.3"}))
		g.Expect(early.Unresponsive).To(gomega.BeEmpty())
	}
	v = views(s.Step(crevent.Tick{Now: start.Add(1300 * time.Millisecond)}))[0]
	g.Expect(v.Unresponsive).To(gomega.HaveKey(crid.Daemon("10.0.0.3")))
	g.Expect(v.Live).To(gomega.Equal([]crid.Daemon{"10.0.0.1"}))
}

func TestHeartbeatIntervalDependsOnDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	count := map[crid.Daemon]int{}
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		for _, d := range heartbeats(s.Step(crevent.Tick{Now: start.Add(at)})) {
			count[d]++
		}
	}
	g.Expect(count["10.0.0.3"]).To(gomega.Equal(25), "same domain")
	g.Expect(count["10.0.0.2"]).To(gomega.Equal(10), "another domain")
}

// A target becomes unhealthy between two heartbeats. If this were sent only with the next
// one, each peer would lose a request there.
func TestTargetChangeSendsUrgentHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	s.Step(crevent.Tick{Now: start})
	g.Expect(heartbeats(s.Step(crmesh.TargetChanged{Now: start.Add(60 * time.Millisecond)}))).To(gomega.HaveLen(3))
	g.Expect(heartbeats(s.Step(crmesh.TargetChanged{Now: start.Add(70 * time.Millisecond)}))).To(gomega.BeEmpty())
	g.Expect(heartbeats(s.Step(crevent.Tick{Now: start.Add(120 * time.Millisecond)}))).To(gomega.HaveLen(3), "the deferred heartbeats")
}

// A process that starts during an outage of the store has only its seeds as peers, and
// pulls plan and records from them.
func TestNewDaemonPullsFromSeeds(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	g.Expect(heartbeats(s.Step(crevent.Tick{Now: start}))).To(gomega.Equal([]crid.Daemon{"10.0.0.9"}))
	s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.9", Heartbeat: crmesh.Heartbeat{PlanVersion: 3, RecordRevision: 4}})
	g.Expect(pulls(s.Step(crevent.Tick{Now: start.Add(700 * time.Millisecond)}))).To(gomega.Equal([]crid.Daemon{"10.0.0.9"}))
}

func largeFleet(n int) crmesh.RecordsListed {
	ev := crmesh.RecordsListed{Now: start, Revision: 2}
	for i := range n {
		domain := crid.Domain("a")
		if i%4 != 0 {
			domain = "b"
		}
		ev.Changes = append(ev.Changes, crregistry.Change{Key: fmt.Sprint(i), Revision: 2, Record: &crregistry.Record{
			Target: crid.Target(fmt.Sprint(i)), Service: "booking", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250+1), Domain: domain, Slots: 4,
		}})
	}
	return ev
}

// Peers of another domain: one that offers requests all the time, and one that offers
// none.
const offeringPeer, idlePeer = "10.1.0.2", "10.1.0.3"

// remoteHeartbeats runs half a minute of a daemon in a fleet of n daemons, and counts the
// heartbeats to the two remote peers.
func remoteHeartbeats(n int) (s *crmesh.State, offering, idle int) {
	s = crmesh.New(params())
	s.Step(largeFleet(n))
	count := map[crid.Daemon]int{}
	for at := time.Duration(0); at < 30*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		s.Step(crmesh.OfferReceived{Now: now, From: offeringPeer})
		for _, d := range heartbeats(s.Step(crevent.Tick{Now: now})) {
			count[d]++
		}
	}
	return s, count[offeringPeer], count[idlePeer]
}

// timesUnresponsive runs a daemon of a fleet of n daemons and 20 peers of another domain for five
// minutes, and returns how often it counted one of them as unresponsive.
func timesUnresponsive(n int) int {
	const receiver = crid.Daemon("10.1.0.1")
	senders := make(map[crid.Daemon]*crmesh.State)
	for i := 2; len(senders) < 20; i++ {
		if i%4 == 1 {
			continue // a daemon of the receiver's domain
		}
		p := params()
		p.Self, p.Domain, p.Seeds = crid.Daemon(fmt.Sprintf("10.1.0.%d", i)), "b", nil
		senders[p.Self] = crmesh.New(p)
		senders[p.Self].Step(largeFleet(n))
	}
	p := params()
	p.Self, p.Seeds = receiver, nil
	s := crmesh.New(p)
	s.Step(largeFleet(n))
	count := 0
	for at := time.Duration(0); at < 5*time.Minute; at += 100 * time.Millisecond {
		now := start.Add(at)
		effects := s.Step(crevent.Tick{Now: now})
		for d, sender := range senders {
			if slices.Contains(heartbeats(sender.Step(crevent.Tick{Now: now})), receiver) {
				effects = append(effects, s.Step(crmesh.HeartbeatReceived{Now: now, From: d, Heartbeat: crmesh.Heartbeat{Incarnation: 1}})...)
			}
		}
		for _, v := range views(effects) {
			for d := range senders {
				if v.Unresponsive[d] {
					count++
				}
			}
		}
	}
	return count
}

// Heartbeats between all pairs grow with the square of the fleet's size, and bytes between
// domains are expensive. In a large fleet only peers that offer requests get them often.
func TestLargeFleetSendsOftenOnlyToOfferingRemotePeers(t *testing.T) {
	g := gomega.NewWithT(t)
	s, offering, idle := remoteHeartbeats(300)
	g.Expect(offering).To(gomega.BeNumerically(">=", 23))
	g.Expect(idle).To(gomega.BeNumerically("<=", 5))
	g.Expect(timesUnresponsive(300)).To(gomega.BeZero(), "of daemons that run")
	urgent := heartbeats(s.Step(crmesh.TargetChanged{Now: start.Add(30050 * time.Millisecond)}))
	g.Expect(urgent).To(gomega.ContainElement(crid.Daemon(offeringPeer)))
	g.Expect(urgent).NotTo(gomega.ContainElement(crid.Daemon(idlePeer)))
}

// Without a limit, heartbeats would use up a daemon's processor in a large fleet.
func TestHeartbeatRateOfLargeFleetIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(largeFleet(1000))
	n := 0
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		n += len(heartbeats(s.Step(crevent.Tick{Now: start.Add(at)})))
	}
	g.Expect(n).To(gomega.BeNumerically("<=", 20*250+1000))
}

// A change reaches one daemon of a domain first. If all others pulled it there at one
// time, its link would be saturated and most would get nothing in time.
func TestPullsAreSpreadOverNewerPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	from := make(map[crid.Daemon]int)
	for i := range 200 {
		p := params()
		p.Self, p.Seeds = crid.Daemon(fmt.Sprintf("10.9.0.%d", i)), nil
		s := crmesh.New(p)
		s.Step(recordsListed())
		for j := 1; j <= 3; j += 2 {
			s.Step(crmesh.HeartbeatReceived{Now: start, From: crid.Daemon(fmt.Sprintf("10.0.0.%d", j)), Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 9}})
		}
		for _, d := range pulls(s.Step(crevent.Tick{Now: start.Add(800 * time.Millisecond)})) {
			from[d]++
		}
	}
	g.Expect(from).To(gomega.HaveLen(2))
	g.Expect(from["10.0.0.1"]).To(gomega.BeNumerically("~", 100, 40))
}

// The first peer does not answer. A later attempt goes to another one.
func TestFailedPullIsRetriedAtAnotherPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	p := params()
	p.Self = "10.0.0.7"
	s := crmesh.New(p)
	s.Step(recordsListed())
	for j := 1; j <= 3; j += 2 {
		s.Step(crmesh.HeartbeatReceived{Now: start, From: crid.Daemon(fmt.Sprintf("10.0.0.%d", j)), Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 9}})
	}
	from := make(map[crid.Daemon]bool)
	for now := start.Add(100 * time.Millisecond); now < start.Add(5*time.Second); now = now.Add(100 * time.Millisecond) {
		for _, d := range pulls(s.Step(crevent.Tick{Now: now})) {
			from[d] = true
		}
		for j := 1; j <= 3; j += 2 {
			s.Step(crmesh.HeartbeatReceived{Now: now, From: crid.Daemon(fmt.Sprintf("10.0.0.%d", j)), Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 9}})
		}
	}
	g.Expect(from).To(gomega.HaveLen(2))
}

// A restarted daemon lists the records at a later revision than its peers, though only
// the configuration has changed. If it sent that revision, all daemons would pull the
// records from it: 750 pulls in half a minute for a rolling restart of 88 daemons.
func TestListingAtLaterRevisionCausesNoPull(t *testing.T) {
	g := gomega.NewWithT(t)
	p := params()
	p.Self = "10.0.0.3"
	restarted := crmesh.New(p)
	ev := recordsListed()
	ev.Revision = 60
	restarted.Step(ev)
	var sent []crid.Revision
	for _, eff := range restarted.Step(crevent.Tick{Now: start}) {
		if b, ok := eff.(crmesh.SendHeartbeats); ok {
			sent = append(sent, b.RecordRevision)
		}
	}
	g.Expect(sent).NotTo(gomega.BeEmpty())
	s := crmesh.New(params())
	s.Step(recordsListed())
	s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.3", Heartbeat: crmesh.Heartbeat{Incarnation: 2, RecordRevision: sent[0]}})
	g.Expect(pulls(s.Step(crevent.Tick{Now: start.Add(time.Second)}))).To(gomega.BeEmpty())
}

// In a fleet of a hundred, most bytes between domains are heartbeats to peers without
// offers. Those get few a minute, and peers with offers as many as in a small fleet.
func TestFleetOfHundredSendsSeldomToIdleRemotePeers(t *testing.T) {
	g := gomega.NewWithT(t)
	_, offering, idle := remoteHeartbeats(100)
	g.Expect(offering).To(gomega.BeNumerically(">=", 23))
	g.Expect(idle).To(gomega.BeNumerically("<=", 6))
	g.Expect(timesUnresponsive(300)).To(gomega.BeZero(), "of daemons that run")
}
