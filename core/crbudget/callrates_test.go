package crbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crbudget"
)

func TestCallRatesFollowTheRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	r := crbudget.NewCallRates()
	record := func(runs int, callsPerRun float64) {
		calls := 0.0
		for range runs {
			r.RecordRun()
			for calls += callsPerRun; calls >= 1; calls-- {
				r.RecordCall("desk")
			}
		}
	}
	g.Expect(r.Report(start)).To(gomega.Equal(crbudget.CallReport{}))
	record(110, 1.4)
	report := r.Report(start)
	g.Expect(report.Runs).To(gomega.BeNumerically(">", 50))
	g.Expect(report.Calls).To(gomega.HaveLen(1))
	g.Expect(report.Calls[0].PerRun).To(gomega.BeNumerically("~", 1.4, 0.1))
	record(1000, 0)
	g.Expect(r.Report(start).Calls).To(gomega.BeEmpty())
}

func TestRetryNeedsTheBudgetsOfAllServices(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(crbudget.Params{Ratio: 0.2, Window: 10 * time.Second}, settled)
	for range 100 {
		b.RecordRequest(start, "book")
	}
	for range 20 {
		b.RecordRequest(start, "desk")
	}
	book := crbudget.Retry{Service: "book", FleetSize: 1, Cost: 1}
	desk := crbudget.Retry{Service: "desk", FleetSize: 1, Cost: 1.4}
	g.Expect(b.Spend(start, book, desk)).To(gomega.BeTrue())
	g.Expect(b.Spend(start, book, desk)).To(gomega.BeTrue())
	g.Expect(b.Affords(start, book, desk)).To(gomega.BeFalse())
	g.Expect(b.Spend(start, book, desk)).To(gomega.BeFalse())
	spent, _ := b.Balance(start, "book", 1)
	g.Expect(spent).To(gomega.Equal(2.0), "nothing is taken for a retry that is not sent")
	g.Expect(b.Spend(start, book)).To(gomega.BeTrue())
	b.Refund(start, book, desk)
	spent, _ = b.Balance(start, "desk", 1)
	g.Expect(spent).To(gomega.BeNumerically("~", 1.4, 0.001))
}

// Guards against retries of a service that take a service which it calls over its budget.
func TestCalledServiceStaysWithinItsBudget(t *testing.T) {
	const (
		daemons = 40
		looks   = 240 // a second
		holds   = 200 // a second, which make no calls and are not retried
		slack   = 80
		length  = 30 * time.Second
		step    = 5 * time.Millisecond
		window  = 10 * time.Second
	)
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // a test must be reproducible
		own, pooled := crbudget.Split(crbudget.Params{Ratio: 0.2, Slack: slack, Window: window})
		pool := crbudget.NewPool(pooled)
		entries := make([]*crbudget.Budget, daemons)
		rates, costs := make([]*crbudget.CallRates, daemons), make([]*crbudget.CallCosts, daemons)
		for i := range entries {
			entries[i], rates[i], costs[i] = crbudget.New(own, settled), crbudget.NewCallRates(), crbudget.NewCallCosts()
		}
		requests, repeats := make([]int, length/step), make([]int, length/step)
		retried := 0
		for n := range requests {
			now := start.Add(time.Duration(n) * step)
			rejecting := now.Sub(start) > 8*time.Second && now.Sub(start) < 16*time.Second
			run := func(repeat, charged bool) crbudget.CallReport {
				target := rng.IntN(daemons)
				rates[target].RecordRun()
				for range 2 {
					if rng.Float64() >= 0.7 {
						continue
					}
					rates[target].RecordCall("desk")
					recordCall(entries[target], now, repeat, charged)
					if repeat {
						repeats[n]++
					} else {
						requests[n]++
					}
					retry := crbudget.Retry{Service: "desk", Priority: 2, FleetSize: daemons, Cost: 1}
					if rejecting && (entries[target].Spend(now, retry) || pool.Take(now, "desk", owned)) {
						repeats[n]++
					}
				}
				return rates[target].Report(now)
			}
			if rng.Float64() < holds*step.Seconds() {
				entries[rng.IntN(daemons)].RecordRequest(now, "book")
			}
			for range 2 {
				if rng.Float64() >= looks*step.Seconds()/2 {
					continue
				}
				entry := rng.IntN(daemons)
				entries[entry].RecordRequest(now, "book")
				report := run(false, true)
				if !rejecting && rng.Float64() < 0.5 {
					continue
				}
				cost := []crbudget.Retry{{Service: "book", Priority: 2, FleetSize: daemons, Cost: 1}}
				costs[entry].Record("book", report)
				for _, c := range costs[entry].Estimate("book", report.Failed) {
					cost = append(cost, crbudget.Retry{Service: c.Service, Priority: 2, FleetSize: daemons, Cost: c.PerRun})
				}
				if entries[entry].Spend(now, cost...) {
					retried++
					run(true, len(cost) > 1)
				}
			}
		}
		for n := int(window / step); n < len(requests); n++ {
			sum := func(list []int) (total int) {
				for _, k := range list[n-int(window/step) : n] {
					total += k
				}
				return total
			}
			if beyond, allowed := sum(repeats), 0.2*float64(sum(requests))+slack; float64(beyond) > allowed {
				t.Fatalf("seed %d: %d beyond the first in the window that ends at %v, %.0f allowed", seed, beyond, time.Duration(n)*step, allowed)
			}
		}
		gomega.NewWithT(t).Expect(retried).To(gomega.BeNumerically(">", 0))
	}
}
