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
	stepLength = 50 * time.Millisecond
	leaseTime  = 2 * time.Second
	booking    = crid.Service("booking")
)

// node is a daemon with the real reducer and recorder and its own clock.
type node struct {
	name          crid.Daemon
	state         *State
	recorder      *Recorder
	clockOffset   time.Duration
	clockRate     float64
	incarnation   uint64
	suspended     bool
	isolated      bool // receives no lease
	leaseRevision crid.Revision
	inbox         []delivery
	routing       map[crid.Service]RoutingUpdate
	idle          bool           // has no callers; only with a balancer
	balancer      *localBalancer // nil: targets are drawn at random, and responses come at once
}

type delivery struct {
	due  time.Duration
	from crid.Daemon
	msg  crevent.Message
}

// behaviour is the response of a target to one request.
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

func endWith(result Result, share float64) behaviour {
	return func(now time.Duration, account crid.Account, rng *rand.Rand) (Result, time.Duration) {
		if rng.Float64() < share {
			return result, 0
		}
		return healthy(now, account, rng)
	}
}

// world simulates several daemons in virtual time. It grants leases as crmember
// guarantees: never under two lists at one time.
type world struct {
	params          Params
	rng             *rand.Rand
	now             time.Duration
	nodes           map[crid.Daemon]*node
	names           []crid.Daemon
	targets         []crid.Target
	floor           int
	behaviours      map[crid.Target]behaviour
	failingAccount  crid.Account
	requestsPerStep int // requests of each daemon per step
	loss            float64
	delay           time.Duration
	partitioned     map[[2]crid.Daemon]bool
	noResponse      map[crid.Daemon]crid.Target // the target from which an entry receives no responses

	causes          map[string]int      // of the ejections
	stalledAttempts map[crid.Target]int // attempts that occupy a slot without a response
	rev             crid.Revision
	members         []crid.Daemon
	nextMembers     []crid.Daemon
	switchAt        time.Duration
	reports         map[int]int
	ejected         map[crid.Target]int // ejections decided by all daemons
}

func newWorld(p Params, seed uint64, daemons, targets, floor int) *world {
	w := &world{
		params: p, rng: rand.New(rand.NewPCG(seed, 1)), floor: floor, requestsPerStep: 10, delay: 2 * time.Millisecond,
		nodes: make(map[crid.Daemon]*node), behaviours: make(map[crid.Target]behaviour),
		partitioned: make(map[[2]crid.Daemon]bool), noResponse: make(map[crid.Daemon]crid.Target),
		rev: 1, reports: make(map[int]int), ejected: make(map[crid.Target]int), causes: make(map[string]int), stalledAttempts: make(map[crid.Target]int),
	}
	for i := range targets {
		w.targets = append(w.targets, crid.Target(fmt.Sprintf("t%02d", i)))
	}
	for i := range daemons {
		name := crid.Daemon(fmt.Sprintf("d%02d", i))
		w.names = append(w.names, name)
		w.nodes[name] = &node{
			name: name, clockOffset: time.Duration(w.rng.IntN(1000)) * time.Hour, clockRate: 1 + (w.rng.Float64()-0.5)/100,
		}
	}
	w.members = slices.Clone(w.names)
	for _, name := range w.names {
		w.start(w.nodes[name])
	}
	return w
}

func (n *node) clock(now time.Duration) crid.Instant {
	return crid.Instant(n.clockOffset + time.Duration(float64(now)*n.clockRate))
}

// list returns a list in which the targets are assigned to the daemons in turn.
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
	n.incarnation++
	n.state = New(w.params)
	n.recorder = NewRecorder()
	n.inbox = nil
	n.leaseRevision = 0
	n.routing = make(map[crid.Service]RoutingUpdate)
	now := n.clock(w.now)
	policy := crpolicy.Service{Name: booking, Floor: w.floor}
	var peers []crmember.Peer
	for _, d := range w.names {
		if d != n.name {
			peers = append(peers, crmember.Peer{Daemon: d, Reachable: true})
		}
	}
	w.step(n, crevent.Started{Now: now, Self: n.name, Incarnation: crid.Incarnation(n.incarnation)})
	w.step(n, crinstance.ListUpdated{Now: now, List: w.list(1)})
	w.step(n, crmember.PeersChanged{Now: now, Peers: peers})
	w.step(n, crconfig.Applied{Now: now, Snapshot: crpolicy.NewSnapshot(1, []crpolicy.Service{policy}, nil)})
}

