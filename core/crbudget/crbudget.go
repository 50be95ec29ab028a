// Package crbudget implements a retry budget: it limits retries, the attempts that send a request
// to a further target. The daemon of `camphorroad join` uses it in io/cringress, where requests
// enter. Packages craccount and crquota limit the callers' requests themselves.
//
// The limit holds for the whole fleet: in any window, a fraction of a service's requests plus a
// fixed number of retries, the slack. Each daemon enforces its own part without messages: the
// fraction of the requests that entered at this daemon, and an equal part of the slack. The sum
// over all daemons therefore stays within the limit whatever the other daemons do.
//
// What was spent is kept in memory. A daemon that starts again does not know what its predecessor has
// spent of their part, and retries nothing until a window has passed; it still takes retries from the
// [Pool]. A daemon also needs some time until it knows the size of the fleet, and so its part of the
// slack.
//
// A retry also costs the calls that its run makes again at other services. The daemons beside
// the targets count them ([CallRates]), and report them to the entries ([CallCosts]). A retry is sent
// only if the budgets of all of these services cover it.
//
// A part of the budget is kept for urgent requests while they need it. When a service rejects half
// of its requests, the budget covers a third of the retries, and without this order the less urgent
// requests would use it as well as the others.
//
// # Usage
//
//	b := crbudget.New(crbudget.Params{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}, crbudget.Start{At: now, Successor: true})
//	b.RecordRequest(now, service)
//	if b.Spend(now, crbudget.Retry{Service: service, Priority: 1, FleetSize: fleetSize, Cost: 1}) { ... }
//	if b.Spend(now, crbudget.Retry{...}, crbudget.Retry{...}) { ... } // with the calls of its run
package crbudget

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"camphorroad/core/crid"
)

const (
	// safetyFactor is the fraction of the fleet's limit that is used. The windows of the daemons
	// slide by a tenth of their length, in which the limit may be exceeded by as much.
	safetyFactor = 0.85
	// calledSafetyFactor is used for a service if the share of the requests that are calls of
	// targets is fullReserveShare or more. The rest covers the calls that retried requests make:
	// they are charged where they enter, by an estimated fraction, and when they alone exceed a
	// daemon's part, the other daemons do not reduce their retries.
	calledSafetyFactor = 0.6
	fullReserveShare   = 0.5
	// sizeUnknownShare is the fraction of a window after the start in which a daemon does not count
	// on its part of the slack. Records and heartbeats of the others arrive within seconds.
	sizeUnknownShare = 0.5
	// maxReservedShare is the largest share of the budget that is kept for more urgent requests.
	maxReservedShare = 0.5
)

// Retry is one more attempt of a request, or the calls that its run makes at one service.
type Retry struct {
	Service   crid.Service
	Priority  int // 0 is the most urgent
	FleetSize int
	Cost      float64 // requests that may arrive because of it
}

// Params are the limit of the fleet.
type Params struct {
	Ratio  float64 // retries per request
	Slack  float64 // retries of the whole fleet in a window, in addition to Ratio
	Window time.Duration
}

// Start tells how a daemon started.
type Start struct {
	At        crid.Instant
	Successor bool // there may have been a daemon on this machine before
}

// Budget is one daemon's part of the limit. It is safe for concurrent use.
type Budget struct {
	params        Params
	availableFrom crid.Instant // until then the predecessor's retries count
	slackFrom     crid.Instant // until then the size of the fleet may not be known
	mu            sync.Mutex
	windows       map[crid.Service]*window
}

// New returns the budget of a daemon that has started.
func New(p Params, started Start) *Budget {
	b := &Budget{
		params: p, availableFrom: started.At, slackFrom: started.At.Add(time.Duration(sizeUnknownShare * float64(p.Window))),
		windows: make(map[crid.Service]*window),
	}
	if started.Successor {
		b.availableFrom = started.At.Add(p.Window)
	}
	return b
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now crid.Instant, s crid.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(s).at(now, b.params.Window).requests++
}

// Affords reports whether the budget covers all of the given retries.
func (b *Budget) Affords(now crid.Instant, retries ...Retry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.affordsAll(now, retries)
}

func (b *Budget) affordsAll(now crid.Instant, retries []Retry) bool {
	return !slices.ContainsFunc(retries, func(r Retry) bool { return !b.affords(now, r) })
}

func (b *Budget) affords(now crid.Instant, r Retry) bool {
	spent, allowed := b.balance(now, r.Service, r.FleetSize)
	reserved := min(b.window(r.Service).spentAbove(r.Priority), maxReservedShare*allowed)
	return spent+reserved+r.Cost <= allowed
}

// Balance returns what was spent of this daemon's part in the window that ends now, and the part.
func (b *Budget) Balance(now crid.Instant, s crid.Service, fleetSize int) (spent, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance(now, s, fleetSize)
}

