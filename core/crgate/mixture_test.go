package crgate_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crpace"
	"camphorroad/core/crpolicy"
)

var (
	nestedKind = crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 500 * time.Millisecond}
	readKind   = crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 3 * time.Second}
	orderKind  = crpace.Kind{Class: crpolicy.ClassOnce, Objective: 2 * time.Second}
)

// addServiceTimes adds 50 service times of each kind to a gate.
func addServiceTimes(gate *crgate.Gate, times map[crpace.Kind]time.Duration) {
	for kind, took := range times {
		for range 50 {
			ticket, _ := gate.Admit(start, crgate.Request{Kind: kind, LatestStart: start.Add(time.Hour)})
			gate.Release(start, ticket, took)
		}
	}
}

// All slots are taken, nothing waits, and service times vary, as some orders end
// at once. Refused with two seconds left, an order could fail at another target.
func TestBusyTargetWithoutQueueAdmitsOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(5)
	addServiceTimes(gate, map[crpace.Kind]time.Duration{nestedKind: 130 * time.Millisecond, readKind: 1300 * time.Millisecond})
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		took := time.Duration(float64(510*time.Millisecond) * math.Exp(0.5*rng.NormFloat64()))
		if rng.Float64() < 0.15 {
			took = time.Millisecond
		}
		ticket, _ := gate.Admit(start, crgate.Request{Kind: orderKind, LatestStart: start.Add(time.Hour)})
		gate.Release(start, ticket, took)
	}
	for range 5 {
		_, refusal := gate.Admit(start, crgate.Request{Kind: orderKind, LatestStart: start.Add(time.Second)})
		g.Expect(refusal).To(gomega.BeNil())
	}
	latest := gate.LatestStart(start, crgate.Timing{Kind: orderKind, Objective: 2 * time.Second, TimeLeft: 3 * time.Second})
	g.Expect(latest.Sub(start)).To(gomega.BeNumerically(">", time.Second))
	_, refusal := gate.Admit(start, crgate.Request{Kind: orderKind, Priority: 1, LatestStart: latest})
	g.Expect(refusal).To(gomega.BeNil())
}

// Requests that have run for most of their time will free their slots soon. The
// estimate for a new request must not count their whole service time.
func TestEstimateCountsRemainingTimeOfRunning(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(2)
	addServiceTimes(gate, map[crpace.Kind]time.Duration{readKind: time.Second})
	for range 2 {
		_, refusal := gate.Admit(start, crgate.Request{Kind: readKind, LatestStart: start})
		g.Expect(refusal).To(gomega.BeNil())
	}
	_, refusal := gate.Admit(start, crgate.Request{Kind: readKind, LatestStart: start.Add(500 * time.Millisecond)})
	g.Expect(refusal).NotTo(gomega.BeNil())
	later := start.Add(600 * time.Millisecond)
	_, refusal = gate.Admit(later, crgate.Request{Kind: readKind, LatestStart: later.Add(500 * time.Millisecond)})
	g.Expect(refusal).To(gomega.BeNil())
}

// arrival is a request of drawLoad.
type arrival struct {
	at     crid.Instant
	nested bool
	took   time.Duration
}

// drawLoad draws reads of more than a second, at a higher rate than five slots
// can serve, and four short nested requests a second.
func drawLoad(rng *rand.Rand, span time.Duration) []arrival {
	var out []arrival
	for at := start; at < start.Add(span); at = at.Add(10 * time.Millisecond) {
		if rng.Float64() < 0.045 {
			out = append(out, arrival{at: at, took: time.Duration(float64(1150*time.Millisecond) * math.Exp(0.5*rng.NormFloat64()))})
		}
		if rng.Float64() < 0.04 {
			out = append(out, arrival{at: at, nested: true, took: time.Duration(float64(115*time.Millisecond) * math.Exp(0.5*rng.NormFloat64()))})
		}
	}
	return out
}

