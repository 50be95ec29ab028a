// Package crjudge judges whether a target is sick, from all the answers that it
// gives.
//
// A target is taken for a machine with two states, well and sick, that changes
// between them at random. Each answer moves the probability of sickness by
// Bayes' rule, and time without answers moves it back to what is usual. So one
// failure of a target that has done well is already strong evidence where many
// targets turn sick, and old evidence loses its weight by itself.
//
// # Usage
//
//	j := crjudge.New(now)
//	j.Note(now, crjudge.Failure)
//	if j.Sick(now) >= crjudge.Limit { ... }
package crjudge

import (
	"math"
	"time"

	"camphorroad/core/crid"
)

const (
	// Threshold is the probability of sickness from which on a target gets no
	// request that may run only once. A failure of a target that did well leads
	// above it, and three successes in a row after one failure lead below.
	Threshold = 0.35

	// usual is the share of targets that are taken to be sick at an ordinary moment.
	// With more, a target of which nothing is known yet would hardly be used.
	priorProb = 0.12
	// turnover is the time in which a state is forgotten. Gray failures last for
	// seconds.
	decayTime = 8 * time.Second
	// failsSick and failsWell are the shares of requests that sick and sound targets
	// fail.
	unhealthyFailureRate = 0.7
	healthyFailureRate   = 0.015
	// least keeps the probability from growing so small that a burst of
	// failures would have to wear down a long good record.
	minProb = 0.004
	maxProb = 0.985
)

// Observation is one answer as evidence.
type Observation uint8

// The signs.
const (
	// Success is a whole answer that is no failure.
	Success Observation = iota + 1
	// Failure is an answer that tells of a fault of the target's own.
	Failure
	// Slow is a request that runs far longer than the target's others. It is
	// weaker than a failure: a few requests are long by nature.
	Slow
)

// odds is how much likelier a sick target gives the sign than a well one.
func (s Observation) likelihoodRatio() float64 {
	switch s {
	case Success:
		return (1 - unhealthyFailureRate) / (1 - healthyFailureRate)
	case Failure:
		return unhealthyFailureRate / healthyFailureRate
	case Slow:
		return 8
	}
	return 1
}

// Estimator follows one target. It is not safe for concurrent use.
type Estimator struct {
	prob      float64
	updatedAt crid.Instant
}

// New returns a judge that knows nothing of its target yet.
func New(now crid.Instant) *Estimator { return &Estimator{prob: priorProb, updatedAt: now} }

// UnhealthyProb returns the probability that the target is sick now.
func (j *Estimator) UnhealthyProb(now crid.Instant) float64 {
	age := max(now.Sub(j.updatedAt), 0)
	keep := math.Exp(-age.Seconds() / decayTime.Seconds())
	return priorProb + (j.prob-priorProb)*keep
}

// Observe takes an answer into account.
func (j *Estimator) Observe(now crid.Instant, s Observation) {
	p := j.UnhealthyProb(now)
	odds := p / (1 - p) * s.likelihoodRatio()
	j.prob = min(max(odds/(1+odds), minProb), maxProb)
	j.updatedAt = max(j.updatedAt, now)
}
