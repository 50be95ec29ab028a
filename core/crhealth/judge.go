package crhealth

import (
	"math"
	"slices"
	"time"
)

// Evidence is what is known of one target over the span judged.
type Evidence struct {
	N                 uint32        // attempts
	Bad               uint32        // failed, stalled or wrong attempts that other accounts and senders bear out
	Wrong             uint32        // wrong ones among them
	Responses         uint32        // attempts with a latency
	Median            time.Duration // of the answers
	ReportedUnhealthy bool          // the target's own report looks bad
	Cold              bool          // in slow start: its latency says nothing

	latency [bucketCount]uint32
}

// Above is the share of answers that took clearly longer than d.
func (e Evidence) ShareAbove(d time.Duration) float64 {
	if e.Responses == 0 {
		return 0
	}
	var n uint32
	for i := bucketOf(d) + 1; i < bucketCount; i++ {
		n += e.latency[i]
	}
	return float64(n) / float64(e.Responses)
}

// Rate is the share of bad attempts.
func (e Evidence) BadRate() float64 {
	if e.N == 0 {
		return 0
	}
	return float64(e.Bad) / float64(e.N)
}

// Cause is what a target was found sick by.
type Cause uint8

// The causes of sickness.
const (
	CauseNone    Cause = iota
	CauseWrong         // answers wrongly
	CauseFailing       // fails or stalls more than its peers
	CauseSlow          // answers more slowly than its peers
	CauseStalled       // answers nothing while its peers do
)

// String returns a short description for people.
func (c Cause) String() string {
	switch c {
	case CauseWrong:
		return "wrong"
	case CauseFailing:
		return "failing"
	case CauseSlow:
		return "slow"
	case CauseStalled:
		return "stalled"
	default:
		return "none"
	}
}

// Finding is a judgement on one target.
type Finding struct {
	Cause Cause
	Score float64 // how much worse than its peers; orders the ejection
}

// Judge compares a target with its peers of the same service.
type Judge interface {
	Judge(target Evidence, peers []Evidence) Finding
}

// The bounds of PeerJudge.
const (
	minBad          = 4 // bad attempts before a target can be failing
	minWrong        = 2 // wrong answers before a target can be wrong
	minResponses    = 8 // answers before a median is believed
	rateMargin      = 0.05
	slowRatio       = 1.5 // of the peers' median, with endless answers
	slowNoise       = 6.0 // added to the ratio, divided by the root of the answers
	minSlowExcess   = 5 * time.Millisecond
	slowShareMargin = 0.3 // of the answers, above the peers' share, that must be slow
	madFactor       = 4
	wrongFactor     = 5
)

// PeerJudge finds a target sick when it stands out among its peers. When all
// are slow or failing it finds none: that is load, or the network, and ejecting
// would leave less capacity for the same work.
type PeerJudge struct{}

var _ Judge = PeerJudge{}

// Judge implements Judge.
func (PeerJudge) Judge(target Evidence, peers []Evidence) Finding {
	if f := judgeWrong(target, peers); f.Cause != CauseNone {
		return f
	}
	if f := judgeFailing(target, peers); f.Cause != CauseNone {
		return f
	}
	return judgeSlow(target, peers)
}

func judgeWrong(target Evidence, peers []Evidence) Finding {
	var rates []float64
	for _, p := range peers {
		if p.N > 0 {
			rates = append(rates, float64(p.Wrong)/float64(p.N))
		}
	}
	if len(rates) == 0 || target.Wrong < minWrong {
		return Finding{}
	}
	rate := float64(target.Wrong) / float64(target.N)
	if rate <= wrongFactor*median(rates) {
		return Finding{}
	}
	return Finding{Cause: CauseWrong, Score: 1000 * (1 + rate)}
}

func judgeFailing(target Evidence, peers []Evidence) Finding {
	typical, ok := medianBadRate(peers)
	if !ok || target.Bad < minBad || !failsMoreThan(target, typical) {
		return Finding{}
	}
	return Finding{Cause: CauseFailing, Score: 100 * (1 + target.BadRate() - typical)}
}

// usualRate is the middle share of bad attempts; it reports false without any.
func medianBadRate(peers []Evidence) (float64, bool) {
	var rates []float64
	for _, p := range peers {
		if p.N > 0 {
			rates = append(rates, p.BadRate())
		}
	}
	return median(rates), len(rates) > 0
}

func failsMoreThan(target Evidence, typical float64) bool {
	noise := max(1/math.Sqrt(float64(target.N)), noiseMargin(typical, target.N))
	return target.BadRate()-typical >= rateMargin+noise
}

// chance is by how much a share of n attempts may stand out by chance where it is
// usual among the peers: four standard deviations. Where many attempts fail or
// take long everywhere, some target has more than its share of them at any moment.
func noiseMargin(typical float64, n uint32) float64 {
	return 4 * math.Sqrt(typical*(1-typical)/float64(n))
}

func judgeSlow(target Evidence, peers []Evidence) Finding {
	if target.Responses < minResponses || target.Cold {
		return Finding{}
	}
	var medians []float64
	for _, p := range peers {
		if p.Responses >= minResponses && !p.Cold {
			medians = append(medians, float64(p.Median))
		}
	}
	if len(medians) == 0 || 2*len(medians) < len(peers) {
		return Finding{}
	}
	typical := median(medians)
	limit := typical * (slowRatio + slowNoise/math.Sqrt(float64(target.Responses)))
	limit = max(limit, typical+float64(minSlowExcess), typical+madFactor*medianAbsDeviation(medians, typical))
	own := float64(target.Median)
	if own < limit || !hasMoreSlowResponses(target, peers, time.Duration(limit)) {
		return Finding{}
	}
	return Finding{Cause: CauseSlow, Score: own / typical}
}

// slowerShare reports whether the target's share of slow answers is clearly above
// that of its peers. In the moment when all grow slow, half of each target's answers
// are old and fast; the medians then jump one after another, the shares do not.
func hasMoreSlowResponses(target Evidence, peers []Evidence, limit time.Duration) bool {
	var shares []float64
	for _, p := range peers {
		if p.Responses >= minResponses && !p.Cold {
			shares = append(shares, p.ShareAbove(limit))
		}
	}
	typical := median(shares)
	return target.ShareAbove(limit)-typical >= max(slowShareMargin, noiseMargin(typical, target.Responses))
}

// spreadOf is the median absolute deviation.
func medianAbsDeviation(values []float64, center float64) float64 {
	apart := make([]float64, 0, len(values))
	for _, v := range values {
		apart = append(apart, math.Abs(v-center))
	}
	return median(apart)
}

// middle is the median; it sorts its argument.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// FixedJudge finds a target sick by fixed thresholds, without regard to its
// peers. It is a baseline in measurements.
type FixedJudge struct {
	Rate        float64       // share of bad attempts
	Median      time.Duration // median latency
	MinAttempts uint32        // attempts before judging
}

var _ Judge = FixedJudge{}

// Judge implements Judge.
func (j FixedJudge) Judge(target Evidence, _ []Evidence) Finding {
	switch {
	case target.N < j.MinAttempts:
		return Finding{}
	case target.BadRate() >= j.Rate:
		return Finding{Cause: CauseFailing, Score: target.BadRate()}
	case target.Median >= j.Median:
		return Finding{Cause: CauseSlow, Score: 1}
	}
	return Finding{}
}

// NoJudge never finds a target sick. It is a baseline in measurements.
type NoJudge struct{}

var _ Judge = NoJudge{}

// Judge implements Judge.
func (NoJudge) Judge(Evidence, []Evidence) Finding { return Finding{} }
