package crmember

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

func startedCluster(without guard, list crinstance.List) *cluster {
	c := newCluster(without, 1)
	c.startAll(list)
	c.run(4 * time.Second)
	return c
}

// Each case lets a daemon act under an old list while others act under a newer one,
// unless one rule prevents it. An account would get more than its rate, since two sets
// of daemons grant tokens for it.
func TestEachGuardPreventsAnOverlap(t *testing.T) {
	cases := map[string]struct {
		without guard
		run     func(*cluster)
	}{
		"delayed heartbeats":              {guardSendTime, delayedHeartbeats},
		"resumed process":                 {guardSendTime, resumedProcess},
		"chained lists":                   {guardIntermediateLists, chainedLists},
		"acknowledgement lost in restart": {guardRecovery, acknowledgementLostInRestart},
		"handover without wait":           {guardExpiryWait, handoverWithoutWait},
		"unconfirmed acknowledgements":    {guardReconfirm, unconfirmedAcknowledgements},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for _, without := range []guard{0, tc.without} {
				c := startedCluster(without, newList(1, "a", "b", "c", "d", "e"))
				g.Expect(c.leaseHolders()).To(gomega.HaveLen(5))
				tc.run(c)
				if without == 0 {
					g.Expect(c.overlaps).To(gomega.BeEmpty())
					continue
				}
				g.Expect(c.overlaps).NotTo(gomega.BeEmpty(), "the check must be able to fail")
			}
		})
	}
}

// The heartbeats of c, d and e to a are delayed for some seconds, while all but a adopt a
// list without a. They must not renew the lease of a when they arrive.
func delayedHeartbeats(c *cluster) {
	for _, d := range daemons("c", "d", "e") {
		c.delays[link{d, "a"}] = 6 * time.Second
		c.cuts[link{"a", d}] = true
	}
	c.partition(daemons("a"), daemons("b"))
	c.run(time.Second)
	for _, d := range daemons("b", "c", "d", "e") {
		c.deliverList(d, newList(2, "b", "c", "d", "e"))
	}
	c.run(10 * time.Second)
}

// Daemon a is suspended and the others replace it. It resumes with a queue of
// heartbeats from before the change.
func resumedProcess(c *cluster) {
	c.nodes["a"].suspended = true
	c.run(time.Second)
	c.partition(daemons("a"), daemons("b", "c", "d", "e"))
	for _, d := range daemons("b", "c", "d", "e") {
		c.deliverList(d, newList(2, "b", "c", "d", "e"))
	}
	c.run(10 * time.Second)
	c.resume("a")
	c.run(time.Second)
}

// List 2 becomes active with the acknowledgements of a, b and c. Then c adopts list 3
// with d and e, which never received list 2. These three are a majority of list 1. The
// daemons of list 2 are cut off from them and still acknowledge it.
func chainedLists(c *cluster) {
	added := daemons("x", "y", "z")
	for _, d := range added {
		c.start(d)
	}
	c.partition(daemons("d", "e"), daemons("a", "b", "c", "x", "y", "z"))
	second := newList(2, "a", "b", "x", "y", "z")
	for _, d := range daemons("a", "b", "c", "x", "y", "z") {
		c.deliverList(d, second)
	}
	c.cuts[link{"a", "c"}] = true
	c.cuts[link{"b", "c"}] = true
	c.run(time.Second)
	clear(c.cuts)
	c.partition(daemons("a", "b", "x", "y", "z"), daemons("c", "d", "e"))
	for _, d := range daemons("c", "d", "e") {
		c.deliverList(d, newList(3, "c", "d", "e"))
	}
	c.run(10 * time.Second)
}

// The others make list 2 active while a and e are cut off. Then b restarts with list 1
// and reaches only a and e, whose majority it would complete.
func acknowledgementLostInRestart(c *cluster) {
	c.partition(daemons("a", "e"), daemons("b", "c", "d"))
	for _, d := range daemons("b", "c", "d") {
		c.deliverList(d, newList(2, "b", "c", "d"))
	}
	c.run(6 * time.Second)
	clear(c.cuts)
	c.partition(daemons("a", "e", "b"), daemons("c", "d"))
	c.start("b")
	c.deliverList("b", newList(1, "a", "b", "c", "d", "e"))
	c.run(5 * time.Second)
}

// All but a adopt list 2 just after they acknowledged list 1 to a.
func handoverWithoutWait(c *cluster) {
	c.partition(daemons("a"), daemons("b", "c", "d", "e"))
	for _, d := range daemons("b", "c", "d", "e") {
		c.deliverList(d, newList(2, "b", "c", "d", "e"))
	}
	c.run(5 * time.Second)
}

