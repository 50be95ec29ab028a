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
// [State] is the reducer for both roles, owner and entry. [TokenPool] is the
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
	MaxShares          int           `cbor:"Shares" json:"Shares"`         // shares of one account's limit, at most; default 4
	MinShareBurst      float64       `cbor:"ShareBurst" json:"ShareBurst"` // burst of one share, at least, while there is more than one; default 10 tokens
	Lifetime           time.Duration // a grant is void this long after the Ask it answers was sent; default 2 s
	Drift              float64       // how far two daemons' clocks may run apart, as a fraction; default 0.025
	Margin             time.Duration // added to Lifetime by owners; default 20 ms
	PrefetchTime       time.Duration `cbor:"Ahead" json:"Ahead"`           // demand an entry holds tokens for; default 300 ms
	RequestTimeout     time.Duration `cbor:"AskTimeout" json:"AskTimeout"` // an unanswered Ask is given up after this; default 150 ms
	ShortBackoff       time.Duration `cbor:"ShortFor" json:"ShortFor"`     // an owner that was short is not asked again for this long; default 200 ms
	ReportInterval     time.Duration `cbor:"ReportGap" json:"ReportGap"`   // between reports of spent tokens, where the burst allows; default 200 ms
	DemandTimeConstant time.Duration `cbor:"Smooth" json:"Smooth"`         // time constant of the demand estimate; default 1 s
	IdleAfter          time.Duration // an account without requests is forgotten after this; default 30 s
	MaxActive          int           // accounts in use at this daemon, at most; default 20000

	mutations mutations
}

// mutations switch single guards off, so that tests can show that each matters.
type mutations struct {
	neverExpire         bool
	expireFromArrival   bool
	noDedup             bool
	noTakeoverDelay     bool
	refillWithoutLease  bool
	countShortEpochs    bool
	applyUsageFirst     bool
	noClockMargin       bool
	countHandovers      bool
	creditWholeLifetime bool
	creditTwice         bool
}

// DefaultParams returns the documented defaults.
func DefaultParams() Params {
	return Params{
		MaxShares:          4,
		MinShareBurst:      10,
		Lifetime:           2 * time.Second,
		Drift:              0.025,
		Margin:             20 * time.Millisecond,
		PrefetchTime:       300 * time.Millisecond,
		RequestTimeout:     150 * time.Millisecond,
		ShortBackoff:       200 * time.Millisecond,
		ReportInterval:     200 * time.Millisecond,
		DemandTimeConstant: time.Second,
		IdleAfter:          30 * time.Second,
		MaxActive:          20000,
	}
}

// ownerLifetime is how long an owner counts an unreported grant as spendable.
// It exceeds the entry's Lifetime by the drift of both clocks: were it shorter,
// the owner would mint into room whose tokens can still be spent, and a window
// would see more than burst + rate*w.
func (p Params) ownerLifetime() time.Duration {
	if p.mutations.noClockMargin {
		return p.Lifetime
	}
	return time.Duration(float64(p.Lifetime)*(1+p.Drift)) + p.Margin
}

// State is the reducer of account tokens. It is not safe for concurrent use.
type State struct {
	params     Params
	self       crid.Daemon
	inc        crid.Incarnation
	now        crid.Instant
	snap       *crpolicy.Snapshot
	lease      crmember.Tenure // its Members are nil: see members
	members    memberSet       // of the list last known
	peers      map[crid.Daemon]crmember.Peer
	reportedAt map[int]crid.Instant
	stopping   bool

	owner ownerRole
	entry entryRole
	out   outbox
}

// New returns a reducer that waits for [crevent.Started].
func New(params Params) *State {
	return &State{
		params:     params,
		peers:      map[crid.Daemon]crmember.Peer{},
		reportedAt: map[int]crid.Instant{},
		owner:      newOwnerRole(),
		entry:      newEntryRole(),
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
	case crmember.Tenure:
		s.handleLease(ev)
	case crmember.Peers:
		s.handlePeers(ev)
	case crconfig.InForce:
		s.handleConfig(ev.Snapshot)
	case crevent.Received:
		s.receive(ev.From, ev.Msg)
	case UsageDrained:
		s.handleUsage(ev.Usage)
	case crevent.Stopping:
		s.stop()
	}
	return s.flush()
}

func (s *State) receive(from crid.Daemon, msg crevent.Message) {
	switch msg := msg.(type) {
	case TokenRequest:
		s.handleTokenRequest(from, msg)
	case Grant:
		s.handleGrant(from, msg)
	case UsageReport:
		s.handleUsageReport(from, msg)
	}
}

// canRequestFrom reports whether asking d is worth a message.
func (s *State) canRequestFrom(d crid.Daemon) bool {
	if d == s.self {
		return true
	}
	p, ok := s.peers[d]
	return ok && !p.Lost() && !p.Leaving
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
	for _, name := range s.entry.accountNames() {
		s.emit(Withdraw{Account: name})
	}
}
