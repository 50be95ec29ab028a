// Package crgate implements admission control for the slots of one target.
//
// A target runs as many requests at once as it has slots, so that its own queue,
// which has neither priorities nor deadlines, stays empty. Other requests wait
// in the [Gate]: those of the highest priority first, within a priority those with the
// shortest objective, and each until the latest instant at which starting it is still
// useful. A request that cannot start in time is refused at once, while another target
// can still serve it.
//
// While the target is cold, package crwarmup also limits the requests that it gets in a
// second, and while it names a limit of its own, package crlimit does.
//
// The wait is estimated from the service times of each kind of request
// (core/crpace), so that a mixture of short and long requests is estimated
// correctly.
//
// Among requests of a priority, those of accounts that use more than their share of the
// slots (core/crshare) start after the others.
//
// The package is used by io/cregress. Package crslot assigns slots in io/crexit
// instead, with start-time fair queueing between accounts and without priorities.
//
// # Usage
//
//	latest := gate.LatestStart(now, crgate.Timing{Kind: kind, Objective: objective, TimeLeft: left})
//	ticket, refusal := gate.Admit(now, crgate.Request{Kind: kind, Priority: 1, LatestStart: latest})
//	if refusal != nil { ... }
//	<-ticket.Decided()
//	if ticket.Refusal() == nil && gate.Send(now, connectedAt, ticket) { ...; gate.Release(now, ticket, took) }
package crgate

import (
	"slices"
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crlimit"
	"camphorroad/core/crpace"
	"camphorroad/core/crshare"
	"camphorroad/core/crwarmup"
)

// Reason is why a request was refused, on arrival or while it waited.
type Reason uint8

// The reasons of a refusal. In each case the request was not run.
const (
	// ReasonFull means that the request would start too late.
	ReasonFull Reason = iota + 1
	// ReasonDisplaced means that the request would start too late, because more
	// urgent ones arrived after it.
	ReasonDisplaced
	// ReasonLeaving means that the target or its daemon is stopping.
	ReasonLeaving
	// ReasonBusy means that no slot is free, and that the entry wants no place in the
	// queue.
	ReasonBusy
	// ReasonUnhealthy means that the target became unhealthy while the request waited.
	ReasonUnhealthy
	// ReasonCancelled means that the entry cancelled the request or never sent
	// it.
	ReasonCancelled
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
	case ReasonBusy:
		return "busy"
	case ReasonUnhealthy:
		return "sick"
	case ReasonCancelled:
		return "withdrawn"
	}
	return "unknown"
}

// Refusal is why a request got no slot and when to retry.
type Refusal struct {
	reason        Reason
	retryAfter    time.Duration
	estimatedWait time.Duration
	maxWait       time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "no slot: " + r.reason.String() }

// Reason returns why the request got no slot.
func (r *Refusal) Reason() Reason { return r.reason }

// EstimatedWait is the estimated wait for a slot, if the request was refused on
// arrival because of it; otherwise zero.
func (r *Refusal) EstimatedWait() time.Duration { return r.estimatedWait }

// MaxWait is the longest wait that the request's latest useful start allowed, if
// it was refused on arrival because of its estimated wait; otherwise zero.
func (r *Refusal) MaxWait() time.Duration { return r.maxWait }

// RetryAfter estimates when the target can admit such a request again.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Request is a request for a slot.
type Request struct {
	Kind        crpace.Kind
	Nested      bool         // a running request, which holds a slot in the fleet, waits for this one
	Priority    int          // 0 is the most urgent
	LatestStart crid.Instant // latest useful start
	Late        bool         // it cannot meet its objective
	FreeSlot    bool         // refuse the request rather than queue it
	LastResort  bool         // keep it in the queue although the target is unhealthy
	Account     crshare.ID   // whose share it uses; ignored if it is nested
	Rate        float64      // configured rate of the account; zero: none

	shareLevel crshare.Level // changes while the request waits
}

// Ticket represents an admitted request, first in the queue and then in a slot.
type Ticket struct {
	request   Request
	account   *crshare.Account // nil if the request is nested
	arrival   uint64           // position in the order of arrival
	delayed   bool             // it was put behind others because of the share of its account
	startedAt crid.Instant     // when it got its slot
	sent      bool             // it was sent to the target
	decided   chan struct{}
	granted   bool
	ended     bool
	refusal   *Refusal
}

