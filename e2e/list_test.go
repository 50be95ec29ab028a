package e2e_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crload"
)

var _ = Describe("A change of the list of instances", func() {
	// An instance is lost for good and the platform lists the fleet without it.
	// Until the other daemons have handed over to the new list nobody mints
	// under it; were that time also without trust in keys, every caller of every
	// service would be refused for seconds, dozens of times a day.
	It("refuses hardly any caller while the fleet hands over", func() {
		a := account{name: "survey", rate: 400, burst: 400}
		f := newFleet(5, 2*time.Millisecond, a)
		go func() {
			defer GinkgoRecover()
			time.Sleep(time.Second)
			f.daemons[4].kill()
			time.Sleep(time.Second)
			f.platform.SetInstances(f.instances()[:4])
		}()
		report, err := crload.Run(context.Background(), crload.Plan{
			Seconds: 8, Seed: 5, Entries: f.urls()[:4],
			Accounts: []crload.Account{{Name: a.name, Key: a.key(), Rate: 200, Calls: []crload.Call{{Method: "GET", Path: "/kits/1"}}}},
		})
		Expect(err).NotTo(HaveOccurred())
		line := report.Lines()[0]
		AddReportEntry("results", line.Results)
		AddReportEntry("statuses", line.Statuses)
		Expect(float64(line.Results[crload.NotRun])).To(BeNumerically("<=", 0.02*float64(line.Sent)))
	})
})
