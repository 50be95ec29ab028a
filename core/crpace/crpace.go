// Package crpace estimates the service times of one target's requests, by their kind.
// Package crgate uses the estimates to admit requests and to detect slow ones.
//
// A target serves a mixture: calls that take a tenth of a second, reads that take more
// than one second, and requests that end at once. One estimate for all of them is wrong
// for each, and a distribution fitted to the mixture is wrong as a whole. Each kind
// therefore has its own moving mean, which needs no assumption about the distribution.
//
// # Usage
//
//	var e crpace.Estimators
//	e.Add(kind, took)
//	expected := e.Expected(kind)
package crpace

import (
	"math"
	"time"

	"camphorroad/core/crpolicy"
)

const (
	// smoothing is the weight of the newest service time in the moving mean. The mean
	// then covers about 50 requests, which a target serves in about ten seconds.
	smoothing = 0.02
	// minSamples is the number of service times needed for a mean.
	minSamples = 8
	// slowDeviations is the number of standard deviations above the mean from which on
	// a request is slow.
	slowDeviations = 3.0
	// slowFactor is the minimum multiple of the mean from which on a request is slow.
	slowFactor = 2.7
	// minSlow is the time below which no request is slow, so that a short pause of the
	// machine does not make very short requests slow.
	minSlow = 150 * time.Millisecond
	// maxKinds bounds the number of kinds that are estimated separately.
	maxKinds = 64
	// DefaultServiceTime is the estimate while no service time is known.
	DefaultServiceTime = 300 * time.Millisecond
)

// Kind identifies requests with similar service times: those of one class and one
// latency objective.
type Kind struct {
	Class     crpolicy.Class
	Objective time.Duration
}

// Estimator estimates the service time of requests by a moving mean and variance. The
// zero value is ready to use. It is not safe for concurrent use.
type Estimator struct {
	n              int
	mean, variance float64 // in seconds
}

// Add records the service time of a successful request.
func (e *Estimator) Add(took time.Duration) {
	x := max(took.Seconds(), 0)
	e.n++
	w := max(smoothing, 1/float64(e.n))
	delta := x - e.mean
	e.mean += w * delta
	e.variance = (1 - w) * (e.variance + w*delta*delta)
}

// Mean returns the mean, or zero if there are too few samples.
func (e *Estimator) Mean() time.Duration {
	if e == nil || e.n < minSamples {
		return 0
	}
	return seconds(e.mean)
}

// UpperEstimate returns the time within which about five of six requests end, or zero if
// there are too few samples.
func (e *Estimator) UpperEstimate() time.Duration {
	if e == nil || e.n < minSamples {
		return 0
	}
	return seconds(e.mean + math.Sqrt(e.variance))
}

// SlowThreshold returns the time from which on a request is slow, or zero if there are
// too few samples.
func (e *Estimator) SlowThreshold() time.Duration {
	if e == nil || e.n < minSamples {
		return 0
	}
	return max(seconds(e.mean+slowDeviations*math.Sqrt(e.variance)), seconds(slowFactor*e.mean), minSlow)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Estimators estimates the service times of a target by kind. The zero value is ready
// to use. It is not safe for concurrent use.
type Estimators struct {
	all   Estimator
	kinds map[Kind]*Estimator
}

// Add records the service time of a successful request.
func (e *Estimators) Add(k Kind, took time.Duration) {
	e.all.Add(took)
	if e.kinds == nil {
		e.kinds = make(map[Kind]*Estimator)
	}
	estimator := e.kinds[k]
	if estimator == nil {
		if len(e.kinds) >= maxKinds {
			return
		}
		estimator = &Estimator{}
		e.kinds[k] = estimator
	}
	estimator.Add(took)
}

// Expected returns the mean of a kind. With too few samples of the kind, it returns the
// mean of all requests, and with too few of those [DefaultServiceTime].
func (e *Estimators) Expected(k Kind) time.Duration {
	if t := e.kinds[k].Mean(); t > 0 {
		return t
	}
	if t := e.all.Mean(); t > 0 {
		return t
	}
	return DefaultServiceTime
}

// UpperEstimate returns the time within which about five of six requests of a kind end.
// With too few samples of the kind, it returns [Estimators.Expected].
func (e *Estimators) UpperEstimate(k Kind) time.Duration {
	if t := e.kinds[k].UpperEstimate(); t > 0 {
		return t
	}
	return e.Expected(k)
}

// SlowThreshold returns the time from which on a request of a kind is slow, or zero if
// there are too few samples of the kind.
func (e *Estimators) SlowThreshold(k Kind) time.Duration { return e.kinds[k].SlowThreshold() }

// Mean returns the mean of all requests, or zero if there are too few samples.
func (e *Estimators) Mean() time.Duration { return e.all.Mean() }

// Kinds returns the number of kinds that are estimated separately.
func (e *Estimators) Kinds() int { return len(e.kinds) }