// Decided is closed once the request has got a slot or was refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Refusal returns why the request was refused, or nil if it got a slot. It may
// be called once Decided is closed.
func (t *Ticket) Refusal() *Refusal { return t.refusal }

// Load is the current load of the target.
type Load struct {
	Running  int
	Waiting  int
	Slots    int           // fewer while the target is cold or names a limit
	MeanTime time.Duration // mean service time; zero: not known yet
	Delayed  bool          // the target's own limit delays the next request
}

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	mu           sync.Mutex
	slots        int
	running      map[*Ticket]bool
	waiting      []*Ticket // in the order of Request.precedes, then of arrival
	arrivals     uint64    // admitted requests
	shares       *crshare.Tracker
	aboveShare   bool   // a waiting request is above the share of its account
	delayed      uint64 // requests put behind others because of the share of their account
	closed       bool
	serviceTimes crpace.Estimators
	warmup       *crwarmup.Limiter
	limit        crlimit.Limiter
}

// New returns a Gate for a target with the given number of slots.
func New(slots int) *Gate {
	return &Gate{slots: max(slots, 1), running: make(map[*Ticket]bool), shares: crshare.New(), warmup: crwarmup.New(0)}
}

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(now crid.Instant, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = max(n, 1)
	g.dispatch(now)
}

// Close refuses all waiting requests, and all new ones until Open.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, t := range g.waiting {
		g.refuse(t, ReasonLeaving, 0)
	}
	g.waiting = nil
}

// RefuseWaiting refuses the requests that wait, as the target has become unhealthy, except those
// of last resort. A target that fails its requests at once would otherwise fail its whole
// queue within milliseconds.
func (g *Gate) RefuseWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(t *Ticket) bool {
		if t.request.LastResort {
			return false
		}
		g.refuse(t, ReasonUnhealthy, 0)
		return true
	})
}

// Open admits requests again after Close.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
}

// Admit gives a request a slot or a place in the queue, or refuses it.
func (g *Gate) Admit(now crid.Instant, req Request) (*Ticket, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, &Refusal{reason: ReasonLeaving}
	}
	g.sweep(now)
	if req.FreeSlot && (len(g.waiting) > 0 || len(g.running) >= g.slots || g.limitedWait(now, 0) > 0) {
		return nil, &Refusal{reason: ReasonBusy, retryAfter: g.estimateWait(now, req, len(g.waiting))}
	}
	t := g.newTicket(now, req)
	g.reorder(now)
	at := g.position(t)
	if wait := g.estimateWait(now, req, at); now.Add(wait) > req.LatestStart {
		g.leaveShares(t)
		return nil, &Refusal{reason: ReasonFull, retryAfter: g.estimateWait(now, req, len(g.waiting)), estimatedWait: wait, maxWait: req.LatestStart.Sub(now)}
	}
	g.waiting = slices.Insert(g.waiting, at, t)
	g.dispatch(now)
	g.displace(now)
	g.countDelayed()
	return t, nil
}

// Cancel removes a request that has not been run from the queue, or frees its
// slot if it has got one.
func (g *Gate) Cancel(now crid.Instant, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.ended {
		return
	}
	if t.granted {
		g.release(now, t)
		g.dispatch(now)
		return
	}
	if i := slices.Index(g.waiting, t); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
	g.refuse(t, ReasonCancelled, 0)
}

// Release frees the slot of a request that ran. If took is zero it does not
// count as a service time.
func (g *Gate) Release(now crid.Instant, t *Ticket, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.ended {
		return
	}
	g.release(now, t)
	if took > 0 {
		g.serviceTimes.Add(t.request.Kind, took)
	}
	g.dispatch(now)
}

// Sweep refuses requests whose latest start has passed. It must be called
// periodically: at a target whose requests all hang, no other call has this
// effect.
func (g *Gate) Sweep(now crid.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	g.dispatch(now)
}

// Load returns the current load of the target.
func (g *Gate) Load(now crid.Instant) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Running: len(g.running), Waiting: len(g.waiting), Slots: g.usableSlots(now), MeanTime: g.serviceTimes.Mean(), Delayed: g.limit.Wait(now, 0) > 0}
}

// SlowThreshold returns the time from which on a request of a kind counts as
// slow; zero: not known.
func (g *Gate) SlowThreshold(k crpace.Kind) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceTimes.SlowThreshold(k)
}

// Idle reports whether nothing runs and nothing waits.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running) == 0 && len(g.waiting) == 0
}
