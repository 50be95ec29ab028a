package crbudget_test

import (
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
)

func TestCallCostsFollowTheReports(t *testing.T) {
	g := gomega.NewWithT(t)
	c := crbudget.NewCallCosts()
	g.Expect(c.Estimate("book", nil)).To(gomega.BeEmpty())
	c.Record("book", crbudget.CallReport{Runs: 10, Calls: []crbudget.Call{{Service: "desk", PerRun: 0.4}}})
	c.Record("book", crbudget.CallReport{Runs: 10, Calls: []crbudget.Call{{Service: "desk", PerRun: 0.8}}})
	calls := c.Estimate("book", nil)
	g.Expect(calls).To(gomega.HaveLen(1))
	g.Expect(calls[0].PerRun).To(gomega.BeNumerically("~", 0.6, 0.02))
	g.Expect(c.Estimate("desk", nil)).To(gomega.BeEmpty())
	for range 200 {
		c.Record("book", crbudget.CallReport{Runs: 10})
	}
	g.Expect(c.Estimate("book", nil)).To(gomega.BeEmpty())
}

// Guards against retries that cost the calls of an average run although they make a failed one again.
func TestRetryAfterAFailedCallCostsThatCall(t *testing.T) {
	g := gomega.NewWithT(t)
	c := crbudget.NewCallCosts()
	g.Expect(c.Estimate("book", []crid.Service{"desk"})).To(gomega.Equal([]crbudget.Call{{Service: "desk", PerRun: 1}}))
	c.Record("book", crbudget.CallReport{Runs: 10, Calls: []crbudget.Call{{Service: "desk", PerRun: 0.5}, {Service: "ledger", PerRun: 2}}})
	g.Expect(c.Estimate("book", []crid.Service{"audit", "desk", "ledger"})).To(gomega.Equal([]crbudget.Call{
		{Service: "audit", PerRun: 1}, {Service: "desk", PerRun: 1}, {Service: "ledger", PerRun: 2},
	}))
}
