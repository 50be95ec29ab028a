package crdaemon

import (
	"context"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/io/crcontrol"
	"camphorroad/io/crplatform"
)

// platformReader executes the platform reads that the configuration reducer
// requests, and posts their results to the control loop. Each read runs on its own
// goroutine, which ends with ctx.
type platformReader struct {
	ctx     context.Context
	client  crplatform.Port
	loop    *crcontrol.Loop
	clock   func() crid.Instant
	timeout time.Duration
}

// perform executes the read of an effect. Its result waits for room in the queue:
// if it were dropped, the reducer would wait for it forever.
func (r *platformReader) perform(eff crevent.Effect) {
	if ev, ok := crplatform.Perform(r.ctx, r.client, r.clock, r.timeout, eff); ok {
		_ = r.loop.PostWait(r.ctx, ev)
	}
}
