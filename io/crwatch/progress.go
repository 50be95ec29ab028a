package crwatch

import (
	"time"

	"camphorroad/core/crid"
)

const (
	// withheldTime is the time for which a store may withhold changes from watches before it
	// drops them from its history. The users name one second.
	withheldTime = 2 * time.Second
	// maxRepeatedTime bounds how far a watch goes back. The users' store keeps 20 seconds of
	// history, and a watch from before its history causes a list.
	maxRepeatedTime = 10 * time.Second
	// earlyMargin is how much before the end of its wait a watch is answered early. The store
	// waits for whole milliseconds.
	earlyMargin = 10 * time.Millisecond
)

// progress is how far the watches of a scope have come. An answer without changes may have
// passed over one that the store withheld. The next watch therefore starts from an earlier
// revision, and gets the change or [ErrCompacted], until a watch that was sent withheldTime
// after the answer has found nothing either.
type progress struct {
	reached []mark // ascending; the first is where the next watch starts
}

// mark is a revision, and when a watch reached it.
type mark struct {
	revision crid.Revision
	at       crid.Instant
}

// reset starts from a list or a change, which is known to be complete up to its revision.
func (p *progress) reset(now crid.Instant, r crid.Revision) {
	p.reached = []mark{{revision: r, at: now}}
}

// reach records the answer without changes to a watch that was sent at an instant.
func (p *progress) reach(now crid.Instant, r crid.Revision, sentAt crid.Instant) {
	for len(p.reached) > 1 && sentAt.Sub(p.reached[1].at) >= withheldTime {
		p.reached = p.reached[1:]
	}
	if n := len(p.reached); n == 0 || p.reached[n-1].revision < r {
		p.reached = append(p.reached, mark{revision: r, at: now})
	}
}

// last returns the latest revision that a watch has reached.
func (p *progress) last() crid.Revision {
	if len(p.reached) == 0 {
		return 0
	}
	return p.reached[len(p.reached)-1].revision
}

// after returns the revision that the next watch starts from.
func (p *progress) after(now crid.Instant) crid.Revision {
	for len(p.reached) > 1 && now.Sub(p.reached[0].at) > maxRepeatedTime {
		p.reached = p.reached[1:]
	}
	if len(p.reached) == 0 {
		return 0
	}
	return p.reached[0].revision
}
