// Package croffer carries requests from the daemon where they enter to the one
// beside their target.
//
// A request travels in two steps on one connection. The offer names its target,
// urgency and time, and the exit takes or refuses it at once. Only when it was
// taken does the entry send the request itself. So as long as the entry has not
// sent it, nobody can run it, and the entry may go elsewhere even when it hears
// nothing.
//
// # Usage
//
//	reply, grant, err := client.Offer(ctx, daemon, offer)
//	result := grant.Run(ctx, request)
package croffer

import (
	"context"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpace"
	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
)

// Offer asks an exit to run a request.
type Offer struct {
	_         struct{} `cbor:",toarray"`
	ID        string   // of the request, for logs
	From      crid.Daemon
	Target    crid.Target
	Service   crid.Service
	Class     crpolicy.Class
	Priority  int
	Left      time.Duration // until the caller is answered in any case
	Objective time.Duration // until an answer loses worth; zero or less: it has
	Last      bool          // no better target is left
	Repeat    bool          // it was sent to another target before
	Aim       time.Duration // objective of its route
	Call      bool          // a target of the fleet waits for it
}

// Kind is what the offer's request has in common with others that take as long.
func (o Offer) Kind() crpace.Kind { return crpace.Kind{Class: o.Class, Objective: o.Aim} }

// Reply is an exit's answer to an offer.
type Reply struct {
	_          struct{} `cbor:",toarray"`
	Taken      bool
	Ticket     uint64
	Reason     string        // why not
	RetryAfter time.Duration // when there may be room
	Told       crplace.LoadReport
}

// Request is a request as its target gets it, but for what the exit adds.
type Request struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Method  string
	URI     string
	Host    string
	Header  map[string][]string
	Body    []byte
	Account crid.Account
	From    crid.Service  // of the entry's instance
	Wait    time.Duration // until the caller leaves
}

// Outcome says what became of a request.
type Outcome uint8

// The outcomes.
const (
	// Answered: the target gave a whole answer of its own, good or bad.
	Answered Outcome = iota + 1
	// NotSent: the request never left the exit.
	NotSent
	// Rejected: the target said that it did not and will not run it.
	Rejected
	// Unknown: it may have run, and no whole answer came.
	Unknown
	// Late: as Unknown, and the time was up.
	Late
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	names := [...]string{"", "answered", "not sent", "rejected", "unknown", "late"}
	if int(o) < len(names) {
		return names[o]
	}
	return "?"
}

// Result is what became of a request, and the answer if there is one.
type Result struct {
	_          struct{} `cbor:",toarray"`
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Status     int
	Header     map[string][]string
	Body       []byte
	Told       crplace.LoadReport
}

// NotRun reports whether the request certainly did not run and never will.
func (r Result) NotRun() bool { return r.Outcome == NotSent || r.Outcome == Rejected }

// Exit runs requests on the target beside it.
type Exit interface {
	Offer(now crid.Instant, o Offer) Reply
	Run(ctx context.Context, ticket uint64, r Request) Result
	Release(ticket uint64)
}
