package crforward

import (
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// TrackerParams bound a Tracker.
type TrackerParams struct {
	// MaxAttempts is the number of attempts for one request.
	MaxAttempts int
	// RevokeWindow is the time after a forward's sending up to which a verdict on it is
	// believed. It must be below the exits' [Params.Retain].
	RevokeWindow time.Duration
}

// DefaultTrackerParams allow three attempts.
func DefaultTrackerParams() TrackerParams {
	return TrackerParams{MaxAttempts: 3, RevokeWindow: time.Minute}
}

// progress is what is known of an attempt; a greater one is never taken back by
// a smaller one that is learned later.
type progress uint8

const (
	progressUnsent  progress = iota + 1 // nothing was written to the exit
	progressSent                        // may run
	progressRefused                     // proved not run
	progressRan                         // started, or its answer has begun
	progressDone                        // the whole answer was received
)

type attempt struct {
	progress progress
	ended    bool
	sentAt   crid.Instant
}

func (a *attempt) raise(p progress) { a.progress = max(a.progress, p) }

func (a *attempt) notRun() bool {
	return a.progress == progressRefused || a.progress == progressUnsent
}

// Tracker is the entry's account of one caller's request: what is known of each
// attempt, whether another may be made, and what is true to tell the caller. It
// is safe for concurrent use.
type Tracker struct {
	mu         sync.Mutex
	class      crpolicy.Class
	params     TrackerParams
	attempts   []attempt
	passed     bool // the answer's head went to the caller
	complete   bool // the answer's last byte went to the caller
	retryAfter time.Duration
	off        trackerSwitches
}

// trackerSwitches turn single guards off; only tests set them.
type trackerSwitches struct {
	proof, trust bool
}

// NewTracker returns the Tracker of a request without attempts.
func NewTracker(class crpolicy.Class, params TrackerParams) *Tracker {
	return &Tracker{class: class, params: params}
}

// Begin opens an attempt and returns its number.
func (t *Tracker) Begin() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, attempt{progress: progressUnsent})
	return len(t.attempts) - 1
}

// Sent tells that the forward is about to be written. It must come before the
// first byte: a write that reports an error may still have reached the exit.
func (t *Tracker) Sent(n int, now crid.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[n].raise(progressSent)
	t.attempts[n].sentAt = now
}

// ResponseStarted tells that the head of the upstream's answer was received.
func (t *Tracker) ResponseStarted(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[n].raise(progressRan)
}

// ResponseReceived tells that the whole answer was received and checked.
func (t *Tracker) ResponseReceived(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[n].raise(progressDone)
	t.attempts[n].ended = true
}

// Refused tells that the exit refused the forward. The refusal proves "not run"
// only if notRun is set (see [Refusal.NotRun]); retryAfter 0 means none was told.
func (t *Tracker) Refused(n int, notRun bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if notRun {
		t.attempts[n].raise(progressRefused)
	}
	t.attempts[n].ended = true
	t.retryAfter = max(t.retryAfter, retryAfter)
}

// Failed tells that the attempt failed without an answer: the dial or the session
// failed, the answer was wrong or broke off, or the entry waits no longer.
func (t *Tracker) Failed(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[n].ended = true
}

// RevokeResult tells what the exit answered to a revocation of the attempt. A verdict
// that comes later than Trust after the sending proves nothing: the exit may have
// forgotten by then that it ran the forward.
func (t *Tracker) RevokeResult(n int, v RevokeResult, now crid.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &t.attempts[n]
	a.ended = true
	late := now.Sub(a.sentAt) > t.params.RevokeWindow && !t.off.trust
	switch {
	case v == RevokeResultStarted:
		a.raise(progressRan)
	case v == RevokeResultFenced && !late:
		a.raise(progressRefused)
	}
}

// RelayStarted tells that the answer's head is about to be written to the caller.
func (t *Tracker) RelayStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.passed = true
}

// RelayCompleted tells that the whole answer was written to the caller.
func (t *Tracker) RelayCompleted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.complete = true
}

// NeedsRevoke reports whether only a revocation can still prove that the attempt
// did not run.
func (t *Tracker) NeedsRevoke(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts[n].progress == progressSent
}

// MayRetry reports whether another attempt may be made. No attempt is made while
// one is under way. A request of class once is sent again only when every earlier
// attempt is proved not to have run; any other class than repeat counts as once.
func (t *Tracker) MayRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.passed || len(t.attempts) >= t.params.MaxAttempts {
		return false
	}
	for i := range t.attempts {
		if !t.attempts[i].ended || t.attempts[i].progress == progressDone {
			return false
		}
	}
	return t.class == crpolicy.ClassRepeat || t.off.proof || t.allNotRun()
}

// Outcome returns what is true to tell the caller if the entry stops now.
func (t *Tracker) Outcome() Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.complete:
		return OutcomeAnswered
	case t.passed:
		return OutcomeCut
	case t.allNotRun():
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// RetryAfter returns the longest time to come back that an exit has told, or 0.
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
