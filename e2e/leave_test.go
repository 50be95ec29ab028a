package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crload"
)

var _ = Describe("A planned stop", func() {
	// A daemon is replaced under load. A request that was in flight at it, as
	// entry or as exit, must not be cut; whatever comes later goes elsewhere.
	It("cuts no request in flight and exits with 0", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 20*time.Millisecond, a)
		stopping := f.Daemon(2)
		stopped := timeline(2*time.Second, stopping.Stop)
		// Callers enter at the others: an address that stops is theirs to leave.
		entries := append(append([]string{}, f.URLs()[:2]...), f.URLs()[3:]...)
		report := run(crload.Plan{
			Seconds: 5, Seed: 3, Entries: entries,
			Accounts: []crload.Account{{
				Name: a.Name, Key: a.Key(), Rate: 200, Calls: append(append([]crload.Call{}, reads...), holds...),
			}},
		})
		stopped()
		Expect(stopping.Wait(within(10*time.Second))).To(Succeed(), stopping.Log)
		results := report.Lines()[0].Results
		AddReportEntry("results", results)
		Expect(results[crload.Answered]).To(Equal(report.Lines()[0].Sent))
		last := f.Target(2).Log()
		Expect(last[len(last)-1].At.Sub(last[0].At)).To(BeNumerically("<", 5*time.Second))
	})

	// Callers that enter at the stopping daemon itself get whole answers, or an
	// honest refusal, or a connection that takes no more; none is cut.
	It("leaves its own callers with whole answers or honest refusals", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(4, 20*time.Millisecond, a)
		stopping := f.Daemon(0)
		stopped := timeline(1500*time.Millisecond, stopping.Stop)
		report := run(crload.Plan{
			Seconds: 3, Seed: 4, Entries: f.URLs()[:1],
			Accounts: []crload.Account{{Name: a.Name, Key: a.Key(), Rate: 100, Calls: holds}},
		})
		stopped()
		Expect(stopping.Wait(within(10 * time.Second))).To(Succeed())
		runs := f.Runs()
		results := report.Lines()[0].Results
		AddReportEntry("results", results)
		Expect(results[crload.Cut]).To(BeZero())
		Expect(results[crload.Unknown]).To(BeZero())
		for _, t := range report.Told() {
			if t.Result == crload.NoWord || t.Result == crload.NotRun {
				Expect(runs[t.ID]).To(BeZero(), "%s ran, and its caller was told %s", t.ID, t.Result)
			}
		}
	})
})