// Daemon a acknowledges list 2 to e, restarts with list 1, and recovers from b, c and d,
// which adopt list 2 only then. By the heartbeats at e, all daemons acknowledge list 2.
func unconfirmedAcknowledgements(c *cluster) {
	second := newList(2, "a", "b", "c", "d", "e")
	c.partition(daemons("a", "e"), daemons("b", "c", "d"))
	c.deliverList("e", second)
	c.deliverList("a", second)
	c.run(400 * time.Millisecond)
	c.start("a")
	clear(c.cuts)
	c.partition(daemons("e"), daemons("a", "b", "c", "d"))
	c.packets = nil
	c.deliverList("a", newList(1, "a", "b", "c", "d", "e"))
	c.run(400 * time.Millisecond)
	clear(c.cuts)
	c.partition(daemons("a"), daemons("b", "c", "d", "e"))
	for _, d := range daemons("b", "c", "d") {
		c.deliverList(d, second)
	}
	c.run(5 * time.Second)
}

// A link is cut from a to b only. Without detection at a, it would go on sending
// requests whose answers never come.
func TestOneWayCutIsDetectedOnBothSides(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c"))
	g.Expect(c.nodes["a"].peers["b"].Reachable).To(gomega.BeTrue())
	c.cuts[link{"a", "b"}] = true
	c.run(2300 * time.Millisecond)
	g.Expect(c.nodes["a"].peers["b"].Reachable).To(gomega.BeFalse())
	g.Expect(c.nodes["b"].peers["a"].Reachable).To(gomega.BeFalse())
	g.Expect(c.leaseHolders()).To(gomega.HaveLen(3))
}

// After a power failure no daemon holds any list. Requests are refused until the expiry
// wait is over, and served from then on.
func TestColdStartOfAllAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(0, 1)
	c.startAll(newList(1, "a", "b", "c", "d", "e"))
	c.run(2 * time.Second)
	g.Expect(c.leaseHolders()).To(gomega.BeEmpty())
	c.run(time.Second)
	g.Expect(c.leaseHolders()).To(gomega.HaveLen(5))
}

// The platform is down for ten minutes, and no list arrives.
func TestPlatformOutageKeepsLeases(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c"))
	for range 600 {
		c.run(time.Second)
		g.Expect(c.leaseHolders()).To(gomega.HaveLen(3))
	}
}

// A daemon that is cut off does not receive which keys were withdrawn. It has to refuse
// requests after the contact timeout, while the others go on.
func TestIsolatedDaemonLosesLease(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c"))
	c.partition(daemons("a"), daemons("b", "c"))
	c.run(c.params.ContactTimeout)
	g.Expect(c.leaseHolders()).To(gomega.Equal(daemons("b", "c")))
	clear(c.cuts)
	c.run(500 * time.Millisecond)
	g.Expect(c.leaseHolders()).To(gomega.HaveLen(3))
}

// The platform's list lags by minutes. If the peers had to wait for it, they would send a
// leaving daemon requests that it refuses.
func TestLeavingIsAnnouncedImmediately(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c"))
	c.step("a", crevent.Stopping{Now: c.nodes["a"].clock(c.now)})
	c.run(10 * time.Millisecond)
	g.Expect(c.nodes["b"].peers["a"].Leaving).To(gomega.BeTrue())
	c.start("a")
	c.deliverList("a", newList(1, "a", "b", "c"))
	c.run(time.Second)
	g.Expect(c.nodes["b"].peers["a"].Leaving).To(gomega.BeFalse())
	g.Expect(c.hasLease("a")).To(gomega.BeTrue())
}

// No daemon has a lease during a handover. It takes a few heartbeats if every daemon
// answers, and the expiry wait if one does not, which might be cut off and still act.
func TestHandoverGap(t *testing.T) {
	cases := map[string]struct {
		suspendOne bool
		bound      time.Duration
	}{
		"all answer":    {false, time.Second},
		"one suspended": {true, 3 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := startedCluster(0, newList(1, "a", "b", "c", "d", "e"))
			c.nodes["e"].suspended = tc.suspendOne
			c.run(5 * time.Second)
			c.start("f")
			second := newList(2, "a", "b", "c", "d", "f")
			c.deliverList("f", second)
			c.deliverList("a", second)
			gap := time.Duration(0)
			for len(c.leaseHolders()) < 5 {
				c.run(10 * time.Millisecond)
				gap += 10 * time.Millisecond
				g.Expect(gap).To(gomega.BeNumerically("<", tc.bound))
			}
			t.Logf("gap at a list change: %v", gap)
			g.Expect(c.overlaps).To(gomega.BeEmpty())
		})
	}
}

