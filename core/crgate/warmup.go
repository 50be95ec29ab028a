package crgate

import (
	"math"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crwarmup"
)

// SetWarmup replaces the parameters of the limit while the target is cold.
func (g *Gate) SetWarmup(p crwarmup.Params) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.SetParams(p)
}

// SetDaemonStart records when this daemon started. Another process of it may have sent requests to
// the target until then.
func (g *Gate) SetDaemonStart(at crid.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.SetDaemonStart(at)
}

// Send records that a request in a slot is sent to the target now, on a connection that was
// established at an instant. It returns false if the target has become cold since and has no
// room; the request must then be cancelled.
func (g *Gate) Send(now, connectedAt crid.Instant, t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.sent = true
	if !g.warmup.Send(now, connectedAt) {
		g.limit.Cancel()
		return false
	}
	return true
}

// Written records when a request that was sent at an instant has been written to its connection.
func (g *Gate) Written(sentAt, writtenAt, connectedAt crid.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.Written(sentAt, writtenAt, connectedAt)
}

// ContactLost records that the target may have restarted.
func (g *Gate) ContactLost(now crid.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.ContactLost(now)
}

// ResetWarmup records that the target may be cold without having restarted.
func (g *Gate) ResetWarmup(now crid.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.Reset(now)
}

// Responded records a response to a request that was sent at an instant, on a connection
// that was established at another. The process that responded was alive at aliveAt.
func (g *Gate) Responded(connectedAt, sentAt, aliveAt crid.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.Responded(connectedAt, sentAt, aliveAt)
}

// StartCheck reports whether a health check is due that shows whether the target is cold.
func (g *Gate) StartCheck(now crid.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit.Wait(now, 0) > 0 || !g.warmup.StartCheck(now) {
		return false
	}
	g.limit.Reserve(now)
	return true
}

// RecordCheck records the time for which the target stays cold, by a health check.
func (g *Gate) RecordCheck(sentAt, now crid.Instant, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.RecordCheck(sentAt, now, remaining)
	g.dispatch(now)
}

// Doubt returns why the target is treated as cold without a check that says so.
func (g *Gate) Doubt() crwarmup.Doubt {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.warmup.Doubt()
}

// PeakSince returns the highest number of requests that were sent within a second since an
// instant.
func (g *Gate) PeakSince(at crid.Instant) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.warmup.PeakSince(at)
}

// ColdFor returns the time for which the target is known to stay cold.
func (g *Gate) ColdFor(now crid.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.warmup.Remaining(now)
}

// usableSlots returns the number of slots that can be in use at once: as many as the
// requests allowed in a second occupy, if the target is cold or names a limit.
func (g *Gate) usableSlots(now crid.Instant) int {
	slots := g.slots
	mean := g.serviceTimes.Mean().Seconds()
	for _, rate := range []float64{float64(g.warmup.Limit(now)), g.limit.Rate()} {
		if rate > 0 && mean > 0 {
			slots = min(slots, max(int(math.Ceil(rate*mean)), 1))
		}
	}
	return slots
}
