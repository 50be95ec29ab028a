package crhealth

import (
	"time"

	"camphorroad/core/crid"
)

// The bounds of a stall.
const (
	// stallSpan is the time without any answer after which a target is looked
	// at; it is a little above waitLeast, as digests come every 250 ms.
	stallSpan = 750 * time.Millisecond
	// overdueFactor is how many times longer than nearly all answers of the
	// service an attempt must wait.
	overdueFactor = 4
	// usualShare of the answers of the service came within the usual time.
	typicalQuantile = 0.99
	// exitSilent is for how long a daemon that sends digests may send none
	// before a stall counts as its own, not as its target's.
	maxExitSilence = 500 * time.Millisecond
)

// judgeStall finds a target stalled that answers nothing at all while its peers
// answer, and on which several accounts wait far longer than answers of this
// service take.
//
// A target that stalls fills its slots and then shows nothing more until the
// attempts run into their timeouts; after that every daemon avoids it by itself.
// The few failures would be outweighed by the good answers of the seconds
// before, and callers would go on meeting it for as long.
func (v *evaluation) judgeStall(target crid.Target) Finding {
	if v.exitIsSilent(target) || v.responses(target, stallSpan) > 0 {
		return Finding{}
	}
	span := v.unresponsiveSpan(target)
	own := v.unanswered(target, span)
	if own < minBad {
		return Finding{}
	}
	var responses, unanswered []float64
	for _, peer := range v.targets {
		if peer != target {
			responses = append(responses, float64(v.responses(peer, stallSpan)))
			unanswered = append(unanswered, float64(v.unanswered(peer, span)))
		}
	}
	excess := float64(own) - median(unanswered)
	if median(responses) == 0 || excess < minBad {
		return Finding{}
	}
	return Finding{Cause: CauseStalled, Score: 200 * (1 + excess)}
}

// silence is the longest span judged in which the target has not answered.
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

// answersOf counts the answers in a span.
func (v *evaluation) responses(target crid.Target, span time.Duration) uint32 {
	return v.detector.records[target].window.responses(v.state.now, span)
}

// unanswered counts the attempts that are overdue now and those that ended badly
// in the span, but hardly those of one group of accounts.
//
// A caller may send a few requests that take far longer than all others. They
// would look like a stall of the target that they happen to meet, and nobody
// else would wait there.
func (v *evaluation) unanswered(target crid.Target, span time.Duration) uint32 {
	limit := v.overdueLimit()
	groups := v.detector.records[target].window.sum(v.state.now, span).groups
	for _, w := range v.pending(target) {
		if int(w.Group) < groupCount && w.Age < bucketCount && bucketLower(int(w.Age)) >= limit {
			groups[w.Group].bad += w.N
		}
	}
	var sum uint32
	for _, t := range groups {
		sum += min(t.bad, maxUncorroboratedBad)
	}
	return sum
}

// waits are those that all entries told of in their newest digests.
func (v *evaluation) pending(target crid.Target) []PendingCount {
	var pending []PendingCount
	for _, known := range v.detector.senders {
		if v.state.now.Sub(known.lastSeen) > stallSpan {
			continue
		}
		for _, w := range known.pending[target] {
			pending = addPending(pending, w)
		}
	}
	return pending
}

// overdueLimit is far above the time that nearly all answers of the service took
// in the longest span: where some requests rightly take seconds, a wait of
// seconds says nothing.
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

// exitIsSilent reports whether the daemon beside the target has ceased to send
// digests.
//
// When that daemon is frozen, nothing passes it and its target looks stalled.
// The members find this by themselves, and the target is well when it goes on.
func (v *evaluation) exitIsSilent(target crid.Target) bool {
	known := v.detector.senders[v.state.placements[target].daemon]
	return known != nil && !known.idle && v.state.now.Sub(known.lastSeen) > maxExitSilence
}
