package crexit

import (
	"net/http"
	"sync/atomic"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crslot"
)

type target struct {
	spec      Spec
	transport atomic.Pointer[http.Transport]
	queue     atomic.Pointer[crslot.Queue]
	policy    atomic.Pointer[crpolicy.Service]
	inflight  atomic.Int64
	leaving   atomic.Bool // the upstream says that it is draining
	holdoff   crslot.OverloadBackoff
}

func newTarget(spec Spec) *target { return &target{spec: spec} }

// apply takes the limits of the service's policy. The queue stays the same one
// through changes, so that slots in use keep counting.
func (t *target) apply(svc crpolicy.Service, clock func() crid.Instant) {
	t.policy.Store(&svc)
	t.bound(svc.Connections)
	if q := t.queue.Load(); q != nil {
		q.SetSlots(svc.Slots)
		q.SetMaxWaiting(svc.Queue)
		return
	}
	t.queue.Store(crslot.New(crslot.Params{Slots: svc.Slots, MaxWaiting: svc.Queue}, clock))
}

// bound sets the number of connections. A transport's bound can not be changed
// while it is in use; requests that run finish on the former one.
func (t *target) bound(connections int) {
	old := t.transport.Load()
	if old != nil && old.MaxConnsPerHost == connections {
		return
	}
	t.transport.Store(newTransport(connections))
	if old != nil {
		old.CloseIdleConnections()
	}
}

func (t *target) drain() {
	if q := t.queue.Load(); q != nil {
		q.Drain()
	}
}

func (t *target) echo() string {
	if svc := t.policy.Load(); svc != nil {
		return svc.IdentityEcho
	}
	return ""
}
