// Package crjudge estimates whether a target is unhealthy from the responses that its
// exit receives. It is used by io/cregress. Package crhealth, in contrast, compares the
// targets of a service with each other, by the counts of all daemons.
//
// The target is modeled as a hidden Markov process with two states, healthy and
// unhealthy. Each observation updates the probability of the unhealthy state by Bayes'
// rule; without observations the probability decays to the prior. In a
// fleet in which many targets become unhealthy, one failure is therefore strong evidence
// even after many successes. Old evidence loses its weight.
//
// # Usage
//
//	e := crjudge.New(now)
//	e.Observe(now, crjudge.Failure)
//	if e.UnhealthyProb(now) >= crjudge.Threshold { ... }
package crjudge

import (
	"math"
	"time"

	"camphorroad/core/crid"
)

const (
	// Threshold is the probability from which on a target gets no request that may run
	// only once. One failure after many successes raises the probability above it, and
	// three successes in a row after one failure lower the probability below it.
	Threshold = 0.35

	// priorProb is the share of targets that are unhealthy at an ordinary moment. With
	// a higher value, a target without observations would hardly be used.
	priorProb = 0.12
	// decayTime is the time constant with which the estimate returns to the prior.
	// Gray failures last for seconds.
	decayTime = 8 * time.Second
	// unhealthyFailureRate and healthyFailureRate are the shares of requests that
	// unhealthy and healthy targets fail.
	unhealthyFailureRate = 0.7
	healthyFailureRate   = 0.015
	// minProb and maxProb bound the probability, so that a short burst of failures
	// suffices to raise it even after a long time without failures.
	minProb = 0.004
	maxProb = 0.985
)

// Observation is the result of one request as evidence.
type Observation uint8

// Observations.
const (
	// Success is a complete response that is not a failure.
	Success Observation = iota + 1
	// Failure is a response that shows a fault of the target itself.
	Failure
	// Slow is a request that takes far longer than the target's other requests. It is
	// weaker evidence than a failure, since a few requests are long by nature.
	Slow
)

// likelihoodRatio is the probability of the observation for an unhealthy target,
// divided by that for a healthy one.
func (o Observation) likelihoodRatio() float64 {
	switch o {
	case Success:
		return (1 - unhealthyFailureRate) / (1 - healthyFailureRate)
	case Failure:
		return unhealthyFailureRate / healthyFailureRate
	case Slow:
		return 8
	}
	return 1
}

// Estimator estimates the health of one target. It is not safe for concurrent use.
type Estimator struct {
	prob      float64
	updatedAt crid.Instant
}

// New returns an estimator without observations.
func New(now crid.Instant) *Estimator { return &Estimator{prob: priorProb, updatedAt: now} }

// UnhealthyProb returns the probability that the target is unhealthy now.
func (e *Estimator) UnhealthyProb(now crid.Instant) float64 {
	age := max(now.Sub(e.updatedAt), 0)
	keep := math.Exp(-age.Seconds() / decayTime.Seconds())
	return priorProb + (e.prob-priorProb)*keep
}

// Observe updates the estimate with an observation.
func (e *Estimator) Observe(now crid.Instant, o Observation) {
	p := e.UnhealthyProb(now)
	odds := p / (1 - p) * o.likelihoodRatio()
	e.prob = min(max(odds/(1+odds), minProb), maxProb)
	e.updatedAt = max(e.updatedAt, now)
}
