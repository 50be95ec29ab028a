package crforward

// Outcome is what the entry reports to a caller about its request.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeAnswered means that the whole response was relayed to the caller.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that the request is proved never to have started at
	// an upstream.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run: there is no proof
	// either way.
	OutcomeUnknown
	// OutcomeCut means that the response began and broke off.
	OutcomeCut
)

// String returns the text that callers and operators see.
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

// RevokeResult is the exit's response to a revocation.
type RevokeResult uint8

// The results of a revocation.
const (
	// RevokeResultStarted means that the forward was started and cannot be
	// undone.
	RevokeResultStarted RevokeResult = iota + 1
	// RevokeResultFenced means that the forward has not started and never will.
	RevokeResultFenced
	// RevokeResultUnknown means that the exit has no proof: the forward was
	// sent over another session, perhaps before a restart of the exit.
	RevokeResultUnknown
)

// String returns the result's text.
func (r RevokeResult) String() string {
	switch r {
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
