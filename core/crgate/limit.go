package crgate

import (
	"time"

	"camphorroad/core/crid"
)

// AnnounceLimit records the limit that a response of the target names, in requests a second;
// zero means that it names none. It reports whether the limit has changed.
func (g *Gate) AnnounceLimit(now crid.Instant, rate float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.limit.Announce(now, rate)
	g.dispatch(now)
	return changed
}

// SuggestLimit records a limit that an entry daemon knows. It reports whether the limit has
// changed.
func (g *Gate) SuggestLimit(now crid.Instant, rate float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit.Suggest(now, rate)
}

// ResetLimit forgets the limit, for another process of the target.
func (g *Gate) ResetLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.Reset()
}

// Limit returns the limit that the target names, in requests a second; zero means none.
func (g *Gate) Limit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit.Rate()
}

// limitedWait returns the time for which the limits of a cold target and of one in need
// delay a request that has the given number of requests before it.
func (g *Gate) limitedWait(now crid.Instant, ahead int) time.Duration {
	return max(g.warmup.Wait(now, ahead), g.limit.Wait(now, ahead))
}
