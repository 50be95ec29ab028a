package crhealth

import (
	"math"
	"slices"
	"time"
)

// Evidence summarizes the attempts on one target over one span.
type Evidence struct {
	N                 uint32        // attempts
	Bad               uint32        // failed, stalled or wrong attempts that other accounts and senders corroborate
	Wrong             uint32        // wrong attempts among them
	Responses         uint32        // attempts with a latency
	Median            time.Duration // of the responses
	ReportedUnhealthy bool          // the target itself reports that it is unhealthy or overloaded
	Cold              bool          // in slow start: its latency is not judged

	latency [bucketCount]uint32
}

// ShareAbove returns the share of responses whose latency bucket is above that of d.
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

// BadRate returns the share of bad attempts.
func (e Evidence) BadRate() float64 {
	if e.N == 0 {
		return 0
	}
	return float64(e.Bad) / float64(e.N)
}

// Cause is the reason for which a target was found unhealthy.
type Cause uint8

// Causes.
const (
	CauseNone    Cause = iota
	CauseWrong         // gives wrong responses
	CauseFailing       // fails or stalls more often than its peers
	CauseSlow          // responds more slowly than its peers
	CauseStalled       // gives no responses while its peers do
)

// String returns the name that events and dumps show.
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

// Finding is the result of judging one target.
type Finding struct {
	Cause Cause
	Score float64 // how far the target is from its peers; a higher score is ejected first
}

// Judge compares a target with its peers of the same service.
type Judge interface {
	Judge(target Evidence, peers []Evidence) Finding
}

// Bounds of PeerJudge.
const (
	minBad          = 4    // bad attempts needed for CauseFailing
	minWrong        = 2    // wrong responses needed for CauseWrong
	minResponses    = 8    // responses needed for a median
	rateMargin      = 0.05 // by which the share of bad attempts must exceed that of the peers, besides the noise
	slowRatio       = 1.5  // multiple of the peers' median, for a very large number of responses
	slowNoise       = 6.0  // divided by the square root of the number of responses, and added to slowRatio
	minSlowExcess   = 5 * time.Millisecond
	slowShareMargin = 0.3 // by which the target's share of slow responses must exceed that of its peers
	madFactor       = 4   // number of median absolute deviations above the peers' median
	wrongFactor     = 5   // multiple of the peers' median share of wrong responses
)

// PeerJudge finds a target unhealthy if it is an outlier among its peers. If all
// targets are slow or failing, it finds none: the cause is then load or the network,
// and an ejection would leave less capacity for the same work.
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

// medianBadRate returns the peers' median share of bad attempts, and false if no peer
// has attempts.
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

// noiseMargin is four standard deviations of the share of n attempts that are bad or
// slow, where the typical share is that of the peers. If many attempts are bad or slow
// everywhere, some target exceeds the typical share at any moment by chance.
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

// hasMoreSlowResponses reports whether the target's share of slow responses clearly
// exceeds that of its peers. While all targets become slow, half of each target's
// responses are older and fast: the medians then jump one after another, but the
// shares rise together.
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

// medianAbsDeviation returns the median absolute deviation from center.
func medianAbsDeviation(values []float64, center float64) float64 {
	deviations := make([]float64, 0, len(values))
	for _, v := range values {
		deviations = append(deviations, math.Abs(v-center))
	}
	return median(deviations)
}

// median returns the median of values, and sorts them.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// FixedJudge finds a target unhealthy by fixed thresholds, regardless of its peers. It
// is a baseline for comparison.
type FixedJudge struct {
	Rate        float64       // share of bad attempts
	Median      time.Duration // median latency
	MinAttempts uint32        // with fewer attempts, no target is found unhealthy
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

// NoJudge finds no target unhealthy. It is a baseline for comparison.
type NoJudge struct{}

var _ Judge = NoJudge{}

// Judge implements Judge.
func (NoJudge) Judge(Evidence, []Evidence) Finding { return Finding{} }
