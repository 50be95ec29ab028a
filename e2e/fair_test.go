package e2e_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
)

// fairSmall is the number of small accounts beside the large one.
const fairSmall = 4

// fairPlan returns a plan with few requests for each small account and many for the large one.
func fairPlan(f *crfleet.Fleet, seed uint64, accounts []crfleet.Account, large crload.Account) crload.Plan {
	plan := crload.Plan{Seconds: 6, Seed: seed, Entries: f.URLs(), Accounts: []crload.Account{large}}
	for _, a := range accounts[1:] {
		plan.Accounts = append(plan.Accounts, crload.Account{Name: a.Name, Key: a.Key(), Rate: 20, Calls: reads})
	}
	return plan
}

// expectFair checks that every small account is served and that the load exceeds the
// capacity.
func expectFair(report *crload.Report) {
	GinkgoHelper()
	lines := report.Lines()
	large := lines[0]
	AddReportEntry("large", fmt.Sprintf("%d sent, %v, p99 %s", large.Sent, large.Results, large.P99))
	for _, l := range lines[1 : 1+fairSmall] {
		AddReportEntry(l.Account, fmt.Sprintf("%d sent, %v, p50 %s, p99 %s", l.Sent, l.Results, l.P50, l.P99))
		Expect(float64(l.Results[crload.Answered])).To(BeNumerically(">=", 0.95*float64(l.Sent)), l.Account)
		Expect(l.P99).To(BeNumerically("<", 1200*time.Millisecond), l.Account)
	}
	Expect(lines[0].Results[crload.NotRun]).To(BeNumerically(">", large.Sent/10), "the load did not exceed the capacity")
}

var _ = Describe("Shares of scarce capacity", func() {
	// The upstreams serve 300 requests a second in total. Every account is within its
	// rate, and one sends far more than that capacity. Served in order of arrival, the
	// other accounts would be refused as often as the large one.
	It("leave the others near their demand when one account sends too much", func() {
		accounts := fairAccounts()
		f := startFleet(crfleet.WithDaemons(3), crfleet.WithServices(booking(50*time.Millisecond)), crfleet.WithAccounts(accounts...))
		large := accounts[0]
		expectFair(run(fairPlan(f, 61, accounts, crload.Account{Name: large.Name, Key: large.Key(), Rate: 500, Calls: reads})))
	})

	// One account sends no more requests than others, but each holds a slot for half
	// a second. Without fair shares it would soon occupy all slots.
	It("leave the others near their demand when one account's requests are long", func() {
		accounts := fairAccounts()
		f := startFleet(crfleet.WithDaemons(3), crfleet.WithServices(booking(20*time.Millisecond)), crfleet.WithAccounts(accounts...))
		large := accounts[0]
		long := []crload.Call{{Method: "GET", Path: "/kits/1?work=500"}}
		expectFair(run(fairPlan(f, 62, accounts, crload.Account{Name: large.Name, Key: large.Key(), Rate: 60, Calls: long})))
	})
})

func fairAccounts() []crfleet.Account {
	accounts := []crfleet.Account{account("large", 5000, 5000)}
	for i := range fairSmall {
		accounts = append(accounts, account(fmt.Sprintf("small-%d", i+1), 5000, 5000))
	}
	return accounts
}
