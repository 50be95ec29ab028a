package crdaemon

import (
	"context"
	"errors"
	"time"

	"camphorroad/core/crconfig"
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

// post waits for room in the queue: a lost result would leave the reducer
// waiting for it.
func (r *reader) post(ev crevent.Event) { _ = r.loop.PostWait(r.ctx, ev) }

func (r *reader) watch(eff crconfig.WatchPlatform) {
	ctx, cancel := context.WithTimeout(r.ctx, eff.Wait+r.timeout)
	defer cancel()
	head, err := r.port.Watch(ctx, eff.After, eff.Wait)
	r.post(crconfig.WatchResult{Now: r.clock(), Head: head, Fault: faultOf(err)})
}

func (r *reader) read(eff crconfig.ReadPlatform) {
	ctx, cancel := context.WithTimeout(r.ctx, r.timeout)
	defer cancel()
	data, err := r.port.Value(ctx, eff.Name, eff.Digest)
	r.post(crconfig.Read{Now: r.clock(), Digest: eff.Digest, Data: data, Fault: faultOf(err)})
}

func (r *reader) list() {
	ctx, cancel := context.WithTimeout(r.ctx, r.timeout)
	defer cancel()
	list, err := r.port.Instances(ctx)
	r.post(crconfig.ListRead{Now: r.clock(), List: list, Fault: faultOf(err)})
}

// faultOf turns the platform layer's errors into the reducer's words.
func faultOf(err error) crconfig.Fault {
	switch {
	case err == nil:
		return crconfig.FaultNone
	case errors.Is(err, crplatform.ErrStale):
		return crconfig.FaultStale
	case errors.Is(err, crplatform.ErrNotFound), errors.Is(err, crplatform.ErrTooLarge):
		return crconfig.FaultMissing
	}
	return crconfig.FaultAway
}
