package crmesh_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crquota"
	"camphorroad/core/crregistry"
)

// cluster runs the daemons of two domains, each with its own state, and delivers their
// heartbeats.
type cluster struct {
	names  []crid.Daemon
	states map[crid.Daemon]*crmesh.State
	view   map[crid.Daemon]*crmesh.View
	failed map[crid.Daemon]bool
	cut    bool // the domains cannot reach each other
	params map[crid.Daemon]crmesh.Params
	list   crmesh.RecordsListed
}

func newCluster(n int) *cluster {
	c := &cluster{states: make(map[crid.Daemon]*crmesh.State), view: make(map[crid.Daemon]*crmesh.View), failed: make(map[crid.Daemon]bool), params: make(map[crid.Daemon]crmesh.Params)}
	ev := crmesh.RecordsListed{Now: start, Revision: 5}
	for i := range n {
		address := fmt.Sprintf("10.0.1.%d:80", i)
		target := crid.Target(fmt.Sprintf("t%d", i))
		ev.Changes = append(ev.Changes, crregistry.Change{Key: string(target), Revision: 5, Record: &crregistry.Record{
			Target: target, Service: "booking", Address: address, Domain: crid.Domain("ab"[i%2 : i%2+1]), Slots: 4,
		}})
		p := params()
		p.Seeds, p.Address, p.Self, p.Domain = nil, address, crmesh.DaemonOf(address), crid.Domain("ab"[i%2:i%2+1])
		c.names = append(c.names, p.Self)
		c.states[p.Self], c.params[p.Self] = crmesh.New(p), p
	}
	c.list = ev
	for _, d := range c.names {
		c.step(d, ev)
	}
	return c
}

func (c *cluster) step(d crid.Daemon, ev crevent.Event) {
	for _, eff := range c.states[d].Step(ev) {
		switch eff := eff.(type) {
		case crmesh.PublishView:
			c.view[d] = eff.View
		case crmesh.SendHeartbeats:
			for _, to := range eff.To {
				if !c.failed[to] && !c.failed[d] && (!c.cut || c.params[to].Domain == c.params[d].Domain) {
					c.step(to, crmesh.HeartbeatReceived{Now: ev.At(), From: d, Heartbeat: crmesh.Heartbeat{
						Incarnation: 1, Stopping: eff.Stopping, StoreUnavailable: eff.StoreUnavailable, RecordRevision: eff.RecordRevision,
					}})
				}
			}
		}
	}
}

func (c *cluster) run(from crid.Instant, d time.Duration) crid.Instant {
	for end := from.Add(d); from < end; from = from.Add(100 * time.Millisecond) {
		for _, name := range c.names {
			if !c.failed[name] {
				c.step(name, crevent.Tick{Now: from})
			}
		}
	}
	return from
}

// Each call of the store is paid for, and its rate limit does not grow with the fleet.
// Two daemons of a domain read it, and all others there agree on which.
func TestTwoReadersPerDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(12)
	c.run(start, time.Second)
	for i, d := range c.names {
		g.Expect(c.view[d].Readers).To(gomega.HaveLen(2))
		g.Expect(c.view[d].Readers).To(gomega.Equal(c.view[c.names[i%2]].Readers))
		g.Expect(c.view[d].StoreReaders).To(gomega.Equal(4))
	}
	g.Expect(c.view[c.names[0]].Readers).NotTo(gomega.ContainElement(gomega.BeElementOf(c.view[c.names[1]].Readers)))
}

// A reader fails. The daemons that read through it would get no more changes. All have
// another reader after two seconds without its heartbeats.
func TestUnresponsiveReaderIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(12)
	now := c.run(start, time.Second)
	failed := c.view[c.names[0]].Readers[0]
	c.failed[failed] = true
	c.run(now, 2*time.Second)
	for i, d := range c.names {
		if i%2 == 0 && d != failed {
			g.Expect(c.view[d].Readers).To(gomega.HaveLen(2))
			g.Expect(slices.Contains(c.view[d].Readers, failed)).To(gomega.BeFalse())
		}
	}
}

// A stopping reader notifies its peers, and is replaced at once.
func TestStoppingReaderIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(12)
	now := c.run(start, time.Second)
	stopping := c.view[c.names[0]].Readers[0]
	c.step(stopping, crevent.Stopping{Now: now})
	for i, d := range c.names {
		if i%2 == 0 {
			g.Expect(c.view[d].Readers).NotTo(gomega.ContainElement(stopping))
		}
	}
}

