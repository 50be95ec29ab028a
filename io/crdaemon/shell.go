package crdaemon

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crview"
	"camphorroad/io/crcontrol"
	"camphorroad/io/crentry"
	"camphorroad/io/crexit"
	"camphorroad/io/crlog"
	"camphorroad/io/crpeer"
)

// shell stands between the control loop and the world: it carries effects out,
// and holds what traffic goroutines read.
type shell struct {
	self  crid.Daemon
	log   *crlog.Logger
	clock func() crid.Instant
	pulse *crforward.Pulse
	exit  *crexit.Exit
	loads *crview.Loads
	peers *crpeer.Transport
	loop  *crcontrol.Loop

	view    atomic.Pointer[crview.View]
	trusted atomic.Int64 // the instant up to which this daemon has standing

	in    crview.Input // owned by the control goroutine
	dirty bool
}

var _ crpeer.Handler = (*shell)(nil)

// Message implements crpeer.Handler.
func (s *shell) Message(from crid.Daemon, msg crevent.Message) {
	// A full queue drops the message; its sender repeats what still matters.
	_ = s.loop.Post(crevent.Received{Now: s.clock(), From: from, Msg: msg})
}

// Open implements crpeer.Handler.
func (s *shell) Open(ctx context.Context, _ crid.Daemon) func(ctx context.Context, st *quic.Stream) {
	return s.exit.OpenSession(ctx)
}

// do carries out one effect; the control goroutine calls it.
func (s *shell) do(eff crevent.Effect) {
	switch eff := eff.(type) {
	case crevent.Send:
		_ = s.peers.Send(eff.To, eff.Msg)
	case crevent.Report:
		s.log.Event(eff.Number, crlog.Fields(eff.Fields))
	case crinstance.Listed:
		s.listed(eff.List)
	case crmember.Tenure:
		s.trusted.Store(int64(eff.Until))
	case crmember.Peers:
		s.in.Peers = eff.Peers
		s.dirty = true
	case crconfig.InForce:
		s.inForce(eff)
	}
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

func (s *shell) inForce(eff crconfig.InForce) {
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
	if s.pulse.Beat(now) {
		s.log.Event(crlog.DaemonPaused, nil)
	}
	if view := s.view.Load(); s.dirty && view != nil {
		s.view.Store(view.With(s.in))
		s.dirty = false
	}
	return nil
}

// isTrusted reports whether this daemon may act on what it knows.
func (s *shell) isTrusted(now crid.Instant) bool {
	return now.Before(crid.Instant(s.trusted.Load()))
}

var (
	errNoConfiguration = errors.New("no configuration yet")
	errNoStanding      = errors.New("cut off from the fleet")
)

func (s *shell) ready() error {
	switch {
	case s.view.Load() == nil:
		return errNoConfiguration
	case !s.isTrusted(s.clock()):
		return errNoStanding
	}
	return nil
}

func (s *shell) observe(crid.Service, crid.Target, crid.Account, crentry.Outcome, time.Duration) {}
