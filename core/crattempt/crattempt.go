// Package crattempt decides how long a target may work on a request that can be sent to
// another target afterwards.
//
// A target that hangs would use up all of the caller's time, and hold a slot as long. So the
// target is given a shorter deadline, at which it ends the request by itself. The rest of
// the time is left for the next target.
//
// A [Tracker] learns at the entry how long requests take on all targets of a service. One
// target that hangs shows nothing of how long requests take on it otherwise.
//
// # Usage
//
//	limit := tracker.Limit(service, kind, trial)
//	...
//	tracker.Record(service, kind, took)
package crattempt

import (
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpace"
)

// defaultShare is the share of the objective that a trial gets while the service times are
// not known.
const defaultShare = 0.6

// Tracker holds the service times of requests at all targets of each service. It is safe
// for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[crid.Service]*crpace.Estimators
}

// NewTracker returns a tracker that knows no service times.
func NewTracker() *Tracker { return &Tracker{services: make(map[crid.Service]*crpace.Estimators)} }

// Record records the time that a target took for a request. A request that was ended by
// its limit counts as one that took so long, so that the limit follows a service that has
// become slower.
func (t *Tracker) Record(s crid.Service, k crpace.Kind, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[s] == nil {
		t.services[s] = &crpace.Estimators{}
	}
	t.services[s].Add(k, took)
}

// Limit returns the time for one attempt, or zero if it is not limited. A trial, on a target
// that is probably unhealthy, has the time within which most requests end. Any other attempt
// is limited when it counts as slow.
func (t *Tracker) Limit(s crid.Service, k crpace.Kind, trial bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.services[s]
	switch known := e != nil && e.SlowThreshold(k) > 0; {
	case trial && known:
		return e.UpperEstimate(k)
	case trial:
		return time.Duration(defaultShare * float64(k.Objective))
	case known:
		return e.SlowThreshold(k)
	}
	return 0
}

// Typical returns the mean time that requests of a kind take at the targets of a service, or
// zero if it is not known.
func (t *Tracker) Typical(s crid.Service, k crpace.Kind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.services[s]; e != nil && e.Mean() > 0 {
		return e.Expected(k)
	}
	return 0
}
