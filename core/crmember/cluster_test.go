package crmember

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// node is a daemon of the simulated cluster, with its own clock.
type node struct {
	state     *State
	inc       crid.Incarnation
	clockBase crid.Instant
	clockRate float64
	suspended bool
	queue     []packet // packets that arrived while it was suspended
	lease     Lease
	peers     map[crid.Daemon]Peer
	sent      []crevent.Message
}

func (n *node) clock(now time.Duration) crid.Instant {
	return n.clockBase + crid.Instant(float64(now)*n.clockRate)
}

type packet struct {
	at       time.Duration
	from, to crid.Daemon
	msg      crevent.Message
}

type link struct{ from, to crid.Daemon }

// cluster is a network of real reducers in simulated time.
type cluster struct {
	params   Params
	now      time.Duration
	nodes    map[crid.Daemon]*node
	packets  []packet
	cuts     map[link]bool
	delays   map[link]time.Duration // extra delay
	rng      *rand.Rand
	faulty   bool     // random delay, loss and duplicates
	disjoint []string // pairs of daemons that acted without a list in common
	overlaps []string // daemons that held leases under different lists
	starts   uint64
}

func newCluster(without guard, seed uint64) *cluster {
	params := DefaultParams()
	params.disabled = without
	return &cluster{
		params: params,
		nodes:  make(map[crid.Daemon]*node),
		cuts:   make(map[link]bool),
		delays: make(map[link]time.Duration),
		rng:    rand.New(rand.NewPCG(seed, 1)),
	}
}

// start starts or restarts a daemon. A restarted one keeps its clock rate.
func (c *cluster) start(d crid.Daemon) *node {
	c.starts++
	n := &node{
		state:     New(c.params),
		inc:       crid.Incarnation(c.starts),
		clockBase: crid.Instant(1e9 * float64(1+c.starts)),
		clockRate: 1,
	}
	if old := c.nodes[d]; old != nil {
		n.clockRate = old.clockRate
	}
	c.nodes[d] = n
	c.step(d, crevent.Started{Now: n.clock(c.now), Self: d, Incarnation: n.inc, Seed: c.starts})
	return n
}

func (c *cluster) startAll(list crinstance.List) {
	for _, d := range list.Daemons() {
		c.start(d)
	}
	for _, d := range list.Daemons() {
		c.deliverList(d, list)
	}
}

// deliverList delivers a list to a daemon, as if it had read it from the platform.
func (c *cluster) deliverList(d crid.Daemon, list crinstance.List) {
	c.step(d, crinstance.ListUpdated{Now: c.nodes[d].clock(c.now), List: list})
}

func (c *cluster) step(d crid.Daemon, ev crevent.Event) {
	n := c.nodes[d]
	for _, effect := range n.state.Step(ev) {
		switch e := effect.(type) {
		case crevent.Send:
			n.sent = append(n.sent, e.Msg)
			c.send(packet{from: d, to: e.To, msg: e.Msg})
		case Lease:
			n.lease = e
			c.checkLeases()
		case PeersChanged:
			n.peers = make(map[crid.Daemon]Peer)
			for _, p := range e.Peers {
				n.peers[p.Daemon] = p
			}
		}
	}
}

func (c *cluster) send(p packet) {
	if c.cuts[link{p.from, p.to}] {
		return
	}
	p.at = c.now + 2*time.Millisecond + c.delays[link{p.from, p.to}]
	if c.faulty {
		if c.rng.IntN(10) == 0 {
			return
		}
		if c.rng.IntN(20) == 0 {
			duplicate := p
			duplicate.at += time.Duration(c.rng.IntN(4000)) * time.Millisecond
			c.packets = append(c.packets, duplicate)
		}
		p.at += time.Duration(c.rng.IntN(300)) * time.Millisecond
	}
	c.packets = append(c.packets, p)
}

// hasLease reports whether a daemon holds a lease now, by its own clock.
func (c *cluster) hasLease(d crid.Daemon) bool {
	n := c.nodes[d]
	return n.lease.Until > n.clock(c.now)
}

