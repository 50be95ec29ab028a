package crforward

// Outcome is what is true to tell a caller of its request.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeAnswered means that the whole answer was passed on.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that the request provably never started at an upstream.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run, and neither can be proved.
	OutcomeUnknown
	// OutcomeCut means that the answer began and broke off.
	OutcomeCut
)

// String returns the outcome's word, as callers and operators see it.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "notrun"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeCut:
		return "cut"
	default:
		return "invalid"
	}
}

// RevokeResult is the exit's answer to a revocation.
type RevokeResult uint8

// The verdicts of an exit.
const (
	// RevokeResultStarted means that the forward was started and can not be undone.
	RevokeResultStarted RevokeResult = iota + 1
	// RevokeResultFenced means that the forward has not started and never will.
	RevokeResultFenced
	// RevokeResultUnknown means that the exit can not say: the forward was sent over
	// another session, which may have ended with an earlier life of the exit.
	RevokeResultUnknown
)

// String returns the verdict's word.
func (v RevokeResult) String() string {
	switch v {
	case RevokeResultStarted:
		return "started"
	case RevokeResultFenced:
		return "fenced"
	case RevokeResultUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}
