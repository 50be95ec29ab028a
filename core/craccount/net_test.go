package craccount

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

const (
	tickEvery  = 50 * time.Millisecond
	leaseTime  = 600 * time.Millisecond // of the simulated lease
	coldWait   = 20 * time.Millisecond
	clockError = 0.01
)

// scheduledCall is a function that runs at a point in simulated time.
type scheduledCall struct {
	at time.Duration
	do func()
}

// oracle checks all admissions of an account against burst + rate*w for every w: a level that
// leaks at the rate exceeds the burst exactly when some window exceeds the bound.
type oracle struct {
	rate, burst float64
	level       float64
	at          time.Duration
	maxExcess   float64 // tokens above the bound, at most
}

func (o *oracle) admit(at time.Duration) {
	o.level = max(0, o.level-o.rate*(at-o.at).Seconds()) + 1
	o.at = at
	o.maxExcess = max(o.maxExcess, o.level-o.burst)
}

// coldRequest is a request that waits once for the owners of its account.
type coldRequest struct {
	account crid.Account
	until   time.Duration
	done    func(bool)
	began   time.Duration
}

type node struct {
	name         crid.Daemon
	state        *State
	pool         *TokenPool
	inc          crid.Incarnation
	skew         float64
	offset       time.Duration
	pausedUntil  time.Duration
	killed       bool
	leaving      bool
	closed       bool // accepts no more requests
	coldRequests []coldRequest
	receivedRev  crid.Revision // newest list that it received in a handover
	split        *LocalSplit   // the baseline policy of this daemon
}

// testNet runs reducers and token pools over a simulated network that may lose, repeat and
// delay messages. It issues leases with the guarantees of crmember.
type testNet struct {
	rng           *rand.Rand
	now           time.Duration
	queue         []scheduledCall // by time, then by order of insertion
	nodes         []*node
	params        Params
	snap          *crpolicy.Snapshot
	rev           crid.Revision
	members       []crid.Daemon
	jointLists    []crmember.Membership // the lists from the active one to the newest
	leaseUntil    time.Duration         // leases of lists before the newest end by then
	handoverUntil time.Duration         // the handover lasts at least until then
	lossRate      float64
	dupRate       float64
	lateRate      float64
	oracles       map[crid.Account]*oracle
	messages      int
	bytes         int
	waited        int
	waitSum       time.Duration
	measure       bool
	reports       map[int]int
}

func newTestNet(seed uint64, n int, params Params, accounts ...crpolicy.Account) *testNet {
	w := &testNet{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		params:  params,
		snap:    crpolicy.NewSnapshot(1, nil, accounts),
		rev:     1,
		oracles: map[crid.Account]*oracle{},
		reports: map[int]int{},
	}
	for _, a := range accounts {
		w.oracles[a.Name] = &oracle{rate: a.Rate * (1 + clockError), burst: a.Burst + 1e-6}
	}
	for i := range n {
		nd := &node{name: crid.Daemon(fmt.Sprintf("d%02d", i)), skew: 1 + clockError*(2*w.rng.Float64()-1)}
		nd.offset = time.Duration(w.rng.IntN(1000)+1) * time.Second
		w.nodes = append(w.nodes, nd)
		w.members = append(w.members, nd.name)
	}
	w.jointLists = []crmember.Membership{{Rev: w.rev, Members: w.members}}
	for _, nd := range w.nodes {
		w.start(nd)
	}
	w.every(tickEvery, func() {
		for _, nd := range w.nodes {
			w.tick(nd)
		}
	})
	w.every(100*time.Millisecond, w.renewLeases)
	return w
}

func (w *testNet) at(d time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(w.queue, w.now+d+1, func(c scheduledCall, at time.Duration) int { return cmp.Compare(c.at, at) })
	w.queue = slices.Insert(w.queue, i, scheduledCall{at: w.now + d, do: do})
}

func (w *testNet) every(d time.Duration, do func()) {
	w.at(d, func() {
		do()
		w.every(d, do)
	})
}

func (w *testNet) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		call := w.queue[0]
		w.queue = w.queue[1:]
		w.now = call.at
		call.do()
	}
	w.now = end
}

func (w *testNet) clock(nd *node) crid.Instant {
	return crid.Instant(nd.offset + time.Duration(float64(w.now)*nd.skew))
}

// start restarts a node with a new incarnation.
func (w *testNet) start(nd *node) {
	nd.inc = crid.Incarnation(w.rng.Uint64() | 1)
	nd.state, nd.pool, nd.coldRequests = New(w.params), NewTokenPool(), nil
	nd.pausedUntil, nd.killed, nd.leaving = 0, false, false
	now := w.clock(nd)
	w.step(nd, crevent.Started{Now: now, Self: nd.name, Incarnation: nd.inc})
	w.step(nd, crconfig.Applied{Now: now, Snapshot: w.snap})
	w.sendPeers()
	w.sendLease(nd, crmember.Lease{Members: w.members})
}

func (w *testNet) kill(nd *node) {
	nd.killed = true
	w.at(time.Second, w.sendPeers)
}

func (w *testNet) sendPeers() {
	var peers []crmember.Peer
	for _, nd := range w.nodes {
		peers = append(peers, crmember.Peer{Daemon: nd.name, Incarnation: nd.inc, Reachable: !nd.killed, Leaving: nd.leaving})
	}
	for _, nd := range w.nodes {
		w.deliver(nd, func() { w.step(nd, crmember.PeersChanged{Now: w.clock(nd), Peers: peers}) })
	}
}

// deliver runs do at a node once it is not paused. A killed node receives nothing.
func (w *testNet) deliver(nd *node, do func()) {
	inc := nd.inc
	if w.now < nd.pausedUntil {
		w.at(nd.pausedUntil-w.now, func() { w.deliver(nd, do) })
		return
	}
	if !nd.killed && nd.state != nil && nd.inc == inc {
		do()
	}
}

// beginHandover begins the handover to a list.
func (w *testNet) beginHandover(list []crid.Daemon, duration time.Duration) {
	rev := w.jointLists[len(w.jointLists)-1].Rev + 1
	w.jointLists = append(w.jointLists, crmember.Membership{Rev: rev, Members: list})
	w.handoverUntil = w.now + duration
}

// renewLeases renews the leases; their time counts from now, whenever the event arrives.
func (w *testNet) renewLeases() {
	if newest := w.jointLists[len(w.jointLists)-1]; len(w.jointLists) > 1 && w.now > w.leaseUntil && w.now > w.handoverUntil {
		w.members, w.rev = newest.Members, newest.Rev
		w.jointLists = w.jointLists[len(w.jointLists)-1:]
	}
	if len(w.jointLists) > 1 {
		w.renewJointLeases()
		return
	}
	w.leaseUntil = w.now + leaseTime + leaseTime/50
	for _, nd := range w.nodes {
		ev := crmember.Lease{Members: w.members, JointLists: w.jointLists}
		if slices.Contains(w.members, nd.name) {
			ev.Active, ev.Until = w.rev, w.clock(nd).Add(leaseTime)
		}
		w.sendLease(nd, ev)
	}
}

// renewJointLeases renews some leases during a handover, as crmember does, for the shares that all
// lists received by the daemon assign to it. A daemon that has not received the newest list delays
// its activation.
func (w *testNet) renewJointLeases() {
	for _, nd := range w.nodes {
		if w.now > w.handoverUntil || w.rng.IntN(12) == 0 {
			nd.receivedRev = w.jointLists[len(w.jointLists)-1].Rev
		}
		received := slices.DeleteFunc(slices.Clone(w.jointLists), func(m crmember.Membership) bool {
			return m.Rev > max(nd.receivedRev, w.jointLists[0].Rev)
		})
		listed := !slices.ContainsFunc(received, func(m crmember.Membership) bool { return !slices.Contains(m.Members, nd.name) })
		if w.rng.IntN(3) == 0 || !listed {
			w.sendLease(nd, crmember.Lease{})
			continue
		}
		if len(received) < len(w.jointLists) {
			w.leaseUntil = w.now + leaseTime + leaseTime/50
		}
		w.sendLease(nd, crmember.Lease{JointUntil: w.clock(nd).Add(leaseTime), JointLists: received})
	}
}

