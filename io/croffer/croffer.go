// Package croffer is the protocol between the daemons of io/crmesh. It carries
// requests from the daemon that received them (the entry, io/cringress) to the daemon
// of their target (the exit, io/cregress), and the store reads of io/crfeed. The
// daemons of io/crdaemon use io/crhop instead.
//
// A request is sent in two steps on one connection. The offer carries its target,
// priority and remaining time, and the exit accepts or refuses it at once. The entry
// sends the request itself only after the exit has accepted the offer. Before that no
// exit can run the request, so the entry may try another exit even if it got no reply.
//
// # Usage
//
//	reply, reservation, err := client.Offer(ctx, daemon, offer)
//	result := reservation.Run(ctx, request)
package croffer

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"camphorroad/core/crbudget"
	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crpace"
	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crshare"
)

// Offer requests that an exit run a request.
type Offer struct {
	_              struct{} `cbor:",toarray"`
	ID             string   // of the request, for logs
	From           crid.Daemon
	Target         crid.Target
	Service        crid.Service
	Class          crpolicy.Class
	Priority       int
	TimeLeft       time.Duration // until the caller gets an answer in any case
	ObjectiveLeft  time.Duration // until the latency objective is missed; zero or less: it is missed
	LastResort     bool          // no better target is available
	Retry          bool          // the request was sent to another target before
	RouteObjective time.Duration // latency objective of the route
	Nested         bool          // the caller is a target of the fleet, and one of its requests waits for this one

	// FreeSlot asks the exit to refuse the request if no slot is free. It is sent in the
	// URI, so that daemons of a version without it accept the offer and queue the request.
	FreeSlot bool `cbor:"-"`
	// Attempt is the time that the target gets for the request, if it can be sent to another
	// one afterwards; zero: all the time left. It is sent like FreeSlot.
	Attempt time.Duration `cbor:"-"`
	// Limit is the limit that the target named in its latest response to this entry, in
	// requests a second; zero: none. It is sent like FreeSlot.
	Limit float64 `cbor:"-"`
	// TrialIdle is the time for which an unhealthy target must not have got a trial to accept this one;
	// zero: the exit decides. It is sent like FreeSlot.
	TrialIdle time.Duration `cbor:"-"`
	// CallsSpent reports that the entry has spent the calls that the run of a retry makes. It is
	// sent like FreeSlot.
	CallsSpent bool `cbor:"-"`
	// Account is the caller's account, whose share of the target's slots the request uses; zero:
	// none. It is sent like FreeSlot.
	Account crshare.ID `cbor:"-"`
	// Rate is the configured rate of Account, in requests a second; zero: none. It is sent like
	// FreeSlot.
	Rate float64 `cbor:"-"`
}

// Bounds of the rate of an account. Outside of them a weight would make the other accounts'
// shares, or its own, meaningless.
const (
	minAccountRate = 1e-3
	maxAccountRate = 1e6
)

func isAccountRate(rate float64) bool { return rate >= minAccountRate && rate <= maxAccountRate }

// SetAccount sets the account and its configured rate. A rate out of bounds counts as none, at the
// exit of this daemon as at those that read it from the URI.
func (o *Offer) SetAccount(name crid.Account, rate float64) {
	o.Account, o.Rate = crshare.IDOf(name), 0
	if isAccountRate(rate) {
		o.Rate = rate
	}
}

// query returns the fields that are sent in the URI.
func (o Offer) query() string {
	q := "?"
	if o.FreeSlot {
		q += queryFreeSlot
	}
	if o.Attempt > 0 {
		q += "&" + queryAttempt + strconv.FormatInt(o.Attempt.Milliseconds(), 10)
	}
	if o.TrialIdle > 0 {
		q += "&" + queryTrialIdle + strconv.FormatInt(o.TrialIdle.Milliseconds(), 10)
	}
	if o.Limit > 0 {
		q += "&" + queryLimit + strconv.FormatFloat(o.Limit, 'g', -1, 64)
	}
	if o.CallsSpent && o.Retry {
		q += "&" + queryCallsSpent
	}
	if o.Account != crshare.Common {
		q += "&" + queryAccount + o.Account.String()
	}
	if o.Account != crshare.Common && o.Rate > 0 {
		q += "&" + queryRate + strconv.FormatFloat(o.Rate, 'g', -1, 64)
	}
	if q == "?" {
		return ""
	}
	return q
}