// A daemon that has just started has no records. Others must not read through it, and it
// reads the store itself.
func TestDaemonWithoutRecordsIsNoReader(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	v := views(s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.3", Heartbeat: crmesh.Heartbeat{Incarnation: 1}}))
	g.Expect(v).NotTo(gomega.BeEmpty())
	g.Expect(v[len(v)-1].Readers).To(gomega.BeEmpty())
}

// The store rejects one reader and serves the other daemons. Unless another daemon of the
// domain replaces it, those that read through it receive changes late.
func TestReaderWithoutStoreIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(12)
	now := c.run(start, time.Second)
	rejected := c.view[c.names[0]].Readers[0]
	c.step(rejected, crmesh.StoreUnavailable{Now: now})
	now = c.run(now, 200*time.Millisecond)
	for i, d := range c.names {
		if i%2 == 0 {
			g.Expect(c.view[d].Readers).To(gomega.HaveLen(2))
			g.Expect(c.view[d].Readers).NotTo(gomega.ContainElement(rejected))
		}
	}
	c.step(rejected, crmesh.StoreAvailable{Now: now})
	c.run(now, 200*time.Millisecond)
	g.Expect(c.view[c.names[0]].Readers).To(gomega.ContainElement(rejected))
}

// The readers report to a daemon that the store is unavailable. If it passed that on without
// an attempt of its own, all daemons of a domain would, and none would replace the readers.
func TestStoreIsReportedUnavailableOnlyAfterOwnCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(12)
	now := c.run(start, time.Second)
	var follower crid.Daemon
	for _, d := range c.names {
		if !slices.Contains(c.view[d].Readers, d) {
			follower = d
		}
	}
	g.Expect(heartbeats(c.states[follower].Step(crmesh.StoreUnavailable{Now: now, ReportedByPeers: true}))).To(gomega.BeEmpty())
}

// In a full outage of the store, two daemons of a domain go on calling it for the others.
func TestReadersStayInFullStoreOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(12)
	now := c.run(start, time.Second)
	before := c.view[c.names[0]].Readers
	for _, d := range c.names {
		c.step(d, crmesh.StoreUnavailable{Now: now})
	}
	c.run(now, 200*time.Millisecond)
	g.Expect(c.view[c.names[0]].Readers).To(gomega.Equal(before))
}

// Several daemons stop at the same time and still serve their callers for seconds. Each account
// needs one owner for all of them. With stopping daemons as owners for their own callers,
// an account of 15 requests a second ran 136 in 5 s.
func TestStoppingDaemonsAgreeOnOwners(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(6)
	now := c.run(start, 3*time.Second)
	for _, d := range c.names[:4] {
		c.step(d, crevent.Stopping{Now: now})
	}
	c.run(now, 200*time.Millisecond)
	for _, d := range c.names {
		g.Expect(c.view[d].Live).To(gomega.Equal(c.names[4:]), "seen by %s", d)
	}
}

// The last daemon of the fleet stops. It stays the owner of the accounts until it ends.
func TestLastStoppingDaemonKeepsAccounts(t *testing.T) {
	g := gomega.NewWithT(t)
	v := views(crmesh.New(params()).Step(crevent.Stopping{Now: start}))
	g.Expect(v[len(v)-1].Live).To(gomega.Equal([]crid.Daemon{"10.0.0.1"}))
}

// Peers of other domains send their first heartbeat within two seconds in a fleet of a
// hundred. If they counted as unreachable until then, each restart would limit the accounts
// of the daemon to a fraction of their rate.
func TestNewDaemonCountsPeersBeforeTheirFirstHeartbeat(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	v := views(s.Step(recordsListed()))
	g.Expect(v[len(v)-1].Reachable).To(gomega.Equal(v[len(v)-1].Confirmed))
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		v = append(v, views(s.Step(crevent.Tick{Now: start.Add(at)}))...)
	}
	g.Expect(v[len(v)-1].Reachable).To(gomega.Equal(1), "no peer has sent a heartbeat")
}

