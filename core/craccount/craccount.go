// Package craccount enforces the rate and burst of every client account across the fleet. In the
// common case a request is admitted without waiting for another daemon.
//
// An account's limit is split into a few shares, each a token bucket. Each share has one owner, a
// daemon selected by rendezvous hashing over the active instance list. Only the owner refills the
// share. Entry daemons, where requests arrive, request tokens from the owners ahead of demand.
// Tokens are moved and never copied: the owner subtracts tokens from its balance before it sends a
// grant, and the entry daemon adds a grant once. The owner may refill the tokens of a lost grant
// when the grant has expired. docs/design/03-account-rate.md proves that at most burst + rate*w
// requests are admitted in any window of length w.
//
// Owners refill only under a membership lease ([crmember.Lease]). The refill clock, by which they
// refill, advances only while this daemon holds one.
//
// [State] is the reducer of both roles, owner and entry daemon; core/crdaemon runs it. [TokenPool]
// is the concurrency-safe side that request goroutines take tokens from. Package crquota enforces
// the same limits for core/crmesh, with one owner for a whole account and a message for each
// request.
//
// # Usage
//
//	state := craccount.New(craccount.DefaultParams())
//	pool := craccount.NewTokenPool()
//	for _, eff := range state.Step(ev) {
//		switch eff := eff.(type) {
//		case craccount.Deposit:
//			pool.Deposit(eff)
//		case craccount.Withdraw:
//			pool.Withdraw(eff)
//		case craccount.Forget:
//			pool.Forget(eff)
//		}
//	}
//	// on every tick, and when pool.DrainNeeded() receives:
//	state.Step(craccount.UsageDrained{Now: now, Usage: pool.Drain(now)})
//	// in a request:
//	decision := pool.Admit(ctx, account, clock)
package craccount

import (
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

// Params configures the reducer. All daemons of a fleet must agree on MaxShares, MinShareBurst
// and Lifetime, since owners rely on entry daemons to expire tokens in time.
type Params struct {
	MaxShares          int           `cbor:"Shares" json:"Shares"`         // shares of one account's limit, at most; default 4
	MinShareBurst      float64       `cbor:"ShareBurst" json:"ShareBurst"` // burst of a share, at least, when an account has several; default 10 tokens
	Lifetime           time.Duration // time from sending a TokenRequest until the tokens of its Grant expire; default 2 s
	Drift              float64       // difference in speed of two daemons' clocks, at most, as a fraction; default 0.025
	Margin             time.Duration // added to Lifetime by owners; default 20 ms
	PrefetchTime       time.Duration `cbor:"Ahead" json:"Ahead"`           // an entry daemon holds tokens for the demand of this time; default 300 ms
	RequestTimeout     time.Duration `cbor:"AskTimeout" json:"AskTimeout"` // an unanswered TokenRequest is abandoned after this time; default 150 ms
	ShortBackoff       time.Duration `cbor:"ShortFor" json:"ShortFor"`     // an owner that ran short gets no further requests for this time; default 200 ms
	ReportInterval     time.Duration `cbor:"ReportGap" json:"ReportGap"`   // between reports of spent tokens, where the burst allows; default 200 ms
	DemandTimeConstant time.Duration `cbor:"Smooth" json:"Smooth"`         // of the exponential average of the demand; default 1 s
	IdleAfter          time.Duration // an account without requests is dropped after this time; default 30 s
	MaxActive          int           // accounts in use at this daemon, at most; default 20000

	mutations mutations
}

// mutations disable single safeguards, so that tests can show that each is needed.
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

// ownerLifetime is how long an owner counts an unreported grant as spendable. It exceeds the
// entry daemon's Lifetime by the drift of both clocks. If it were shorter, the owner would
// refill room whose tokens can still be spent, and more than burst + rate*w requests would be
// admitted in a window of length w.
func (p Params) ownerLifetime() time.Duration {
	if p.mutations.noClockMargin {
		return p.Lifetime
	}
	return time.Duration(float64(p.Lifetime)*(1+p.Drift)) + p.Margin
}

// State is the reducer of account tokens, for the roles of owner and entry daemon. It is
// not safe for concurrent use.
type State struct {
	params          Params
	self            crid.Daemon
	inc             crid.Incarnation
	now             crid.Instant
	snap            *crpolicy.Snapshot
	lease           crmember.Lease // without Members and JointLists
	members         memberSet      // of the last active list received
	peers           map[crid.Daemon]crmember.Peer
	eventReportedAt map[int]crid.Instant // by event number, for reportLimited
	stopping        bool

	owner ownerRole
	entry entryRole
	out   outbox
}

// New returns a reducer that waits for [crevent.Started].
func New(params Params) *State {
	return &State{
		params:          params,
		peers:           map[crid.Daemon]crmember.Peer{},
		eventReportedAt: map[int]crid.Instant{},
		owner:           newOwnerRole(),
		entry:           newEntryRole(),
	}
}

// Step applies one event and returns the effects to carry out.
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
		s.handleLease(ev)
	case crmember.PeersChanged:
		s.handlePeers(ev)
	case crconfig.Applied:
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

// canRequestFrom reports whether d is expected to answer a TokenRequest.
func (s *State) canRequestFrom(d crid.Daemon) bool {
	if d == s.self {
		return true
	}
	p, ok := s.peers[d]
	return ok && !p.Down() && !p.Leaving
}

// limits returns an account's rate and burst, or zeros for an unknown account.
func (s *State) limits(account crid.Account) crpolicy.Account {
	if s.snap == nil {
		return crpolicy.Account{}
	}
	a, _ := s.snap.Account(account)
	return a
}

// stop returns the prefetched tokens. Afterwards tokens are requested only for requests that
// arrive.
// As an owner, this daemon grants tokens as long as it runs. What it has not granted by then is
// lost, since its successor accepts no balance from it.
func (s *State) stop() {
	s.stopping = true
	s.report(EventStopped, "accounts", itoa(len(s.entry.accounts)))
	for _, name := range s.entry.accountNames() {
		s.emit(Withdraw{Account: name})
	}
}
