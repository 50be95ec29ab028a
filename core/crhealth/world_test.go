package crhealth

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

const (
	step    = 50 * time.Millisecond
	horizon = 2 * time.Second
	booking = crid.Service("booking")
)

// node is one daemon with the real reducer and recorder, on its own clock.
type node struct {
	name     crid.Daemon
	state    *State
	recorder *Recorder
	offset   time.Duration
	rate     float64
	life     uint64
	paused   bool
	isolated bool // hears nothing of standing
	held     crid.Revision
	inbox    []letter
	steer    map[crid.Service]Steer
	idle     bool    // has no callers; with locals only
	locals   *locals // nil: targets are drawn evenly, and answers come at once
}

type letter struct {
	due  time.Duration
	from crid.Daemon
	msg  crevent.Message
}

// behaviour is how a target answers.
type behaviour func(now time.Duration, account crid.Account, rng *rand.Rand) (Result, time.Duration)

func healthy(_ time.Duration, _ crid.Account, rng *rand.Rand) (Result, time.Duration) {
	return ResultOK, time.Duration(float64(20*time.Millisecond) * (0.5 + rng.ExpFloat64()/2))
}

func slowBy(factor int) behaviour {
	return func(now time.Duration, account crid.Account, rng *rand.Rand) (Result, time.Duration) {
		r, took := healthy(now, account, rng)
		return r, time.Duration(factor) * took
	}
}

func endsWith(result Result, share float64) behaviour {
	return func(now time.Duration, account crid.Account, rng *rand.Rand) (Result, time.Duration) {
		if rng.Float64() < share {
			return result, 0
		}
		return healthy(now, account, rng)
	}
}

// world runs several daemons in virtual time. Standing is granted as crmember
// promises it: never under two lists at one time.
type world struct {
	params  Params
	rng     *rand.Rand
	now     time.Duration
	nodes   map[crid.Daemon]*node
	names   []crid.Daemon
	targets []crid.Target
	floor   int
	acts    map[crid.Target]behaviour
	poison  crid.Account
	perStep int // requests of each daemon in each step
	loss    float64
	delay   time.Duration
	cut     map[[2]crid.Daemon]bool
	blind   map[crid.Daemon]crid.Target // one-way cut between an entry and a target

	causes   map[string]int      // of the ejections
	stuck    map[crid.Target]int // attempts without an answer, in its slots
	rev      crid.Revision
	members  []crid.Daemon
	next     []crid.Daemon
	switchAt time.Duration
	reports  map[int]int
	ejected  map[crid.Target]int // ejections decided, by all daemons
}

func newWorld(p Params, seed uint64, daemons, targets, floor int) *world {
	w := &world{
		params: p, rng: rand.New(rand.NewPCG(seed, 1)), floor: floor, perStep: 10, delay: 2 * time.Millisecond,
		nodes: make(map[crid.Daemon]*node), acts: make(map[crid.Target]behaviour),
		cut: make(map[[2]crid.Daemon]bool), blind: make(map[crid.Daemon]crid.Target),
		rev: 1, reports: make(map[int]int), ejected: make(map[crid.Target]int), causes: make(map[string]int), stuck: make(map[crid.Target]int),
	}
	for i := range targets {
		w.targets = append(w.targets, crid.Target(fmt.Sprintf("t%02d", i)))
	}
	for i := range daemons {
		name := crid.Daemon(fmt.Sprintf("d%02d", i))
		w.names = append(w.names, name)
		w.nodes[name] = &node{
			name: name, offset: time.Duration(w.rng.IntN(1000)) * time.Hour, rate: 1 + (w.rng.Float64()-0.5)/100,
		}
	}
	w.members = slices.Clone(w.names)
	for _, name := range w.names {
		w.start(w.nodes[name])
	}
	return w
}

func (n *node) clock(now time.Duration) crid.Instant {
	return crid.Instant(n.offset + time.Duration(float64(now)*n.rate))
}

// list places target i beside daemon i, round and round.
func (w *world) list(rev crid.Revision, without ...crid.Target) crinstance.List {
	instances := make([]crinstance.Instance, len(w.names))
	for i, name := range w.names {
		instances[i] = crinstance.Instance{Daemon: name, State: crinstance.StateLive}
	}
	for i, t := range w.targets {
		if !slices.Contains(without, t) {
			in := &instances[i%len(instances)]
			in.Targets = append(in.Targets, crinstance.Target{Name: t, Service: booking})
		}
	}
	return crinstance.NewList(rev, instances)
}

func (w *world) start(n *node) {
	n.life++
	n.state = New(w.params)
	n.recorder = NewRecorder()
	n.inbox = nil
	n.held = 0
	n.steer = make(map[crid.Service]Steer)
	now := n.clock(w.now)
	policy := crpolicy.Service{Name: booking, Floor: w.floor}
	var peers []crmember.Peer
	for _, d := range w.names {
		if d != n.name {
			peers = append(peers, crmember.Peer{Daemon: d, Reachable: true})
		}
	}
	w.step(n, crevent.Started{Now: now, Self: n.name, Incarnation: crid.Incarnation(n.life)})
	w.step(n, crinstance.ListUpdated{Now: now, List: w.list(1)})
	w.step(n, crmember.PeersChanged{Now: now, Peers: peers})
	w.step(n, crconfig.InForce{Now: now, Snapshot: crpolicy.NewSnapshot(1, []crpolicy.Service{policy}, nil)})
}

