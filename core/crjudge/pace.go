package crjudge

import (
	"math"
	"time"
)

const (
	// slowDeviations is how many standard deviations of the logarithm a request
	// has to lie above the mean of its kind to count as slow: by a normal
	// distribution, four in a thousand do by chance.
	slowDeviations = 2.7
	// paceWeight is the weight of one more time in the moving mean: 50 requests,
	// some ten seconds of a target's work.
	paceWeight = 0.02
	// paceSamples is the number of times before the mean is believed.
	paceSamples = 8
	// paceSpread is the deviation of the logarithm that is assumed at least.
	paceSpread = 0.5
	// slowLeast keeps very short requests from counting as slow by a hiccup of
	// the machine.
	slowLeast = 150 * time.Millisecond
)

// Pace knows how long requests of one kind take as a rule. The zero value knows
// nothing yet. It is not safe for concurrent use.
type Pace struct {
	n              int
	mean, variance float64 // of the logarithm of seconds
}

// Add notes the time of a request that was answered well.
func (p *Pace) Add(took time.Duration) {
	x := math.Log(max(took.Seconds(), 1e-4))
	p.n++
	weight := max(paceWeight, 1/float64(p.n))
	delta := x - p.mean
	p.mean += weight * delta
	p.variance = (1 - weight) * (p.variance + weight*delta*delta)
}

// Typical returns the usual time, or zero where too little is known.
func (p *Pace) Typical() time.Duration {
	if p.n < paceSamples {
		return 0
	}
	return time.Duration(math.Exp(p.mean+p.variance/2) * float64(time.Second))
}

// Slow returns the time from which on a request is slow, or zero where too
// little is known.
func (p *Pace) Slow() time.Duration {
	if p.n < paceSamples {
		return 0
	}
	spread := max(math.Sqrt(p.variance), paceSpread)
	limit := time.Duration(math.Exp(p.mean+slowDeviations*spread) * float64(time.Second))
	return max(limit, slowLeast)
}
