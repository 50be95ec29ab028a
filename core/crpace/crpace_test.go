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
	call = crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 500 * time.Millisecond}
	read = crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 3 * time.Second}
	hold = crpace.Kind{Class: crpolicy.ClassOnce, Objective: 2 * time.Second}
)

// work draws the time of a request: lognormal with a mean and a spread.
func drawServiceTime(rng *rand.Rand, mean time.Duration, spread float64) time.Duration {
	mu := math.Log(mean.Seconds()) - spread*spread/2
	return time.Duration(math.Exp(mu+spread*rng.NormFloat64()) * float64(time.Second))
}

// far is how far an estimate is off, as a share of what it should be.
func relativeError(got, want time.Duration) float64 {
	return math.Abs(float64(got-want)) / float64(want)
}

// A target runs calls of a tenth of a second, reads of more than one, and orders of
// which every tenth is answered at once. One spread fitted to all of them is huge,
// and the time that it told was ten times too long: targets without a queue refused
// callers for want of room.
func TestMixedKindsAreEstimatedSeparately(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var p crpace.Estimators
		for range 400 {
			p.Add(call, drawServiceTime(rng, 130*time.Millisecond, 0.5))
			p.Add(read, drawServiceTime(rng, 1300*time.Millisecond, 0.5))
			took := drawServiceTime(rng, 510*time.Millisecond, 0.8)
			if rng.Float64() < 0.1 {
				took = time.Millisecond
			}
			p.Add(hold, took)
		}
		g.Expect(relativeError(p.Typical(call), 130*time.Millisecond)).To(gomega.BeNumerically("<", 0.35), "seed %d", seed)
		g.Expect(relativeError(p.Typical(read), 1300*time.Millisecond)).To(gomega.BeNumerically("<", 0.35), "seed %d", seed)
		g.Expect(relativeError(p.Typical(hold), 460*time.Millisecond)).To(gomega.BeNumerically("<", 0.35), "seed %d", seed)
		g.Expect(relativeError(p.Mean(), 630*time.Millisecond)).To(gomega.BeNumerically("<", 0.5), "seed %d", seed)
	}
}

// A kind was hardly seen yet. What is known of all requests is a better guess than
// any figure fixed beforehand.
func TestUnknownKindFallsBackToAllRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var p crpace.Estimators
	g.Expect(p.Typical(call)).To(gomega.Equal(crpace.DefaultServiceTime))
	for range 20 {
		p.Add(read, time.Second)
	}
	p.Add(call, 100*time.Millisecond)
	g.Expect(p.Typical(call)).To(gomega.BeNumerically("~", 957*time.Millisecond, 10*time.Millisecond))
	g.Expect(p.SlowThreshold(call)).To(gomega.BeZero())
}

// A target turns slow, fourfold. Its requests must stand out from those of its own
// kind, and long ones by nature must not.
func TestRequestsAreSlowRelativeToTheirKind(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 1))
	var p crpace.Estimators
	for range 400 {
		p.Add(call, drawServiceTime(rng, 130*time.Millisecond, 0.5))
		p.Add(read, drawServiceTime(rng, 1300*time.Millisecond, 0.5))
	}
	g.Expect(p.SlowThreshold(call)).To(gomega.BeNumerically("<", 4*130*time.Millisecond))
	g.Expect(p.SlowThreshold(read)).To(gomega.BeNumerically("<", 4*1300*time.Millisecond))
	slow := 0
	for range 2000 {
		if drawServiceTime(rng, 1300*time.Millisecond, 0.5) > p.SlowThreshold(read) {
			slow++
		}
	}
	g.Expect(slow).To(gomega.BeNumerically("<", 60))
}

// Callers may be given any number of kinds; what is kept of a target is bounded.
func TestKindsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var p crpace.Estimators
	for i := range 1000 {
		for range 20 {
			p.Add(crpace.Kind{Objective: time.Duration(i)}, time.Second)
		}
	}
	g.Expect(p.Kinds()).To(gomega.BeNumerically("<=", 64))
	g.Expect(p.Typical(crpace.Kind{Objective: 999})).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
}

func TestSlowThresholdOfOneEstimator(t *testing.T) {
	g := gomega.NewWithT(t)
	var p crpace.Estimator
	g.Expect(p.SlowThreshold()).To(gomega.BeZero())
	for i := range 40 {
		p.Add(time.Duration(200+10*(i%10)) * time.Millisecond)
	}
	g.Expect(p.Typical()).To(gomega.BeNumerically("~", 245*time.Millisecond, 30*time.Millisecond))
	g.Expect(p.SlowThreshold()).To(gomega.BeNumerically(">", 600*time.Millisecond))
	g.Expect(p.SlowThreshold()).To(gomega.BeNumerically("<", 1200*time.Millisecond))
}