func (w *world) step(n *node, ev crevent.Event) {
	for _, effect := range n.state.Step(ev) {
		switch effect := effect.(type) {
		case crevent.Send:
			w.send(n.name, effect)
		case Steer:
			n.steer[effect.Service] = effect
		case crevent.Report:
			w.reports[effect.Number]++
			if effect.Number == EventEjected {
				w.ejected[crid.Target(effect.Fields["target"])]++
				cause, _, _ := strings.Cut(effect.Fields["detail"], " ")
				w.causes[cause]++
			}
		}
	}
}

func (w *world) send(from crid.Daemon, s crevent.Send) {
	to := w.nodes[s.To]
	if w.cut[[2]crid.Daemon{from, s.To}] || w.rng.Float64() < w.loss {
		return
	}
	copies := 1
	if w.loss > 0 && w.rng.IntN(10) == 0 {
		copies = 2
	}
	for range copies {
		due := w.now + time.Duration(w.rng.Int64N(int64(w.delay)+1))
		to.inbox = append(to.inbox, letter{due: due, from: from, msg: s.Msg})
	}
}

// advance runs one step of virtual time on all daemons.
func (w *world) advance() {
	w.now += step
	w.grant()
	for _, name := range w.names {
		n := w.nodes[name]
		if n.paused {
			continue
		}
		w.deliver(n)
		w.traffic(n)
		w.step(n, Observed{Now: n.clock(w.now), Samples: n.recorder.Drain(n.clock(w.now))})
		w.step(n, crevent.Tick{Now: n.clock(w.now)})
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.advance()
	}
}

func (w *world) deliver(n *node) {
	var later []letter
	ready := n.inbox
	n.inbox = nil
	for _, l := range ready {
		if l.due > w.now {
			later = append(later, l)
			continue
		}
		w.step(n, crevent.Received{Now: n.clock(w.now), From: l.from, Msg: l.msg})
	}
	n.inbox = append(later, n.inbox...)
}

// grant renews standing, and moves it to the next list once nobody holds any
// under the former.
func (w *world) grant() {
	if w.next != nil && w.now >= w.switchAt {
		w.members = w.next
		w.next = nil
		w.rev++
	}
	for _, name := range w.names {
		n := w.nodes[name]
		if n.paused || n.isolated || !slices.Contains(w.members, name) {
			continue
		}
		if w.next != nil {
			w.bridge(n)
			continue
		}
		now := n.clock(w.now)
		n.held = w.rev
		w.step(n, crmember.Lease{Now: now, Active: w.rev, Members: w.members, Until: now.Add(horizon)})
	}
}

// change begins to move standing to other members. Daemons that hear of it give
// it up at once; the horizon is waited out for the others.
func (w *world) change(members []crid.Daemon) {
	if w.next != nil {
		return
	}
	w.next = members
	w.switchAt = w.now + horizon*102/100
	for _, name := range w.names {
		if n := w.nodes[name]; !n.paused && !n.isolated {
			w.bridge(n)
		}
	}
}

// bridge tells a node of the handover, as crmember does: what both lists give
// it, it may go on with.
func (w *world) bridge(n *node) {
	now := n.clock(w.now)
	ev := crmember.Lease{Now: now}
	if slices.Contains(w.members, n.name) && slices.Contains(w.next, n.name) {
		ev.JointUntil = now.Add(horizon)
		ev.JointLists = []crmember.Membership{{Rev: w.rev, Members: w.members}, {Rev: w.rev + 1, Members: w.next}}
	}
	w.step(n, ev)
}

func (w *world) traffic(n *node) {
	states := make(map[crid.Target]TargetState)
	if st := n.steer[booking]; n.clock(w.now).Before(st.Until) || st.Until == 0 {
		for _, t := range st.Targets {
			states[t.Target] = t
		}
	}
	if n.locals != nil {
		w.choose(n, states)
		return
	}
	for range w.perStep {
		t := w.targets[w.rng.IntN(len(w.targets))]
		if st, ok := states[t]; ok && (st.Ejected || w.rng.IntN(FullWeight) >= st.Weight) {
			continue
		}
		account := crid.Account(fmt.Sprintf("a%d", w.rng.IntN(8)))
		act := w.acts[t]
		if act == nil {
			act = healthy
		}
		result, took := act(w.now, account, w.rng)
		if account == w.poison {
			result = ResultFailed
		}
		if w.blind[n.name] == t {
			result = ResultStalled
		}
		n.recorder.Record(t, result, took, account)
	}
}

// inForce is the set of targets that traffic anywhere holds ejected now.
func (w *world) inForce() map[crid.Target]bool {
	union := make(map[crid.Target]bool)
	for _, n := range w.nodes {
		st := n.steer[booking]
		if n.paused || !n.clock(w.now).Before(st.Until) {
			continue
		}
		for _, t := range st.Targets {
			if t.Ejected {
				union[t.Target] = true
			}
		}
	}
	return union
}

func (w *world) breach() bool { return len(w.inForce()) > len(w.targets)-w.floor }

func (w *world) arbiter() *node {
	return w.nodes[w.nodes[w.members[0]].state.arbiter(booking)]
}

// everywhere reports whether all daemons with callers hold the target ejected.
func (w *world) everywhere(t crid.Target) bool {
	for _, n := range w.nodes {
		if n.idle {
			continue
		}
		st := n.steer[booking]
		i := slices.IndexFunc(st.Targets, func(s TargetState) bool { return s.Target == t })
		if i < 0 || !st.Targets[i].Ejected || !n.clock(w.now).Before(st.Until) {
			return false
		}
	}
	return true
}
