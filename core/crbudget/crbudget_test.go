package crbudget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
)

const start = crid.Instant(time.Hour)

var params = crbudget.Params{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// All targets of a service fail every request. If each daemon retried without a limit, the targets
// would get twice the load when they are least able to serve it.
func TestFleetStaysWithinBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const daemons, perSecond, seconds = 22, 5, 60
	retries := make([]int, seconds)
	for range daemons {
		b := crbudget.New(params)
		for s := range seconds {
			for i := range perSecond {
				now := start.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/perSecond)
				b.RecordRequest(now, "booking")
				if b.Spend(now, "booking", daemons, 1) {
					retries[s]++
				}
			}
		}
	}
	for s := 10; s < seconds; s++ {
		sum := 0
		for _, n := range retries[s-10 : s] {
			sum += n
		}
		g.Expect(float64(sum)).To(gomega.BeNumerically("<=", params.Ratio*daemons*perSecond*10+params.Slack))
		g.Expect(sum).To(gomega.BeNumerically(">", 100))
	}
}

// A request that runs again makes its calls again. These count at the service called, and leave
// less for its own retries.
func TestCallsOfRetriedRequestsAreCharged(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(params)
	for range 100 {
		b.RecordRequest(start, "ledger")
	}
	b.Charge(start, "ledger", 17)
	g.Expect(b.Spend(start, "ledger", 100, 1)).To(gomega.BeFalse())
	b.Refund(start, "ledger", 10)
	g.Expect(b.Spend(start, "ledger", 100, 1)).To(gomega.BeTrue())
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(crbudget.Params{Ratio: 0.2, Slack: 2, Window: time.Second})
	g.Expect(b.Spend(start, "a", 1, 1)).To(gomega.BeTrue())
	g.Expect(b.Spend(start, "a", 1, 1)).To(gomega.BeFalse())
	g.Expect(b.Spend(start, "b", 1, 1)).To(gomega.BeTrue())
	g.Expect(b.Spend(start.Add(1100*time.Millisecond), "a", 1, 1)).To(gomega.BeTrue())
}

// Affords must not spend from the budget.
func TestAffordsSpendsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(crbudget.Params{Ratio: 0, Slack: 10, Window: 10 * time.Second})
	now := crid.Instant(time.Hour)
	for range 20 {
		g.Expect(b.Affords(now, "s", 1, 1)).To(gomega.BeTrue())
	}
	spent := 0
	for b.Spend(now, "s", 1, 1) {
		spent++
	}
	g.Expect(spent).To(gomega.Equal(6))
	g.Expect(b.Affords(now, "s", 1, 1)).To(gomega.BeFalse())
}

// When a request is not sent again, the log states whether the budget was used up, and by how much.
func TestBalanceReturnsSpentAndAllowed(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(params)
	for range 100 {
		b.RecordRequest(start, "booking")
	}
	before, allowed := b.Balance(start, "booking", 1)
	g.Expect(before).To(gomega.BeZero())
	g.Expect(allowed).To(gomega.BeNumerically("~", 0.6*(0.2*100+56), 0.01))
	g.Expect(b.Spend(start, "booking", 1, 1)).To(gomega.BeTrue())
	after, _ := b.Balance(start, "booking", 1)
	g.Expect(after).To(gomega.Equal(1.0))
}