// The owner of some accounts loses power. Peers of other domains would miss its heartbeats
// only after six seconds in a fleet of a hundred, and limit its accounts to a fraction of
// their rate until then. Unanswered token requests show the failure sooner.
func TestPeerWithUnansweredRequestsIsUnresponsiveSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.2", Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 5}})
	g.Expect(s.Step(crmesh.TokenRequestUnanswered{Now: start.Add(100 * time.Millisecond), Peer: "10.0.0.2"})).To(gomega.BeEmpty())
	v := views(s.Step(crmesh.TokenRequestUnanswered{Now: start.Add(1200 * time.Millisecond), Peer: "10.0.0.2"}))
	g.Expect(v).To(gomega.HaveLen(1))
	g.Expect(v[0].Unresponsive).To(gomega.HaveKey(crid.Daemon("10.0.0.2")))
	for _, later := range views(s.Step(crevent.Tick{Now: start.Add(1300 * time.Millisecond)})) {
		g.Expect(later.Unresponsive).To(gomega.HaveKey(crid.Daemon("10.0.0.2")), "it stays unresponsive")
	}
	v = views(s.Step(crmesh.HeartbeatReceived{Now: start.Add(1400 * time.Millisecond), From: "10.0.0.2", Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 5}}))
	g.Expect(v[0].Unresponsive).To(gomega.BeEmpty())
}

// The path to an owner is cut for token requests but not for heartbeats. Other daemons
// reach the owner; if it counted as unresponsive, its accounts would have two owners.
func TestPeerWithHeartbeatsIsNotUnresponsive(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	for at := time.Duration(0); at < 5*time.Second; at += 500 * time.Millisecond {
		s.Step(crmesh.HeartbeatReceived{Now: start.Add(at), From: "10.0.0.2", Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 5}})
		g.Expect(s.Step(crmesh.TokenRequestUnanswered{Now: start.Add(at + 100*time.Millisecond), Peer: "10.0.0.2"})).To(gomega.BeEmpty())
	}
}

// Seeds may name machines that no longer exist. If they counted as members, three of them
// in a small fleet would limit accounts to half of their rate permanently.
func TestUnreachableSeedsAreNotMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	p := params()
	p.Seeds = []crid.Daemon{"10.0.9.1", "10.0.9.2", "10.0.9.3"}
	s := crmesh.New(p)
	v := views(s.Step(recordsListed()))
	g.Expect(v[len(v)-1].Confirmed).To(gomega.Equal(3))
	g.Expect(v[len(v)-1].Reachable).To(gomega.Equal(3))
	v = views(s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.9.1", Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 5}}))
	g.Expect(v[len(v)-1].Confirmed).To(gomega.Equal(4))
}

