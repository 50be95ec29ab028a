package craccount

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"camphorroad/core/crid"
)

// An account near its full burst spends tokens, and the owner receives the report 100 ms later.
// Without credit for that time the account is refused within its burst at the next surge. If the time
// is credited for two reports or for a repeated one, or includes a lease gap, it gets too much.
func TestReportDelayIsCreditedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		mutations   mutations
		age         int // of the reports, in milliseconds
		until       int // end of the first list's lease in ms; the report arrives at 4100
		first, both float64
	}{
		"in time":         {mutations{}, 100, 60000, 9.75, 9.75},
		"no age":          {mutations{}, 0, 60000, 0, 0},
		"lease had a gap": {mutations{}, 100, 4050, 4, 4},
		"counted twice":   {mutations{creditTwice: true}, 100, 60000, 9.75, 19.5},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := newTestState("o", c.mutations)
			o.giveLease(1, 1, c.until, "o")
			one, two := o.request(ms(4000), 10), o.request(ms(4000), 10)
			if c.until < 4100 {
				o.advance(ms(4060))
				o.giveLease(1, 4060, 60000, "o")
			}
			report := func(at crid.Instant, item GrantItem) float64 {
				usage := spentUsage(item, 10)
				usage.Spent = []SpentTokens{{Count: 10, AgeMillis: c.age}}
				for range 2 {
					o.advance(at)
					o.applyUsage("e", []GrantUsage{usage})
				}
				return o.owner.shares[shareKey{acct, 0}].balance
			}
			g.Expect(report(ms(4100), one)).To(BeNumerically("~", c.first, 0.01))
			g.Expect(report(ms(4100), two)).To(BeNumerically("~", c.both, 0.01))
			usage := spentUsage(o.request(ms(4100), 1), 1)
			usage.Spent = []SpentTokens{{Count: 5, AgeMillis: 1000}}
			before := o.owner.shares[shareKey{acct, 0}].balance
			o.applyUsage("e", []GrantUsage{usage})
			g.Expect(o.owner.shares[shareKey{acct, 0}].balance).To(Equal(before), "more ages than tokens")
		})
	}
}

// A request that is paused between its clock reading and the spend makes the token seem older than
// it is. The reported age therefore allows for the longest pause of an admitted request.
func TestSpentAgeAllowsForPausedRequest(t *testing.T) {
	g := NewWithT(t)
	p := poolWith(9, neverExpires)
	for _, at := range []int{40, 60, 50} {
		p.Take(acct, ms(at))
	}
	usage := p.Drain(ms(100))
	g.Expect(usage).To(HaveLen(1))
	g.Expect(usage[0].LastSpentAt).To(Equal(ms(60)))
	e := newTestState("e", mutations{})
	e.now = ms(160)
	held := &heldGrant{spends: []spend{{3, ms(60)}, {1, ms(140)}}}
	g.Expect(e.spentAges(held)).To(Equal([]SpentTokens{{Count: 3, AgeMillis: int((100*time.Millisecond - maxClockAge).Milliseconds())}}))
	g.Expect(held.spends).To(BeEmpty())
}
