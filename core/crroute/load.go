package crroute

import (
	"sync/atomic"
	"time"

	"camphorroad/core/crid"
)

// The bounds of local avoidance.
const (
	avoidBase   = 200 * time.Millisecond
	avoidMost   = 10 * time.Second
	shedBase    = 2 * time.Second // first pause after shedRow; each trial may cost a caller of a once request
	shedRow     = 3               // refusals for load in a row, after which a target is avoided
	avoidShifts = 6               // doublings from avoidBase to above avoidMost
	maxStrikes  = 16              // keeps the penalty of a failing target finite
	// hintLife is how long a load reported by the exit is believed. Reports
	// lag: an older one would keep work off a target that has long been idle.
	hintLife = 100 * time.Millisecond
)

// Load holds what this daemon's traffic knows of one target. It outlives the
// pools that name it, and is safe for concurrent use.
type Load struct {
	inFlight atomic.Int64
	strikes  atomic.Int64
	avoid    atomic.Int64 // the instant until which the target is avoided
	hint     atomic.Int64
	hintAt   atomic.Int64
}

// Begin counts a request sent to the target.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End counts a request finished, whatever its outcome.
func (l *Load) End() { l.inFlight.Add(-1) }

// InFlight is the number of requests of this daemon on the target.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// SetReportedInFlight notes the number of requests that the exit reported for the target.
func (l *Load) SetReportedInFlight(n int64, now crid.Instant) {
	l.hint.Store(n)
	l.hintAt.Store(int64(now))
}

// RecordAnswer forgets all failures: the target was reached and answered.
func (l *Load) RecordAnswer() {
	if l.strikes.Load() != 0 {
		l.strikes.Store(0)
	}
	if l.avoid.Load() != 0 {
		l.avoid.Store(0)
	}
}

// RecordFailure notes an answer that was a failure. A target that fails at once has
// few requests in flight, and would look like the least loaded of all.
func (l *Load) RecordFailure() { l.strike() }

// RecordUnreachable notes that the target could not be reached from this daemon, and
// avoids it for a time that doubles up to ten seconds.
//
// In a one-way cut only some daemons lose a target. Ejecting it would take good
// capacity from all others; going on would cost each request a timeout.
func (l *Load) RecordUnreachable(now crid.Instant) {
	l.avoidFor(avoidBase, l.strike(), now)
}

// RecordShed notes that the target turned a request away for load. One that answers
// nothing between several such refusals is avoided, too: it has nothing in
// flight, and would look like the idlest of all. In an overload the targets that
// do answer are not avoided, since an answer takes all strikes back.
func (l *Load) RecordShed(now crid.Instant) {
	if n := l.strike(); n >= shedRow {
		l.avoidFor(shedBase, n-shedRow+1, now)
	}
}

func (l *Load) avoidFor(base time.Duration, strikes int64, now crid.Instant) {
	shift := min(strikes-1, avoidShifts)
	pause := min(base<<shift, avoidMost)
	l.avoid.Store(int64(now.Add(pause)))
}

// RecordNotReady notes that the daemon beside the target has no policy for it yet, and
// avoids it for a moment. That says nothing against the target, so it does not
// add to the time of the next avoidance.
func (l *Load) RecordNotReady(now crid.Instant) {
	if until := now.Add(avoidBase); l.AvoidedUntil().Before(until) {
		l.avoid.Store(int64(until))
	}
}

func (l *Load) strike() int64 {
	n := l.strikes.Add(1)
	if n > maxStrikes {
		l.strikes.Store(maxStrikes)
		return maxStrikes
	}
	return n
}

// Avoided reports whether this daemon avoids the target for now.
func (l *Load) Avoided(now crid.Instant) bool { return now.Before(l.AvoidedUntil()) }

// AvoidedUntil is the instant up to which this daemon avoids the target.
func (l *Load) AvoidedUntil() crid.Instant { return crid.Instant(l.avoid.Load()) }

// cost is what the choice compares; less is better.
func (l *Load) cost(now crid.Instant) int64 {
	n := l.inFlight.Load()
	if now.Sub(crid.Instant(l.hintAt.Load())) < hintLife {
		n = max(n, l.hint.Load())
	}
	return (n + 1) * (1 + l.strikes.Load())
}
