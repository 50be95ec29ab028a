// Package crcaller estimates the priority of nested calls: that of the requests which make
// them.
//
// A call enters at the daemon beside the calling target, and does not name the request that
// it belongs to. But that request is running on the target at this moment. The priority
// that is present at all calls of a route is therefore the one of its callers.
//
// Without it the calls of unimportant requests would go before urgent requests of the called
// service, and take its slots when it has too few.
//
// # Usage
//
//	tracker.Started(priority)
//	defer tracker.Ended(priority)
//	...
//	priority = tracker.CallPriority(route, priority)
package crcaller

import (
	"sync"

	"camphorroad/core/crid"
)

const (
	// priorities is the number of priorities that are told apart. Less urgent ones count as
	// the last.
	priorities = 4
	// decay is the factor by which a call reduces the weight of earlier ones.
	decay = 0.99
	// minWeight is the weight of the calls from which on the estimate is used.
	minWeight = 20
	// maxRoutes bounds the routes that are tracked.
	maxRoutes = 256
)

// presence holds how often requests of each priority were running at a call.
type presence struct {
	weight  float64
	running [priorities]float64
}

// Tracker observes one target. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	running [priorities]int
	routes  map[crid.Route]*presence
}

// NewTracker returns a tracker of a target without requests.
func NewTracker() *Tracker { return &Tracker{routes: make(map[crid.Route]*presence)} }

// Started counts a request that runs on the target, until Ended.
func (t *Tracker) Started(priority int) { t.add(priority, 1) }

// Ended ends a request.
func (t *Tracker) Ended(priority int) { t.add(priority, -1) }

func (t *Tracker) add(priority, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[min(max(priority, 0), priorities-1)] += n
}

// CallPriority records a call of the target on a route, and returns its priority: that of
// its caller, but no more urgent than the route's own.
func (t *Tracker) CallPriority(route crid.Route, own int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.routes[route]
	if p == nil {
		if len(t.routes) >= maxRoutes {
			return own
		}
		p = &presence{}
		t.routes[route] = p
	}
	p.weight = p.weight*decay + 1
	best := 0
	for i := range p.running {
		p.running[i] *= decay
		if t.running[i] > 0 {
			p.running[i]++
		}
		if p.running[i] > p.running[best] {
			best = i
		}
	}
	if p.weight < minWeight {
		return own
	}
	return max(own, best)
}
