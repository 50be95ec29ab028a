package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crload"
)

var _ = Describe("A change of the list of instances", func() {
	// A new list lacks a lost instance. No daemon refills tokens under the new list until
	// the others have handed over to it. If daemons accepted no keys for that time either,
	// every caller of every service would be refused for seconds, dozens of times a day.
	It("refuses at most 2% of the requests while the fleet hands over", func() {
		a := account("survey", 400, 400)
		f := newFleet(5, 2*time.Millisecond, a)
		wait := timeline(
			time.Second,
			f.Daemon(4).Kill,
			time.Second,
			func() { f.SetInstances(f.Instances()[:4]) },
		)
		report := run(crload.Plan{
			Seconds: 8, Seed: 5, Entries: f.URLs()[:4],
			Accounts: []crload.Account{{Name: a.Name, Key: a.Key(), Rate: 200, Calls: reads}},
		})
		wait()
		line := report.Lines()[0]
		AddReportEntry("results", line.Results)
		AddReportEntry("statuses", line.Statuses)
		Expect(float64(line.Results[crload.NotRun])).To(BeNumerically("<=", 0.02*float64(line.Sent)))
	})
})
