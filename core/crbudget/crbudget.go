// Package crbudget implements a retry budget: it limits retries, the attempts that send a request
// to a further target. The daemon of `camphorroad join` uses it in io/cringress, where requests
// enter. Packages craccount and crquota limit the callers' requests themselves.
//
// The limit holds for the whole fleet: in any window, a fraction of a service's requests plus a
// fixed number of retries, the slack. Each daemon enforces its own part without messages: the
// fraction of the requests that entered at this daemon, and an equal part of the slack. The sum
// over all daemons therefore stays within the limit whatever the other daemons do.
//
// # Usage
//
//	b := crbudget.New(crbudget.Params{Ratio: 0.2, Slack: 56, Window: 10 * time.Second})
//	b.RecordRequest(now, service)
//	if b.Spend(now, service, fleetSize, 1) { ... }
package crbudget

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

// safetyFactor is the fraction of the fleet's limit that is used. The rest covers the calls that
// retried requests make: they are charged where they enter, by an estimated fraction, and when they
// alone exceed a daemon's part, the other daemons do not reduce their retries.
const safetyFactor = 0.6

// Params are the limit of the fleet.
type Params struct {
	Ratio  float64 // retries per request
	Slack  float64 // retries of the whole fleet in a window, in addition to Ratio
	Window time.Duration
}

// Budget is one daemon's part of the limit. It is safe for concurrent use.
type Budget struct {
	params  Params
	mu      sync.Mutex
	windows map[crid.Service]*window
}

// New returns a budget from which nothing has been spent.
func New(p Params) *Budget {
	return &Budget{params: p, windows: make(map[crid.Service]*window)}
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now crid.Instant, s crid.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(s).add(now, b.params.Window, 1, 0)
}

// Affords reports whether the budget covers one more retry of the given cost.
func (b *Budget) Affords(now crid.Instant, s crid.Service, fleetSize int, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.affords(now, s, fleetSize, cost)
}

func (b *Budget) affords(now crid.Instant, s crid.Service, fleetSize int, cost float64) bool {
	spent, allowed := b.balance(now, s, fleetSize)
	return spent+cost <= allowed
}

// Balance returns what was spent of this daemon's part in the window that ends now, and the part.
func (b *Budget) Balance(now crid.Instant, s crid.Service, fleetSize int) (spent, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance(now, s, fleetSize)
}

func (b *Budget) balance(now crid.Instant, s crid.Service, fleetSize int) (spent, allowed float64) {
	w := b.window(s)
	w.add(now, b.params.Window, 0, 0)
	slack := b.params.Slack / float64(max(fleetSize, 1))
	return w.spent(), safetyFactor * (b.params.Ratio*w.requests() + slack)
}

// Spend takes the cost of one more retry, or returns false when the budget does not cover it.
// The cost is the number of requests that may arrive because of the retry.
func (b *Budget) Spend(now crid.Instant, s crid.Service, fleetSize int, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.affords(now, s, fleetSize, cost) {
		return false
	}
	b.window(s).add(now, b.params.Window, 0, cost)
	return true
}

// Charge counts requests that arrive because of retries elsewhere: a request that runs again makes
// its calls again, and those are retries for the service called.
func (b *Budget) Charge(now crid.Instant, s crid.Service, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(s).add(now, b.params.Window, 0, cost)
}

// Refund returns the cost of a retry that did not reach a target.
func (b *Budget) Refund(now crid.Instant, s crid.Service, cost float64) {
	b.Charge(now, s, -cost)
}

func (b *Budget) window(s crid.Service) *window {
	w := b.windows[s]
	if w == nil {
		w = &window{}
		b.windows[s] = w
	}
	return w
}

// intervals is the number of intervals of a window, which slides by one interval at a time.
const intervals = 10

type interval struct {
	index          int64
	requests, cost float64
}

// window sums the requests and the cost in the intervals of a sliding window.
type window struct {
	current int64
	ring    [intervals]interval
}

func (w *window) add(now crid.Instant, length time.Duration, requests, cost float64) {
	w.current = int64(now) / max(int64(length)/intervals, 1)
	iv := &w.ring[w.current%intervals]
	if iv.index != w.current {
		*iv = interval{index: w.current}
	}
	iv.requests += requests
	iv.cost += cost
}

func (w *window) requests() float64 { return w.sum(func(iv interval) float64 { return iv.requests }) }
func (w *window) spent() float64    { return w.sum(func(iv interval) float64 { return iv.cost }) }

func (w *window) sum(of func(interval) float64) float64 {
	total := 0.0
	for _, iv := range w.ring {
		if w.current-iv.index < intervals {
			total += of(iv)
		}
	}
	return total
}
