package crhealth

import "time"

// Params are the settings of the reducer. ValidFor, Drift and Margin must be the same
// in the whole fleet. If an arbiter waited for less time than the verdicts of its
// predecessor are valid, the ejections of both would add up.
type Params struct {
	DigestEvery    time.Duration // between two digests of a service with traffic
	JudgeEvery     time.Duration // between two judgements of a service
	IdleAfter      time.Duration `cbor:"Quiet" json:"Quiet"`   // time without traffic after which no digests are sent
	DigestByteRate int           `cbor:"Budget" json:"Budget"` // in bytes per second, over all services

	ValidFor time.Duration // validity of a verdict, from the sending of the digest that it answers
	Drift    float64       // bound on the relative error of each daemon's clock
	Margin   time.Duration // added to each wait that depends on another clock

	Confirmations    int           `cbor:"Confirm" json:"Confirm"`   // consecutive judgements before a slow or failing target is ejected
	BaseEjectionTime time.Duration `cbor:"HoldBase" json:"HoldBase"` // duration of the first ejection; doubles with each further one
	MaxEjectionTime  time.Duration `cbor:"HoldMost" json:"HoldMost"` // longest ejection
	EjectionDecay    time.Duration `cbor:"Forgive" json:"Forgive"`   // time without an ejection that reduces the count of ejections by one
	SlowStart        time.Duration // from the end of an ejection to full weight
	ColdStart        time.Duration // from a start to full weight

	Judge        Judge `cbor:"-"`                    // nil: PeerJudge, the default
	DetectStalls bool  `cbor:"Stalls" json:"Stalls"` // detect stalls by pending attempts, before they time out
	LocalOnly    bool  `cbor:"Alone" json:"Alone"`   // baseline: each daemon ejects on its own evidence

	disabledGuards guard // set by tests only
}

// guard is a set of safety rules. Tests disable each of them to show that it is
// needed.
type guard uint8

const (
	guardFloor         guard = 1 << iota // ejections respect the floor
	guardLease                           // only a daemon that holds the lease sends verdicts
	guardExpiryWait                      // a new arbiter waits for its predecessor's verdicts to expire
	guardMaybeEjected                    // an ended ejection counts until all entries have received the newer verdict
	guardSentTime                        // the validity of a verdict starts when the digest was sent
	guardCorroboration                   // uncorroborated failures of one account or sender are capped
)

func (p Params) hasGuard(g guard) bool { return p.disabledGuards&g == 0 }

// DefaultParams returns the parameters that are used in production.
func DefaultParams() Params {
	return Params{
		DigestEvery:      250 * time.Millisecond,
		JudgeEvery:       200 * time.Millisecond,
		IdleAfter:        2 * time.Second,
		DigestByteRate:   8 << 10,
		ValidFor:         1500 * time.Millisecond,
		Drift:            0.01,
		Margin:           100 * time.Millisecond,
		Confirmations:    2,
		BaseEjectionTime: 5 * time.Second,
		MaxEjectionTime:  2 * time.Minute,
		EjectionDecay:    time.Minute,
		SlowStart:        5 * time.Second,
		ColdStart:        10 * time.Second,
		Judge:            PeerJudge{},
		DetectStalls:     true,
	}
}

// ExpiryWait returns the time after which, on this daemon's clock, ValidFor has passed
// on every other daemon's clock.
func (p Params) ExpiryWait() time.Duration {
	return time.Duration(float64(p.ValidFor)*(1+p.Drift)/(1-p.Drift)) + p.Margin
}
