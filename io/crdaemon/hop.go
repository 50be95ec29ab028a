package crdaemon

import (
	"context"

	"camphorroad/core/crforward"
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crroute"
	"camphorroad/io/crentry"
	"camphorroad/io/crexit"
	"camphorroad/io/crhop"
)

// hop forwards requests to the exit of this daemon directly, and to the exits of
// other daemons over their sessions.
type hop struct {
	self   crid.Daemon
	exit   *crexit.Exit
	client *crhop.Client
	clock  func() crid.Instant

	recorder    *crhealth.Recorder
	maxBuffered int64 // largest request body, in bytes, that is buffered completely before it is sent
}

var _ crentry.Forwarder = (*hop)(nil)

// Forward implements crentry.Forwarder.
func (h *hop) Forward(
	ctx context.Context, to *crroute.Target, f *crhop.Forward, body crentry.BodySource, sent func(crentry.Revoker),
) (*crhop.Exchange, error) {
	if f.Length >= 0 && f.Length <= h.maxBuffered {
		// Only a buffered body is timed: while a longer one is sent, the target may
		// be waiting for the caller.
		defer h.recorder.Begin(to.Name(), f.Account, h.clock()).End()
	}
	if to.Daemon() == h.self {
		ledger := h.exit.LocalLedger()
		sent(localRevoker{ledger: ledger, clock: h.clock, id: f.ID})
		return h.exit.Run(ctx, ledger, f, body.Open()), nil
	}
	return h.client.Forward(ctx, to.Daemon(), f, body.Open(), func(handle *crhop.Handle) {
		sent(remoteRevoker{client: h.client, handle: handle})
	})
}

type localRevoker struct {
	ledger *crforward.Ledger
	clock  func() crid.Instant
	id     crid.Request
}

// Revoke implements crentry.Revoker.
func (r localRevoker) Revoke(context.Context) crforward.RevokeResult {
	return r.ledger.Revoke(r.id, 0, r.clock())
}

type remoteRevoker struct {
	client *crhop.Client
	handle *crhop.Handle
}

// Revoke implements crentry.Revoker.
func (r remoteRevoker) Revoke(ctx context.Context) crforward.RevokeResult {
	return r.client.Revoke(ctx, r.handle)
}
