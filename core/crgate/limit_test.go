package crgate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
)

// Guards against a target in need that gets all that waits for it, and against urgent requests that wait behind others for its few places.
func TestLimitedTargetServesTheUrgentWithinItsLimit(t *testing.T) {
	const (
		limit   = 3.0
		highest = 1.5*limit*4 + 5 // in four seconds
		service = 200 * time.Millisecond
	)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 4)) //nolint:gosec // a test must be reproducible
		gate := crgate.New(5)
		gate.AnnounceLimit(start, limit)
		type pending struct {
			ticket *crgate.Ticket
			urgent bool
			ends   crid.Instant
		}
		var open []pending
		var sent []crid.Instant
		urgent, urgentSent := 0, 0
		for now := start; now < start.Add(20*time.Second); now = now.Add(10 * time.Millisecond) {
			isUrgent := now.Sub(start)%time.Second == 500*time.Millisecond
			if isUrgent || rng.Float64() < 0.2 { // 20 a second that are less urgent
				req := crgate.Request{Priority: 2, LatestStart: now.Add(800 * time.Millisecond)}
				if isUrgent {
					urgent++
					req.Priority = 0
				}
				if ticket, refusal := gate.Admit(now, req); refusal == nil {
					open = append(open, pending{ticket: ticket, urgent: isUrgent})
				}
			}
			gate.Sweep(now)
			var kept []pending
			for _, p := range open {
				switch {
				case p.ends == 0 && granted(p.ticket):
					if !gate.Send(now, start, p.ticket) {
						t.Fatal("a granted request is not sent")
					}
					p.ends = now.Add(service)
					sent = append(sent, now)
					if p.urgent {
						urgentSent++
					}
				case p.ends != 0 && now >= p.ends:
					gate.Release(now, p.ticket, service)
					continue
				case p.ends == 0 && decided(p.ticket):
					continue
				}
				kept = append(kept, p)
			}
			open = kept
		}
		g := gomega.NewWithT(t)
		for i, at := range sent {
			n := 0
			for _, later := range sent[i:] {
				if later.Sub(at) < 4*time.Second {
					n++
				}
			}
			g.Expect(float64(n)).To(gomega.BeNumerically("<=", highest), "seed %d", seed)
		}
		g.Expect(len(sent)).To(gomega.BeNumerically(">=", 0.8*limit*20), "seed %d", seed)
		g.Expect(urgentSent).To(gomega.Equal(urgent), "seed %d", seed)
	}
}

// Guards against requests that wait for a place at a limited target until their time is up, while other targets could serve them.
func TestLimitedTargetRefusesAtOnceWhatItCannotServeInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := crgate.New(5)
	gate.AnnounceLimit(start, 2)
	_, refusal := gate.Admit(start, crgate.Request{LatestStart: start.Add(400 * time.Millisecond)})
	g.Expect(refusal).NotTo(gomega.BeNil())
	g.Expect(refusal.RetryAfter()).To(gomega.Equal(500 * time.Millisecond))
	_, refusal = gate.Admit(start, crgate.Request{LatestStart: start.Add(time.Minute), FreeSlot: true})
	g.Expect(refusal.Reason()).To(gomega.Equal(crgate.ReasonBusy))
	g.Expect(gate.Load(start).Delayed).To(gomega.BeTrue())
	gate.AnnounceLimit(start, 0)
	ticket, refusal := gate.Admit(start, crgate.Request{LatestStart: start, FreeSlot: true})
	g.Expect(refusal).To(gomega.BeNil())
	g.Expect(granted(ticket)).To(gomega.BeTrue())
}
