// Package crgate admits requests to the slots of one target.
//
// A target runs as many requests as it has slots, so that its own queue, which
// knows neither urgency nor deadlines, stays empty. What has to wait, waits here:
// the most urgent first, each no longer than it is any use to its caller. What
// cannot be served in time is refused at once, while there is still time to go to
// another target.
//
// It answers loads above what the slots can do, and mixtures of short and long
// requests: each is reckoned with by the time of its own kind.
//
// # Usage
//
//	latest := gate.Latest(now, crgate.Terms{Kind: kind, Objective: objective, Left: left})
//	ticket, err := gate.Admit(now, crgate.Ask{Kind: kind, Priority: 1, Start: latest})
//	<-ticket.Decided()
//	if ticket.Granted() { ...; gate.Done(now, ticket, took) }
package crgate

import (
	"slices"
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpace"
)

// Reason says why a request was not admitted, or not started after all.
type Reason uint8

// The reasons. In each the request was not run.
const (
	// ReasonFull: it would start too late.
	ReasonFull Reason = iota + 1
	// ReasonDisplaced: more urgent requests came and took its place.
	ReasonDisplaced
	// ReasonLeaving: the target or its daemon is stopping.
	ReasonLeaving
	// ReasonWithdrawn: the entry took it back, or never sent it.
	ReasonWithdrawn
)

// String returns a short description for people.
func (r Reason) String() string {
	switch r {
	case ReasonFull:
		return "full"
	case ReasonDisplaced:
		return "displaced"
	case ReasonLeaving:
		return "leaving"
	case ReasonWithdrawn:
		return "withdrawn"
	}
	return "unknown"
}

// Refusal tells why a request got no slot and when to come back.
type Refusal struct {
	reason     Reason
	retryAfter time.Duration
	wait       time.Duration
	patience   time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "no slot: " + r.reason.String() }

// Reason returns why.
func (r *Refusal) Reason() Reason { return r.reason }

// Wait is the estimated wait for a slot that was too long; zero if that was not the
// reason.
func (r *Refusal) Wait() time.Duration { return r.wait }

// MaxWait is how long the request could have waited.
func (r *Refusal) MaxWait() time.Duration { return r.patience }

// RetryAfter estimates when the target has room again.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Request is what a request asks for.
type Request struct {
	Kind     crpace.Kind
	Nested     bool         // a request that holds a slot of the fleet waits for it
	Priority int          // 0 is the most urgent
	LatestStart    crid.Instant // latest useful start
}

// Ticket is an admitted request's place.
type Ticket struct {
	ask     Request
	began   crid.Instant // when it got its slot
	decided chan struct{}
	granted bool
	ended   bool
	refusal *Refusal
}

// Decided is closed once the request has its slot or has lost its place.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Refusal tells why the request lost its place, or is nil if it has its slot.
// It may be called once Decided is closed.
func (t *Ticket) Refusal() *Refusal { return t.refusal }

// Load is how busy the target is.
type Load struct {
	Running int
	Waiting int
	Slots   int
	MeanTime time.Duration // of a request; zero: not known yet
}

// Gate guards one target. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	slots   int
	running map[*Ticket]bool
	waiting []*Ticket // most urgent first, then in order of arrival
	closed  bool
	paces   crpace.Paces
}

// New returns a gate for a target with the given number of slots.
func New(slots int) *Gate { return &Gate{slots: max(slots, 1), running: make(map[*Ticket]bool)} }

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(now crid.Instant, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = max(n, 1)
	g.dispatch(now)
}

// Close refuses all that waits and all that comes, until Open.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, t := range g.waiting {
		g.refuse(t, ReasonLeaving, 0)
	}
	g.waiting = nil
}

// Open admits requests again after Close.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
}

// Admit gives a request a slot or a place in the queue, or refuses it.
func (g *Gate) Admit(now crid.Instant, ask Request) (*Ticket, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, &Refusal{reason: ReasonLeaving}
	}
	g.sweep(now)
	at := g.place(ask)
	if wait := g.wait(now, at); now.Add(wait) > ask.LatestStart {
		return nil, &Refusal{reason: ReasonFull, retryAfter: g.wait(now, len(g.waiting)), wait: wait, patience: ask.LatestStart.Sub(now)}
	}
	t := &Ticket{ask: ask, decided: make(chan struct{})}
	g.waiting = slices.Insert(g.waiting, at, t)
	g.dispatch(now)
	g.displace(now)
	return t, nil
}

// Cancel takes a place back that is not started yet; a slot that was granted is
// free again.
func (g *Gate) Cancel(now crid.Instant, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.ended {
		return
	}
	if t.granted {
		g.free(t)
		g.dispatch(now)
		return
	}
	if i := slices.Index(g.waiting, t); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
	g.refuse(t, ReasonWithdrawn, 0)
}

// Release frees the slot of a request that ran. A time of zero says nothing about
// how long requests take.
func (g *Gate) Release(now crid.Instant, t *Ticket, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.ended {
		return
	}
	g.free(t)
	if took > 0 {
		g.paces.Add(t.ask.Kind, took)
	}
	g.dispatch(now)
}

// Sweep refuses what has waited in vain. It is to be called now and then, since
// nothing else happens at a target whose requests all hang.
func (g *Gate) Sweep(now crid.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	g.dispatch(now)
}

// Load returns how busy the target is now.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Running: len(g.running), Waiting: len(g.waiting), Slots: g.slots, MeanTime: g.paces.Mean()}
}

// SlowThreshold returns the time from which on a request of a kind is slow; zero: not
// known.
func (g *Gate) SlowThreshold(k crpace.Kind) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paces.Slow(k)
}

// Idle reports whether nothing runs and nothing waits.
func (g *Gate) Idle() bool {
	l := g.Load()
	return l.Running == 0 && l.Waiting == 0
}
