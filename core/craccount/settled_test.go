package craccount

import (
	"testing"

	. "github.com/onsi/gomega"

	"camphorroad/core/crevent"
)

// In a rolling replacement the next daemon is stopped once the last one calls
// itself ready. If that came before the new process mints, the shares of several
// daemons were missing at one time, and callers were refused inside their rate.
func TestADaemonIsSettledOnlyOnceItMints(t *testing.T) {
	g := NewWithT(t)
	r := newTestState("a", mutations{})
	g.Expect(r.RefillsAllShares()).To(BeFalse(), "without tenure")
	r.giveLease(1, 10, 4000, "a")
	for at := 100; at < 3000; at += 50 {
		r.Step(crevent.Tick{Now: ms(at)})
		before := r.RefillsAllShares()
		minted := r.request(ms(at), 1).Tokens > 0
		g.Expect(minted && !before).To(BeFalse(), "minted at %d ms and was not settled", at)
		if before {
			r.Step(crevent.Tick{Now: ms(at + 40)})
			g.Expect(minted || r.request(ms(at+40), 1).Tokens > 0).To(BeTrue(), "settled at %d ms and did not mint", at)
		}
	}
	g.Expect(r.RefillsAllShares()).To(BeTrue())

	r.Step(crevent.Tick{Now: ms(9000)})
	g.Expect(r.RefillsAllShares()).To(BeFalse(), "the tenure has ended")
	r.giveLease(1, 9000, 20000, "a")
	r.Step(crevent.Tick{Now: ms(10000)})
	g.Expect(r.RefillsAllShares()).To(BeFalse(), "after a gap it waits anew")
}
