package crexit

import (
	"net/http"
	"sync/atomic"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crslot"
)

type target struct {
	spec      TargetSpec
	transport atomic.Pointer[http.Transport]
	queue     atomic.Pointer[crslot.Queue]
	policy    atomic.Pointer[crpolicy.Service]
	inflight  atomic.Int64
	leaving   atomic.Bool // the upstream reports that it is draining
	backoff   crslot.OverloadBackoff
}

func newTarget(spec TargetSpec) *target { return &target{spec: spec} }

// apply sets the limits of the service's policy. It keeps the queue across changes,
// so that slots in use still count.
func (t *target) apply(svc crpolicy.Service, clock func() crid.Instant) {
	t.policy.Store(&svc)
	t.setMaxConns(svc.Connections)
	if q := t.queue.Load(); q != nil {
		q.SetSlots(svc.Slots)
		q.SetMaxWaiting(svc.Queue)
		return
	}
	t.queue.Store(crslot.New(crslot.Params{Slots: svc.Slots, MaxWaiting: svc.Queue}, clock))
}

// setMaxConns sets the limit of connections. A transport's limit cannot change while
// it is in use, so a new transport replaces it; running requests finish on the old one.
func (t *target) setMaxConns(maxConns int) {
	old := t.transport.Load()
	if old != nil && old.MaxConnsPerHost == maxConns {
		return
	}
	t.transport.Store(newTransport(maxConns))
	if old != nil {
		old.CloseIdleConnections()
	}
}

func (t *target) drain() {
	if q := t.queue.Load(); q != nil {
		q.Drain()
	}
}

func (t *target) echoHeader() string {
	if svc := t.policy.Load(); svc != nil {
		return svc.IdentityEcho
	}
	return ""
}
