package crgate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
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
			ticket, _ := gate.Admit(start, crgate.Request{Kind: kind, LatestStart: start.Add(time.Hour)})
			gate.Release(start, ticket, took)
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

// Requests that have run for most of their time are about to leave their slots. One
// that just came must not be told that it would wait as long as behind fresh ones.
func TestWhatRunsIsReckonedWithByWhatIsLeftOfIt(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(2)
	teach(gate, map[crpace.Kind]time.Duration{readKind: time.Second})
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

// coming is a request of the load below.
type coming struct {
	at   crid.Instant
	call bool
	took time.Duration
}

// load draws reads of more than a second, more than five slots can do, and four calls
// a second among them.
func load(rng *rand.Rand, span time.Duration) []coming {
	var out []coming
	for at := start; at < start.Add(span); at = at.Add(10 * time.Millisecond) {
		if rng.Float64() < 0.045 {
			out = append(out, coming{at: at, took: time.Duration(float64(1150*time.Millisecond) * math.Exp(0.5*rng.NormFloat64()))})
		}
		if rng.Float64() < 0.04 {
			out = append(out, coming{at: at, call: true, took: time.Duration(float64(115*time.Millisecond) * math.Exp(0.5*rng.NormFloat64()))})
		}
	}
	return out
}

// A target is full of reads of more than a second, a fifth more than it can do, and
// requests at other targets call it for a tenth of a second each. Their own callers
// wait two seconds. If the calls wait in line behind the reads, they come too late,
// and each takes a request with it that had done half a second of work; going first,
// all of them are in time and the reads lose next to nothing.
func TestCallsAreServedInTimeAtAFullTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	const parentLeft, readObjective, readLeft = 2 * time.Second, 3 * time.Second, 6 * time.Second
	gate := crgate.New(5)
	teach(gate, map[crpace.Kind]time.Duration{callKind: 130 * time.Millisecond, readKind: 1300 * time.Millisecond})
	type open struct {
		coming
		ticket *crgate.Ticket
		began  crid.Instant
	}
	var waiting, running []*open
	asked, inTime := map[bool]int{}, map[bool]int{}
	callWork := time.Duration(0)
	list := load(rand.New(rand.NewPCG(4, 5)), time.Minute)
	for now := start; now < start.Add(70*time.Second); now = now.Add(5 * time.Millisecond) {
		for len(list) > 0 && list[0].at <= now {
			c := list[0]
			list = list[1:]
			asked[c.call]++
			terms := crgate.Timing{Kind: readKind, Objective: readObjective, TimeLeft: readLeft}
			if c.call {
				callWork += c.took
				terms = crgate.Timing{Kind: callKind, Nested: true, Objective: 500 * time.Millisecond, TimeLeft: parentLeft}
			}
			ticket, refusal := gate.Admit(now, crgate.Request{Kind: terms.Kind, Nested: c.call, Priority: 2, LatestStart: gate.LatestStart(now, terms)})
			if refusal == nil {
				waiting = append(waiting, &open{coming: c, ticket: ticket})
			}
		}
		rest := waiting[:0]
		for _, o := range waiting {
			switch {
			case granted(o.ticket):
				o.began = now
				running = append(running, o)
			case !decided(o.ticket):
				rest = append(rest, o)
			}
		}
		waiting = rest
		still := running[:0]
		for _, o := range running {
			if now.Sub(o.began) < o.took {
				still = append(still, o)
				continue
			}
			gate.Release(now, o.ticket, o.took)
			limit := readObjective
			if o.call {
				limit = parentLeft
			}
			if now.Sub(o.at) <= limit {
				inTime[o.call]++
			}
		}
		running = still
		gate.Sweep(now)
	}
	g.Expect(inTime[true]).To(gomega.BeNumerically(">=", asked[true]*98/100), "calls in the time of their parents")
	possible := float64(5*time.Minute-callWork) / float64(1300*time.Millisecond)
	g.Expect(float64(inTime[false])).To(gomega.BeNumerically(">=", 0.8*possible), "reads in time, of those that the slots can do")
}

// A caller asks why it was refused. The answer is in the wait that was expected and
// in the time that the request had.
func TestARefusalTellsWhatDecidedIt(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(1)
	teach(gate, map[crpace.Kind]time.Duration{readKind: time.Second})
	_, refusal := gate.Admit(start, crgate.Request{Kind: readKind, LatestStart: start})
	g.Expect(refusal).To(gomega.BeNil())
	_, refusal = gate.Admit(start, crgate.Request{Kind: readKind, LatestStart: start.Add(300 * time.Millisecond)})
	g.Expect(refusal.Reason()).To(gomega.Equal(crgate.ReasonFull))
	g.Expect(refusal.Wait()).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
	g.Expect(refusal.MaxWait()).To(gomega.Equal(300 * time.Millisecond))
}
