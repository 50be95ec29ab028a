package crbudget

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

const (
	// pooledShare is the fraction of the slack that daemons take from the pool. The parts of the
	// rest are fractions of a retry in a fleet of hundreds, of which most are not used.
	pooledShare = 0.5
	// poolSafetyFactor is the fraction of the pooled slack that is used. The owner does not know
	// whether targets call the service, and keeps the reserve of one that they call.
	poolSafetyFactor = calledSafetyFactor
	// poolStartShare is the fraction of its limit that a new owner uses in the first window: the
	// former owner may have granted as much as the limit.
	poolStartShare = 0.5
)

// Split divides a limit into the one of the daemons' own parts and the one of the pool.
func Split(p Params) (own, pooled Params) {
	own, pooled = p, Params{Slack: p.Slack * pooledShare, Window: p.Window}
	own.Slack -= pooled.Slack
	return own, pooled
}

// Pool is the part of the limit that daemons take retry by retry, from the one daemon of the fleet
// that owns it. It is safe for concurrent use.
//
//	if !budget.Spend(now, retry) && pool.Take(now, service, crbudget.Ownership{Fraction: 1, Since: since}) { ... }
type Pool struct {
	params  Params
	mu      sync.Mutex
	windows map[crid.Service]*poolWindow
}

// poolWindow is the use of a service's pool.
type poolWindow struct {
	window
	usedAt   crid.Instant
	fullFrom crid.Instant // until then the grants of a former owner count
}

// Ownership describes the owner of a pool.
type Ownership struct {
	Fraction float64      // of the limit; less than 1 for the owner of one side of a partitioned fleet
	Since    crid.Instant // from when on no other daemon was the owner
}

// NewPool returns a pool from which nothing has been taken.
func NewPool(p Params) *Pool { return &Pool{params: p, windows: make(map[crid.Service]*poolWindow)} }

// Take takes a retry.
func (p *Pool) Take(now crid.Instant, s crid.Service, o Ownership) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := poolSafetyFactor * p.params.Slack * o.Fraction
	w := p.window(now, s, o.Since)
	iv := w.at(now, p.params.Window)
	if now < w.fullFrom {
		limit *= poolStartShare
	}
	if w.spent()+1 > limit {
		return false
	}
	iv.charged++
	return true
}

// window returns the window of a service. One that was not used for a window's length starts again,
// as another daemon may have been the owner meanwhile.
func (p *Pool) window(now crid.Instant, s crid.Service, ownerSince crid.Instant) *poolWindow {
	w := p.windows[s]
	if w == nil || now.Sub(w.usedAt) > p.params.Window {
		w = &poolWindow{fullFrom: ownerSince.Add(p.params.Window)}
		p.windows[s] = w
	}
	w.usedAt = max(w.usedAt, now)
	return w
}

// PoolOwner is the name by which the owner of a service's pool is selected, like the owner of an
// account.
func PoolOwner(s crid.Service) crid.Account { return crid.Account("retries of " + string(s)) }

// RetryTimeout bounds the wait for the pool's answer. A retry that waits longer than an offer takes
// is of little use.
const RetryTimeout = 40 * time.Millisecond
