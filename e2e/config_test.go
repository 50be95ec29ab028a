package e2e_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/core/crpolicy"
	labplatform "camphorroad/lab/crplatform"
)

// configDeadline is the limit for a change to be in force at every daemon.
const configDeadline = 9 * time.Second

var _ = Describe("Configuration in force", func() {
	// An operator withdraws a stolen key while its callers are connected. Until every
	// daemon refuses the key, the thief can send requests as the account.
	It("stops a withdrawn key at every daemon within nine seconds", func() {
		kept := account("kept", 1000, 1000)
		gone := account("gone", 1000, 1000)
		f := newFleet(5, time.Millisecond, kept, gone)
		_, err := f.SetAccounts(kept)
		must(err)
		start := time.Now()
		for _, d := range f.Daemons() {
			Eventually(func() int { return d.Get(gone, "/kits/1").Status }, configDeadline, "50ms").Should(Equal(http.StatusUnauthorized), d.Name())
		}
		AddReportEntry("refused by all daemons after", time.Since(start).String())
		for _, d := range f.Daemons() {
			Expect(d.Get(kept, "/kits/1").Status).To(Equal(http.StatusOK))
		}
	})

	// The platform is unavailable for long while a daemon is replaced. The new daemon
	// has nothing on disk and can get its configuration only from its peers.
	It("survives an unavailable platform, also through a daemon's restart", func() {
		a := account("survey", 1000, 1000)
		f := newFleet(5, time.Millisecond, a)
		f.Platform().SetFault(labplatform.Fault{Mode: labplatform.ModeReset})
		time.Sleep(3 * time.Second)
		for _, d := range f.Daemons() {
			Expect(d.Get(a, "/kits/1").Status).To(Equal(http.StatusOK), d.Name())
		}
		must(f.Daemon(0).Kill())
		must(f.Daemon(0).Start())
		must(f.Daemon(0).WaitReady(withTimeout(15 * time.Second)))
		Eventually(func() int { return f.Daemon(0).Get(a, "/kits/1").Status }, "5s", "100ms").Should(Equal(http.StatusOK))
	})

	// The platform is restored from an old backup. A daemon that applied the older
	// revision would accept a key that has been withdrawn since.
	It("is never rolled back when the platform serves an older revision", func() {
		kept := account("kept", 1000, 1000)
		gone := account("gone", 1000, 1000)
		f := newFleet(4, time.Millisecond, kept, gone)
		_, err := f.SetAccounts(kept)
		must(err)
		for _, d := range f.Daemons() {
			Eventually(func() int { return d.Get(gone, "/kits/1").Status }, configDeadline, "50ms").Should(Equal(http.StatusUnauthorized))
		}
		f.Platform().SetFault(labplatform.Fault{Mode: labplatform.ModeStale, Back: 1})
		must(f.Daemon(1).Kill())
		must(f.Daemon(1).Start())
		must(f.Daemon(1).WaitReady(withTimeout(15 * time.Second)))
		Consistently(func() bool {
			for _, d := range f.Daemons() {
				if d.Get(gone, "/kits/1").Status == http.StatusOK {
					return false
				}
			}
			return true
		}, "4s", "100ms").Should(BeTrue())
	})

	// One daemon loses both directions to all others and gets no withdrawals of keys.
	// It must stop using its configuration and refuse requests at once, while the other
	// daemons continue.
	It("is not used by an isolated daemon", func() {
		a := account("survey", 1000, 1000)
		f := newFleet(5, time.Millisecond, a)
		isolated := f.Daemon(4)
		for _, d := range f.Daemons()[:4] {
			f.Links().CutBoth(isolated.Name(), d.Name())
		}
		Eventually(func() int { return isolated.Get(a, "/kits/1").Status }, "5s", "50ms").Should(Equal(http.StatusServiceUnavailable))
		r := isolated.Get(a, "/kits/1")
		Expect(r.Outcome).To(Equal("notrun"))
		Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
		for _, d := range f.Daemons()[:4] {
			Expect(d.Get(a, "/kits/1").Status).To(Equal(http.StatusOK), d.Name())
		}
		f.Links().HealAll()
		Eventually(func() int { return isolated.Get(a, "/kits/1").Status }, "10s", "100ms").Should(Equal(http.StatusOK))
	})

	// State dumps and logs must contain no key, whatever fails.
	It("shows no key in a state dump or log", func() {
		a := account("survey", 1000, 1000)
		f := newFleet(3, time.Millisecond, a)
		d := f.Daemon(0)
		state, err := d.State(withTimeout(5 * time.Second))
		must(err)
		Expect(string(state.Raw)).To(ContainSubstring(d.Name()))
		Expect(string(state.Raw) + d.Log()).NotTo(ContainSubstring(a.Key()))
		Expect(string(state.Raw) + d.Log()).NotTo(ContainSubstring(fmt.Sprintf("%x", crpolicy.HashKey(a.Key()))))
		for _, u := range f.Targets() {
			Expect(u.Runs().Leaks).To(BeZero())
		}
	})
})