// All machines of a domain start at the same time. Until their heartbeats arrive, each would
// read the store itself, although two readers are enough a moment later. The only daemon
// of a domain must not wait.
func TestReadersPending(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(crmesh.Params{Self: "10.0.0.1", Domain: "a", LocalInterval: time.Second, RemoteInterval: time.Second})
	view := func(effects []crevent.Effect) *crmesh.View {
		for _, e := range effects {
			if v, ok := e.(crmesh.PublishView); ok {
				return v.View
			}
		}
		return nil
	}
	list := func(records ...crregistry.Record) *crmesh.View {
		changes := make([]crregistry.Change, 0, len(records))
		for i := range records {
			changes = append(changes, crregistry.Change{Key: string(records[i].Target), Revision: 1, Record: &records[i]})
		}
		return view(s.Step(crmesh.RecordsListed{Now: start, Changes: changes, Revision: 2}))
	}
	own := crregistry.Record{Target: "t1", Service: "s", Address: "10.0.0.1:80", Domain: "a", Slots: 1}
	far := crregistry.Record{Target: "t2", Service: "s", Address: "10.0.0.2:80", Domain: "b", Slots: 1}
	near := crregistry.Record{Target: "t3", Service: "s", Address: "10.0.0.3:80", Domain: "a", Slots: 1}
	g.Expect(list().ReadersPending).To(gomega.BeTrue())
	g.Expect(list(own, far).ReadersPending).To(gomega.BeFalse())
	g.Expect(list(own, far, near).ReadersPending).To(gomega.BeTrue())
	v := view(s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.3", Heartbeat: crmesh.Heartbeat{RecordRevision: 2}}))
	g.Expect(v.ReadersPending).To(gomega.BeFalse())
}

// The store has dropped all watches. Each daemon would detect it only at the end of its own
// wait, unless a peer that detects it first reports it.
func TestWatchesAreRenewedWhenPeerReportsStoreUnavailable(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	renewalsAfter := func(after time.Duration, unavailable bool) int {
		return renewals(s.Step(crmesh.HeartbeatReceived{Now: start.Add(after), From: "10.0.0.2", Heartbeat: crmesh.Heartbeat{StoreUnavailable: unavailable, RecordRevision: 5}}))
	}
	g.Expect(renewalsAfter(0, true)).To(gomega.BeZero(), "at the first heartbeat the outage may be old")
	g.Expect(renewalsAfter(time.Second, false)).To(gomega.BeZero())
	g.Expect(renewalsAfter(2*time.Second, true)).To(gomega.Equal(1))
	g.Expect(renewalsAfter(2100*time.Millisecond, true)).To(gomega.BeZero(), "the peer has reported it before")
	g.Expect(renewalsAfter(2200*time.Millisecond, false)).To(gomega.BeZero())
	g.Expect(renewalsAfter(2300*time.Millisecond, true)).To(gomega.BeZero(), "not again at once")
}

// A peer holds a plan that this daemon's own watch should have delivered long ago. Unless
// the watch is renewed, it would deliver nothing until the end of its wait.
func TestPullRenewsWatches(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	newer := crmesh.HeartbeatReceived{Now: start, From: "10.0.0.2", Heartbeat: crmesh.Heartbeat{PlanVersion: 9, RecordRevision: 5}}
	g.Expect(renewals(s.Step(newer))).To(gomega.BeZero())
	g.Expect(renewals(s.Step(crevent.Tick{Now: start.Add(700 * time.Millisecond)}))).To(gomega.Equal(1))
}

// A daemon has just started, and the owner of an account has sent it no heartbeat yet. If
// it granted the account's tokens itself, the account would get more than its rate.
func TestNewDaemonTreatsRecordedPeersAsOwners(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(6)
	c.run(start, 3*time.Second)
	restarted := c.names[2]
	s := crmesh.New(c.params[restarted])
	s.Step(c.list)
	v := views(s.Step(crmesh.HeartbeatReceived{Now: start, From: c.names[0], Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 5}}))
	for n := range 20 {
		a := crid.Account("account-" + strconv.Itoa(n))
		step := v[len(v)-1].TokenAction(a, restarted, crquota.FromCaller)
		if owner := crquota.Owner(a, c.names); owner != restarted {
			g.Expect(step).To(gomega.Equal(crquota.Action{To: owner, Origin: crquota.FromPeer}))
		} else {
			g.Expect(step).To(gomega.Equal(crquota.Action{Grant: true}))
		}
	}
	g.Expect(v[len(v)-1].Owners).To(gomega.Equal(c.view[c.names[0]].Owners))
	g.Expect(v[len(v)-1].Members).To(gomega.Equal(c.view[c.names[0]].Members))
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		v = append(v, views(s.Step(crevent.Tick{Now: start.Add(at)}))...)
	}
	g.Expect(v[len(v)-1].Owners).To(gomega.Equal([]crid.Daemon{restarted}), "no peer has sent a heartbeat")
}

// Daemons start at the same time, and none has received a heartbeat yet. If each granted
// the whole rate to its own callers, accounts would get a multiple of it.
func TestIsolatedDaemonsShareTheRate(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(6)
	sum := 0.0
	for _, d := range c.names {
		sum += c.view[d].RateFraction(false)
	}
	g.Expect(sum).To(gomega.BeNumerically("~", 1, 0.11))
	c.run(start, 3*time.Second)
	g.Expect(c.view[c.names[0]].RateFraction(false)).To(gomega.Equal(1.0))
}

// Guards against no daemon, or several, that check first whether the store still answers.
func TestOneDaemonReadsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(12)
	now := c.run(start, time.Second)
	first := func() (out []crid.Daemon) {
		for _, d := range c.names {
			if c.view[d].ReadsFirst && !c.failed[d] {
				out = append(out, d)
			}
		}
		return out
	}
	g.Expect(first()).To(gomega.HaveLen(1))
	g.Expect(c.view[first()[0]].Readers).To(gomega.ContainElement(first()[0]))
	before := first()[0]
	c.step(before, crmesh.StoreUnavailable{Now: now})
	c.run(now, 3*time.Second)
	g.Expect(first()).To(gomega.HaveLen(1))
	g.Expect(first()[0]).NotTo(gomega.Equal(before))
}
