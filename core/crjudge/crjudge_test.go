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

// A target that did well turns sick. Its first failure is not yet sure, but the
// next request may run only once: sending it there would lose it, too.
func TestOneFailureReachesTheThreshold(t *testing.T) {
	g := gomega.NewWithT(t)
	j := crjudge.New(start)
	now := start
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		j.Observe(now, crjudge.Success)
	}
	g.Expect(j.UnhealthyProb(now)).To(gomega.BeNumerically("<", crjudge.Threshold))
	j.Observe(now.Add(time.Second), crjudge.Failure)
	g.Expect(j.UnhealthyProb(now.Add(time.Second))).To(gomega.BeNumerically(">=", crjudge.Threshold))
}

// A sound target fails one request in eighty. Were it held sick for long, callers
// would lose good capacity.
func TestSuccessesClearARandomFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	j := crjudge.New(start)
	j.Observe(start, crjudge.Success)
	j.Observe(start, crjudge.Failure)
	g.Expect(j.UnhealthyProb(start)).To(gomega.BeNumerically(">=", crjudge.Threshold))
	for range 4 {
		j.Observe(start, crjudge.Success)
	}
	g.Expect(j.UnhealthyProb(start)).To(gomega.BeNumerically("<", crjudge.Threshold))
}

// Nobody sends a sick target anything. It recovers, and is wanted again: without
// news the verdict has to fade.
func TestEstimateDecaysWithoutObservations(t *testing.T) {
	g := gomega.NewWithT(t)
	j := crjudge.New(start)
	for range 5 {
		j.Observe(start, crjudge.Failure)
	}
	g.Expect(j.UnhealthyProb(start.Add(3 * time.Second))).To(gomega.BeNumerically(">=", crjudge.Threshold))
	g.Expect(j.UnhealthyProb(start.Add(20 * time.Second))).To(gomega.BeNumerically("<", crjudge.Threshold))
}

// Targets turn sick for nine seconds at a time, three in ten at any moment, and
// fail 85 of 100 requests then; sound ones fail 12 in 1,000. Of the requests that
// may run only once, few may meet a sick target, and few sound targets may be
// left out.
func TestSimulatedFleetIsEstimatedWell(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var sent, lost, healthySteps, healthyExcluded int
	for range 20 {
		j := crjudge.New(start)
		unhealthy := false
		for at := time.Duration(0); at < 5*time.Minute; at += 150 * time.Millisecond {
			now := start.Add(at)
			if at%(9*time.Second) < 150*time.Millisecond {
				unhealthy = rng.Float64() < 0.3
			}
			excluded := j.UnhealthyProb(now) >= crjudge.Threshold
			if !unhealthy {
				healthySteps++
				if excluded {
					healthyExcluded++
				}
			}
			if excluded && rng.Float64() < 0.6 {
				continue // only some requests may try a target held to be sick
			}
			failed := rng.Float64() < 0.012 || (unhealthy && rng.Float64() < 0.85)
			if !excluded {
				sent++
				if failed {
					lost++
				}
			}
			if failed {
				j.Observe(now, crjudge.Failure)
			} else {
				j.Observe(now, crjudge.Success)
			}
		}
	}
	g.Expect(float64(lost)/float64(sent)).To(gomega.BeNumerically("<", 0.04), "once-only requests lost")
	g.Expect(float64(healthyExcluded)/float64(healthySteps)).To(gomega.BeNumerically("<", 0.1), "sound targets set aside")
}
