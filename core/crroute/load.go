package crroute

import (
	"sync/atomic"
	"time"

	"camphorroad/core/crid"
)

// Parameters of avoidance, which is local to this daemon.
const (
	avoidBase     = 200 * time.Millisecond
	maxAvoid      = 10 * time.Second
	shedBase      = 2 * time.Second // avoidance after shedThreshold refusals; each further attempt may fail a request of class once
	shedThreshold = 3               // consecutive refusals because of load after which a target is avoided
	maxAvoidShift = 6               // doublings from avoidBase to above maxAvoid
	maxFailures   = 16              // bounds the cost of a failing target
	// reportTTL is how long a load reported by the exit is used. An older report
	// would keep requests from a target that has become idle since.
	reportTTL = 100 * time.Millisecond
)

// Load is the load of one target and its recent failures, as observed by this
// daemon's own requests. It outlives the pools that contain the target, and is
// safe for concurrent use.
type Load struct {
	inFlight     atomic.Int64
	failures     atomic.Int64
	avoidedUntil atomic.Int64 // instant at which avoidance ends; zero: not avoided
	reported     atomic.Int64
	reportedAt   atomic.Int64
}

// Begin counts a request sent to the target.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End counts a request as finished, whatever its outcome.
func (l *Load) End() { l.inFlight.Add(-1) }

// InFlight is the number of requests from this daemon in flight at the target.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// SetReportedInFlight records the number of requests in flight that the exit
// reported for the target.
func (l *Load) SetReportedInFlight(n int64, now crid.Instant) {
	l.reported.Store(n)
	l.reportedAt.Store(int64(now))
}

// RecordSuccess records a successful response: one that is neither a failure nor a
// refusal because of load. It resets the failure count and ends avoidance, since the
// target was reached and responded.
func (l *Load) RecordSuccess() {
	if l.failures.Load() != 0 {
		l.failures.Store(0)
	}
	if l.avoidedUntil.Load() != 0 {
		l.avoidedUntil.Store(0)
	}
}

// RecordFailure records a failed response. Without it, a target that fails at once
// would seem the least loaded, since it has few requests in flight.
func (l *Load) RecordFailure() { l.addFailure() }

// RecordUnreachable records that this daemon could not reach the target, and
// avoids it for a time that doubles up to ten seconds. Only this daemon avoids
// it, since in a one-way partition the target is unreachable from some daemons
// only. Ejecting it would take healthy capacity from all others; not avoiding it
// would cost each request a time-out.
func (l *Load) RecordUnreachable(now crid.Instant) {
	l.avoidFor(avoidBase, l.addFailure(), now)
}

// RecordShed records that the target refused a request because of load. A target
// is avoided after several such refusals without a successful response in between:
// it has nothing in flight, and would seem the least loaded. In an overload,
// targets that also respond successfully are not avoided, since each such response
// resets the count.
func (l *Load) RecordShed(now crid.Instant) {
	if n := l.addFailure(); n >= shedThreshold {
		l.avoidFor(shedBase, n-shedThreshold+1, now)
	}
}

// avoidFor avoids the target for a base time, doubled for every failure after the first.
func (l *Load) avoidFor(base time.Duration, failures int64, now crid.Instant) {
	shift := min(failures-1, maxAvoidShift)
	pause := min(base<<shift, maxAvoid)
	l.avoidedUntil.Store(int64(now.Add(pause)))
}

// RecordNotReady records that the target's daemon has no policy for it yet, and
// avoids the target for avoidBase. It does not count as a failure, since the
// target itself is healthy.
func (l *Load) RecordNotReady(now crid.Instant) {
	if until := now.Add(avoidBase); l.AvoidedUntil().Before(until) {
		l.avoidedUntil.Store(int64(until))
	}
}

func (l *Load) addFailure() int64 {
	n := l.failures.Add(1)
	if n > maxFailures {
		l.failures.Store(maxFailures)
		return maxFailures
	}
	return n
}

// Avoided reports whether this daemon avoids the target at the moment.
func (l *Load) Avoided(now crid.Instant) bool { return now.Before(l.AvoidedUntil()) }

// AvoidedUntil is the instant at which avoidance ends.
func (l *Load) AvoidedUntil() crid.Instant { return crid.Instant(l.avoidedUntil.Load()) }

// cost is the load by which targets are compared; less is better. Failures
// multiply it.
func (l *Load) cost(now crid.Instant) int64 {
	n := l.inFlight.Load()
	if now.Sub(crid.Instant(l.reportedAt.Load())) < reportTTL {
		n = max(n, l.reported.Load())
	}
	return (n + 1) * (1 + l.failures.Load())
}
