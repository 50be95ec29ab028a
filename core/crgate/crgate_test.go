package crgate_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
)

const start = crid.Instant(time.Hour)

func granted(t *crgate.Ticket) bool {
	select {
	case <-t.Decided():
		return t.Refusal() == nil
	default:
		return false
	}
}

func decided(t *crgate.Ticket) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

func admit(t *testing.T, g *crgate.Gate, priority int, patience time.Duration) *crgate.Ticket {
	t.Helper()
	ticket, refusal := g.Admit(start, crgate.Request{Priority: priority, LatestStart: start.Add(patience)})
	gomega.NewWithT(t).Expect(refusal).To(gomega.BeNil())
	return ticket
}

func TestRequestsGetSlotsInOrderOfUrgency(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(1)
	running := admit(t, gate, 1, time.Second)
	g.Expect(granted(running)).To(gomega.BeTrue())
	low := admit(t, gate, 2, 5*time.Second)
	high := admit(t, gate, 0, 5*time.Second)
	gate.Release(start.Add(100*time.Millisecond), running, 100*time.Millisecond)
	g.Expect(granted(high)).To(gomega.BeTrue())
	g.Expect(decided(low)).To(gomega.BeFalse())
	gate.Release(start.Add(200*time.Millisecond), high, 100*time.Millisecond)
	g.Expect(granted(low)).To(gomega.BeTrue())
}

// All slots hold requests of a second. A caller whose answer is worth something
// for 100 ms more would wait in vain; told at once, it can go to another target.
func TestWhatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(2)
	for range 20 {
		gate.Release(start, admit(t, gate, 0, time.Second), time.Second)
	}
	admit(t, gate, 1, time.Second)
	admit(t, gate, 1, time.Second)
	_, refusal := gate.Admit(start, crgate.Request{Priority: 1, LatestStart: start.Add(100 * time.Millisecond)})
	g.Expect(refusal).NotTo(gomega.BeNil())
	g.Expect(refusal.Reason()).To(gomega.Equal(crgate.ReasonFull))
	g.Expect(refusal.RetryAfter()).To(gomega.BeNumerically(">", 100*time.Millisecond))
}

// The queue is as long as the least urgent can bear when urgent requests come.
// These push the others out of reach; the others learn it at once, while there
// is time to go elsewhere, and not when their time is up.
func TestUrgentRequestsDisplaceOthersAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(1)
	for range 20 {
		gate.Release(start, admit(t, gate, 0, time.Second), 300*time.Millisecond)
	}
	admit(t, gate, 0, time.Second)
	low := admit(t, gate, 5, 400*time.Millisecond)
	for range 4 {
		admit(t, gate, 0, 5*time.Second)
	}
	g.Expect(decided(low)).To(gomega.BeTrue())
	g.Expect(low.Refusal().Reason()).To(gomega.Equal(crgate.ReasonDisplaced))
}

// The target hangs, so that no slot gets free and nothing happens. What waits
// must still be told when its time is up.
func TestWhatWaitsInVainIsRefusedBySweep(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(1)
	admit(t, gate, 1, time.Second)
	waits := admit(t, gate, 1, 500*time.Millisecond)
	gate.Sweep(start.Add(499 * time.Millisecond))
	g.Expect(decided(waits)).To(gomega.BeFalse())
	gate.Sweep(start.Add(501 * time.Millisecond))
	g.Expect(waits.Refusal().Reason()).To(gomega.Equal(crgate.ReasonFull))
}

// The process stood still while a request waited, and wakes up with a free slot
// after the caller has been told that the request did not run.
func TestNothingStartsAfterItsTime(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(1)
	running := admit(t, gate, 1, time.Second)
	waits := admit(t, gate, 1, 500*time.Millisecond)
	gate.Release(start.Add(3*time.Second), running, 0)
	g.Expect(granted(waits)).To(gomega.BeFalse())
	g.Expect(gate.Load().Running).To(gomega.BeZero())
}

// The target leaves. What waits would run on a target that is about to end.
func TestClosingRefusesWhatWaitsAndKeepsWhatRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(1)
	running := admit(t, gate, 1, time.Second)
	waits := admit(t, gate, 1, time.Second)
	gate.Close()
	g.Expect(waits.Refusal().Reason()).To(gomega.Equal(crgate.ReasonLeaving))
	g.Expect(gate.Idle()).To(gomega.BeFalse())
	gate.Release(start, running, 0)
	g.Expect(gate.Idle()).To(gomega.BeTrue())
	_, refusal := gate.Admit(start, crgate.Request{LatestStart: start.Add(time.Second)})
	g.Expect(refusal.Reason()).To(gomega.Equal(crgate.ReasonLeaving))
}

// An entry takes its offer back, or dies between offer and request. Its slot
// must be free again, and only once.
func TestCancelFreesTheSlotOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(1)
	first := admit(t, gate, 1, time.Second)
	gate.Cancel(start, first)
	gate.Cancel(start, first)
	gate.Release(start, first, time.Second)
	g.Expect(gate.Load().Running).To(gomega.BeZero())
	g.Expect(granted(admit(t, gate, 1, time.Second))).To(gomega.BeTrue())
}

// Requests come at 1.7 times what the target can do, one in five of them urgent.
// Callers of urgent ones must be served all the same, what is admitted must be
// served in its time, and the slots must not idle.
func TestOverloadServesTheUrgentAndKeepsTheSlotsBusy(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots, work, patience = 5, 300 * time.Millisecond, 700 * time.Millisecond
	gate := crgate.New(slots)
	type waiting struct {
		ticket *crgate.Ticket
		ends   crid.Instant
		urgent bool
	}
	var open []*waiting
	served, asked := map[bool]int{}, map[bool]int{}
	gap := work * 10 / (17 * slots)
	n := 0
	next := start
	for now := start; now < start.Add(time.Minute); now = now.Add(5 * time.Millisecond) {
		for next <= now {
			urgent := n%5 == 0
			n++
			asked[urgent]++
			priority := 2
			if urgent {
				priority = 0
			}
			if ticket, refusal := gate.Admit(now, crgate.Request{Priority: priority, LatestStart: now.Add(patience)}); refusal == nil {
				open = append(open, &waiting{ticket: ticket, urgent: urgent})
			}
			next = next.Add(gap)
		}
		var kept []*waiting
		for _, w := range open {
			switch {
			case w.ends == 0 && granted(w.ticket):
				w.ends = now.Add(work)
				kept = append(kept, w)
			case w.ends == 0 && decided(w.ticket):
			case w.ends != 0 && now >= w.ends:
				gate.Release(now, w.ticket, work)
				served[w.urgent]++
			default:
				kept = append(kept, w)
			}
		}
		open = kept
	}
	g.Expect(float64(served[true])/float64(asked[true])).To(gomega.BeNumerically(">", 0.98), "urgent")
	capacity := slots * float64(time.Minute) / float64(work)
	g.Expect(float64(served[true]+served[false])/capacity).To(gomega.BeNumerically(">", 0.93), "use of the slots")
}
