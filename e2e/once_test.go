package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crload"
)

var _ = Describe("A hold that must run at most once", func() {
	// Daemons are killed or suspended, or lose one direction of a link, while callers place
	// holds. A caller that gets "not run" places the hold again; if the first one had
	// run, the kit would be held and charged twice.
	It("runs at most once, and never if its caller got the outcome notrun", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 5*time.Millisecond, a)
		wait := timeline(
			500*time.Millisecond,
			f.Daemon(1).Suspend,
			func() { f.Links().Cut("daemon-3", "daemon-4") },
			1500*time.Millisecond,
			f.Daemon(1).Resume, f.Daemon(4).Kill,
			time.Second,
			func() { f.Links().Heal("daemon-3", "daemon-4") },
			f.Daemon(4).Start,
		)
		report := run(crload.Plan{
			Seconds: 6, Seed: 7, Entries: f.URLs(), Timeout: "6s",
			Accounts: []crload.Account{{Name: a.Name, Key: a.Key(), Rate: 200, Calls: holds}},
		})
		wait()
		results := expectResultsMatchRuns(f, report)
		AddReportEntry("results", results)
		Expect(results[crload.Answered]).To(BeNumerically(">", 600))
	})
})
