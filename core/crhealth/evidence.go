package crhealth

import (
	"math"
	"time"
)

// The spans judged, from short to long: thin traffic needs a longer look.
var judgedSpans = [...]time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 9 * time.Second}

// enough is the number of attempts at which a longer span is not looked at.
const minAttempts = 12

// The bounds of corroboration.
const (
	minOtherAttempts       = 5 // attempts of the others that can contradict one account
	maxUncorroboratedBad   = 2 // bad attempts of a contradicted account that still count
	maxUncorroboratedWrong = 1 // wrong ones
)

// evidenceOf sums up a target's window over the shortest span that is enough.
func newEvidence(c *counts, cold, corroborate bool) Evidence {
	total := c.total()
	n, median := c.median()
	e := Evidence{
		N: total.n, Bad: total.bad, Wrong: total.wrong, Responses: n, Median: median,
		ReportedUnhealthy: c.reportedUnhealthy, Cold: cold, latency: c.latency,
	}
	if !corroborate {
		return e
	}
	bad, wrong := corroborated(c, total)
	if !seenByMajority(c, total) {
		bad = min(bad, maxUncorroboratedBad)
		wrong = 0
	}
	e.Bad = bad
	e.Wrong = wrong
	return e
}

// borneOut counts bad and wrong attempts, each group of accounts with hardly more than
// it would have if it failed as often as all others there.
//
// A caller may send requests that fail or stall on any target. If they counted
// fully, the targets they happened to reach would be ejected one after another,
// for a fault of the caller. Nobody else would see these targets fail so often.
func corroborated(c *counts, total tally) (bad, wrong uint32) {
	for i, own := range c.groups {
		if others := total.without(own); i != 0 && others.n >= minOtherAttempts {
			own.bad = min(own.bad, maxUncorroboratedBad+expectedCount(own.n, others.badRate()))
			own.wrong = min(own.wrong, maxUncorroboratedWrong+expectedCount(own.n, others.wrongRate()))
		}
		bad += own.bad
		wrong += own.wrong
	}
	return bad, wrong
}

// likely is how many of n attempts fail at a rate.
func expectedCount(n uint32, rate float64) uint32 { return uint32(float64(n) * rate) }

// seenByMost reports whether the daemons with traffic on the target see it fail
// about alike: of those that would, were the failures spread evenly over all
// attempts, more than half do.
//
// In a one-way cut some daemons get no answers from a target that serves all
// others well. They avoid it by themselves; ejecting it would take it from all.
func seenByMajority(c *counts, total tally) bool {
	successRate := 1 - total.badRate()
	expected, seen := 0.0, 0.0
	for _, t := range c.senders {
		expected += 1 - math.Pow(successRate, float64(t.n))
		if t.bad > 0 {
			seen++
		}
	}
	return 2*seen > expected
}

// evidence returns the evidence of one span.
func (r *targetRecord) evidence(s *State, span time.Duration, cold bool) Evidence {
	return newEvidence(r.window.sum(s.now, span), cold, s.params.hasGuard(guardCorroboration))
}

// holdFor is the hold-off of the given ejection in a row.
func ejectionTime(base, limit time.Duration, ejections int) time.Duration {
	d := float64(base) * math.Pow(2, float64(min(ejections, 30)))
	return time.Duration(min(d, float64(limit)))
}
