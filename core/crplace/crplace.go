// Package crplace chooses the target that a request is offered to.
//
// A [Balancer] holds the newest [LoadReport] of each target's exit, corrected by the
// requests that this daemon has sent since, and whether the exit responds to this
// daemon. The entry (io/cringress) chooses again after each refused offer. Package
// crjudge makes the health estimates in the reports. The entry of io/crentry chooses by
// package crroute instead.
//
// # Usage
//
//	balancer.Report(target, report)
//	choice, ok := balancer.Choose(now, candidates, crplace.Request{Class: route.Class, Tried: tried, Rand: rand.Float64})
//	balancer.Begin(choice.Target)
//	defer balancer.End(choice.Target)
package crplace

import (
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crsize"
)

// Candidate is a target of the requested service.
type Candidate struct {
	Target crid.Target
	Daemon crid.Daemon // the daemon beside it
	Domain crid.Domain
	Slots  int
	Cold   bool // started recently and still slow
	// StartedMillis identifies the target's process, as its name may be used again.
	StartedMillis int64 `json:"-"`
}

// LoadReport is the report of an exit on its target.
type LoadReport struct {
	_             struct{} `cbor:",toarray"`
	Load          int      // requests running and queued
	Slots         int
	UnhealthyProb float64       `json:"Sick"`
	Typical       time.Duration // typical service time; zero: not known
	Closed        bool          // accepts no requests now
}

// Request is the input to a choice, besides the state of the balancer.
type Request struct {
	Service      crid.Service
	Class        crpolicy.Class
	Domain       crid.Domain            // of the entry
	Tried        []crid.Target          // targets that have refused this request
	Rand         func() float64         // random number in [0,1); called on the caller's goroutine
	Unresponsive func(crid.Daemon) bool // whether no message of a daemon arrived recently
	NoRetry      bool                   // no retry is left if the target fails the request
	PooledRetry  bool                   // a retry of the fleet's pool may be left if this daemon has none
	Nested       bool                   // another request, which holds a slot, waits for this one
	Busy         int                    // exits that refused it because no slot was free
	Allowed      func(crid.Domain) bool // domains in which it may be processed; nil: all
	FleetSize    int                    // number of daemons that send requests to the service
	Bytes        int                    // expected bytes of its bodies; zero: not known
	Slack        time.Duration          // time for which it may wait and still be answered in time; zero: none, or not known
	HasLarge     bool                   // the service also gets requests with large bodies
	// RefusedTrials is the number of targets in Tried that refused it as a trial because they had
	// got one shortly before.
	RefusedTrials int
}

// large reports whether the bodies of the request are large.
func (r Request) large() bool { return r.Bytes >= crsize.LargeBytes }

// ownDomainLimit is the utilization up to which targets of the own domain are preferred.
func (r Request) ownDomainLimit() float64 {
	if r.HasLarge && !r.large() {
		return smallUtilization
	}
	return lowUtilization
}

// firstTry reports whether the request is idempotent and has not been refused by any
// target.
func (r Request) firstTry() bool { return r.Class == crpolicy.ClassRepeat && len(r.Tried) == 0 }

// isRefusedTrial reports whether the request is a trial that all targets so far have refused, and may
// be offered to another unhealthy target.
func (r Request) isRefusedTrial() bool {
	return r.RefusedTrials > 0 && r.RefusedTrials < maxTrialOffers && r.RefusedTrials == len(r.Tried)
}

// Choice is the chosen target.
type Choice struct {
	Candidate
	Trial bool // the target is unhealthy; the request tests whether it has recovered
	// TrialIdle is the time for which the target must not have got a trial; zero: the exit decides. It
	// directs trials to the targets that lack them, at services with few idempotent requests.
	TrialIdle     time.Duration
	LastResort    bool    // no better target is left: the exit should accept the request although the target is unhealthy
	UnhealthyProb float64 // by the newest report
	Utilization   float64 // share of the slots taken, by the newest report and the requests sent since
	Limit         float64 // requests a second that the target named in its latest response; zero: none
	busy          int     // see Request.Busy
}

// Reason returns the kind of the choice, for logs. It is empty without a target.
func (c Choice) Reason() string {
	switch {
	case c.Target == "":
		return ""
	case c.Trial:
		return "trial"
	case c.LastResort:
		return "last resort"
	case c.Utilization < lowUtilization:
		return "room"
	}
	return "queue"
}
