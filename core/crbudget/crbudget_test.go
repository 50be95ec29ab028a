package crbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
)

const start = crid.Instant(time.Hour)

// settled is the start of a daemon that has run for a while.
var settled = crbudget.Start{At: start.Add(-time.Minute)}

func retry(s crid.Service, fleetSize int) crbudget.Retry {
	return crbudget.Retry{Service: s, Priority: 1, FleetSize: fleetSize, Cost: 1}
}

var params = crbudget.Params{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// All targets of a service fail every request. If each daemon retried without a limit, the targets
// would get twice the load when they are least able to serve it.
func TestFleetStaysWithinBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const daemons, perSecond, seconds = 22, 5, 60
	retries := make([]int, seconds)
	for range daemons {
		b := crbudget.New(params, settled)
		for s := range seconds {
			for i := range perSecond {
				now := start.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/perSecond)
				b.RecordRequest(now, "booking")
				if b.Spend(now, retry("booking", daemons)) {
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
	b := crbudget.New(params, settled)
	for range 100 {
		b.RecordRequest(start, "ledger")
	}
	b.Charge(start, "ledger", 17)
	g.Expect(b.Spend(start, retry("ledger", 100))).To(gomega.BeFalse())
	b.Refund(start, crbudget.Retry{Service: "ledger", Cost: 10})
	g.Expect(b.Spend(start, retry("ledger", 100))).To(gomega.BeTrue())
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(crbudget.Params{Ratio: 0.2, Slack: 2, Window: time.Second}, settled)
	g.Expect(b.Spend(start, retry("a", 1))).To(gomega.BeTrue())
	g.Expect(b.Spend(start, retry("a", 1))).To(gomega.BeFalse())
	g.Expect(b.Spend(start, retry("b", 1))).To(gomega.BeTrue())
	g.Expect(b.Spend(start.Add(1100*time.Millisecond), retry("a", 1))).To(gomega.BeTrue())
}

// Affords must not spend from the budget.
func TestAffordsSpendsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(crbudget.Params{Ratio: 0, Slack: 10, Window: 10 * time.Second}, settled)
	now := crid.Instant(time.Hour)
	for range 20 {
		g.Expect(b.Affords(now, retry("s", 1))).To(gomega.BeTrue())
	}
	spent := 0
	for b.Spend(now, retry("s", 1)) {
		spent++
	}
	g.Expect(spent).To(gomega.Equal(8))
	g.Expect(b.Affords(now, retry("s", 1))).To(gomega.BeFalse())
}

// When a request is not sent again, the log states whether the budget was used up, and by how much.
func TestBalanceReturnsSpentAndAllowed(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(params, settled)
	for range 100 {
		b.RecordRequest(start, "booking")
	}
	before, allowed := b.Balance(start, "booking", 1)
	g.Expect(before).To(gomega.BeZero())
	g.Expect(allowed).To(gomega.BeNumerically("~", 0.85*(0.2*100+56), 0.01))
	g.Expect(b.Spend(start, retry("booking", 1))).To(gomega.BeTrue())
	after, _ := b.Balance(start, "booking", 1)
	g.Expect(after).To(gomega.Equal(1.0))
}

// The state page shows what a daemon has spent of its part.
func TestUsageListsAllServices(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(params, settled)
	for range 100 {
		b.RecordRequest(start, "booking")
	}
	b.Charge(start, "booking", 0.5)
	g.Expect(b.Spend(start, retry("booking", 28))).To(gomega.BeTrue())
	b.RecordRequest(start, "account")
	usage := b.Usage(start, 28)
	g.Expect(usage).To(gomega.HaveLen(2))
	g.Expect(usage[0].Service).To(gomega.Equal(crid.Service("account")))
	g.Expect(usage[1]).To(gomega.And(
		gomega.HaveField("Requests", 100.0), gomega.HaveField("Spent", 1.5), gomega.HaveField("Charged", 0.5),
		gomega.HaveField("Allowed", gomega.BeNumerically("~", 18.6, 0.2)),
	))
}

// Guards against small parts of which a large fleet uses only half, and against exceeding the limit.
func TestLargeFleetUsesItsBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const daemons, seconds, perSecond = 353, 30, 3
	rng := rand.New(rand.NewPCG(1, 2))
	large := crbudget.Params{Ratio: 0.2, Slack: 630, Window: 10 * time.Second}
	requests, retries := make([]int, 10*seconds), make([]int, 10*seconds)
	for range daemons {
		b := crbudget.New(large, settled)
		for now := time.Duration(0); now < seconds*time.Second; now += time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond) {
			b.RecordRequest(start.Add(now), "booking")
			slot := int(now / (100 * time.Millisecond))
			requests[slot]++
			for rejected := rng.Float64() < 0.5; rejected && b.Spend(start.Add(now), retry("booking", daemons)); rejected = rng.Float64() < 0.5 {
				retries[slot]++
			}
		}
	}
	for from := 100; from+100 <= len(requests); from++ {
		limit := large.Ratio*float64(sum(requests[from:from+100])) + large.Slack
		g.Expect(float64(sum(retries[from : from+100]))).To(gomega.And(gomega.BeNumerically("<=", limit), gomega.BeNumerically(">=", 0.7*limit)))
	}
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Urgent requests need the budget. Less urgent ones must leave half of it to them.
func TestUrgentRetriesKeepTheirPartOfTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(crbudget.Params{Slack: 48, Window: 10 * time.Second}, settled)
	urgent, other := retry("s", 1), retry("s", 1)
	other.Priority = 2
	for range 15 {
		g.Expect(b.Spend(start, urgent)).To(gomega.BeTrue())
	}
	others := 0
	for b.Spend(start, other) {
		others++
	}
	g.Expect(others).To(gomega.Equal(10), "of 40, 15 are spent and 15 are kept")
	for range 15 {
		g.Expect(b.Spend(start, urgent)).To(gomega.BeTrue())
	}
	g.Expect(b.Spend(start, urgent)).To(gomega.BeFalse())
}

// Without urgent retries, others may use the whole budget.
func TestUnusedPartOfUrgentRetriesIsAvailable(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(crbudget.Params{Slack: 48, Window: 10 * time.Second}, settled)
	other := retry("s", 1)
	other.Priority = 2
	for range 40 {
		g.Expect(b.Spend(start, other)).To(gomega.BeTrue())
	}
	g.Expect(b.Spend(start, other)).To(gomega.BeFalse())
}

// Guards against retries whose nested calls exceed the limit of the service they call.
func TestCalledServiceKeepsAReserve(t *testing.T) {
	g := gomega.NewWithT(t)
	for calls, expected := range map[int]int{5: 36, 1: 48} {
		b := crbudget.New(crbudget.Params{Ratio: 0.2, Slack: 58.5, Window: 10 * time.Second}, settled)
		for i := range 10 {
			if i < calls {
				b.RecordCall(start, "s", 0)
			} else {
				b.RecordRequest(start, "s")
			}
		}
		n := 0
		for b.Spend(start, retry("s", 1)) {
			n++
		}
		g.Expect(n).To(gomega.Equal(expected), "%d calls of 10 requests", calls)
	}
}
