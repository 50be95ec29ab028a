package crplace

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

const (
	// avoidFirst and avoidMost bound the time for which a target is avoided
	// whose exit did not answer an offer. It doubles with each silence. A cut
	// of one path lasts some seconds, and each try costs its caller the
	// timeout of an offer.
	minAvoidance = 600 * time.Millisecond
	maxAvoidance = 2400 * time.Millisecond
)

// state is what is known of one target.
type targetState struct {
	report     LoadReport
	reported   bool
	load       int
	avoidance  time.Duration
	avoidUntil crid.Instant
	lastTrial  crid.Instant
}

// Balancer is what one daemon knows of all targets. It is safe for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	states map[crid.Target]*targetState
}

// NewBalancer returns a board that knows nothing.
func NewBalancer() *Balancer { return &Balancer{states: make(map[crid.Target]*targetState)} }

// Report notes what an exit told of its target.
func (b *Balancer) Report(t crid.Target, report LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t)
	s.report, s.reported, s.load = report, true, report.Load
}

// Begin counts a request sent from here since the exit told its load.
func (b *Balancer) Begin(t crid.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(t).load++
}

// End counts a request that ended.
func (b *Balancer) End(t crid.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t)
	s.load = max(s.load-1, 0)
}

// Responded forgets former silences of a target's exit.
func (b *Balancer) Responded(t crid.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t)
	s.avoidance, s.avoidUntil = 0, 0
}

// NoResponse notes that a target's exit did not answer, and avoids it for a while.
func (b *Balancer) NoResponse(now crid.Instant, t crid.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t)
	s.avoidance = min(max(2*s.avoidance, minAvoidance), maxAvoidance)
	s.avoidUntil = now.Add(s.avoidance)
}

// Retain forgets all targets but the given ones.
func (b *Balancer) Retain(targets map[crid.Target]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for t := range b.states {
		if !targets[t] {
			delete(b.states, t)
		}
	}
}

func (b *Balancer) state(t crid.Target) *targetState {
	s := b.states[t]
	if s == nil {
		s = &targetState{}
		b.states[t] = s
	}
	return s
}
