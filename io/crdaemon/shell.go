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

// shell stands between the control loop and the world: it carries effects out,
// and holds what traffic goroutines read.
type shell struct {
	self   crid.Daemon
	log    *crlog.Logger
	clock  func() crid.Instant
	pulse  *crforward.PauseDetector
	exit   *crexit.Exit
	loads  *crview.LoadRegistry
	peers  *crpeer.Transport
	loop   *crcontrol.Loop
	reader *reader

	wallet   *craccount.TokenPool
	split    *craccount.LocalSplit // a baseline; nil in service
	recorder *crhealth.Recorder

	view    atomic.Pointer[crview.View]
	trusted atomic.Int64 // the instant up to which keys and policy may be acted on
	ready   atomic.Bool  // the newest configuration that could be learnt is in force
	settled atomic.Bool  // the shares of rates that are owned here are minted

	listening atomic.Bool // callers can connect

	// The rest is the control goroutine's.
	config  *crconfig.State
	account *craccount.State
	steers  map[crid.Service]crhealth.RoutingUpdate
	in      crview.Input
	contact crid.Instant // up to which the fleet is known to be in contact
	dirty   bool
}

var _ crpeer.Handler = (*shell)(nil)

// HandleMessage implements crpeer.Handler.
func (s *shell) HandleMessage(from crid.Daemon, msg crevent.Message) {
	// A full queue drops the message; its sender repeats what still matters.
	_ = s.loop.Post(crevent.Received{Now: s.clock(), From: from, Msg: msg})
}

// AcceptSession implements crpeer.Handler.
func (s *shell) AcceptSession(ctx context.Context, _ crid.Daemon) func(ctx context.Context, st *quic.Stream) {
	return s.exit.OpenSession(ctx)
}

// do carries out one effect; the control goroutine calls it.
func (s *shell) do(eff crevent.Effect) {
	switch eff := eff.(type) {
	case crevent.Send:
		_ = s.peers.Send(eff.To, eff.Msg)
	case crevent.Report:
		s.log.Event(eff.Number, crlog.Fields(eff.Fields))
	case crinstance.ListUpdated:
		s.listed(eff.List)
	case crmember.Lease:
		s.contact = eff.ContactUntil
		s.trust(eff.Now)
	case crmember.PeersChanged:
		s.in.Peers = eff.Peers
		s.dirty = s.dirty || !eff.SampledOnly // sampled peers are never lost, so the view is the same
	case crconfig.Applied:
		s.inForce(eff)
	case crconfig.WatchPlatform, crconfig.ReadPlatform, crconfig.ReadList:
		go s.reader.perform(eff)
	case crhealth.RoutingUpdate:
		s.steer(eff)
	case craccount.Deposit:
		s.wallet.Deposit(eff)
	case craccount.Withdraw:
		s.wallet.Withdraw(eff)
	case craccount.Forget:
		s.wallet.Forget(eff)
	}
}

// trust tells the traffic side how long it may act on what it knows. A daemon
// that knows of a newer configuration which it can not get may hold keys that
// were withdrawn in it, and trusts none.
func (s *shell) trust(now crid.Instant) {
	s.ready.Store(s.config.Ready())
	s.settled.Store(s.account.RefillsAllShares())
	if !s.config.Trusted(now) {
		s.trusted.Store(0)
		return
	}
	s.trusted.Store(int64(s.contact))
}

func (s *shell) listed(list crinstance.List) {
	addrs := make(map[crid.Daemon]string, list.Len())
	for _, inst := range list.Instances() {
		if inst.Daemon != s.self {
			addrs[inst.Daemon] = inst.Addr
		}
	}
	s.peers.SetAddrs(addrs)
	s.in.List = list
	s.dirty = true
}

func (s *shell) inForce(eff crconfig.Applied) {
	_ = s.loop.Post(crmember.AdvertiseConfig{Now: eff.Now, ConfigRevision: uint64(eff.Snapshot.Revision())})
	first := s.view.Load() == nil
	in := s.in
	in.Snapshot = eff.Snapshot
	view, err := crview.Build(in)
	if err != nil {
		s.log.Event(crlog.ViewRefused, crlog.Fields{"error": err.Error()})
		return
	}
	s.in = in
	s.view.Store(view)
	for _, t := range s.exit.Apply(eff.Snapshot) {
		s.log.Event(crlog.TargetUnknown, crlog.Fields{"target": string(t)})
	}
	if first {
		s.log.Event(crlog.DaemonReady, crlog.Fields{"rev": strconv.FormatUint(uint64(eff.Snapshot.Revision()), 10)})
	}
}

// before runs at each tick: it notices pauses and renews the view, so that many
// changes of one moment make one view.
func (s *shell) before(now crid.Instant) []crevent.Event {
	if s.pulse.Tick(now) {
		s.log.Event(crlog.DaemonPaused, nil)
	}
	s.expireSteers(now)
	if view := s.view.Load(); s.dirty && view != nil {
		s.in.Health = s.steerTargets()
		s.view.Store(view.WithPools(s.in))
		s.dirty = false
	}
	s.trust(now)
	return s.drained(now)
}

// isTrusted reports whether this daemon may act on what it knows.
func (s *shell) isTrusted(now crid.Instant) bool {
	return s.ready.Load() && now.Before(crid.Instant(s.trusted.Load()))
}

var (
	errNoConfiguration = errors.New("no configuration yet")
	errNoStanding      = errors.New("cut off from the fleet")
	errNotSettled      = errors.New("no tokens are minted here yet")
	errNotListening    = errors.New("callers can not connect yet")
)

// checkReady reports why callers can not be served here, or nil.
func (s *shell) checkReady() error {
	if err := s.checkService(); err != nil {
		return err
	}
	if !s.listening.Load() {
		return errNotListening
	}
	return nil
}

// checkService is checkReady but for the callers' connections.
func (s *shell) checkService() error {
	switch {
	case s.view.Load() == nil || !s.ready.Load():
		return errNoConfiguration
	case !s.isTrusted(s.clock()):
		return errNoStanding
	case s.split == nil && !s.settled.Load():
		return errNotSettled
	}
	return nil
}

// Admit implements crentry.Admitter. Only an account that was not seen here
// lately waits, for one round trip to its owners at most.
func (s *shell) Admit(ctx context.Context, account crid.Account, _ crid.Instant) (bool, time.Duration) {
	if s.split != nil {
		d := s.split.Take(account, s.clock())
		return d.Outcome == craccount.Admitted, d.RetryAfter
	}
	wait := &coldContext{Context: ctx}
	defer wait.end()
	d := s.wallet.Admit(wait, account, s.clock)
	return d.Outcome == craccount.Admitted, d.RetryAfter
}

// coldWait bounds the wait for an account's first tokens.
const coldWait = 200 * time.Millisecond

// coldContext ends coldWait after it is first waited for. Nearly no request
// waits, and a context with a timer for each is a large part of an admission. It
// is for one goroutine.
type coldContext struct {
	context.Context
	cancel context.CancelFunc
}

// Done implements context.Context.
func (c *coldContext) Done() <-chan struct{} {
	if c.cancel == nil {
		c.Context, c.cancel = context.WithTimeout(c.Context, coldWait)
	}
	return c.Context.Done()
}

func (c *coldContext) end() {
	if c.cancel != nil {
		c.cancel()
	}
}
