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
	horizon    = 600 * time.Millisecond // of the fake's tenure
	coldWait   = 20 * time.Millisecond
	clockError = 0.01
)

// job is something that happens at a true time.
type job struct {
	at time.Duration
	do func()
}

// oracle holds all admissions of an account to burst + rate*w for every w: a
// level that leaks at the rate exceeds the burst in some window or in none.
type oracle struct {
	rate, burst float64
	level       float64
	at          time.Duration
	worst       float64 // by how many tokens the bound was broken at most
}

func (o *oracle) admit(at time.Duration) {
	o.level = max(0, o.level-o.rate*(at-o.at).Seconds()) + 1
	o.at = at
	o.worst = max(o.worst, o.level-o.burst)
}

// coldRequest is a request that waits once for its account's owners.
type coldRequest struct {
	account crid.Account
	until   time.Duration
	done    func(bool)
	began   time.Duration
}

type node struct {
	name    crid.Daemon
	state   *State
	wallet  *Wallet
	inc     crid.Incarnation
	skew    float64
	offset  time.Duration
	paused  time.Duration // until
	dead    bool
	leaving bool
	shut    bool // takes no more requests
	colds   []coldRequest
	knows   crid.Revision // newest list it was told of in a handover
	split   *LocalSplit   // the baseline's part of this daemon
}

// testNet runs real reducers and wallets over a network that may lose, repeat
// and delay, with a fake that hands out tenure as crmember promises.
type testNet struct {
	rng      *rand.Rand
	now      time.Duration
	queue    []job // by time, then in the order of coming
	nodes    []*node
	params   Params
	snap     *crpolicy.Snapshot
	rev      crid.Revision
	members  []crid.Daemon
	over     []crmember.Membership // the active list and those to come
	tenureTo time.Duration         // nothing that lacks the newest list holds after this
	handTo   time.Duration         // the handover takes at least until then
	loss     float64
	dup      float64
	late     float64
	oracles  map[crid.Account]*oracle
	messages int
	bytes    int
	waited   int
	waitSum  time.Duration
	measure  bool
	reports  map[int]int
}

func newNet(seed uint64, n int, params Params, accounts ...crpolicy.Account) *testNet {
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
	w.over = []crmember.Membership{{Rev: w.rev, Members: w.members}}
	for _, nd := range w.nodes {
		w.start(nd)
	}
	w.every(tickEvery, func() {
		for _, nd := range w.nodes {
			w.tick(nd)
		}
	})
	w.every(100*time.Millisecond, w.beat)
	return w
}

func (w *testNet) at(d time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(w.queue, w.now+d+1, func(j job, at time.Duration) int { return cmp.Compare(j.at, at) })
	w.queue = slices.Insert(w.queue, i, job{at: w.now + d, do: do})
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
		j := w.queue[0]
		w.queue = w.queue[1:]
		w.now = j.at
		j.do()
	}
	w.now = end
}

func (w *testNet) clock(nd *node) crid.Instant {
	return crid.Instant(nd.offset + time.Duration(float64(w.now)*nd.skew))
}

// start begins a new life of a node.
func (w *testNet) start(nd *node) {
	nd.inc = crid.Incarnation(w.rng.Uint64() | 1)
	nd.state, nd.wallet, nd.colds = New(w.params), NewWallet(), nil
	nd.paused, nd.dead, nd.leaving = 0, false, false
	now := w.clock(nd)
	w.step(nd, crevent.Started{Now: now, Self: nd.name, Incarnation: nd.inc})
	w.step(nd, crconfig.InForce{Now: now, Snapshot: w.snap})
	w.tellPeers()
	w.tellTenure(nd, crmember.Lease{Members: w.members})
}

func (w *testNet) kill(nd *node) {
	nd.dead = true
	w.at(time.Second, w.tellPeers)
}

func (w *testNet) tellPeers() {
	var peers []crmember.Peer
	for _, nd := range w.nodes {
		peers = append(peers, crmember.Peer{Daemon: nd.name, Incarnation: nd.inc, Reachable: !nd.dead, Leaving: nd.leaving})
	}
	for _, nd := range w.nodes {
		w.deliver(nd, func() { w.step(nd, crmember.PeersChanged{Now: w.clock(nd), Peers: peers}) })
	}
}

// deliver runs do at a node when it is not paused; a dead one gets nothing.
func (w *testNet) deliver(nd *node, do func()) {
	inc := nd.inc
	if w.now < nd.paused {
		w.at(nd.paused-w.now, func() { w.deliver(nd, do) })
		return
	}
	if !nd.dead && nd.state != nil && nd.inc == inc {
		do()
	}
}

