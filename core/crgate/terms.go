package crgate

import (
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpace"
)

const (
	// worthwhile is the share of its kind's time that must be left for a request to
	// be started although it is late.
	worthwhile = 0.8
	// margin is kept of the time left, for the answer's way back.
	margin = 12 * time.Millisecond
)

// Timing are how long a request is of use to its caller.
type Timing struct {
	Kind      crpace.Kind
	Nested      bool          // a request that holds a slot of the fleet waits for it
	Objective time.Duration // until an answer loses worth; zero or less: it has
	TimeLeft      time.Duration // until the caller is answered in any case
}

// LatestStart returns the latest start at which a request is still of use. One that can
// meet its objective starts only while it is likely to: started at the last moment,
// every other request of a full target would end too late, and take the slot of one
// that would not. Refused sooner, it may find room in time elsewhere.
//
// One that cannot meet its objective waits as long as an answer is of any use. So
// does a call: its own objective says nothing of the time that its parent has left,
// and its refusal would lose the parent.
func (g *Gate) LatestStart(now crid.Instant, t Timing) crid.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	if most := g.paces.Most(t.Kind); t.Objective > most && !t.Nested {
		return now.Add(min(t.Objective, t.TimeLeft) - most)
	}
	need := time.Duration(worthwhile * float64(g.paces.Typical(t.Kind)))
	return now.Add(max(t.TimeLeft-need-margin, 0))
}
