package e2e_test

import (
	"context"
	"io"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crload"
)

func copyTo(w io.Writer, r io.Reader) (int64, error) { return io.Copy(w, r) }

var _ = Describe("A planned stop", func() {
	// A daemon is replaced under load. A request that was in flight at it, as
	// entry or as exit, must not be cut; whatever comes later goes elsewhere.
	It("cuts no request in flight and exits with 0", func() {
		a := account{name: "survey", rate: 2000, burst: 2000}
		f := newFleet(5, 20*time.Millisecond, a)
		stopping := f.daemons[2]
		go func() {
			defer GinkgoRecover()
			time.Sleep(2 * time.Second)
			stopping.signal(syscall.SIGTERM)
		}()
		// Callers enter at the others: an address that stops is theirs to leave.
		entries := append(append([]string{}, f.urls()[:2]...), f.urls()[3:]...)
		report, err := crload.Run(context.Background(), crload.Plan{
			Seconds: 5, Seed: 3, Entries: entries,
			Accounts: []crload.Account{{
				Name: a.name, Key: a.key(), Rate: 200,
				Calls: []crload.Call{{Method: "GET", Path: "/kits/1"}, {Method: "POST", Path: "/holds", Bytes: 100}},
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		Eventually(stopping.done, "10s").Should(Receive(BeNil()), func() string { return stopping.log.String() })
		results := report.Lines()[0].Results
		AddReportEntry("results", results)
		Expect(results[crload.Answered]).To(Equal(report.Lines()[0].Sent))
		last := f.upstreams[2].Log()
		Expect(last[len(last)-1].At.Sub(last[0].At)).To(BeNumerically("<", 5*time.Second))
	})

	// Callers that enter at the stopping daemon itself get whole answers, or an
	// honest refusal, or a connection that takes no more; none is cut.
	It("leaves its own callers with whole answers or honest refusals", func() {
		a := account{name: "survey", rate: 2000, burst: 2000}
		f := newFleet(4, 20*time.Millisecond, a)
		stopping := f.daemons[0]
		go func() {
			defer GinkgoRecover()
			time.Sleep(1500 * time.Millisecond)
			stopping.signal(syscall.SIGTERM)
		}()
		report, err := crload.Run(context.Background(), crload.Plan{
			Seconds: 3, Seed: 4, Entries: f.urls()[:1],
			Accounts: []crload.Account{{Name: a.name, Key: a.key(), Rate: 100, Calls: []crload.Call{{Method: "POST", Path: "/holds", Bytes: 100}}}},
		})
		Expect(err).NotTo(HaveOccurred())
		Eventually(stopping.done, "10s").Should(Receive(BeNil()))
		runs := f.runs()
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