// Behind a fifth more long reads than a target can serve, short nested requests
// would waste their parents' work. Served first, they must hardly delay the reads.
func TestNestedRequestsServedInTimeAtFullTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	const parentLeft, readObjective, readLeft = 2 * time.Second, 3 * time.Second, 6 * time.Second
	gate := crgate.New(5)
	addServiceTimes(gate, map[crpace.Kind]time.Duration{nestedKind: 130 * time.Millisecond, readKind: 1300 * time.Millisecond})
	type open struct {
		arrival
		ticket    *crgate.Ticket
		startedAt crid.Instant
	}
	var waiting, running []*open
	arrived, inTime := map[bool]int{}, map[bool]int{}
	nestedWork := time.Duration(0)
	arrivals := drawLoad(rand.New(rand.NewPCG(4, 5)), time.Minute)
	for now := start; now < start.Add(70*time.Second); now = now.Add(5 * time.Millisecond) {
		for len(arrivals) > 0 && arrivals[0].at <= now {
			next := arrivals[0]
			arrivals = arrivals[1:]
			arrived[next.nested]++
			timing := crgate.Timing{Kind: readKind, Objective: readObjective, TimeLeft: readLeft}
			if next.nested {
				nestedWork += next.took
				timing = crgate.Timing{Kind: nestedKind, Nested: true, Objective: 500 * time.Millisecond, TimeLeft: parentLeft}
			}
			ticket, refusal := gate.Admit(now, crgate.Request{Kind: timing.Kind, Nested: next.nested, Priority: 2, LatestStart: gate.LatestStart(now, timing)})
			if refusal == nil {
				waiting = append(waiting, &open{arrival: next, ticket: ticket})
			}
		}
		stillWaiting := waiting[:0]
		for _, o := range waiting {
			switch {
			case granted(o.ticket):
				o.startedAt = now
				running = append(running, o)
			case !decided(o.ticket):
				stillWaiting = append(stillWaiting, o)
			}
		}
		waiting = stillWaiting
		stillRunning := running[:0]
		for _, o := range running {
			if now.Sub(o.startedAt) < o.took {
				stillRunning = append(stillRunning, o)
				continue
			}
			gate.Release(now, o.ticket, o.took)
			limit := readObjective
			if o.nested {
				limit = parentLeft
			}
			if now.Sub(o.at) <= limit {
				inTime[o.nested]++
			}
		}
		running = stillRunning
		gate.Sweep(now)
	}
	g.Expect(inTime[true]).To(gomega.BeNumerically(">=", arrived[true]*98/100), "nested requests within the time of their parents")
	capacity := float64(5*time.Minute-nestedWork) / float64(1300*time.Millisecond)
	g.Expect(float64(inTime[false])).To(gomega.BeNumerically(">=", 0.8*capacity), "reads in time, of those that the slots can do")
}

// A refusal must carry the estimated wait and the longest wait that was
// acceptable, so that an operator can explain it.
func TestRefusalHasEstimatedWaitAndMaxWait(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(1)
	addServiceTimes(gate, map[crpace.Kind]time.Duration{readKind: time.Second})
	_, refusal := gate.Admit(start, crgate.Request{Kind: readKind, LatestStart: start})
	g.Expect(refusal).To(gomega.BeNil())
	_, refusal = gate.Admit(start, crgate.Request{Kind: readKind, LatestStart: start.Add(300 * time.Millisecond)})
	g.Expect(refusal.Reason()).To(gomega.Equal(crgate.ReasonFull))
	g.Expect(refusal.EstimatedWait()).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
	g.Expect(refusal.MaxWait()).To(gomega.Equal(300 * time.Millisecond))
}

// Guards against urgent requests that wait behind calls of unimportant ones until they are late.
func TestUrgentRequestsOvertakeCallsOfLessUrgentOnes(t *testing.T) {
	const urgentObjective, urgentTime, callTime = 300 * time.Millisecond, 95 * time.Millisecond, 33 * time.Millisecond
	urgentKind := crpace.Kind{Class: crpolicy.ClassOnce, Objective: urgentObjective}
	callKind := crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 120 * time.Millisecond}
	for _, callerPriority := range []int{2, 0} {
		g := gomega.NewWithT(t)
		gate := crgate.New(5)
		addServiceTimes(gate, map[crpace.Kind]time.Duration{urgentKind: urgentTime, callKind: callTime})
		type open struct {
			ticket *crgate.Ticket
			urgent bool
			at     crid.Instant
			endsAt crid.Instant
		}
		var list []*open
		arrived, inTime := map[bool]int{}, map[bool]int{}
		for ms := range 10_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, o := range list {
				if o.endsAt != 0 && o.endsAt <= now {
					took := callTime
					if o.urgent {
						took = urgentTime
					}
					gate.Release(now, o.ticket, took)
					if !o.urgent || now.Sub(o.at) <= urgentObjective {
						inTime[o.urgent]++
					}
				}
			}
			list = slices.DeleteFunc(list, func(o *open) bool {
				return (o.endsAt != 0 && o.endsAt <= now) || (decided(o.ticket) && !granted(o.ticket))
			})
			for _, urgent := range []bool{true, false} {
				every, timing, priority := 4, crgate.Timing{Kind: callKind, Nested: true, Objective: 120 * time.Millisecond, TimeLeft: 300 * time.Millisecond}, callerPriority
				if urgent {
					every, timing, priority = 95, crgate.Timing{Kind: urgentKind, Objective: urgentObjective, TimeLeft: 1200 * time.Millisecond}, 0
				}
				if ms%every != 0 {
					continue
				}
				arrived[urgent]++
				ticket, refusal := gate.Admit(now, crgate.Request{Kind: timing.Kind, Nested: timing.Nested, Priority: priority, LatestStart: gate.LatestStart(now, timing)})
				if refusal == nil {
					list = append(list, &open{ticket: ticket, urgent: urgent, at: now})
				}
			}
			for _, o := range list {
				if o.endsAt == 0 && granted(o.ticket) {
					o.endsAt = now.Add(callTime)
					if o.urgent {
						o.endsAt = now.Add(urgentTime)
					}
				}
			}
		}
		if callerPriority > 0 {
			g.Expect(inTime[true]).To(gomega.BeNumerically(">=", arrived[true]*95/100))
		} else {
			g.Expect(inTime[true]).To(gomega.BeNumerically("<", arrived[true]/2), "calls of equally urgent requests go first")
		}
		g.Expect(inTime[false]).To(gomega.BeNumerically(">=", arrived[false]*4/10))
	}
}
