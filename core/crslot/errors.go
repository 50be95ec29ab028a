package crslot

import (
	"fmt"
	"time"
)

// Reason is why a request got no slot.
type Reason uint8

// The reasons of a refusal. In each case the request was not run.
const (
	ReasonFull      Reason = iota + 1 // the wait queue is full
	ReasonExpired                     // the deadline has passed or cannot be met
	ReasonDraining                    // the target accepts no new requests
	ReasonCancelled                   // the caller's context ended
)

// String returns a short description for people.
func (r Reason) String() string {
	switch r {
	case ReasonFull:
		return "queue full"
	case ReasonExpired:
		return "deadline can not be met"
	case ReasonDraining:
		return "target draining"
	case ReasonCancelled:
		return "cancelled"
	default:
		return "unknown"
	}
}

// Error is returned if a request got no slot and was not run. Compare it by
// errors.Is with [ErrFull], [ErrExpired], [ErrDraining] or [ErrCancelled].
type Error struct {
	reason     Reason
	retryAfter time.Duration
}

// The errors by reason, for errors.Is.
var (
	ErrFull      = &Error{reason: ReasonFull}
	ErrExpired   = &Error{reason: ReasonExpired}
	ErrDraining  = &Error{reason: ReasonDraining}
	ErrCancelled = &Error{reason: ReasonCancelled}
)

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("no slot: %s, retry after %v", e.reason, e.retryAfter)
}

// Is reports whether the target is an Error with the same reason.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.reason == e.reason
}

// Reason returns why the request got no slot.
func (e *Error) Reason() Reason { return e.reason }

// RetryAfter estimates when this target will have a free slot. It is zero if
// waiting does not help: for ReasonDraining and ReasonCancelled.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }
