package craccount

import (
	"testing"

	. "github.com/onsi/gomega"

	"camphorroad/core/crevent"
)

// In a rolling replacement the next daemon stops once the last one is ready. If a process were ready
// before it refills, several daemons' shares would be unavailable at once, and callers would be
// refused within their rate.
func TestRefillsAllSharesAgreesWithGrants(t *testing.T) {
	g := NewWithT(t)
	r := newTestState("a", mutations{})
	g.Expect(r.RefillsAllShares()).To(BeFalse(), "without a lease")
	r.giveLease(1, 10, 4000, "a")
	for at := 100; at < 3000; at += 50 {
		r.Step(crevent.Tick{Now: ms(at)})
		ready := r.RefillsAllShares()
		refilled := r.request(ms(at), 1).Tokens > 0
		g.Expect(refilled && !ready).To(BeFalse(), "refilled at %d ms but was not ready", at)
		if ready {
			r.Step(crevent.Tick{Now: ms(at + 40)})
			g.Expect(refilled || r.request(ms(at+40), 1).Tokens > 0).To(BeTrue(), "ready at %d ms but did not refill", at)
		}
	}
	g.Expect(r.RefillsAllShares()).To(BeTrue())

	r.Step(crevent.Tick{Now: ms(9000)})
	g.Expect(r.RefillsAllShares()).To(BeFalse(), "the lease has expired")
	r.giveLease(1, 9000, 20000, "a")
	r.Step(crevent.Tick{Now: ms(10000)})
	g.Expect(r.RefillsAllShares()).To(BeFalse(), "after a gap it waits again")
}