func (b *Budget) balance(now crid.Instant, s crid.Service, fleetSize int) (spent, allowed float64) {
	w := b.window(s)
	w.at(now, b.params.Window)
	if now < b.availableFrom {
		return w.spent(), 0
	}
	factor := safetyFactor - (safetyFactor-calledSafetyFactor)*min(w.calls()/max(w.requests(), 1)/fullReserveShare, 1)
	limit := b.params.Ratio * w.requests()
	if now >= b.slackFrom {
		limit += b.params.Slack / float64(max(fleetSize, 1))
	}
	return w.spent(), factor * limit
}

// Usage is the use of a service's budget in the window that ends now.
type Usage struct {
	Service  crid.Service `json:"service"`
	Requests float64      `json:"requests"`
	Spent    float64      `json:"spent"`   // by retries of this daemon's requests, and Charged
	Charged  float64      `json:"charged"` // for calls of retries whose entry did not know them
	Allowed  float64      `json:"allowed"` // this daemon's part; zero in the first window after a restart
}

// Usage returns the use of all services' budgets, sorted by service.
func (b *Budget) Usage(now crid.Instant, fleetSize int) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Usage, 0, len(b.windows))
	for s, w := range b.windows {
		spent, allowed := b.balance(now, s, fleetSize)
		out = append(out, Usage{Service: s, Requests: w.requests(), Spent: spent, Charged: w.charged(), Allowed: allowed})
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Spend takes the cost of all of the given retries, or returns false when the budget does
// not cover one of them.
func (b *Budget) Spend(now crid.Instant, retries ...Retry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.affordsAll(now, retries) {
		return false
	}
	for _, r := range retries {
		b.window(r.Service).at(now, b.params.Window).spend(r.Priority, r.Cost)
	}
	return true
}

// RecordCall counts a call of a target as a request for the service called. repeated is the
// probability that the run which makes it is a retry: then the call is no new request, but one
// more arrival of it.
func (b *Budget) RecordCall(now crid.Instant, s crid.Service, repeated float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	iv := b.window(s).at(now, b.params.Window)
	iv.requests += 1 - repeated
	iv.calls += 1 - repeated
}

// Charge counts requests that arrive because of retries elsewhere: a request that runs again makes
// its calls again, and those are retries for the service called. It is for the calls of runs whose
// entry did not know their number, and so did not spend it with the retry.
func (b *Budget) Charge(now crid.Instant, s crid.Service, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(s).at(now, b.params.Window).charged += cost
}

// Refund returns the cost of retries that did not reach a target.
func (b *Budget) Refund(now crid.Instant, retries ...Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range retries {
		b.window(r.Service).at(now, b.params.Window).spend(r.Priority, -r.Cost)
	}
}

func (b *Budget) window(s crid.Service) *window {
	w := b.windows[s]
	if w == nil {
		w = &window{}
		b.windows[s] = w
	}
	return w
}

const (
	// intervals is the number of intervals of a window, which slides by one interval at a time.
	intervals = 10
	// priorities is the number of priorities that are told apart. Less urgent ones count as the
	// last.
	priorities = 4
)

type interval struct {
	index           int64
	requests, calls float64 // calls are requests of targets
	charged         float64
	byPriority      [priorities]float64 // cost of the retries
}

func (iv *interval) spend(priority int, cost float64) { iv.byPriority[priorityIndex(priority)] += cost }

func priorityIndex(priority int) int { return min(max(priority, 0), priorities-1) }

// spentAbove is the cost of the retries that are more urgent than a priority.
func (iv *interval) spentAbove(priority int) float64 {
	total := 0.0
	for _, cost := range iv.byPriority[:priorityIndex(priority)] {
		total += cost
	}
	return total
}

// window sums the requests and the cost in the intervals of a sliding window.
type window struct {
	current int64
	ring    [intervals]interval
}

// at returns the current interval.
func (w *window) at(now crid.Instant, length time.Duration) *interval {
	w.current = int64(now) / max(int64(length)/intervals, 1)
	iv := &w.ring[w.current%intervals]
	if iv.index != w.current {
		*iv = interval{index: w.current}
	}
	return iv
}

func (w *window) requests() float64 { return w.sum(func(iv *interval) float64 { return iv.requests }) }
func (w *window) calls() float64    { return w.sum(func(iv *interval) float64 { return iv.calls }) }

func (w *window) charged() float64 { return w.sum(func(iv *interval) float64 { return iv.charged }) }

func (w *window) spent() float64 {
	return w.sum(func(iv *interval) float64 {
		return iv.charged + iv.spentAbove(priorities) + iv.byPriority[priorities-1]
	})
}

func (w *window) spentAbove(priority int) float64 {
	return w.sum(func(iv *interval) float64 { return iv.spentAbove(priority) })
}

func (w *window) sum(of func(*interval) float64) float64 {
	total := 0.0
	for i := range w.ring {
		if w.current-w.ring[i].index < intervals {
			total += of(&w.ring[i])
		}
	}
	return total
}
