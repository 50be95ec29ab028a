package crforward

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

// DefaultPauseThreshold is the gap between beats from which on the process counts as
// having been paused.
const DefaultPauseThreshold = time.Second

// PauseDetector notices that the process was frozen (stopped, suspended, starved). A
// ticker feeds it much more often than its limit. It is safe for concurrent use.
type PauseDetector struct {
	mu      sync.Mutex
	limit   time.Duration
	last    crid.Instant
	resumed crid.Instant // when the last pause was noticed
	paused  bool         // whether there ever was one
}

// NewPauseDetector returns a Pulse whose first beat is now.
func NewPauseDetector(limit time.Duration, now crid.Instant) *PauseDetector {
	return &PauseDetector{limit: limit, last: now}
}

// Tick records that the process runs, and reports whether it was paused since
// the last beat.
func (p *PauseDetector) Tick(now crid.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.observe(now)
}

// TickOverdue reports whether more than the limit lies between the last beat and now.
func (p *PauseDetector) TickOverdue(now crid.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.last) > p.limit
}

// PausedSince reports whether a pause was noticed at or after since, or is
// noticed now. After a pause the ticker may run before the traffic does; the
// pause is remembered, so that the ticker's beat does not hide it.
func (p *PauseDetector) PausedSince(since, now crid.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) > p.limit {
		p.observe(now)
	}
	return p.paused && !p.resumed.Before(since)
}

func (p *PauseDetector) observe(now crid.Instant) bool {
	gap := now.Sub(p.last) > p.limit
	if gap {
		p.resumed = now
		p.paused = true
	}
	if p.last.Before(now) {
		p.last = now
	}
	return gap
}