// checkLeases records daemons that hold leases under different lists now.
func (c *cluster) checkLeases() {
	active := make(map[crid.Revision]crid.Daemon)
	for d, n := range c.nodes {
		if c.hasLease(d) {
			active[n.lease.Active] = d
		}
	}
	if len(active) > 1 {
		c.overlaps = append(c.overlaps, fmt.Sprintf("%v: %v", c.now, active))
	}
	c.checkJointLeases()
}

// leasedLists returns the lists under all of which a daemon may act now.
func (c *cluster) leasedLists(d crid.Daemon) []crid.Revision {
	n := c.nodes[d]
	if c.hasLease(d) {
		return []crid.Revision{n.lease.Active}
	}
	if n.lease.JointUntil <= n.clock(c.now) {
		return nil
	}
	var revs []crid.Revision
	for _, m := range n.lease.JointLists {
		revs = append(revs, m.Rev)
	}
	return revs
}

// checkJointLeases records two daemons that may act now without a list in common:
// each could grant the same share under its own list.
func (c *cluster) checkJointLeases() {
	names := c.names()
	for i, a := range names {
		for _, b := range names[i+1:] {
			ra, rb := c.leasedLists(a), c.leasedLists(b)
			common := slices.ContainsFunc(ra, func(r crid.Revision) bool { return slices.Contains(rb, r) })
			if len(ra) > 0 && len(rb) > 0 && !common {
				c.disjoint = append(c.disjoint, fmt.Sprintf("%v: %s acts under %v, %s under %v", c.now, a, ra, b, rb))
			}
		}
	}
}

// run advances the time in steps of 10 ms, with a tick every 50 ms.
func (c *cluster) run(d time.Duration) {
	const quantum = 10 * time.Millisecond
	for end := c.now + d; c.now < end; {
		c.now += quantum
		c.deliver()
		if c.now%(5*quantum) == 0 {
			for _, d := range c.names() {
				if n := c.nodes[d]; !n.suspended {
					c.step(d, crevent.Tick{Now: n.clock(c.now)})
				}
			}
		}
		c.checkLeases()
	}
}

func (c *cluster) names() []crid.Daemon {
	var names []crid.Daemon
	for d := range c.nodes {
		names = append(names, d)
	}
	slices.Sort(names)
	return names
}

func (c *cluster) deliver() {
	var due, later []packet
	for _, p := range c.packets {
		if p.at <= c.now {
			due = append(due, p)
			continue
		}
		later = append(later, p)
	}
	c.packets = later
	slices.SortStableFunc(due, func(a, b packet) int { return int(a.at - b.at) })
	for _, p := range due {
		n := c.nodes[p.to]
		switch {
		case n == nil || c.cuts[link{p.from, p.to}] && c.delays[link{p.from, p.to}] == 0:
		case n.suspended:
			n.queue = append(n.queue, p)
		default:
			c.step(p.to, crevent.Received{Now: n.clock(c.now), From: p.from, Msg: p.msg})
		}
	}
}

// resume resumes a daemon. Queued packets arrive before its first tick.
func (c *cluster) resume(d crid.Daemon) {
	n := c.nodes[d]
	n.suspended = false
	queue := n.queue
	n.queue = nil
	for _, p := range queue {
		c.step(d, crevent.Received{Now: n.clock(c.now), From: p.from, Msg: p.msg})
	}
}

// partition cuts the links between two groups, both ways.
func (c *cluster) partition(a, b []crid.Daemon) {
	for _, x := range a {
		for _, y := range b {
			c.cuts[link{x, y}] = true
			c.cuts[link{y, x}] = true
		}
	}
}

func (c *cluster) leaseHolders() []crid.Daemon {
	return slices.DeleteFunc(c.names(), func(d crid.Daemon) bool { return !c.hasLease(d) })
}

func newList(rev crid.Revision, names ...crid.Daemon) crinstance.List {
	var instances []crinstance.Instance
	for i, d := range names {
		domain := crid.Domain(fmt.Sprintf("domain-%d", i%4))
		instances = append(instances, crinstance.Instance{Daemon: d, Domain: domain, State: crinstance.StateLive})
	}
	return crinstance.NewList(rev, instances)
}

func daemons(names ...crid.Daemon) []crid.Daemon { return names }
