package crmember

import "time"

// Params are the parameters of the reducer. They must be equal in the whole fleet:
// a daemon with a longer ContactTimeout than its peers assume would act under a
// lease that they consider expired.
type Params struct {
	// Interval is the mean time between two heartbeats to one peer while the
	// daemon is not idle.
	Interval time.Duration
	// IdleInterval is the mean time between two heartbeats while the daemon is idle; zero:
	// Interval.
	IdleInterval time.Duration `cbor:"Rest" json:"Rest"`
	// Jitter is the fraction of Interval by which a heartbeat may come early or late.
	Jitter float64
	// ContactTimeout is how long a contact with a peer counts, from the sending of the
	// heartbeat that the peer echoed.
	ContactTimeout time.Duration `cbor:"Horizon" json:"Horizon"`
	// Drift bounds the relative error of each daemon's clock.
	Drift float64
	// Margin is added to each wait that relies on another clock.
	Margin time.Duration
	// MaxVoters bounds the voters of a list.
	MaxVoters int
	// SampleSize is the number of daemons that are sent a heartbeat each round besides
	// the voters, in a fleet of more daemons than MaxVoters.
	SampleSize int `cbor:"Sample" json:"Sample"`
	// SampleDuration is how long a sample is kept; zero: for one round.
	SampleDuration time.Duration `cbor:"SampleFor" json:"SampleFor"`
	// MaxLists bounds the lists held at the same time.
	MaxLists int

	disabled guard // safety rules that are switched off; set by tests only
}

// guard is a set of safety rules. A test switches one off to show the fault that
// it prevents.
type guard uint8

const (
	guardSendTime          guard = 1 << iota // a contact counts from the sending of the heartbeat
	guardIntermediateLists                   // lists between the last active and the newest one hand over too
	guardRecovery                            // a restarted daemon recovers before it acknowledges a list
	guardExpiryWait                          // a handover waits until contacts under the old list have expired
	guardReconfirm                           // that wait ends early only after a second round of heartbeats
)

// enforces reports whether the rule is in force.
func (p Params) enforces(g guard) bool { return p.disabled&g == 0 }

// DefaultParams returns the parameters for links of a few milliseconds.
func DefaultParams() Params {
	return Params{
		Interval:       200 * time.Millisecond,
		IdleInterval:   500 * time.Millisecond,
		Jitter:         0.1,
		ContactTimeout: 2 * time.Second,
		Drift:          0.01,
		Margin:         100 * time.Millisecond,
		MaxVoters:      31,
		SampleSize:     8,
		SampleDuration: time.Minute,
		MaxLists:       32,
	}
}

// ExpiryWait is how long a daemon waits, on its own clock, until a contact timeout
// has passed on any other clock. One clock may run slow and the other fast, so
// the drift counts twice.
func (p Params) ExpiryWait() time.Duration {
	factor := (1 + p.Drift) / (1 - p.Drift)
	return time.Duration(float64(p.ContactTimeout)*factor) + p.Margin
}

// idleInterval is the mean time between two heartbeats to one peer while the
// daemon is idle.
func (p Params) idleInterval() time.Duration { return max(p.IdleInterval, p.Interval) }