// parseQuery reads the fields that are sent in the URI.
func (o *Offer) parseQuery(q string) {
	for field := range strings.SplitSeq(q, "&") {
		if field == queryFreeSlot {
			o.FreeSlot = true
		}
		if field == queryCallsSpent {
			o.CallsSpent = true
		}
		parseMilliseconds(field, queryAttempt, &o.Attempt)
		parseMilliseconds(field, queryTrialIdle, &o.TrialIdle)
		if value, ok := strings.CutPrefix(field, queryLimit); ok {
			if rate, err := strconv.ParseFloat(value, 64); err == nil && rate > 0 && !math.IsInf(rate, 0) {
				o.Limit = rate
			}
		}
		o.parseAccount(field)
	}
}

// parseAccount reads the account and its rate. A value that is malformed or out of bounds is
// ignored: the request is served as one of the common account, or of an account without a rate.
func (o *Offer) parseAccount(field string) {
	if value, ok := strings.CutPrefix(field, queryAccount); ok {
		if id, err := strconv.ParseUint(value, 16, 64); err == nil {
			o.Account = crshare.ID(id)
		}
	}
	if value, ok := strings.CutPrefix(field, queryRate); ok {
		if rate, err := strconv.ParseFloat(value, 64); err == nil && isAccountRate(rate) {
			o.Rate = rate
		}
	}
}

// parseMilliseconds sets a duration if the field has the given prefix and is valid.
func parseMilliseconds(field, prefix string, d *time.Duration) {
	value, ok := strings.CutPrefix(field, prefix)
	if !ok {
		return
	}
	if ms, err := strconv.ParseUint(value, 10, 32); err == nil {
		*d = time.Duration(ms) * time.Millisecond
	}
}

// ReasonBusy is the reason with which an exit refuses an offer that asks for a free slot.
var ReasonBusy = crgate.ReasonBusy.String()

// ReasonUnhealthy is the reason with which an exit refuses an offer because its target is probably
// unhealthy.
var ReasonUnhealthy = crgate.ReasonUnhealthy.String()

// ReasonCallRefused is the reason of an answer of a target one of whose nested calls was
// refused while it worked on the request.
const ReasonCallRefused = "a nested call was refused"

// ReasonEndsTargets is the reason of refusals of a request under which processes of targets have
// ended; see crcrash.
const ReasonEndsTargets = "targets have ended while they ran this request"

// Kind returns the kind of the request, by which its duration is estimated.
func (o Offer) Kind() crpace.Kind { return crpace.Kind{Class: o.Class, Objective: o.RouteObjective} }

// Reply is an exit's answer to an offer.
type Reply struct {
	_          struct{} `cbor:",toarray"`
	Accepted   bool
	Ticket     uint64
	Reason     string        // of a refusal
	RetryAfter time.Duration // until a slot may be free
	LoadReport crplace.LoadReport
}

// Request is the request as sent to the target, without the headers that the exit adds.
type Request struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Method  string
	URI     string
	Host    string
	Header  map[string][]string
	Body    []byte
	Account crid.Account
	From    crid.Service  // service of the entry's instance
	Wait    time.Duration // until the caller stops waiting
}

// Outcome classifies the result of a request.
type Outcome uint8

// The outcomes.
const (
	// Answered: the target sent a complete response of its own, with any status.
	Answered Outcome = iota + 1
	// NotSent: the request never left the exit.
	NotSent
	// Rejected: the target reported that it did not and will not run the request.
	Rejected
	// Unknown: the request may have run, and no complete response came.
	Unknown
	// TimedOut: as Unknown, because the deadline passed.
	TimedOut
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	names := [...]string{"", "answered", "not sent", "rejected", "unknown", "late"}
	if int(o) < len(names) {
		return names[o]
	}
	return "?"
}

// Result is the outcome of a request, and the response if there is one.
type Result struct {
	_          struct{} `cbor:",toarray"`
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Status     int
	Header     map[string][]string
	Body       []byte
	LoadReport crplace.LoadReport

	// Calls are the calls of idempotent runs on the target. They are sent in a header, so that
	// daemons of a version without them accept the result.
	Calls crbudget.CallReport `cbor:"-"`
	// EndedMillis is the Unix time in milliseconds at which the process of the target ended while
	// it ran the request; zero: it is not known to have ended. It is sent like Calls.
	EndedMillis int64 `cbor:"-"`
}

// NotRun reports whether the request certainly did not run and never will.
func (r Result) NotRun() bool { return r.Outcome == NotSent || r.Outcome == Rejected }

// Exit admits and runs requests on the target of its daemon. Run and Release take the
// ticket of an accepted offer; Release frees it without a run.
type Exit interface {
	Offer(now crid.Instant, o Offer) Reply
	Run(ctx context.Context, ticket uint64, r Request) Result
	Release(ticket uint64)
}
