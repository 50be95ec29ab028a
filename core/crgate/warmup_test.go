package crgate_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crpace"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crwarmup"
)

const coldLimit = 20

// newColdGate returns a gate whose target is cold for two seconds.
func newColdGate(slots int) *crgate.Gate {
	gate := crgate.New(slots)
	gate.SetWarmup(crwarmup.Params{Limit: coldLimit, Duration: 3 * time.Second})
	gate.RecordCheck(start, start, 2*time.Second)
	return gate
}

// Guards against urgent requests that find the limit of a cold target used by others.
func TestColdTargetServesTheUrgentRequestsUpToItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newColdGate(5)
	kind := crpace.Kind{Class: crpolicy.ClassRepeat, Objective: 120 * time.Millisecond}
	type pending struct {
		ticket *crgate.Ticket
		urgent bool
		endsAt crid.Instant
	}
	var queued, running []pending
	offered, served := map[bool]int{}, map[bool]int{}
	for ms := range 2000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := 0; i < len(running); i++ {
			if running[i].endsAt <= now {
				gate.Release(now, running[i].ticket, 30*time.Millisecond)
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		if ms%12 == 0 {
			urgent := ms%96 == 0
			priority := 2
			if urgent {
				priority = 0
			}
			offered[urgent]++
			ticket, refusal := gate.Admit(now, crgate.Request{Kind: kind, Priority: priority, LatestStart: now.Add(300 * time.Millisecond)})
			if refusal == nil {
				queued = append(queued, pending{ticket: ticket, urgent: urgent})
			} else {
				g.Expect(refusal.RetryAfter()).To(gomega.BeNumerically(">", 0))
			}
		}
		gate.Sweep(now)
		for i := 0; i < len(queued); i++ {
			p := queued[i]
			if !decided(p.ticket) {
				continue
			}
			queued = append(queued[:i], queued[i+1:]...)
			i--
			if p.ticket.Refusal() == nil {
				g.Expect(gate.Send(now, start, p.ticket)).To(gomega.BeTrue())
				served[p.urgent]++
				p.endsAt = now.Add(30 * time.Millisecond)
				running = append(running, p)
			}
		}
	}
	g.Expect(served[true] + served[false]).To(gomega.BeNumerically("<=", 2*coldLimit))
	g.Expect(served[true]).To(gomega.BeNumerically(">=", offered[true]*9/10))
	g.Expect(served[false]).To(gomega.BeNumerically(">", 0))
}

func TestColdTargetHasNoFreeSlotAtItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newColdGate(50)
	var refusal *crgate.Refusal
	sent := 0
	for ; refusal == nil; sent++ {
		var ticket *crgate.Ticket
		if ticket, refusal = gate.Admit(start, crgate.Request{LatestStart: start.Add(time.Minute), FreeSlot: true}); refusal == nil {
			g.Expect(gate.Send(start, start, ticket)).To(gomega.BeTrue())
		}
	}
	g.Expect(sent).To(gomega.BeNumerically("<=", coldLimit))
	g.Expect(refusal.Reason()).To(gomega.Equal(crgate.ReasonBusy))
	g.Expect(refusal.RetryAfter()).To(gomega.BeNumerically(">", 0))
	g.Expect(gate.ColdFor(start)).To(gomega.Equal(2 * time.Second))
}

// Guards against entries that send a cold target as many requests as a warm one.
func TestColdTargetReportsFewerSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newColdGate(5)
	for n := range 20 {
		now := start.Add(time.Duration(n-20) * 100 * time.Millisecond)
		ticket, refusal := gate.Admit(now, crgate.Request{LatestStart: now})
		g.Expect(refusal).To(gomega.BeNil())
		gate.Release(now, ticket, 50*time.Millisecond)
	}
	g.Expect(gate.Load(start).Slots).To(gomega.Equal(1))
	g.Expect(gate.Load(start.Add(2 * time.Second)).Slots).To(gomega.Equal(5))
}

// Guards against places of the limit that are lost with requests that were never sent.
func TestRequestsThatAreNotSentTakeNoPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newColdGate(5)
	for n := range 3 * coldLimit {
		now := start.Add(time.Duration(n) * 60 * time.Millisecond)
		ticket, refusal := gate.Admit(now, crgate.Request{LatestStart: now})
		g.Expect(refusal).To(gomega.BeNil())
		gate.Cancel(now, ticket)
	}
}
