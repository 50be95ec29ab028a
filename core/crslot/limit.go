package crslot

import (
	"time"

	"camphorroad/core/crid"
)

const (
	// shedFactor is what one epoch of shed answers leaves of the limit.
	shedFactor = 0.7
	// shedEpoch joins shed answers of one moment of overload: requests that ran
	// together are all turned away together and must lower the limit only once.
	shedEpoch = 100 * time.Millisecond
	// shedHold is the pause before the limit grows again.
	shedHold = 500 * time.Millisecond
	// shedForget restores the whole limit after so long without a shed answer.
	shedForget = 10 * time.Second
)

// limiter is the number of slots: additive increase, multiplicative decrease.
type limiter struct {
	most      float64
	effective float64
	cutAt     crid.Instant
	cut       bool
}

func newLimiter(slots int) limiter {
	most := float64(max(slots, 1))
	return limiter{most: most, effective: most}
}

func (l *limiter) slots() int { return max(int(l.effective), 1) }

func (l *limiter) set(slots int) {
	l.most = float64(max(slots, 1))
	if !l.cut {
		l.effective = l.most
	}
	l.effective = min(l.effective, l.most)
}

func (l *limiter) shed(now crid.Instant) {
	if l.cut && now.Sub(l.cutAt) < shedEpoch {
		return
	}
	l.effective = max(l.effective*shedFactor, 1)
	l.cutAt = now
	l.cut = true
}

// grow is called for each request that ended.
func (l *limiter) grow(now crid.Instant) {
	if !l.cut || now.Sub(l.cutAt) < shedHold {
		return
	}
	l.effective = min(l.effective+1/l.effective, l.most)
	if now.Sub(l.cutAt) >= shedForget {
		l.effective = l.most
	}
	l.cut = l.effective < l.most
}
