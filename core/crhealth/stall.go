package crhealth

import (
	"time"

	"camphorroad/core/crid"
)

// Bounds for the detection of stalls.
const (
	// stallSpan is the span without any response after which a target may count as
	// stalled. It exceeds minPendingAge by the interval of the digests, 250 ms.
	stallSpan = 750 * time.Millisecond
	// overdueFactor is the multiple of the service's typical latency after which a
	// pending attempt is overdue.
	overdueFactor = 4
	// typicalQuantile is the quantile of the service's latency that counts as typical.
	typicalQuantile = 0.99
	// exitTimeout is the time without a digest after which the daemon beside a target
	// counts as unresponsive. A stall is then attributed to the daemon, not to the
	// target.
	exitTimeout = 500 * time.Millisecond
)

// judgeStall finds a target stalled if it gives no responses while its peers do, and
// attempts of several accounts on it are pending for far longer than the service usually
// takes.
//
// The attempts on a stalled target fill its slots and give no result until they time
// out; after that every daemon avoids it locally. The good responses of the seconds
// before outweigh the few failures. Without judgeStall, callers would keep reaching the
// target for those seconds.
func (v *evaluation) judgeStall(target crid.Target) Finding {
	if v.exitIsUnresponsive(target) || v.responses(target, stallSpan) > 0 {
		return Finding{}
	}
	span := v.unresponsiveSpan(target)
	own := v.overdueOrBad(target, span)
	if own < minBad {
		return Finding{}
	}
	var responses, overdueOrBad []float64
	for _, peer := range v.targets {
		if peer != target {
			responses = append(responses, float64(v.responses(peer, stallSpan)))
			overdueOrBad = append(overdueOrBad, float64(v.overdueOrBad(peer, span)))
		}
	}
	excess := float64(own) - median(overdueOrBad)
	if median(responses) == 0 || excess < minBad {
		return Finding{}
	}
	return Finding{Cause: CauseStalled, Score: 200 * (1 + excess)}
}

// unresponsiveSpan returns the longest judged span in which the target has given no
// response.
func (v *evaluation) unresponsiveSpan(target crid.Target) time.Duration {
	longest := stallSpan
	for _, span := range judgedSpans {
		if v.responses(target, span) > 0 {
			break
		}
		longest = span
	}
	return longest
}

// responses counts the responses in a span.
func (v *evaluation) responses(target crid.Target, span time.Duration) uint32 {
	return v.detector.records[target].window.responses(v.state.now, span)
}

// overdueOrBad counts the attempts that are overdue now or ended badly in the span, with
// a cap for each group of accounts.
//
// A caller may send a few requests that take far longer than all others. Without the
// cap, the target that they reach would be found stalled.
func (v *evaluation) overdueOrBad(target crid.Target, span time.Duration) uint32 {
	limit := v.overdueLimit()
	groups := v.detector.records[target].window.sum(v.state.now, span).groups
	for _, c := range v.pending(target) {
		if int(c.Group) < groupCount && c.Age < bucketCount && bucketLower(int(c.Age)) >= limit {
			groups[c.Group].bad += c.N
		}
	}
	var sum uint32
	for _, t := range groups {
		sum += min(t.bad, maxUncorroboratedBad)
	}
	return sum
}

// pending returns the pending attempts that the entries reported in their newest
// digests.
func (v *evaluation) pending(target crid.Target) []PendingCount {
	var pending []PendingCount
	for _, src := range v.detector.senders {
		if v.state.now.Sub(src.lastSeen) > stallSpan {
			continue
		}
		for _, c := range src.pending[target] {
			pending = addPending(pending, c)
		}
	}
	return pending
}

// overdueLimit returns the age from which on a pending attempt is overdue. It is far
// above the latency of nearly all responses of the service in the longest span, so
// that services whose requests take seconds are not found stalled.
func (v *evaluation) overdueLimit() time.Duration {
	if v.limit == 0 {
		v.limit = max(overdueFactor*v.typicalLatency(), minPendingAge)
	}
	return v.limit
}

func (v *evaluation) typicalLatency() time.Duration {
	var latency [bucketCount]uint32
	var total uint32
	for _, e := range v.evidenceOver(len(judgedSpans) - 1) {
		for i, n := range e.latency {
			latency[i] += n
		}
		total += e.Responses
	}
	var seen uint32
	for i, n := range latency {
		if seen += n; float64(seen) >= typicalQuantile*float64(total) {
			return bucketUpper(i)
		}
	}
	return 0
}

// exitIsUnresponsive reports whether the daemon beside the target has stopped sending
// digests.
//
// While that daemon is suspended, no attempt reaches its target, which looks stalled.
// The membership protocol detects the suspended daemon, and the target is healthy when
// it resumes.
func (v *evaluation) exitIsUnresponsive(target crid.Target) bool {
	exit := v.detector.senders[v.state.placements[target].daemon]
	return exit != nil && !exit.idle && v.state.now.Sub(exit.lastSeen) > exitTimeout
}
