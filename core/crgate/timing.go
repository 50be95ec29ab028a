package crgate

import (
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpace"
)

const (
	// minTimeShare is the share of its kind's mean service time that must be left
	// when a request starts that will miss its objective.
	minTimeShare = 0.8
	// responseMargin is the part of the time left that is reserved for the
	// transfer of the response.
	responseMargin = 12 * time.Millisecond
)

// Timing holds the remaining times in which a response is of use to the caller.
type Timing struct {
	Kind      crpace.Kind
	Nested    bool          // a running request, which holds a slot in the fleet, waits for this one
	Objective time.Duration // remaining time of the latency objective; zero or less: missed
	TimeLeft  time.Duration // remaining time until the caller gets a response in any case
}

// Late reports whether a request is unlikely to meet its objective, even if it starts at once. A
// nested request has no objective of its own.
func (g *Gate) Late(t Timing) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.late(t)
}

func (g *Gate) late(t Timing) bool {
	return !t.Nested && t.Objective <= g.serviceTimes.UpperEstimate(t.Kind)
}

// LatestStart returns the latest useful start of a request. A request that can
// meet its objective must start early enough to be likely to meet it. If
// requests started just in time by the mean service time, about every second
// one at a full target would end too late, in a slot in which another request
// could have ended in time. If a request is refused earlier, another target may
// serve it in time.
//
// A request that cannot meet its objective may wait as long as a response is of
// any use. So may a nested request: its own objective does not bound the time
// that its parent has left, and its refusal would fail the parent.
func (g *Gate) LatestStart(now crid.Instant, t Timing) crid.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.Nested && !g.late(t) {
		return now.Add(min(t.Objective, t.TimeLeft) - g.serviceTimes.UpperEstimate(t.Kind))
	}
	need := time.Duration(minTimeShare * float64(g.serviceTimes.Expected(t.Kind)))
	return now.Add(max(t.TimeLeft-need-responseMargin, 0))
}
