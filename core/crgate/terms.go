package crgate

import (
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpace"
)

const (
	// worthwhile is the share of its kind's time that must be left for a request to
	// be started at all.
	worthwhile = 0.8
	// margin is kept of the time left, for the answer's way back.
	margin = 12 * time.Millisecond
)

// Terms are how long a request is of use to its caller.
type Terms struct {
	Kind      crpace.Kind
	Call      bool          // a request that holds a slot of the fleet waits for it
	Objective time.Duration // until an answer loses worth; zero or less: it has
	Left      time.Duration // until the caller is answered in any case
}

// Latest returns the latest start at which a request is still of use. One that can
// meet its objective waits no longer than that allows, so that it is refused while
// another target may still have room in time. One that cannot, waits as long as an
// answer is of any use. So does a call: its own objective says nothing of the time
// that its parent has left, and its refusal would lose the parent.
func (g *Gate) Latest(now crid.Instant, t Terms) crid.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	need := time.Duration(worthwhile * float64(g.paces.Typical(t.Kind)))
	if t.Objective > need && !t.Call {
		return now.Add(min(t.Objective, t.Left) - need)
	}
	return now.Add(max(t.Left-need-margin, 0))
}
