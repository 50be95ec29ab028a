package e2e_test

import (
	"context"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crload"
)

var _ = Describe("A hold that must run at most once", func() {
	// Daemons die, freeze and lose one direction of their links while callers
	// place holds. A caller who is told "not run" places the hold again; had the
	// first one run, the kit would be held, and charged, twice.
	It("runs at most once, and never where its caller was told it did not", func() {
		a := account{name: "survey", rate: 2000, burst: 2000}
		f := newFleet(5, 5*time.Millisecond, a)
		go func() {
			defer GinkgoRecover()
			time.Sleep(500 * time.Millisecond)
			f.daemons[1].signal(syscall.SIGSTOP)
			f.relays.cut("booking-3", "booking-4")
			time.Sleep(1500 * time.Millisecond)
			f.daemons[1].signal(syscall.SIGCONT)
			f.daemons[4].kill()
			time.Sleep(time.Second)
			f.relays.heal("booking-3", "booking-4")
			f.daemons[4].start()
		}()
		report, err := crload.Run(context.Background(), crload.Plan{
			Seconds: 6, Seed: 7, Entries: f.urls(), Timeout: "6s",
			Accounts: []crload.Account{{
				Name: a.name, Key: a.key(), Rate: 200,
				Calls: []crload.Call{{Method: "POST", Path: "/holds", Bytes: 200}},
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		runs := f.runs()
		told := make(map[crload.Result]int)
		for _, t := range report.Told() {
			told[t.Result]++
			Expect(runs[t.ID]).To(BeNumerically("<=", 1), "%s ran more than once, told %s", t.ID, t.Result)
			switch t.Result {
			case crload.Answered:
				Expect(runs[t.ID]).To(Equal(1), "%s was answered and did not run", t.ID)
			case crload.NotRun:
				Expect(runs[t.ID]).To(BeZero(), "%s was told as not run", t.ID)
				Expect(t.Retry).To(BeTrue(), "%s was refused without a time to come back", t.ID)
			case crload.Unknown, crload.Cut, crload.NoWord, crload.Mixed:
			}
		}
		Expect(told[crload.Mixed]).To(BeZero())
		AddReportEntry("told", told)
		Expect(told[crload.Answered]).To(BeNumerically(">", 600))
	})
})
