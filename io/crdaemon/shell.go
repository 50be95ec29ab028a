package crdaemon

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"camphorroad/core/craccount"
	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crforward"
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crview"
	"camphorroad/io/crcontrol"
	"camphorroad/io/crexit"
	"camphorroad/io/crlog"
	"camphorroad/io/crpeer"
)

// shell connects the control loop to I/O: it executes effects, and holds the state
// that request goroutines read.
type shell struct {
	self          crid.Daemon
	log           *crlog.Logger
	clock         func() crid.Instant
	pauseDetector *crforward.PauseDetector
	exit          *crexit.Exit
	loads         *crview.LoadRegistry
	peers         *crpeer.Transport
	loop          *crcontrol.Loop
	reader        *platformReader

	tokenPool  *craccount.TokenPool
	localSplit *craccount.LocalSplit // nil unless the policy is "split"
	recorder   *crhealth.Recorder

	view          atomic.Pointer[crview.View]
	trustedUntil  atomic.Int64 // instant until which keys and policy may be used
	configReady   atomic.Bool  // the newest configuration that the sources reported is active
	refillsShares atomic.Bool  // all shares owned by this daemon are refilled

	listening atomic.Bool // connections of callers are accepted

	// The following fields are used by the control goroutine only.
	config       *crconfig.State
	account      *craccount.State
	routing      map[crid.Service]crhealth.RoutingUpdate
	viewInput    crview.Input
	contactUntil crid.Instant // instant until which this daemon is in contact with the fleet
	viewDirty    bool
}

var _ crpeer.Handler = (*shell)(nil)

// HandleMessage implements crpeer.Handler.
func (s *shell) HandleMessage(from crid.Daemon, msg crevent.Message) {
	// If the queue is full the message is dropped. Senders retransmit what is still
	// relevant.
	_ = s.loop.Post(crevent.Received{Now: s.clock(), From: from, Msg: msg})
}

// AcceptSession implements crpeer.Handler.
func (s *shell) AcceptSession(ctx context.Context, _ crid.Daemon) func(ctx context.Context, st *quic.Stream) {
	return s.exit.OpenSession(ctx)
}

// execute executes one effect. The control goroutine calls it.
func (s *shell) execute(eff crevent.Effect) {
	switch eff := eff.(type) {
	case crevent.Send:
		_ = s.peers.Send(eff.To, eff.Msg)
	case crevent.Report:
		s.log.Event(eff.Number, crlog.Fields(eff.Fields))
	case crinstance.ListUpdated:
		s.applyList(eff.List)
	case crmember.Lease:
		s.contactUntil = eff.ContactUntil
		s.updateTrust(eff.Now)
	case crmember.PeersChanged:
		s.viewInput.Peers = eff.Peers
		s.viewDirty = s.viewDirty || !eff.SampledOnly // a change of sampled peers does not affect the view
	case crconfig.Applied:
		s.applyConfig(eff)
	case crconfig.WatchPlatform, crconfig.ReadPlatform, crconfig.ReadList:
		go s.reader.perform(eff)
	case crhealth.RoutingUpdate:
		s.applyRouting(eff)
	case craccount.Deposit:
		s.tokenPool.Deposit(eff)
	case craccount.Withdraw:
		s.tokenPool.Withdraw(eff)
	case craccount.Forget:
		s.tokenPool.Forget(eff)
	}
}

// updateTrust sets until when request goroutines may use keys and policy. If a newer
// configuration is known but cannot be fetched, the active one may contain keys that
// the newer one withdraws, so neither keys nor policy may be used.
func (s *shell) updateTrust(now crid.Instant) {
	s.configReady.Store(s.config.Ready())
	s.refillsShares.Store(s.account.RefillsAllShares())
	if !s.config.Trusted(now) {
		s.trustedUntil.Store(0)
		return
	}
	s.trustedUntil.Store(int64(s.contactUntil))
}

func (s *shell) applyList(list crinstance.List) {
	addrs := make(map[crid.Daemon]string, list.Len())
	for _, inst := range list.Instances() {
		if inst.Daemon != s.self {
			addrs[inst.Daemon] = inst.Addr
		}
	}
	s.peers.SetAddrs(addrs)
	s.viewInput.List = list
	s.viewDirty = true
}

