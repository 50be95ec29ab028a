// Package crid defines the identifiers that all packages of camphorroad share,
// and the clock reading on which their decisions are based.
//
// The names are distinct string types, so that an account cannot be passed as a
// service. An [Instant] is a reading of one process's own clock. The clock
// never steps, and it keeps counting while the machine or the process is
// suspended. Readings of two processes must never be compared.
//
// # Usage
//
//	deadline := now.Add(200 * time.Millisecond)
//	if deadline.Before(later) { ... }
package crid

import (
	"encoding/hex"
	"time"
)

type (
	// Daemon names a daemon; it is the name of the instance that it runs on.
	Daemon string
	// Domain names a failure domain.
	Domain string
	// Region names a region, which contains failure domains.
	Region string
	// Account names a client account.
	Account string
	// Service names a service: a set of interchangeable targets.
	Service string
	// Target names a routable upstream of a service; it is unique in the fleet.
	Target string
	// Route names a route within the policy of its service.
	Route string
)

// Incarnation identifies one run of a daemon. It is drawn at random at the
// start of the process, is never zero, and is never shared by two runs of one
// daemon.
type Incarnation uint64

// Revision is the platform's revision of a published value. It only increases.
type Revision uint64

// Request identifies a request in the fleet or, at the exits, one attempt at
// forwarding it.
type Request [16]byte

// String returns the identifier in hexadecimal.
func (r Request) String() string { return hex.EncodeToString(r[:]) }

// Instant is a reading, in nanoseconds, of the monotonic clock of its process.
// The clock counts suspended time, too.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i < other }
