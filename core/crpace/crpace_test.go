package crpace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crpace"
	"camphorroad/core/crpolicy"
)

var (
	call  = crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 500 * time.Millisecond}
	read  = crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 3 * time.Second}
	order = crpace.Kind{Class: crpolicy.ClassOnce, Objective: 2 * time.Second}
)

// drawServiceTime draws from a lognormal distribution with the given mean and spread.
func drawServiceTime(rng *rand.Rand, mean time.Duration, spread float64) time.Duration {
	mu := math.Log(mean.Seconds()) - spread*spread/2
	return time.Duration(math.Exp(mu+spread*rng.NormFloat64()) * float64(time.Second))
}

// relativeError returns the error of an estimate relative to the true value.
func relativeError(got, want time.Duration) float64 {
	return math.Abs(float64(got-want)) / float64(want)
}

// With one spread fitted to calls of 0.1 s, reads of more than 1 s and orders of which
// a tenth end at once, the estimate was ten times too long. Targets without a queue
// then refused callers although they had free slots.
func TestMixedKindsAreEstimatedSeparately(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var e crpace.Estimators
		for range 400 {
			e.Add(call, drawServiceTime(rng, 130*time.Millisecond, 0.5))
			e.Add(read, drawServiceTime(rng, 1300*time.Millisecond, 0.5))
			took := drawServiceTime(rng, 510*time.Millisecond, 0.8)
			if rng.Float64() < 0.1 {
				took = time.Millisecond
			}
			e.Add(order, took)
		}
		g.Expect(relativeError(e.Expected(call), 130*time.Millisecond)).To(gomega.BeNumerically("<", 0.35), "seed %d", seed)
		g.Expect(relativeError(e.Expected(read), 1300*time.Millisecond)).To(gomega.BeNumerically("<", 0.35), "seed %d", seed)
		g.Expect(relativeError(e.Expected(order), 460*time.Millisecond)).To(gomega.BeNumerically("<", 0.35), "seed %d", seed)
		g.Expect(relativeError(e.Mean(), 630*time.Millisecond)).To(gomega.BeNumerically("<", 0.5), "seed %d", seed)
	}
}

// For a kind with few samples, the mean of all requests is a better estimate than a
// constant.
func TestUnknownKindFallsBackToAllRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var e crpace.Estimators
	g.Expect(e.Expected(call)).To(gomega.Equal(crpace.DefaultServiceTime))
	for range 20 {
		e.Add(read, time.Second)
	}
	e.Add(call, 100*time.Millisecond)
	g.Expect(e.Expected(call)).To(gomega.BeNumerically("~", 957*time.Millisecond, 10*time.Millisecond))
	g.Expect(e.SlowThreshold(call)).To(gomega.BeZero())
}

// When a target becomes four times as slow, its requests must count as slow for their
// kind, and requests that are long by nature must not.
func TestRequestsAreSlowRelativeToTheirKind(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 1))
	var e crpace.Estimators
	for range 400 {
		e.Add(call, drawServiceTime(rng, 130*time.Millisecond, 0.5))
		e.Add(read, drawServiceTime(rng, 1300*time.Millisecond, 0.5))
	}
	g.Expect(e.SlowThreshold(call)).To(gomega.BeNumerically("<", 4*130*time.Millisecond))
	g.Expect(e.SlowThreshold(read)).To(gomega.BeNumerically("<", 4*1300*time.Millisecond))
	slow := 0
	for range 2000 {
		if drawServiceTime(rng, 1300*time.Millisecond, 0.5) > e.SlowThreshold(read) {
			slow++
		}
	}
	g.Expect(slow).To(gomega.BeNumerically("<", 60))
}

// Callers may use any number of kinds; the memory per target must stay bounded.
func TestKindsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var e crpace.Estimators
	for i := range 1000 {
		for range 20 {
			e.Add(crpace.Kind{Objective: time.Duration(i)}, time.Second)
		}
	}
	g.Expect(e.Kinds()).To(gomega.BeNumerically("<=", 64))
	g.Expect(e.Expected(crpace.Kind{Objective: 999})).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
}

func TestSlowThresholdOfOneEstimator(t *testing.T) {
	g := gomega.NewWithT(t)
	var e crpace.Estimator
	g.Expect(e.SlowThreshold()).To(gomega.BeZero())
	for i := range 40 {
		e.Add(time.Duration(200+10*(i%10)) * time.Millisecond)
	}
	g.Expect(e.Mean()).To(gomega.BeNumerically("~", 245*time.Millisecond, 30*time.Millisecond))
	g.Expect(e.SlowThreshold()).To(gomega.BeNumerically(">", 600*time.Millisecond))
	g.Expect(e.SlowThreshold()).To(gomega.BeNumerically("<", 1200*time.Millisecond))
}
