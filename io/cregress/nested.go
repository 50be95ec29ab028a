package cregress

import (
	"sync/atomic"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/io/croffer"
)

// RecordNestedFailure records that a nested call of the target to a service has failed, or was
// refused before a target has run it. Failures of requests that were running at that time do not
// count against the target.
func (x *Exit) RecordNestedFailure(s crid.Service, refused bool) {
	now := x.opts.Clock()
	x.nestedFailures.record(now)
	x.callRates.RecordFailure(now, s)
	if refused {
		x.nestedRefusals.record(now)
	}
}

// RecordCall records a nested call of the target to a service.
func (x *Exit) RecordCall(s crid.Service) { x.callRates.RecordCall(s) }

// CallPriority returns the priority of a nested call of the target on a route that has a
// priority of its own.
func (x *Exit) CallPriority(route crid.Route, own int) int {
	return x.callers.CallPriority(route, own)
}

// RetryShares returns the share of retries among the idempotent requests running on the target,
// and of those whose calls were not spent by their entry. They estimate the shares among the
// target's nested calls. Requests of class once are left out: if they make no calls, counting them
// would make the shares too low.
func (x *Exit) RetryShares() (all, uncharged float64) {
	idempotent := float64(x.idempotent.Load())
	if idempotent <= 0 {
		return 0, 0
	}
	return min(float64(x.retries.Load())/idempotent, 1), min(float64(x.uncharged.Load())/idempotent, 1)
}

// countIdempotent counts a running idempotent request until the returned function is
// called.
func (x *Exit) countIdempotent(o croffer.Offer) func() {
	if o.Class != crpolicy.ClassRepeat {
		return func() {}
	}
	x.callRates.RecordRun()
	counters := []*atomic.Int64{&x.idempotent}
	if o.Retry {
		counters = append(counters, &x.retries)
	}
	if o.Retry && !o.CallsSpent {
		counters = append(counters, &x.uncharged)
	}
	for _, n := range counters {
		n.Add(1)
	}
	return func() {
		for _, n := range counters {
			n.Add(-1)
		}
	}
}

// lastTime holds the time of the latest event of a kind.
type lastTime struct{ at atomic.Int64 }

func (t *lastTime) record(now crid.Instant) { t.at.Store(int64(now)) }

// since reports whether an event was recorded at an instant or later.
func (t *lastTime) since(at crid.Instant) bool {
	last := t.at.Load()
	return last != 0 && crid.Instant(last) >= at
}
