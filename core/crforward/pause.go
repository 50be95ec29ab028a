package crforward

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

// DefaultPauseThreshold is the time between two ticks above which the process
// counts as paused.
const DefaultPauseThreshold = time.Second

// PauseDetector detects that the process did not run for a while, because it
// was stopped, suspended or starved of CPU. A ticker calls Tick at a small
// fraction of the threshold. It is safe for concurrent use.
type PauseDetector struct {
	mu         sync.Mutex
	threshold  time.Duration
	lastTick   crid.Instant
	resumedAt  crid.Instant // end of the last pause
	everPaused bool
}

// NewPauseDetector returns a PauseDetector whose first tick is now.
func NewPauseDetector(threshold time.Duration, now crid.Instant) *PauseDetector {
	return &PauseDetector{threshold: threshold, lastTick: now}
}

// Tick records that the process runs, and reports whether it was paused since
// the last tick.
func (p *PauseDetector) Tick(now crid.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.update(now)
}

// TickOverdue reports whether the last tick is more than the threshold ago.
func (p *PauseDetector) TickOverdue(now crid.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastTick) > p.threshold
}

// PausedSince reports whether a pause was detected at or after since, or is
// detected now. After a pause the ticker may run before the forwards do; the
// pause is stored, so that the tick does not hide it.
func (p *PauseDetector) PausedSince(since, now crid.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastTick) > p.threshold {
		p.update(now)
	}
	return p.everPaused && !p.resumedAt.Before(since)
}

func (p *PauseDetector) update(now crid.Instant) bool {
	paused := now.Sub(p.lastTick) > p.threshold
	if paused {
		p.resumedAt = now
		p.everPaused = true
	}
	if p.lastTick.Before(now) {
		p.lastTick = now
	}
	return paused
}
