package crmember

import "time"

// Params are the constants of the reducer. They must be the same in the whole
// fleet: a daemon with a longer horizon than its peers believe would act on
// standing that they hold expired.
type Params struct {
	// Interval is the mean time between two beats to one peer while anything
	// is under way.
	Interval time.Duration
	// Rest is the same while nothing is; zero: Interval.
	Rest time.Duration
	// Jitter is the share of Interval by which a beat may come early or late.
	Jitter float64
	// Horizon is how long evidence that a peer was there keeps counting.
	Horizon time.Duration
	// Drift bounds the relative error of each daemon's clock.
	Drift float64
	// Margin is added to each wait that relies on another clock.
	Margin time.Duration
	// MaxVoters bounds the voters of a list.
	MaxVoters int
	// Sample is how many other daemons get a beat each round besides the
	// voters, where there are more daemons than MaxVoters.
	Sample int
	// SampleFor is how long they stay the same; zero: for one round.
	SampleFor time.Duration
	// MaxLists bounds the lists kept at one time.
	MaxLists int

	disabled guard // guards switched off; set by tests only
}

// guard is a set of safety rules, each of which a test can switch off to show
// what goes wrong without it.
type guard uint8

const (
	guardSendTime          guard = 1 << iota // evidence counts from sending
	guardIntermediateLists                   // lists between the floor and the newest must agree too
	guardRecovery                            // a restarted daemon recovers before it vouches
	guardExpiryWait                          // wait for the old evidence to run out
	guardReconfirm                           // the early end of the wait needs a second round
)

// enforces reports whether the rule is in force.
func (p Params) enforces(g guard) bool { return p.disabled&g == 0 }

// DefaultParams returns the parameters for links of a few milliseconds.
func DefaultParams() Params {
	return Params{
		Interval:  200 * time.Millisecond,
		Rest:      500 * time.Millisecond,
		Jitter:    0.1,
		Horizon:   2 * time.Second,
		Drift:     0.01,
		Margin:    100 * time.Millisecond,
		MaxVoters: 31,
		Sample:    8,
		SampleFor: time.Minute,
		MaxLists:  32,
	}
}

// Silence is how long a daemon waits, on its own clock, for a horizon on any
// other clock to have passed. One clock may run slow and the other fast, so
// the drift counts twice.
func (p Params) Silence() time.Duration {
	factor := (1 + p.Drift) / (1 - p.Drift)
	return time.Duration(float64(p.Horizon)*factor) + p.Margin
}

// idleInterval is the mean time between two beats to one peer while nothing is under
// way.
func (p Params) idleInterval() time.Duration { return max(p.Rest, p.Interval) }