func (w *world) step(n *node, ev crevent.Event) {
	for _, effect := range n.state.Step(ev) {
		switch effect := effect.(type) {
		case crevent.Send:
			w.send(n.name, effect)
		case RoutingUpdate:
			n.routing[effect.Service] = effect
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
	if w.partitioned[[2]crid.Daemon{from, s.To}] || w.rng.Float64() < w.loss {
		return
	}
	copies := 1
	if w.loss > 0 && w.rng.IntN(10) == 0 {
		copies = 2
	}
	for range copies {
		due := w.now + time.Duration(w.rng.Int64N(int64(w.delay)+1))
		to.inbox = append(to.inbox, delivery{due: due, from: from, msg: s.Msg})
	}
}

// advance runs one step of virtual time on all daemons.
func (w *world) advance() {
	w.now += stepLength
	w.renewLeases()
	for _, name := range w.names {
		n := w.nodes[name]
		if n.suspended {
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
	var later []delivery
	ready := n.inbox
	n.inbox = nil
	for _, d := range ready {
		if d.due > w.now {
			later = append(later, d)
			continue
		}
		w.step(n, crevent.Received{Now: n.clock(w.now), From: d.from, Msg: d.msg})
	}
	n.inbox = append(later, n.inbox...)
}

// renewLeases renews the leases, and moves them to the next list once no daemon holds
// one under the previous list.
func (w *world) renewLeases() {
	if w.nextMembers != nil && w.now >= w.switchAt {
		w.members = w.nextMembers
		w.nextMembers = nil
		w.rev++
	}
	for _, name := range w.names {
		n := w.nodes[name]
		if n.suspended || n.isolated || !slices.Contains(w.members, name) {
			continue
		}
		if w.nextMembers != nil {
			w.announceHandover(n)
			continue
		}
		now := n.clock(w.now)
		n.leaseRevision = w.rev
		w.step(n, crmember.Lease{Now: now, Active: w.rev, Members: w.members, Until: now.Add(leaseTime)})
	}
}

// changeMembers starts the move of the leases to other members. Reachable
// daemons give up their leases at once; the move waits until those of the others have
// expired.
func (w *world) changeMembers(members []crid.Daemon) {
	if w.nextMembers != nil {
		return
	}
	w.nextMembers = members
	w.switchAt = w.now + leaseTime*102/100
	for _, name := range w.names {
		if n := w.nodes[name]; !n.suspended && !n.isolated {
			w.announceHandover(n)
		}
	}
}

// announceHandover sends a node the event of the handover. Like crmember, it lets the
// node continue if the node is a member of both lists.
func (w *world) announceHandover(n *node) {
	now := n.clock(w.now)
	ev := crmember.Lease{Now: now}
	if slices.Contains(w.members, n.name) && slices.Contains(w.nextMembers, n.name) {
		ev.JointUntil = now.Add(leaseTime)
		ev.JointLists = []crmember.Membership{{Rev: w.rev, Members: w.members}, {Rev: w.rev + 1, Members: w.nextMembers}}
	}
	w.step(n, ev)
}

func (w *world) traffic(n *node) {
	states := make(map[crid.Target]TargetState)
	if st := n.routing[booking]; n.clock(w.now).Before(st.Until) || st.Until == 0 {
		for _, t := range st.Targets {
			states[t.Target] = t
		}
	}
	if n.balancer != nil {
		w.sendRequests(n, states)
		return
	}
	for range w.requestsPerStep {
		t := w.targets[w.rng.IntN(len(w.targets))]
		if st, ok := states[t]; ok && (st.Ejected || w.rng.IntN(FullWeight) >= st.Weight) {
			continue
		}
		account := crid.Account(fmt.Sprintf("a%d", w.rng.IntN(8)))
		act := w.behaviours[t]
		if act == nil {
			act = healthy
		}
		result, took := act(w.now, account, w.rng)
		if account == w.failingAccount {
			result = ResultFailed
		}
		if w.noResponse[n.name] == t {
			result = ResultStalled
		}
		n.recorder.Record(t, result, took, account)
	}
}

// ejectedSomewhere returns the targets that are ejected at any entry now.
func (w *world) ejectedSomewhere() map[crid.Target]bool {
	union := make(map[crid.Target]bool)
	for _, n := range w.nodes {
		st := n.routing[booking]
		if n.suspended || !n.clock(w.now).Before(st.Until) {
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

func (w *world) floorBreached() bool { return len(w.ejectedSomewhere()) > len(w.targets)-w.floor }

func (w *world) arbiter() *node {
	return w.nodes[w.nodes[w.members[0]].state.arbiter(booking)]
}

// ejectedEverywhere reports whether all daemons with callers treat the target as
// ejected.
func (w *world) ejectedEverywhere(t crid.Target) bool {
	for _, n := range w.nodes {
		if n.idle {
			continue
		}
		st := n.routing[booking]
		i := slices.IndexFunc(st.Targets, func(s TargetState) bool { return s.Target == t })
		if i < 0 || !st.Targets[i].Ejected || !n.clock(w.now).Before(st.Until) {
			return false
		}
	}
	return true
}
