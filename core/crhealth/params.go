package crhealth

import "time"

// Params are the constants of the reducer. ValidFor, Drift and Margin must be
// the same in the whole fleet: an arbiter that waits less than its predecessor's
// verdicts last would add its ejections to theirs.
type Params struct {
	DigestEvery time.Duration // between two digests of a service with traffic
	JudgeEvery  time.Duration // between two judgements of a service
	IdleAfter   time.Duration `cbor:"Quiet" json:"Quiet"` // without traffic for so long, no digests are sent
	Budget      int           // bytes a second for digests, over all services

	ValidFor time.Duration // a verdict holds so long from the sending of the digest it answers
	Drift    float64       // bound on the relative error of each daemon's clock
	Margin   time.Duration // added to each wait that relies on another clock

	Confirm          int           // judgements in a row before a slow or failing target is ejected
	BaseEjectionTime time.Duration `cbor:"HoldBase" json:"HoldBase"` // first hold-off of an ejected target; doubles with each relapse
	MaxEjectionTime  time.Duration `cbor:"HoldMost" json:"HoldMost"` // longest hold-off
	EjectionDecay    time.Duration `cbor:"Forgive" json:"Forgive"`   // so long in good health takes one relapse off the count
	SlowStart        time.Duration // from a return to the full weight
	ColdStart        time.Duration // from a start to the full weight

	Judge     Judge `cbor:"-"` // nil: PeerJudge, which is what runs in service
	Stalls    bool  // find stalls by attempts without an answer, before their timeouts
	LocalOnly bool  `cbor:"Alone" json:"Alone"` // baseline: each daemon decides for itself on its own evidence

	disabledGuards guard // guards switched off; set by tests only
}

// guard is a set of rules, each of which a test can switch off to show what
// goes wrong without it.
type guard uint8

const (
	guardFloor         guard = 1 << iota // ejections leave the floor
	guardLease                           // no verdict without standing
	guardExpiryWait                      // a new arbiter waits for the former's verdicts to end
	guardMaybeEjected                    // a target taken back counts until all have heard
	guardSentTime                        // verdicts hold from the sending of the digest
	guardCorroboration                   // one account's or sender's failures do not count alone
)

func (p Params) hasGuard(g guard) bool { return p.disabledGuards&g == 0 }

// DefaultParams returns the parameters in service.
func DefaultParams() Params {
	return Params{
		DigestEvery:      250 * time.Millisecond,
		JudgeEvery:       200 * time.Millisecond,
		IdleAfter:        2 * time.Second,
		Budget:           8 << 10,
		ValidFor:         1500 * time.Millisecond,
		Drift:            0.01,
		Margin:           100 * time.Millisecond,
		Confirm:          2,
		BaseEjectionTime: 5 * time.Second,
		MaxEjectionTime:  2 * time.Minute,
		EjectionDecay:    time.Minute,
		SlowStart:        5 * time.Second,
		ColdStart:        10 * time.Second,
		Judge:            PeerJudge{},
		Stalls:           true,
	}
}

// Silence is how long a daemon waits, on its own clock, for ValidFor on any
// other clock to have passed.
func (p Params) ExpiryWait() time.Duration {
	return time.Duration(float64(p.ValidFor)*(1+p.Drift)/(1-p.Drift)) + p.Margin
}
