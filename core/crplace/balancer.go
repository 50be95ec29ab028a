package crplace

import (
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crtrial"
)

const (
	// minAvoidance and maxAvoidance bound the time for which a target is avoided after
	// its exit did not respond to an offer. The time doubles with each further offer
	// without a response. A network partition lasts some seconds, and each try
	// delays its caller by the timeout of an offer.
	minAvoidance = 600 * time.Millisecond
	maxAvoidance = 2400 * time.Millisecond
)

// targetState is the state of one target.
type targetState struct {
	report     LoadReport
	reported   bool
	load       int
	avoidance  time.Duration
	avoidUntil crid.Instant
	lastTrial  crid.Instant
	limit      float64 // requests a second that the target named in its latest response; zero: none
	leaving    bool    // a process of the target has said that it leaves
	leavingAs  int64   // Candidate.StartedMillis of that process
}

// leaves reports whether the process of a candidate has said that it leaves.
func (s *targetState) leaves(c Candidate) bool { return s.leaving && s.leavingAs == c.StartedMillis }

// Announcement is what a target says of itself in a response.
type Announcement struct {
	Limit   float64 `json:"limit"` // requests a second that it takes from all daemons together; zero: no limit
	Leaving bool    `json:"leaving"`
}

// Announce records what a target says of itself in a response that this daemon passes on.
// The daemon beside the target does so, too, but forgets it when it starts again.
func (b *Balancer) Announce(c Candidate, a Announcement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(c.Target)
	s.limit = a.Limit
	if a.Leaving {
		s.leaving, s.leavingAs = true, c.StartedMillis
	}
}

// Announced returns the targets whose latest responses name a limit, or say that they leave.
func (b *Balancer) Announced() map[crid.Target]Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[crid.Target]Announcement)
	for t, s := range b.states {
		if s.limit > 0 || s.leaving {
			out[t] = Announcement{Limit: s.limit, Leaving: s.leaving}
		}
	}
	return out
}

// Balancer holds one daemon's data on the load and health of all targets. It is safe
// for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	states map[crid.Target]*targetState
	trials *crtrial.Rates
}

// NewBalancer returns a balancer without state.
func NewBalancer() *Balancer {
	return &Balancer{states: make(map[crid.Target]*targetState), trials: crtrial.NewRates()}
}

// Report records the newest report of a target's exit.
func (b *Balancer) Report(t crid.Target, report LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t)
	s.report, s.reported, s.load = report, true, report.Load
}

// Begin counts a request that this daemon sends to the target. The next report
// replaces the count.
func (b *Balancer) Begin(t crid.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(t).load++
}

// End counts the end of such a request.
func (b *Balancer) End(t crid.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t)
	s.load = max(s.load-1, 0)
}

// Responded ends the avoidance of a target whose exit has responded.
func (b *Balancer) Responded(t crid.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t)
	s.avoidance, s.avoidUntil = 0, 0
}

// NoResponse records that a target's exit did not respond, and avoids the target for a
// while.
func (b *Balancer) NoResponse(now crid.Instant, t crid.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t)
	s.avoidance = min(max(2*s.avoidance, minAvoidance), maxAvoidance)
	s.avoidUntil = now.Add(s.avoidance)
}

// Retain removes all targets but the given ones.
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
