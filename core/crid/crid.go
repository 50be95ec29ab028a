// Package crid holds the identifiers that every part of camphorroad shares,
// and the clock reading that decisions are made on.
//
// Identifiers are distinct string types, so that an account can not be passed
// where a service is wanted. An [Instant] is one process's own reading of a
// clock that never steps and that keeps counting while the machine or the
// process is suspended; readings of two processes must never be compared.
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
	// Daemon names one daemon; it equals the name of the instance it runs on.
	Daemon string
	// Domain names a failure domain.
	Domain string
	// Account names a client account.
	Account string
	// Service names a service: a set of interchangeable targets.
	Service string
	// Target names one routable upstream of a service, unique in the fleet.
	Target string
	// Route names a route within its service's policy.
	Route string
)

// Incarnation numbers the lives of one daemon name. It is drawn at random at
// start, and never zero; two lives of one name never share it.
type Incarnation uint64

// Revision is the platform's revision of a published value. It only grows.
type Revision uint64

// Request identifies one forwarded request across the fleet.
type Request [16]byte

// String returns the identifier in hexadecimal.
func (r Request) String() string { return hex.EncodeToString(r[:]) }

// Instant is a reading, in nanoseconds, of the owning process's
// suspend-counting monotonic clock.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether i lies before other.
func (i Instant) Before(other Instant) bool { return i < other }