// A daemon that is cut off reads many lists and can complete no handover. Its memory must
// not grow without bound.
func TestListsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c"))
	c.partition(daemons("a"), daemons("b", "c"))
	for rev := range crid.Revision(40) {
		for _, d := range c.names() {
			c.deliverList(d, newList(rev+2, "a", "b", "c"))
		}
		c.run(3 * time.Second)
	}
	g.Expect(len(c.nodes["a"].state.revs)).To(gomega.BeNumerically("<=", 2))
	for rev := range crid.Revision(100) {
		lists := []ListData{{Rev: rev + 100}}
		ev := crevent.Received{Now: c.nodes["a"].state.now, From: "b", Msg: ListResponse{Lists: lists}}
		c.nodes["a"].state.Step(ev)
	}
	g.Expect(c.nodes["a"].state.revs).To(gomega.HaveLen(c.params.MaxLists))
}

// A daemon that was cut off during many list changes hands over to the newest one
// without the lists between.
func TestReconnectedDaemonSkipsLists(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c"))
	c.partition(daemons("a"), daemons("b", "c"))
	for rev := range crid.Revision(40) {
		for _, d := range c.names() {
			c.deliverList(d, newList(rev+2, "a", "b", "c"))
		}
		c.run(3 * time.Second)
	}
	clear(c.cuts)
	c.run(2 * time.Second)
	g.Expect(c.leaseHolders()).To(gomega.HaveLen(3))
	g.Expect(c.nodes["a"].lease.Active).To(gomega.Equal(crid.Revision(41)))
	g.Expect(c.overlaps).To(gomega.BeEmpty())
}

// Most voters of the new list have just started, and too few others are left to recover
// from. They must not wait for ever.
func TestMostVotersReplacedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c", "d", "e"))
	second := newList(2, "a", "b", "x", "y", "z")
	for _, d := range daemons("x", "y", "z") {
		c.start(d)
	}
	for _, d := range c.names() {
		c.deliverList(d, second)
	}
	c.run(5 * time.Second)
	g.Expect(c.leaseHolders()).To(gomega.Equal(daemons("a", "b", "x", "y", "z")))
	g.Expect(c.overlaps).To(gomega.BeEmpty())
}

// A daemon that no list names, for example one of another fleet, sends messages. They
// must not change the state of this daemon.
func TestUnknownSenderIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c"))
	s := c.nodes["a"].state
	heartbeat := Heartbeat{Seq: 1, Incarnation: 9, Newest: 7, LastActive: 7}
	for _, msg := range []crevent.Message{heartbeat, ListRequest{}, ListResponse{Lists: []ListData{{Rev: 9}}}} {
		ev := crevent.Received{Now: s.now, From: "unlisted", Msg: msg}
		g.Expect(s.Step(ev)).To(gomega.BeEmpty())
	}
	g.Expect(s.newest).To(gomega.Equal(crid.Revision(1)))
}

// If replies were answered, more and more sampled pairs would exchange heartbeats, until
// they used up a daemon's allowance of control traffic.
func TestHeartbeatsStayBoundedInLargeFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	names := daemonNames(48)
	list := newList(1, names...)
	c := newCluster(0, 1)
	c.startAll(list)
	c.run(6 * time.Second)
	g.Expect(c.leaseHolders()).To(gomega.HaveLen(48))
	voters := heldList{voters: Voters(list, 0, c.params.MaxVoters)}
	for _, d := range names {
		if voters.hasVoter(d) {
			continue
		}
		c.nodes[d].sent = nil
		c.run(2 * time.Second)
		perRound := c.params.MaxVoters + 3*c.params.SampleSize
		g.Expect(len(c.nodes[d].sent)).To(gomega.BeNumerically("<", 11*perRound))
		return
	}
}

// A faulty peer requests the lists repeatedly. Answers to all its requests would use up
// the allowance of control traffic.
func TestListRequestIsAnsweredOncePerInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c"))
	s := c.nodes["a"].state
	request := crevent.Received{Now: s.now, From: "b", Msg: ListRequest{}}
	g.Expect(s.Step(request)).To(gomega.HaveLen(1))
	g.Expect(s.Step(request)).To(gomega.BeEmpty())
}

// A large list has a bounded set of voters. A small change of the list replaces few.
func TestVotersAreBoundedAndStable(t *testing.T) {
	g := gomega.NewWithT(t)
	names := daemonNames(500)
	before := Voters(newList(1, names...), 0, 31)
	after := Voters(newList(2, names[:499]...), 0, 31)
	g.Expect(before).To(gomega.HaveLen(31))
	kept := 0
	for _, d := range after {
		if (heldList{voters: before}).hasVoter(d) {
			kept++
		}
	}
	g.Expect(kept).To(gomega.BeNumerically(">=", 30))
}
