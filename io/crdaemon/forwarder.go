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

// forwarder forwards requests to the exit of this daemon directly, and to the exits of
// other daemons over their sessions.
type forwarder struct {
	self   crid.Daemon
	exit   *crexit.Exit
	client *crhop.Client
	clock  func() crid.Instant

	recorder    *crhealth.Recorder
	maxBuffered int64 // largest request body, in bytes, that is buffered completely before it is sent
}

var _ crentry.Forwarder = (*forwarder)(nil)

// Forward implements crentry.Forwarder.
func (fw *forwarder) Forward(
	ctx context.Context, to *crroute.Target, f *crhop.Forward, body crentry.BodySource, sent func(crentry.Revoker),
) (*crhop.Exchange, error) {
	if f.Length >= 0 && f.Length <= fw.maxBuffered {
		// Only requests with a buffered body are timed: while a longer body is sent, the
		// target may be waiting for the caller.
		defer fw.recorder.Begin(to.Name(), f.Account, fw.clock()).End()
	}
	if to.Daemon() == fw.self {
		ledger := fw.exit.LocalLedger()
		sent(localRevoker{ledger: ledger, clock: fw.clock, id: f.ID})
		return fw.exit.Run(ctx, ledger, f, body.Open()), nil
	}
	return fw.client.Forward(ctx, to.Daemon(), f, body.Open(), func(handle *crhop.Handle) {
		sent(remoteRevoker{client: fw.client, handle: handle})
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
