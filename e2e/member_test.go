package e2e_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
)

// reaches reports whether a daemon has two-way contact with a peer.
func reaches(d, peer *crfleet.Daemon) func() bool {
	return func() bool {
		state, err := d.State(withTimeout(2 * time.Second))
		must(err)
		return state.Reaches(peer.Name())
	}
}

var _ = Describe("Membership", func() {
	// A switch passes frames from one daemon to another but not back. The daemon that
	// still receives must not report the peer as reachable: requests forwarded to the
	// peer would time out.
	It("reports a one-way cut and its end on both sides", func() {
		a := account("survey", 1000, 1000)
		f := newFleet(5, time.Millisecond, a)
		receiver, sender := f.Daemon(0), f.Daemon(1)
		Eventually(reaches(receiver, sender), "5s", "50ms").Should(BeTrue())
		f.Links().Cut(sender.Name(), receiver.Name())
		start := time.Now()
		Eventually(reaches(receiver, sender), "6s", "50ms").Should(BeFalse())
		Eventually(reaches(sender, receiver), "6s", "50ms").Should(BeFalse())
		AddReportEntry("reported on both sides after", time.Since(start).String())
		for _, d := range f.Daemons() {
			Expect(d.Ready()).To(Succeed(), "%s: one cut link must not make a daemon unready", d.Name())
		}
		f.Links().HealAll()
		Eventually(reaches(receiver, sender), "6s", "50ms").Should(BeTrue())
		Eventually(reaches(sender, receiver), "6s", "50ms").Should(BeTrue())
	})

	// A daemon is stopped as planned, and the platform lists it as live for minutes
	// more. If its peers used the list alone, they would forward requests to it, and it
	// would refuse them for all that time.
	It("reports a leaving daemon at once, before the list does", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 2*time.Millisecond, a)
		time.Sleep(2 * time.Second) // a new fleet's buckets start empty and refill at the rate
		leaving := f.Daemon(3)
		var stopRequested time.Time
		stopped := timeline(1500*time.Millisecond, func() { stopRequested = time.Now() }, leaving.Stop)
		report := run(crload.Plan{
			Seconds: 4, Seed: 41, Entries: f.URLs()[:3],
			Accounts: []crload.Account{{Name: a.Name, Key: a.Key(), Rate: 300, Calls: holds}},
		})
		stopped()
		Expect(leaving.Wait(withTimeout(10 * time.Second))).To(Succeed())
		var last time.Time
		for _, r := range f.Target(3).Log() {
			if r.At.After(last) {
				last = r.At
			}
		}
		results := expectResultsMatchRuns(f, report)
		AddReportEntry("results", results)
		for _, sample := range report.Samples() {
			if sample.Result == crload.NoResponse || sample.Result == crload.NotRun {
				AddReportEntry(sample.ID, fmt.Sprintf("%s, status %d, at %s, took %s", sample.Result, sample.Status, sample.Planned, sample.Latency))
			}
		}
		AddReportEntry("last new work after", last.Sub(stopRequested).String())
		Expect(last.Sub(stopRequested)).To(BeNumerically("<", 2*time.Second))
		// A refusal by the account's rate limit is unrelated to the leaving daemon. The
		// bound is that of the specs on rates.
		refusedByRate := report.Lines()[0].Statuses[http.StatusTooManyRequests]
		Expect(refusedByRate).To(BeNumerically("<=", len(report.Samples())/100))
		Expect(results[crload.Answered]).To(Equal(len(report.Samples()) - refusedByRate))
	})
})
