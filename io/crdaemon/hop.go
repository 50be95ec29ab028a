package crdaemon

import (
	"context"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crroute"
	"camphorroad/io/crentry"
	"camphorroad/io/crexit"
	"camphorroad/io/crhop"
)

// hop sends forwards to the own exit without a session, and to all others over
// theirs.
type hop struct {
	self   crid.Daemon
	exit   *crexit.Exit
	client *crhop.Client
	clock  func() crid.Instant
}

var _ crentry.Hop = (*hop)(nil)

// Forward implements crentry.Hop.
func (h *hop) Forward(
	ctx context.Context, to *crroute.Target, f *crhop.Forward, body crentry.BodySource, sent func(crentry.Revoker),
) (*crhop.Exchange, error) {
	if to.Daemon() == h.self {
		sent(localRevoker{hop: h, id: f.ID})
		return h.exit.Run(ctx, h.exit.Own(), f, body.Open()), nil
	}
	return h.client.Forward(ctx, to.Daemon(), f, body.Open(), func(handle *crhop.Handle) {
		sent(remoteRevoker{client: h.client, handle: handle})
	})
}

type localRevoker struct {
	hop *hop
	id  crid.Request
}

// Revoke implements crentry.Revoker.
func (r localRevoker) Revoke(context.Context) crforward.Verdict {
	return r.hop.exit.Own().Revoke(r.id, 0, r.hop.clock())
}

type remoteRevoker struct {
	client *crhop.Client
	handle *crhop.Handle
}

// Revoke implements crentry.Revoker.
func (r remoteRevoker) Revoke(ctx context.Context) crforward.Verdict {
	return r.client.Revoke(ctx, r.handle)
}
