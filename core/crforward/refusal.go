package crforward

// Reason is why the exit refuses a forward.
type Reason uint8

// The reasons of a refusal.
const (
	// ReasonDuplicate means that the identifier was registered or started
	// before.
	ReasonDuplicate Reason = iota + 1
	// ReasonUnregistered means that the identifier was never registered.
	ReasonUnregistered
	// ReasonFenced means that the entry has revoked the forward.
	ReasonFenced
	// ReasonFull means that too many forwards of the session are pending.
	ReasonFull
	// ReasonCancelled means that the forward was given up before its start, by
	// the caller, the entry or the exit.
	ReasonCancelled
	// ReasonExpired means that the forward's deadline has passed.
	ReasonExpired
	// ReasonStale means that the process was paused after the session was
	// opened.
	ReasonStale
	// ReasonDraining means that the target or the daemon is stopping.
	ReasonDraining
	// ReasonClosed means that the session is closed.
	ReasonClosed
)

// String returns the reason's text.
func (r Reason) String() string {
	switch r {
	case ReasonDuplicate:
		return "duplicate"
	case ReasonUnregistered:
		return "unregistered"
	case ReasonFenced:
		return "fenced"
	case ReasonFull:
		return "full"
	case ReasonCancelled:
		return "cancelled"
	case ReasonExpired:
		return "expired"
	case ReasonStale:
		return "stale"
	case ReasonDraining:
		return "draining"
	case ReasonClosed:
		return "closed"
	default:
		return "invalid"
	}
}

// Refusal is the error of [Ledger.Register] and [Ledger.Start].
type Refusal struct {
	reason Reason
}

// Error implements error.
func (r *Refusal) Error() string { return "forward refused: " + r.reason.String() }

// Reason returns why the forward was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// NotRun reports whether the refusal proves that the forward never runs. A
// duplicate proves nothing: the first copy may be running, and an entry that
// took it for "not run" would send the request again, so that it ran twice.
func (r *Refusal) NotRun() bool {
	return r.reason != ReasonDuplicate && r.reason != ReasonUnregistered
}
