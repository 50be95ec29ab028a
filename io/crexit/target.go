package crexit

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crslot"
)

const (
	upstreamIdle    = 90 * time.Second
	upstreamConnect = time.Second
	maxAnswerHeader = 64 << 10
)

type target struct {
	spec      Spec
	transport *http.Transport
	queue     atomic.Pointer[crslot.Queue]
	policy    atomic.Pointer[crpolicy.Service]
	inflight  atomic.Int64
}

func newTarget(spec Spec) *target {
	dialer := &net.Dialer{Timeout: upstreamConnect}
	return &target{spec: spec, transport: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		IdleConnTimeout:        upstreamIdle,
		MaxResponseHeaderBytes: maxAnswerHeader,
		MaxIdleConnsPerHost:    idleConnections,
	}}
}

// idleConnections bounds the kept connections; those in use are bounded by the
// target's slots, which the policy keeps below its connections.
const idleConnections = 64

// apply takes the limits of the service's policy. The queue stays the same one
// through changes, so that slots in use keep counting.
func (t *target) apply(svc crpolicy.Service, clock func() crid.Instant) {
	t.policy.Store(&svc)
	if q := t.queue.Load(); q != nil {
		q.SetLimit(svc.Slots)
		return
	}
	t.queue.Store(crslot.New(crslot.Params{Slots: svc.Slots, Queue: svc.Queue}, clock))
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
