package crslot

import (
	"time"

	"camphorroad/core/crid"
)

const (
	// decreaseFactor is the factor by which one decrease multiplies the limit.
	decreaseFactor = 0.7
	// decreaseInterval is the least time between two decreases. Requests that
	// ran together are rejected together and must lower the limit only once.
	decreaseInterval = 100 * time.Millisecond
	// increaseDelay is the pause after a decrease before the limit grows again.
	increaseDelay = 500 * time.Millisecond
	// recoveryTime is the time without an overload response after which the
	// limit is restored.
	recoveryTime = 10 * time.Second
)

// aimdLimit is the number of slots. Overload responses lower it by a factor,
// and requests that end raise it by steps (additive increase, multiplicative
// decrease).
type aimdLimit struct {
	maxSlots    float64
	current     float64
	decreasedAt crid.Instant
	reduced     bool
}

func newAIMDLimit(slots int) aimdLimit {
	maxSlots := float64(max(slots, 1))
	return aimdLimit{maxSlots: maxSlots, current: maxSlots}
}

func (l *aimdLimit) slots() int { return max(int(l.current), 1) }

func (l *aimdLimit) setMax(slots int) {
	l.maxSlots = float64(max(slots, 1))
	if !l.reduced {
		l.current = l.maxSlots
	}
	l.current = min(l.current, l.maxSlots)
}

func (l *aimdLimit) decrease(now crid.Instant) {
	if l.reduced && now.Sub(l.decreasedAt) < decreaseInterval {
		return
	}
	l.current = max(l.current*decreaseFactor, 1)
	l.decreasedAt = now
	l.reduced = true
}

// increase is called for each request that ended.
func (l *aimdLimit) increase(now crid.Instant) {
	if !l.reduced || now.Sub(l.decreasedAt) < increaseDelay {
		return
	}
	l.current = min(l.current+1/l.current, l.maxSlots)
	if now.Sub(l.decreasedAt) >= recoveryTime {
		l.current = l.maxSlots
	}
	l.reduced = l.current < l.maxSlots
}
