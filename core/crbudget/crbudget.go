// Package crbudget bounds how many requests are sent to a further target.
//
// The bound holds for the whole fleet: a share of a service's requests plus a
// slack in any window. Each daemon keeps its own part of it, with no message: the
// share of the requests that entered here, and its part of the slack. So the sum
// over all daemons keeps the bound whatever the others do.
//
// # Usage
//
//	b := crbudget.New(crbudget.Params{Ratio: 0.2, Slack: 56, Window: 10 * time.Second})
//	b.Request(now, service)
//	if b.Spend(now, service, peers, 1) { ... }
package crbudget

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

// safety is the part of the fleet's bound that is used. The rest is for calls of
// repeats: they are charged where they enter, as a share that is estimated, and
// where they alone pass a daemon's part, the others do not know.
const safety = 0.6

// Params are the fleet's bound.
type Params struct {
	Ratio  float64 // further sends a request
	Slack  float64 // further sends in a window besides, by the whole fleet
	Window time.Duration
}

// Budget is one daemon's part. It is safe for concurrent use.
type Budget struct {
	params  Params
	mu      sync.Mutex
	windows map[crid.Service]*window
}

// New returns a budget.
func New(p Params) *Budget {
	return &Budget{params: p, windows: make(map[crid.Service]*window)}
}

// Request counts a request of a caller for a service.
func (b *Budget) Request(now crid.Instant, s crid.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(s).add(now, b.params.Window, 1, 0)
}

// Affords reports whether one more send at a price could be paid for now.
func (b *Budget) Affords(now crid.Instant, s crid.Service, daemons int, price float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.affords(now, s, daemons, price)
}

func (b *Budget) affords(now crid.Instant, s crid.Service, daemons int, price float64) bool {
	spent, allowed := b.balance(now, s, daemons)
	return spent+price <= allowed
}

// Balance returns what was spent of this daemon's part in the window that ends now,
// and the part.
func (b *Budget) Balance(now crid.Instant, s crid.Service, daemons int) (spent, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance(now, s, daemons)
}

func (b *Budget) balance(now crid.Instant, s crid.Service, daemons int) (spent, allowed float64) {
	w := b.window(s)
	w.add(now, b.params.Window, 0, 0)
	part := b.params.Slack / float64(max(daemons, 1))
	return w.spent(), safety * (b.params.Ratio*w.requests() + part)
}

// Spend takes the price of one more send, or reports that there is nothing left.
// The price is the number of arrivals that it may lead to.
func (b *Budget) Spend(now crid.Instant, s crid.Service, daemons int, price float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.affords(now, s, daemons, price) {
		return false
	}
	b.window(s).add(now, b.params.Window, 0, price)
	return true
}

// Charge counts arrivals that repeats elsewhere lead to: a request that runs
// again makes its calls again, and those are repeats for the service called.
func (b *Budget) Charge(now crid.Instant, s crid.Service, price float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(s).add(now, b.params.Window, 0, price)
}

// Refund gives a price back: the send did not arrive anywhere.
func (b *Budget) Refund(now crid.Instant, s crid.Service, price float64) {
	b.Charge(now, s, -price)
}

func (b *Budget) window(s crid.Service) *window {
	w := b.windows[s]
	if w == nil {
		w = &window{}
		b.windows[s] = w
	}
	return w
}

// cells is the number of parts of a window: it slides in tenths.
const cells = 10

type cell struct {
	index         int64
	asked, resent float64
}

// window counts the last [cells] parts of a window.
type window struct {
	now   int64
	parts [cells]cell
}

func (w *window) add(now crid.Instant, length time.Duration, asked, resent float64) {
	w.now = int64(now) / max(int64(length)/cells, 1)
	c := &w.parts[w.now%cells]
	if c.index != w.now {
		*c = cell{index: w.now}
	}
	c.asked += asked
	c.resent += resent
}

func (w *window) requests() float64 { return w.sum(func(c cell) float64 { return c.asked }) }
func (w *window) spent() float64    { return w.sum(func(c cell) float64 { return c.resent }) }

func (w *window) sum(of func(cell) float64) float64 {
	total := 0.0
	for _, c := range w.parts {
		if w.now-c.index < cells {
			total += of(c)
		}
	}
	return total
}
