package crgate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crgate"
	"camphorroad/core/crpace"
	"camphorroad/core/crpolicy"
)

var (
	callKind  = crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 500 * time.Millisecond}
	readKind  = crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 3 * time.Second}
	orderKind = crpace.Kind{Class: crpolicy.ClassOnce, Objective: 2 * time.Second}
)

// teach lets a gate see how long requests of some kinds take.
func teach(gate *crgate.Gate, times map[crpace.Kind]time.Duration) {
	for kind, took := range times {
		for range 50 {
			ticket, _ := gate.Admit(start, crgate.Ask{Kind: kind, Start: start.Add(time.Hour)})
			gate.Done(start, ticket, took)
		}
	}
}

// A target runs short calls, long reads, and orders of half a second, some of which
// are answered at once. Its slots are just taken and nobody waits. An order has two
// seconds: told that there is no room, it would go to a sick target and be lost.
func TestABusyTargetWithoutAQueueHasRoomForAnOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(5)
	teach(gate, map[crpace.Kind]time.Duration{callKind: 130 * time.Millisecond, readKind: 1300 * time.Millisecond})
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		took := time.Duration(float64(510*time.Millisecond) * math.Exp(0.5*rng.NormFloat64()))
		if rng.Float64() < 0.15 {
			took = time.Millisecond
		}
		ticket, _ := gate.Admit(start, crgate.Ask{Kind: orderKind, Start: start.Add(time.Hour)})
		gate.Done(start, ticket, took)
	}
	for range 5 {
		_, refusal := gate.Admit(start, crgate.Ask{Kind: orderKind, Start: start.Add(time.Second)})
		g.Expect(refusal).To(gomega.BeNil())
	}
	latest := gate.Latest(start, crgate.Terms{Kind: orderKind, Objective: 2 * time.Second, Left: 3 * time.Second})
	g.Expect(latest.Sub(start)).To(gomega.BeNumerically(">", time.Second))
	_, refusal := gate.Admit(start, crgate.Ask{Kind: orderKind, Priority: 1, Start: latest})
	g.Expect(refusal).To(gomega.BeNil())
}

// Requests that have run for most of their time are about to leave their slots. One
// that just came must not be told that it would wait as long as behind fresh ones.
func TestWhatRunsIsReckonedWithByWhatIsLeftOfIt(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(2)
	teach(gate, map[crpace.Kind]time.Duration{readKind: time.Second})
	for range 2 {
		_, refusal := gate.Admit(start, crgate.Ask{Kind: readKind, Start: start})
		g.Expect(refusal).To(gomega.BeNil())
	}
	_, refusal := gate.Admit(start, crgate.Ask{Kind: readKind, Start: start.Add(500 * time.Millisecond)})
	g.Expect(refusal).NotTo(gomega.BeNil())
	later := start.Add(600 * time.Millisecond)
	_, refusal = gate.Admit(later, crgate.Ask{Kind: readKind, Start: later.Add(500 * time.Millisecond)})
	g.Expect(refusal).To(gomega.BeNil())
}
