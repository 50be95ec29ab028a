// Package crtrial decides which share of a service's idempotent requests tries unhealthy
// targets. Only a request shows that a target has recovered, and requests that run at most
// once are not used for it. A fixed share suffices for a service whose requests are mostly
// idempotent. At one with few of them, recovered targets would wait for many seconds.
//
// # Usage
//
//	rates := crtrial.NewRates()
//	rates.Record(now, service)
//	share := rates.Share(now, service, unhealthyTargets, fleetSize)
package crtrial

import (
	"math"
	"time"

	"camphorroad/core/crid"
)

const (
	// MinShare is the share of the requests that are trials where this suffices to try each
	// unhealthy target once per Interval.
	MinShare = 0.25
	// maxShare bounds the share, since a trial delays its request if the target is still
	// unhealthy.
	maxShare = 0.6
	// Interval is the time within which an unhealthy target should get a trial. A target
	// that has recovered and got no request for two seconds is capacity that the service lacks.
	Interval = 750 * time.Millisecond
	// averagingTime is the time constant of the moving average of request rates.
	averagingTime = 15 * time.Second
	// maxServices bounds the memory, also if the configuration often replaces services by others.
	// Beyond it, an arbitrary one is replaced, and counted again from its next request on.
	maxServices = 1024
)

// rate is an exponential moving average of a request rate.
type rate struct {
	weight    float64 // requests, decayed
	updatedAt crid.Instant
}

func (r *rate) decay(now crid.Instant) {
	elapsed := max(now.Sub(r.updatedAt), 0)
	r.weight *= math.Exp(-elapsed.Seconds() / averagingTime.Seconds())
	r.updatedAt = max(r.updatedAt, now)
}

// perSecond returns the average over the time since the given instant.
func (r *rate) perSecond(now, since crid.Instant) float64 {
	r.decay(now)
	observed := averagingTime.Seconds() * (1 - math.Exp(-now.Sub(since).Seconds()/averagingTime.Seconds()))
	return r.weight / max(observed, 1)
}

// Rates holds the rates at which one daemon receives idempotent requests for each service.
// It is not safe for concurrent use.
type Rates struct {
	services map[crid.Service]*rate
	// since is the first request for any service. Counted from its own first request, the rate
	// of a service with few requests would be too high for many seconds.
	since crid.Instant
}

// NewRates returns rates without requests.
func NewRates() *Rates { return &Rates{services: make(map[crid.Service]*rate)} }

// Record records an idempotent request for a service.
func (r *Rates) Record(now crid.Instant, s crid.Service) {
	if len(r.services) == 0 {
		r.since = now
	}
	e := r.services[s]
	if e == nil {
		r.evictOne()
		e = &rate{updatedAt: now}
		r.services[s] = e
	}
	e.decay(now)
	e.weight++
}

// evictOne removes an arbitrary service if the bound is reached.
func (r *Rates) evictOne() {
	if len(r.services) < maxServices {
		return
	}
	for s := range r.services {
		delete(r.services, s)
		return
	}
}

// Share returns the share of the idempotent requests for a service that are trials, so that
// each of its unhealthy targets gets one per Interval from a fleet of daemons with similar rates.
func (r *Rates) Share(now crid.Instant, s crid.Service, unhealthy, fleet int) float64 {
	e := r.services[s]
	if e == nil {
		return MinShare
	}
	requests := e.perSecond(now, r.since) * float64(max(fleet, 1)) * Interval.Seconds()
	return min(max(float64(unhealthy)/max(requests, 1), MinShare), maxShare)
}
