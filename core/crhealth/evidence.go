package crhealth

import (
	"math"
	"time"
)

// judgedSpans are the spans that evidence is judged over, shortest first. Services
// with little traffic need the longer ones.
var judgedSpans = [...]time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 9 * time.Second}

// minAttempts is the number of attempts in a span that makes a longer span
// unnecessary.
const minAttempts = 12

// Bounds for failures that other accounts do not corroborate.
const (
	minOtherAttempts       = 5 // attempts of other accounts that can contradict one account
	maxUncorroboratedBad   = 2 // bad attempts of a contradicted account that still count
	maxUncorroboratedWrong = 1 // wrong attempts of a contradicted account that still count
)

// newEvidence summarizes the counts of one target.
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
	if !failuresAreWidespread(c, total) {
		bad = min(bad, maxUncorroboratedBad)
		wrong = 0
	}
	e.Bad = bad
	e.Wrong = wrong
	return e
}

// corroborated counts the bad and wrong attempts. The failures of each group of
// accounts are capped at slightly more than its share would be at the failure rate of
// all other groups.
//
// A caller may send requests that fail or stall on any target. If all of them counted,
// the targets that they reach would be ejected one after another for the caller's
// fault. For the other accounts, these targets do not fail at that rate.
func corroborated(c *counts, total tally) (bad, wrong uint32) {
	for i, own := range c.groups {
		if others := total.without(own); i != probeGroup && others.n >= minOtherAttempts {
			own.bad = min(own.bad, maxUncorroboratedBad+expectedCount(own.n, others.badRate()))
			own.wrong = min(own.wrong, maxUncorroboratedWrong+expectedCount(own.n, others.wrongRate()))
		}
		bad += own.bad
		wrong += own.wrong
	}
	return bad, wrong
}

// expectedCount is the number of failures among n attempts at a failure rate.
func expectedCount(n uint32, rate float64) uint32 { return uint32(float64(n) * rate) }

// failuresAreWidespread reports whether the failures are spread over the daemons with
// traffic on the target. It compares the number of daemons with failures with the number
// expected if all failures were spread evenly over the attempts: more than half of that
// number must have some.
//
// In an asymmetric partition, some daemons receive no responses from a target that
// serves all others. They avoid it locally. An ejection would stop its use by all
// daemons.
func failuresAreWidespread(c *counts, total tally) bool {
	successRate := 1 - total.badRate()
	expected, withFailures := 0.0, 0.0
	for _, t := range c.senders {
		expected += 1 - math.Pow(successRate, float64(t.n))
		if t.bad > 0 {
			withFailures++
		}
	}
	return 2*withFailures > expected
}

// evidence returns the evidence of one span.
func (r *targetRecord) evidence(s *State, span time.Duration, cold bool) Evidence {
	return newEvidence(r.window.sum(s.now, span), cold, s.params.hasGuard(guardCorroboration))
}

// ejectionTime returns the duration of an ejection after the given number of earlier
// ones.
func ejectionTime(base, limit time.Duration, ejections int) time.Duration {
	d := float64(base) * math.Pow(2, float64(min(ejections, 30)))
	return time.Duration(min(d, float64(limit)))
}
