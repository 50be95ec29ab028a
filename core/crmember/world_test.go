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
	paused    bool
	queue     []packet // arrived while paused
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
	disjoint []string // daemons that acted without a list in common
	overlaps []string
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

// start starts or restarts a daemon. Its clock rate stays.
func (w *cluster) start(d crid.Daemon) *node {
	w.starts++
	n := &node{
		state:     New(w.params),
		inc:       crid.Incarnation(w.starts),
		clockBase: crid.Instant(1e9 * float64(1+w.starts)),
		clockRate: 1,
	}
	if old := w.nodes[d]; old != nil {
		n.clockRate = old.clockRate
	}
	w.nodes[d] = n
	w.step(d, crevent.Started{Now: n.clock(w.now), Self: d, Incarnation: n.inc, Seed: w.starts})
	return n
}

func (w *cluster) startAll(list crinstance.List) {
	for _, d := range list.Daemons() {
		w.start(d)
	}
	for _, d := range list.Daemons() {
		w.deliverList(d, list)
	}
}

// deliverList delivers a list of the platform to a daemon.
func (w *cluster) deliverList(d crid.Daemon, list crinstance.List) {
	w.step(d, crinstance.ListUpdated{Now: w.nodes[d].clock(w.now), List: list})
}

func (w *cluster) step(d crid.Daemon, ev crevent.Event) {
	n := w.nodes[d]
	for _, effect := range n.state.Step(ev) {
		switch e := effect.(type) {
		case crevent.Send:
			n.sent = append(n.sent, e.Msg)
			w.send(packet{from: d, to: e.To, msg: e.Msg})
		case Lease:
			n.lease = e
			w.checkLeases()
		case PeersChanged:
			n.peers = make(map[crid.Daemon]Peer)
			for _, p := range e.Peers {
				n.peers[p.Daemon] = p
			}
		}
	}
}

func (w *cluster) send(p packet) {
	if w.cuts[link{p.from, p.to}] {
		return
	}
	p.at = w.now + 2*time.Millisecond + w.delays[link{p.from, p.to}]
	if w.faulty {
		if w.rng.IntN(10) == 0 {
			return
		}
		if w.rng.IntN(20) == 0 {
			duplicate := p
			duplicate.at += time.Duration(w.rng.IntN(4000)) * time.Millisecond
			w.packets = append(w.packets, duplicate)
		}
		p.at += time.Duration(w.rng.IntN(300)) * time.Millisecond
	}
	w.packets = append(w.packets, p)
}

// hasLease reports whether a daemon holds a lease now, by its own clock.
func (w *cluster) hasLease(d crid.Daemon) bool {
	n := w.nodes[d]
	return n.lease.Until > n.clock(w.now)
}

// checkLeases records daemons that hold leases under different lists now.
func (w *cluster) checkLeases() {
	active := make(map[crid.Revision]crid.Daemon)
	for d, n := range w.nodes {
		if w.hasLease(d) {
			active[n.lease.Active] = d
		}
	}
	if len(active) > 1 {
		w.overlaps = append(w.overlaps, fmt.Sprintf("%v: %v", w.now, active))
	}
	w.checkJointLeases()
}

// leasedLists returns the lists under all of which a daemon may act now.
func (w *cluster) leasedLists(d crid.Daemon) []crid.Revision {
	n := w.nodes[d]
	if w.hasLease(d) {
		return []crid.Revision{n.lease.Active}
	}
	if n.lease.JointUntil <= n.clock(w.now) {
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
func (w *cluster) checkJointLeases() {
	names := w.names()
	for i, a := range names {
		for _, b := range names[i+1:] {
			ra, rb := w.leasedLists(a), w.leasedLists(b)
			common := slices.ContainsFunc(ra, func(r crid.Revision) bool { return slices.Contains(rb, r) })
			if len(ra) > 0 && len(rb) > 0 && !common {
				w.disjoint = append(w.disjoint, fmt.Sprintf("%v: %s acts under %v, %s under %v", w.now, a, ra, b, rb))
			}
		}
	}
}

// run advances the time in steps of 10 ms, with a tick every 50 ms.
func (w *cluster) run(d time.Duration) {
	const quantum = 10 * time.Millisecond
	for end := w.now + d; w.now < end; {
		w.now += quantum
		w.deliver()
		if w.now%(5*quantum) == 0 {
			for _, d := range w.names() {
				if n := w.nodes[d]; !n.paused {
					w.step(d, crevent.Tick{Now: n.clock(w.now)})
				}
			}
		}
		w.checkLeases()
	}
}

func (w *cluster) names() []crid.Daemon {
	var names []crid.Daemon
	for d := range w.nodes {
		names = append(names, d)
	}
	slices.Sort(names)
	return names
}

func (w *cluster) deliver() {
	var due, later []packet
	for _, p := range w.packets {
		if p.at <= w.now {
			due = append(due, p)
			continue
		}
		later = append(later, p)
	}
	w.packets = later
	slices.SortStableFunc(due, func(a, b packet) int { return int(a.at - b.at) })
	for _, p := range due {
		n := w.nodes[p.to]
		switch {
		case n == nil || w.cuts[link{p.from, p.to}] && w.delays[link{p.from, p.to}] == 0:
		case n.paused:
			n.queue = append(n.queue, p)
		default:
			w.step(p.to, crevent.Received{Now: n.clock(w.now), From: p.from, Msg: p.msg})
		}
	}
}

// resume resumes a daemon. Queued packets arrive before its first tick.
func (w *cluster) resume(d crid.Daemon) {
	n := w.nodes[d]
	n.paused = false
	queue := n.queue
	n.queue = nil
	for _, p := range queue {
		w.step(d, crevent.Received{Now: n.clock(w.now), From: p.from, Msg: p.msg})
	}
}

// partition cuts the links between two groups, both ways.
func (w *cluster) partition(a, b []crid.Daemon) {
	for _, x := range a {
		for _, y := range b {
			w.cuts[link{x, y}] = true
			w.cuts[link{y, x}] = true
		}
	}
}

func (w *cluster) leaseHolders() []crid.Daemon {
	return slices.DeleteFunc(w.names(), func(d crid.Daemon) bool { return !w.hasLease(d) })
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
