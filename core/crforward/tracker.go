package crforward

import (
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// TrackerParams limit a Tracker.
type TrackerParams struct {
	// MaxAttempts is the number of attempts for one request.
	MaxAttempts int
	// RevokeWindow is the time after the sending of a forward in which the
	// result of its revocation counts. It must be below
	// [LedgerParams.Retention] of the exits.
	RevokeWindow time.Duration
}

// DefaultTrackerParams allow three attempts.
func DefaultTrackerParams() TrackerParams {
	return TrackerParams{MaxAttempts: 3, RevokeWindow: time.Minute}
}

// progress is what is known of an attempt. It never decreases: a lower value that
// is recorded later has no effect.
type progress uint8

const (
	progressUnsent   progress = iota + 1 // nothing was written to the exit
	progressSent                         // may have run
	progressRefused                      // proved not to have run
	progressStarted                      // started, or its response has begun
	progressReceived                     // the whole response was received
)

type attempt struct {
	progress progress
	ended    bool
	sentAt   crid.Instant
}

func (a *attempt) advance(p progress) { a.progress = max(a.progress, p) }

func (a *attempt) notRun() bool {
	return a.progress == progressRefused || a.progress == progressUnsent
}

// Tracker records the attempts of one caller's request at the entry: what is
// known of each, whether another is allowed, and which outcome to report. It is
// safe for concurrent use.
type Tracker struct {
	mu             sync.Mutex
	class          crpolicy.Class
	params         TrackerParams
	attempts       []attempt
	relayStarted   bool // the head of the response went to the caller
	relayCompleted bool // the last byte of the response went to the caller
	retryAfter     time.Duration
	disabled       disabledTrackerGuards
}

// disabledTrackerGuards disables single guards. Only tests set it.
type disabledTrackerGuards struct {
	proof, revokeWindow bool
}

// NewTracker returns the Tracker of a request without attempts.
func NewTracker(class crpolicy.Class, params TrackerParams) *Tracker {
	return &Tracker{class: class, params: params}
}

// Begin adds an attempt and returns its number.
func (t *Tracker) Begin() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, attempt{progress: progressUnsent})
	return len(t.attempts) - 1
}

// Sent records that the forward is about to be written. It must be called
// before the first byte is written: a write that returns an error may still
// have reached the exit.
func (t *Tracker) Sent(n int, now crid.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[n].advance(progressSent)
	t.attempts[n].sentAt = now
}

// ResponseStarted records that the head of the upstream's response was
// received.
func (t *Tracker) ResponseStarted(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[n].advance(progressStarted)
}

// ResponseReceived records that the whole response was received and checked.
func (t *Tracker) ResponseReceived(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[n].advance(progressReceived)
	t.attempts[n].ended = true
}

// Refused records that the exit refused the forward. The refusal proves "not
// run" only if notRun is set (see [Refusal.NotRun]); retryAfter is zero if the
// exit gave none.
func (t *Tracker) Refused(n int, notRun bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if notRun {
		t.attempts[n].advance(progressRefused)
	}
	t.attempts[n].ended = true
	t.retryAfter = max(t.retryAfter, retryAfter)
}

// Failed records that the attempt ended without a usable response: the dial or
// the session failed, the response was invalid or incomplete, or the entry gave
// up waiting.
func (t *Tracker) Failed(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[n].ended = true
}

// RevokeResult records the exit's response to a revocation of the attempt. A
// result that arrives later than RevokeWindow after the sending is no proof of
// "not run": the exit may have evicted its record of a forward that ran.
func (t *Tracker) RevokeResult(n int, r RevokeResult, now crid.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &t.attempts[n]
	a.ended = true
	late := now.Sub(a.sentAt) > t.params.RevokeWindow && !t.disabled.revokeWindow
	switch {
	case r == RevokeResultStarted:
		a.advance(progressStarted)
	case r == RevokeResultFenced && !late:
		a.advance(progressRefused)
	}
}

// RelayStarted records that the head of the response is about to be written to
// the caller.
func (t *Tracker) RelayStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relayStarted = true
}

// RelayCompleted records that the whole response was written to the caller.
func (t *Tracker) RelayCompleted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relayCompleted = true
}

// NeedsRevoke reports whether only a revocation can still prove that the
// attempt did not run.
func (t *Tracker) NeedsRevoke(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts[n].progress == progressSent
}

// MayRetry reports whether another attempt is allowed. None is allowed while one
// is in progress, once a response was received or its relay has begun, or beyond
// MaxAttempts. Otherwise a request of class repeat may be sent again; one of any
// other class only if every earlier attempt is proved not to have run.
func (t *Tracker) MayRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.relayStarted || len(t.attempts) >= t.params.MaxAttempts {
		return false
	}
	for i := range t.attempts {
		if !t.attempts[i].ended || t.attempts[i].progress == progressReceived {
			return false
		}
	}
	return t.class == crpolicy.ClassRepeat || t.disabled.proof || t.allNotRun()
}

// Outcome returns the outcome to report if no more attempts are made.
func (t *Tracker) Outcome() Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.relayCompleted:
		return OutcomeAnswered
	case t.relayStarted:
		return OutcomeCut
	case t.allNotRun():
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// RetryAfter returns the longest RetryAfter that an exit has sent, or 0.
func (t *Tracker) RetryAfter() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retryAfter
}

// Attempts returns the number of attempts begun.
func (t *Tracker) Attempts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.attempts)
}

func (t *Tracker) allNotRun() bool {
	for i := range t.attempts {
		if !t.attempts[i].notRun() {
			return false
		}
	}
	return true
}