// relistTo begins the handover to a list.
func (w *testNet) relistTo(list []crid.Daemon, takes time.Duration) {
	rev := w.over[len(w.over)-1].Rev + 1
	w.over = append(w.over, crmember.Membership{Rev: rev, Members: list})
	w.handTo = w.now + takes
}

// beat renews tenure; evidence counts from now, whenever it arrives.
func (w *testNet) beat() {
	if newest := w.over[len(w.over)-1]; len(w.over) > 1 && w.now > w.tenureTo && w.now > w.handTo {
		w.members, w.rev = newest.Members, newest.Rev
		w.over = w.over[len(w.over)-1:]
	}
	if len(w.over) > 1 {
		w.bridge()
		return
	}
	w.tenureTo = w.now + horizon + horizon/50
	for _, nd := range w.nodes {
		ev := crmember.Lease{Members: w.members, JointLists: w.over}
		if slices.Contains(w.members, nd.name) {
			ev.Active, ev.Until = w.rev, w.clock(nd).Add(horizon)
		}
		w.tellTenure(nd, ev)
	}
}

// bridge tells some daemons, as crmember does during a handover, that they may
// go on with what all lists that they know give them. Who does not know the
// newest list holds up its activation.
func (w *testNet) bridge() {
	for _, nd := range w.nodes {
		if w.now > w.handTo || w.rng.IntN(12) == 0 {
			nd.knows = w.over[len(w.over)-1].Rev
		}
		over := slices.DeleteFunc(slices.Clone(w.over), func(m crmember.Membership) bool {
			return m.Rev > max(nd.knows, w.over[0].Rev)
		})
		named := !slices.ContainsFunc(over, func(m crmember.Membership) bool { return !slices.Contains(m.Members, nd.name) })
		if w.rng.IntN(3) == 0 || !named {
			w.tellTenure(nd, crmember.Lease{})
			continue
		}
		if len(over) < len(w.over) {
			w.tenureTo = w.now + horizon + horizon/50
		}
		w.tellTenure(nd, crmember.Lease{JointUntil: w.clock(nd).Add(horizon), JointLists: over})
	}
}

func (w *testNet) tellTenure(nd *node, ev crmember.Lease) {
	w.deliver(nd, func() {
		ev.Now = w.clock(nd)
		w.step(nd, ev)
	})
}

func (w *testNet) tick(nd *node) {
	if nd.dead || w.now < nd.paused {
		return
	}
	now := w.clock(nd)
	w.step(nd, Used{Now: now, Usage: nd.wallet.Drain(now)})
	w.step(nd, crevent.Tick{Now: now})
}

func (w *testNet) step(nd *node, ev crevent.Event) {
	for _, eff := range nd.state.Step(ev) {
		switch eff := eff.(type) {
		case crevent.Send:
			w.send(nd, eff)
		case Deposit:
			nd.wallet.Deposit(eff)
		case Withdraw:
			nd.wallet.Withdraw(eff)
		case Forget:
			nd.wallet.Forget(eff)
		case crevent.Report:
			w.reports[eff.Number]++
		}
	}
	w.retry(nd)
	select {
	case <-nd.wallet.Wanted():
		now := w.clock(nd)
		w.step(nd, Used{Now: now, Usage: nd.wallet.Drain(now)})
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
	if w.rng.Float64() < w.dup {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.loss {
			continue
		}
		w.at(w.delay(), func() { w.arrive(nd.name, eff) })
	}
}

func (w *testNet) delay() time.Duration {
	if w.rng.Float64() < w.late {
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

// request sends one request to a node; done hears whether it was admitted.
func (w *testNet) request(nd *node, account crid.Account, done func(bool)) {
	if nd.dead || w.now < nd.paused {
		return
	}
	d := nd.wallet.Take(account, w.clock(nd))
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
	nd.colds = append(nd.colds, coldRequest{account: account, until: w.now + coldWait, done: done, began: w.now})
	w.at(coldWait+1, func() { w.retry(nd) })
	<-nd.wallet.Wanted()
	now := w.clock(nd)
	w.step(nd, Used{Now: now, Usage: nd.wallet.Drain(now)})
}

// count returns a done that counts admissions.
func count(n *int) func(bool) {
	return func(ok bool) {
		if ok {
			*n++
		}
	}
}

// retry lets waiting requests take what has been deposited.
func (w *testNet) retry(nd *node) {
	if nd.dead || w.now < nd.paused {
		return
	}
	colds := nd.colds
	nd.colds = nil
	for _, c := range colds {
		d := nd.wallet.retake(c.account, w.clock(nd))
		if d.Outcome == Cold && w.now <= c.until {
			nd.colds = append(nd.colds, c)
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
