package crjudge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
)

const start = crid.Instant(time.Hour)

// A healthy target becomes unhealthy. If its first failure did not exclude it, the
// next request that may run only once would be lost, too.
func TestOneFailureReachesTheThreshold(t *testing.T) {
	g := gomega.NewWithT(t)
	e := crjudge.New(start)
	now := start
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		e.Observe(now, crjudge.Success)
	}
	g.Expect(e.UnhealthyProb(now)).To(gomega.BeNumerically("<", crjudge.Threshold))
	e.Observe(now.Add(time.Second), crjudge.Failure)
	g.Expect(e.UnhealthyProb(now.Add(time.Second))).To(gomega.BeNumerically(">=", crjudge.Threshold))
}

// A healthy target fails one request in eighty. If it were excluded for long, callers
// would lose healthy capacity.
func TestSuccessesClearARandomFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	e := crjudge.New(start)
	e.Observe(start, crjudge.Success)
	e.Observe(start, crjudge.Failure)
	g.Expect(e.UnhealthyProb(start)).To(gomega.BeNumerically(">=", crjudge.Threshold))
	for range 4 {
		e.Observe(start, crjudge.Success)
	}
	g.Expect(e.UnhealthyProb(start)).To(gomega.BeNumerically("<", crjudge.Threshold))
}

// An unhealthy target gets no requests, so that no observation shows its recovery. The
// estimate has to decay with time.
func TestEstimateDecaysWithoutObservations(t *testing.T) {
	g := gomega.NewWithT(t)
	e := crjudge.New(start)
	for range 5 {
		e.Observe(start, crjudge.Failure)
	}
	g.Expect(e.UnhealthyProb(start.Add(3 * time.Second))).To(gomega.BeNumerically(">=", crjudge.Threshold))
	g.Expect(e.UnhealthyProb(start.Add(20 * time.Second))).To(gomega.BeNumerically("<", crjudge.Threshold))
}

// Three in ten targets are unhealthy at any moment, for nine seconds at a time, and
// fail 85 of 100 requests; healthy ones fail 12 in 1,000. Few once-only requests may
// be lost, and few healthy targets may be excluded.
func TestFewRequestsAreLostAndFewHealthyTargetsExcluded(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var sent, lost, healthySteps, healthyExcluded int
	for range 20 {
		e := crjudge.New(start)
		unhealthy := false
		for at := time.Duration(0); at < 5*time.Minute; at += 150 * time.Millisecond {
			now := start.Add(at)
			if at%(9*time.Second) < 150*time.Millisecond {
				unhealthy = rng.Float64() < 0.3
			}
			excluded := e.UnhealthyProb(now) >= crjudge.Threshold
			if !unhealthy {
				healthySteps++
				if excluded {
					healthyExcluded++
				}
			}
			if excluded && rng.Float64() < 0.6 {
				continue // only some requests may try an excluded target
			}
			failed := rng.Float64() < 0.012 || (unhealthy && rng.Float64() < 0.85)
			if !excluded {
				sent++
				if failed {
					lost++
				}
			}
			if failed {
				e.Observe(now, crjudge.Failure)
			} else {
				e.Observe(now, crjudge.Success)
			}
		}
	}
	g.Expect(float64(lost)/float64(sent)).To(gomega.BeNumerically("<", 0.04), "once-only requests lost")
	g.Expect(float64(healthyExcluded)/float64(healthySteps)).To(gomega.BeNumerically("<", 0.1), "healthy targets excluded")
}