func (w *testNet) sendLease(nd *node, ev crmember.Lease) {
	w.deliver(nd, func() {
		ev.Now = w.clock(nd)
		w.step(nd, ev)
	})
}

func (w *testNet) tick(nd *node) {
	if nd.killed || w.now < nd.pausedUntil {
		return
	}
	now := w.clock(nd)
	w.step(nd, UsageDrained{Now: now, Usage: nd.pool.Drain(now)})
	w.step(nd, crevent.Tick{Now: now})
}

func (w *testNet) step(nd *node, ev crevent.Event) {
	for _, eff := range nd.state.Step(ev) {
		switch eff := eff.(type) {
		case crevent.Send:
			w.send(nd, eff)
		case Deposit:
			nd.pool.Deposit(eff)
		case Withdraw:
			nd.pool.Withdraw(eff)
		case Forget:
			nd.pool.Forget(eff)
		case crevent.Report:
			w.reports[eff.Number]++
		}
	}
	w.retry(nd)
	select {
	case <-nd.pool.DrainNeeded():
		now := w.clock(nd)
		w.step(nd, UsageDrained{Now: now, Usage: nd.pool.Drain(now)})
	default:
	}
}

func (w *testNet) send(nd *node, eff crevent.Send) {
	if w.measure {
		b, err := cbor.Marshal(eff.Msg)
		if err != nil {
			panic(err)
		}
		w.messages++
		w.bytes += len(b)
	}
	copies := 1
	if w.rng.Float64() < w.dupRate {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.lossRate {
			continue
		}
		w.at(w.delay(), func() { w.arrive(nd.name, eff) })
	}
}

func (w *testNet) delay() time.Duration {
	if w.rng.Float64() < w.lateRate {
		return time.Duration(w.rng.Int64N(int64(4 * time.Second)))
	}
	return time.Millisecond + time.Duration(w.rng.IntN(200))*time.Microsecond
}

func (w *testNet) arrive(from crid.Daemon, eff crevent.Send) {
	for _, nd := range w.nodes {
		if nd.name == eff.To {
			w.deliver(nd, func() {
				w.step(nd, crevent.Received{Now: w.clock(nd), From: from, Msg: eff.Msg})
			})
		}
	}
}

// request sends one request to a node; done receives whether it was admitted.
func (w *testNet) request(nd *node, account crid.Account, done func(bool)) {
	if nd.killed || w.now < nd.pausedUntil {
		return
	}
	d := nd.pool.Take(account, w.clock(nd))
	if d.Outcome == Admitted {
		w.oracles[account].admit(w.now)
	}
	if d.Outcome != Cold {
		done(d.Outcome == Admitted)
		return
	}
	if w.measure {
		w.waited++
	}
	nd.coldRequests = append(nd.coldRequests, coldRequest{account: account, until: w.now + coldWait, done: done, began: w.now})
	w.at(coldWait+1, func() { w.retry(nd) })
	<-nd.pool.DrainNeeded()
	now := w.clock(nd)
	w.step(nd, UsageDrained{Now: now, Usage: nd.pool.Drain(now)})
}

// count returns a done function that counts admissions.
func count(n *int) func(bool) {
	return func(ok bool) {
		if ok {
			*n++
		}
	}
}

// retry lets waiting requests take deposited tokens.
func (w *testNet) retry(nd *node) {
	if nd.killed || w.now < nd.pausedUntil {
		return
	}
	colds := nd.coldRequests
	nd.coldRequests = nil
	for _, c := range colds {
		d := nd.pool.takeAfterWait(c.account, w.clock(nd))
		if d.Outcome == Cold && w.now <= c.until {
			nd.coldRequests = append(nd.coldRequests, c)
			continue
		}
		if d.Outcome == Admitted {
			w.oracles[c.account].admit(w.now)
		}
		if w.measure {
			w.waitSum += w.now - c.began
		}
		c.done(d.Outcome == Admitted)
	}
}
