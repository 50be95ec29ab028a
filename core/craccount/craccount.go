// Package craccount holds every account to its rate and burst over the whole
// fleet, without a request waiting for another daemon in the common case.
//
// An account's limit is split in a few shares. Each share has one owner, a
// daemon chosen by rendezvous hash over the active list of instances, which
// alone mints the share's tokens. Daemons where requests enter ask the owners
// for tokens ahead of demand. Tokens are moved and never copied: the owner
// subtracts before it sends, a grant is added once, and what is lost is lost
// until it is void and its room is minted anew. docs/design/03-account-rate.md
// has the proof that no window w sees more than burst + rate*w admissions.
//
// [State] is the reducer for both roles, owner and entry. [Wallet] is the
// concurrency-safe side that request goroutines take tokens from.
//
// # Usage
//
//	state := craccount.New(craccount.DefaultParams())
//	wallet := craccount.NewWallet()
//	for _, eff := range state.Step(ev) {
//		switch eff := eff.(type) {
//		case craccount.Deposit:
//			wallet.Deposit(eff)
//		case craccount.Withdraw:
//			wallet.Withdraw(eff)
//		}
//	}
//	// every tick, and when wallet.Wanted() fires:
//	state.Step(craccount.Used{Now: now, Usage: wallet.Drain(now)})
//	// in a request:
//	decision := wallet.Admit(ctx, account, clock)
package craccount

import (
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

// Params tunes the reducer. All daemons of a fleet must agree on Shares,
// ShareBurst and Lifetime, since owners count on entries to void tokens in time.
type Params struct {
	Shares     int           // shares of one account's limit, at most; default 4
	ShareBurst float64       // burst of one share, at least, while there is more than one; default 10 tokens
	Lifetime   time.Duration // a grant is void this long after the Ask it answers was sent; default 2 s
	Drift      float64       // how far two daemons' clocks may run apart, as a fraction; default 0.025
	Margin     time.Duration // added to Lifetime by owners; default 20 ms
	Ahead      time.Duration // demand an entry holds tokens for; default 300 ms
	AskTimeout time.Duration // an unanswered Ask is given up after this; default 150 ms
	ShortFor   time.Duration // an owner that was short is not asked again for this long; default 200 ms
	ReportGap  time.Duration // between reports of spent tokens, where the burst allows; default 200 ms
	Smooth     time.Duration // time constant of the demand estimate; default 1 s
	IdleAfter  time.Duration // an account without requests is forgotten after this; default 30 s
	MaxActive  int           // accounts in use at this daemon, at most; default 20000

	flaws flaws
}

// flaws switch single guards off, so that tests can show that each matters.
type flaws struct {
	neverVoid       bool
	voidFromArrival bool
	noDedup         bool
	noPhantom       bool
	mintAsleep      bool
	shortEpochs     bool
	settleFirst     bool
	tightVoid       bool
	bridgeAll       bool
	creditEarly     bool
	creditTwice     bool
}

// DefaultParams returns the documented defaults.
func DefaultParams() Params {
	return Params{
		Shares:     4,
		ShareBurst: 10,
		Lifetime:   2 * time.Second,
		Drift:      0.025,
		Margin:     20 * time.Millisecond,
		Ahead:      300 * time.Millisecond,
		AskTimeout: 150 * time.Millisecond,
		ShortFor:   200 * time.Millisecond,
		ReportGap:  200 * time.Millisecond,
		Smooth:     time.Second,
		IdleAfter:  30 * time.Second,
		MaxActive:  20000,
	}
}

// ownerLifetime is how long an owner counts an unreported grant as spendable.
// It exceeds the entry's Lifetime by the drift of both clocks: were it shorter,
// the owner would mint into room whose tokens can still be spent, and a window
// would see more than burst + rate*w.
func (p Params) ownerLifetime() time.Duration {
	if p.flaws.tightVoid {
		return p.Lifetime
	}
	return time.Duration(float64(p.Lifetime)*(1+p.Drift)) + p.Margin
}

// State is the reducer of account tokens. It is not safe for concurrent use.
type State struct {
	params   Params
	self     crid.Daemon
	inc      crid.Incarnation
	now      crid.Instant
	snap     *crpolicy.Snapshot
	tenure   crmember.Lease // its Members are nil: see members
	members  roster         // of the list last known
	peers    map[crid.Daemon]crmember.Peer
	reported map[int]crid.Instant
	stopping bool

	owner owner
	entry entry
	out   outbox
}

// New returns a reducer that waits for [crevent.Started].
func New(params Params) *State {
	return &State{
		params:   params,
		peers:    map[crid.Daemon]crmember.Peer{},
		reported: map[int]crid.Instant{},
		owner:    newOwner(),
		entry:    newEntry(),
	}
}

// Step applies one event and returns what is to be done.
func (s *State) Step(ev crevent.Event) []crevent.Effect {
	s.advance(ev.At())
	switch ev := ev.(type) {
	case crevent.Started:
		s.self, s.inc = ev.Self, ev.Incarnation
		s.entry.nextSeq = 1
	case crevent.Tick:
		s.tickOwner()
		s.tickEntry()
	case crmember.Lease:
		s.takeTenure(ev)
	case crmember.PeersChanged:
		s.takePeers(ev)
	case crconfig.InForce:
		s.takeConfig(ev.Snapshot)
	case crevent.Received:
		s.receive(ev.From, ev.Msg)
	case Used:
		s.takeUsage(ev.Usage)
	case crevent.Stopping:
		s.stop()
	}
	return s.flush()
}

func (s *State) receive(from crid.Daemon, msg crevent.Message) {
	switch msg := msg.(type) {
	case Ask:
		s.takeAsk(from, msg)
	case Grant:
		s.takeGrant(from, msg)
	case Return:
		s.takeReturn(from, msg)
	}
}

// askable reports whether asking d is worth a message.
func (s *State) askable(d crid.Daemon) bool {
	if d == s.self {
		return true
	}
	p, ok := s.peers[d]
	return ok && !p.Down() && !p.Leaving
}

// limits returns an account's rate and burst; zeros for an unknown account.
func (s *State) limits(account crid.Account) crpolicy.Account {
	if s.snap == nil {
		return crpolicy.Account{}
	}
	a, _ := s.snap.Account(account)
	return a
}

// stop hands back what is held ahead. Requests that still come ask for their own
// tokens, and as an owner this daemon grants as long as it runs: what it has not
// granted by then is lost, since its successor trusts no word of a predecessor.
func (s *State) stop() {
	s.stopping = true
	s.report(EventStopped, "accounts", itoa(len(s.entry.accounts)))
	for _, name := range s.entry.names() {
		s.emit(Withdraw{Account: name})
	}
}
