package crdaemon

import (
	"context"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/io/crcontrol"
	"camphorroad/io/crplatform"
)

// reader carries out the configuration reducer's calls to the platform, and
// feeds their results back. Each call runs on a goroutine that ends with ctx.
type reader struct {
	ctx     context.Context
	port    crplatform.Port
	loop    *crcontrol.Loop
	clock   func() crid.Instant
	timeout time.Duration
}

// perform makes the call of an effect. Its result waits for room in the queue: a
// lost one would leave the reducer waiting for it.
func (r *reader) perform(eff crevent.Effect) {
	if ev, ok := crplatform.Perform(r.ctx, r.port, r.clock, r.timeout, eff); ok {
		_ = r.loop.PostWait(r.ctx, ev)
	}
}
