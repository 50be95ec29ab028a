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
	// still receives must not count the peer as reachable: requests forwarded to it
	// would time out.
	It("shows a one-way cut on both sides, and its end", func() {
		a := account("survey", 1000, 1000)
		f := newFleet(5, time.Millisecond, a)
		deaf, mute := f.Daemon(0), f.Daemon(1)
		Eventually(reaches(deaf, mute), "5s", "50ms").Should(BeTrue())
		f.Links().Cut(mute.Name(), deaf.Name())
		start := time.Now()
		Eventually(reaches(deaf, mute), "6s", "50ms").Should(BeFalse())
		Eventually(reaches(mute, deaf), "6s", "50ms").Should(BeFalse())
		AddReportEntry("seen on both sides after", time.Since(start).String())
		for _, d := range f.Daemons() {
			Expect(d.Ready()).To(Succeed(), "%s: one cut link must not make a daemon unready", d.Name())
		}
		f.Links().HealAll()
		Eventually(reaches(deaf, mute), "6s", "50ms").Should(BeTrue())
		Eventually(reaches(mute, deaf), "6s", "50ms").Should(BeTrue())
	})

	// A daemon is stopped as planned, and the platform lists it as live for minutes
	// more. If only the list counted, requests would be forwarded to it and refused
	// for all that time.
	It("announces a leaving daemon at once, before the list does", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 2*time.Millisecond, a)
		time.Sleep(2 * time.Second) // a new fleet's buckets start empty and refill at the rate
		leaving := f.Daemon(3)
		var asked time.Time
		stopped := timeline(1500*time.Millisecond, func() { asked = time.Now() }, leaving.Stop)
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
		told := expectTruthful(f, report)
		AddReportEntry("told", told)
		for _, t := range report.Samples() {
			if t.Result == crload.NoResponse || t.Result == crload.NotRun {
				AddReportEntry(t.ID, fmt.Sprintf("%s, status %d, at %s, took %s", t.Result, t.Status, t.Planned, t.Latency))
			}
		}
		AddReportEntry("last new work after", last.Sub(asked).String())
		Expect(last.Sub(asked)).To(BeNumerically("<", 2*time.Second))
		// A refusal for the account's rate is unrelated to the leaving daemon and has the
		// bound of the specs on rates.
		rate := report.Lines()[0].Statuses[http.StatusTooManyRequests]
		Expect(rate).To(BeNumerically("<=", len(report.Samples())/100))
		Expect(told[crload.Answered]).To(Equal(len(report.Samples()) - rate))
	})
})
