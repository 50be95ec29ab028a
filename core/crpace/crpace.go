// Package crpace knows how long requests take at one target, by their kind.
//
// A target's work is a mixture: a call of a tenth of a second beside a read of
// more than one, and answers that come at once. One time for all of them is wrong
// for each, and a fit that takes the mixture for one distribution is wrong for
// the whole. So each kind has its own moving mean, which needs no assumption
// about how the times are spread.
//
// # Usage
//
//	var p crpace.Paces
//	p.Add(kind, took)
//	need := p.Typical(kind)
package crpace

import (
	"math"
	"time"

	"camphorroad/core/crpolicy"
)

const (
	// weight is the weight of one more time in the moving mean: 50 requests,
	// some ten seconds of a target's work.
	smoothing = 0.02
	// enough is the number of times before a mean is believed.
	minSamples = 8
	// slowDeviations is how many standard deviations above the mean a request
	// counts as slow.
	slowDeviations = 3.0
	// slowFactor is how many times the mean a slow request takes at least.
	slowFactor = 2.7
	// slowLeast keeps very short requests from counting as slow by a hiccup of
	// the machine.
	minSlow = 150 * time.Millisecond
	// kindsMost bounds the kinds that are told apart.
	maxKinds = 64
	// DefaultServiceTime is the time reckoned with before any was seen.
	DefaultServiceTime = 300 * time.Millisecond
)

// Kind is what requests have in common that take about as long: how they may be
// repeated, and how soon the operator wants them answered.
type Kind struct {
	Class     crpolicy.Class
	Objective time.Duration
}

// Estimator knows how long requests take as a rule. The zero value knows nothing yet.
// It is not safe for concurrent use.
type Estimator struct {
	n              int
	mean, variance float64 // of seconds
}

// Add notes the time of a request that was answered well.
func (p *Estimator) Add(took time.Duration) {
	x := max(took.Seconds(), 0)
	p.n++
	w := max(smoothing, 1/float64(p.n))
	delta := x - p.mean
	p.mean += w * delta
	p.variance = (1 - w) * (p.variance + w*delta*delta)
}

// Typical returns the mean time, or zero where too little is known.
func (p *Estimator) Typical() time.Duration {
	if p == nil || p.n < minSamples {
		return 0
	}
	return seconds(p.mean)
}

// UpperBound returns the time within which five of six requests end as a rule, or zero
// where too little is known.
func (p *Estimator) UpperBound() time.Duration {
	if p == nil || p.n < minSamples {
		return 0
	}
	return seconds(p.mean + math.Sqrt(p.variance))
}

// SlowThreshold returns the time from which on a request is slow, or zero where too
// little is known.
func (p *Estimator) SlowThreshold() time.Duration {
	if p == nil || p.n < minSamples {
		return 0
	}
	return max(seconds(p.mean+slowDeviations*math.Sqrt(p.variance)), seconds(slowFactor*p.mean), minSlow)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Estimators knows the times of a target by kind. The zero value knows nothing yet. It
// is not safe for concurrent use.
type Estimators struct {
	all   Estimator
	kinds map[Kind]*Estimator
}

// Add notes the time of a request that was answered well.
func (p *Estimators) Add(k Kind, took time.Duration) {
	p.all.Add(took)
	if p.kinds == nil {
		p.kinds = make(map[Kind]*Estimator)
	}
	kind := p.kinds[k]
	if kind == nil {
		if len(p.kinds) >= maxKinds {
			return
		}
		kind = &Estimator{}
		p.kinds[k] = kind
	}
	kind.Add(took)
}

// Typical returns the mean time of a kind; where too little is known of it, that
// of all requests, and at first [DefaultServiceTime].
func (p *Estimators) Typical(k Kind) time.Duration {
	if t := p.kinds[k].Typical(); t > 0 {
		return t
	}
	if t := p.all.Typical(); t > 0 {
		return t
	}
	return DefaultServiceTime
}

// UpperBound returns the time within which five of six requests of a kind end as a rule;
// where too little is known of it, as [Estimators.Typical].
func (p *Estimators) UpperBound(k Kind) time.Duration {
	if t := p.kinds[k].UpperBound(); t > 0 {
		return t
	}
	return p.Typical(k)
}

// SlowThreshold returns the time from which on a request of a kind is slow, or zero where
// too little is known of the kind.
func (p *Estimators) SlowThreshold(k Kind) time.Duration { return p.kinds[k].SlowThreshold() }

// Mean returns the mean time of all requests, or zero where too little is known.
func (p *Estimators) Mean() time.Duration { return p.all.Typical() }

// Kinds is the number of kinds that are told apart.
func (p *Estimators) Kinds() int { return len(p.kinds) }