func (s *shell) applyConfig(eff crconfig.Applied) {
	_ = s.loop.Post(crmember.AdvertiseConfig{Now: eff.Now, ConfigRevision: uint64(eff.Snapshot.Revision())})
	first := s.view.Load() == nil
	in := s.viewInput
	in.Snapshot = eff.Snapshot
	view, err := crview.Build(in)
	if err != nil {
		s.log.Event(crlog.RoutesRejected, crlog.Fields{"error": err.Error()})
		return
	}
	s.viewInput = in
	s.view.Store(view)
	for _, t := range s.exit.Apply(eff.Snapshot) {
		s.log.Event(crlog.TargetUnknown, crlog.Fields{"target": string(t)})
	}
	if first {
		s.log.Event(crlog.DaemonReady, crlog.Fields{"rev": strconv.FormatUint(uint64(eff.Snapshot.Revision()), 10)})
	}
}

// collect runs before each tick, and when the token pool has to be drained. It detects
// pauses of the process and rebuilds the view if its input has changed, so that several
// changes within a tick cause one rebuild. It returns the counters of the request path
// as events.
func (s *shell) collect(now crid.Instant) []crevent.Event {
	if s.pauseDetector.Tick(now) {
		s.log.Event(crlog.DaemonPaused, nil)
	}
	s.expireRouting(now)
	if view := s.view.Load(); s.viewDirty && view != nil {
		s.viewInput.Health = s.targetHealth()
		s.view.Store(view.WithPools(s.viewInput))
		s.viewDirty = false
	}
	s.updateTrust(now)
	return s.drainCounters(now)
}

// isTrusted reports whether this daemon may use its keys and policy.
func (s *shell) isTrusted(now crid.Instant) bool {
	return s.configReady.Load() && now.Before(crid.Instant(s.trustedUntil.Load()))
}

var (
	errNoConfiguration = errors.New("no configuration yet")
	errPartitioned     = errors.New("cut off from the fleet")
	errNoTokens        = errors.New("no tokens are minted here yet")
	errNotListening    = errors.New("callers can not connect yet")
)

// checkReady returns nil if callers can connect and be served, or the reason why not.
func (s *shell) checkReady() error {
	if err := s.checkServing(); err != nil {
		return err
	}
	if !s.listening.Load() {
		return errNotListening
	}
	return nil
}

// checkServing is like checkReady, but does not require that callers can connect.
func (s *shell) checkServing() error {
	switch {
	case s.view.Load() == nil || !s.configReady.Load():
		return errNoConfiguration
	case !s.isTrusted(s.clock()):
		return errPartitioned
	case s.localSplit == nil && !s.refillsShares.Load():
		return errNoTokens
	}
	return nil
}

// Admit implements crentry.Admitter. It blocks only for an account without recent
// requests at this daemon, for at most one round trip to the owners of its shares.
func (s *shell) Admit(ctx context.Context, account crid.Account, _ crid.Instant) (bool, time.Duration) {
	if s.localSplit != nil {
		d := s.localSplit.Take(account, s.clock())
		return d.Outcome == craccount.Admitted, d.RetryAfter
	}
	waitCtx := &lazyTimeoutContext{Context: ctx}
	defer waitCtx.release()
	d := s.tokenPool.Admit(waitCtx, account, s.clock)
	return d.Outcome == craccount.Admitted, d.RetryAfter
}

// tokenWaitTimeout limits how long a request waits for the first tokens of its account.
const tokenWaitTimeout = 200 * time.Millisecond

// lazyTimeoutContext expires tokenWaitTimeout after the first call of Done. Few
// requests wait, and a context with a timer for every request would be a large part
// of the cost of an admission. It is not safe for concurrent use.
type lazyTimeoutContext struct {
	context.Context
	cancel context.CancelFunc
}

// Done implements context.Context.
func (c *lazyTimeoutContext) Done() <-chan struct{} {
	if c.cancel == nil {
		c.Context, c.cancel = context.WithTimeout(c.Context, tokenWaitTimeout)
	}
	return c.Context.Done()
}

func (c *lazyTimeoutContext) release() {
	if c.cancel != nil {
		c.cancel()
	}
}
