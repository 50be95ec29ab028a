// Package crplace chooses the target that a request is offered to.
//
// A [Balancer] holds what this daemon knows of each target: the load and the
// judgement that its exit told last, corrected by what was sent from here since,
// and whether its exit can be reached from here. The choice is made anew after
// each refused offer.
//
// # Usage
//
//	board.Tell(now, target, told)
//	choice, ok := board.Choose(now, candidates, crplace.Ask{Class: route.Class, Tried: tried, Float: rand.Float64})
//	board.Begin(choice.Target); defer board.End(choice.Target)
package crplace

import (
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// Candidate is a target of the service asked for.
type Candidate struct {
	Target crid.Target
	Daemon crid.Daemon // that stands beside it
	Domain crid.Domain
	Slots  int
	Cold   bool // started a moment ago, and still slow
}

// LoadReport is what an exit tells of its target.
type LoadReport struct {
	_             struct{} `cbor:",toarray"`
	Load          int      // requests running and waiting
	Slots         int
	UnhealthyProb float64
	Typical       time.Duration // zero: not known
	Closed        bool          // takes nothing now
}

// Request is what a choice depends on besides the board.
type Request struct {
	Class   crpolicy.Class
	Domain  crid.Domain            // of the entry
	Tried   []crid.Target          // that refused this request already
	Rand    func() float64         // in [0,1); safe for the caller's goroutine
	Silent  func(crid.Daemon) bool // whether nothing was heard of a daemon lately
	NoRetry bool                   // it could not be sent again if the target failed it
	Nested  bool                   // a request that holds a slot of the fleet waits for it
}

// first reports whether an idempotent request looks for its first target.
func (a Request) firstTry() bool { return a.Class == crpolicy.ClassRepeat && len(a.Tried) == 0 }

// Choice is the target chosen.
type Choice struct {
	Candidate
	Trial         bool    // the target is held to be sick, and the request is to find out
	LastResort    bool    // no better target is left: the exit should take it although sick
	UnhealthyProb float64 // as this daemon believed
	Utilization   float64 // share of the slots taken, as this daemon believed
}

// Reason says in a word what kind of choice it was, for logs.
func (c Choice) Reason() string {
	switch {
	case c.Trial:
		return "trial"
	case c.LastResort:
		return "last resort"
	case c.Utilization < lowUtilization:
		return "room"
	}
	return "queue"
}
