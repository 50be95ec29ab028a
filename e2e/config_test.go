package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/core/crpolicy"
	labplatform "camphorroad/lab/crplatform"
)

// inForce is the letter's limit for a change to be in force everywhere.
const inForce = 9 * time.Second

var _ = Describe("Configuration in force", func() {
	// An operator withdraws a key while its callers are connected. For as long
	// as any daemon takes it, whoever stole it can still act as the account.
	It("stops a withdrawn key at every daemon within nine seconds", func() {
		kept := account{name: "kept", rate: 1000, burst: 1000}
		gone := account{name: "gone", rate: 1000, burst: 1000}
		f := newFleet(5, time.Millisecond, kept, gone)
		f.accounts = []account{kept}
		f.publish()
		start := time.Now()
		for _, d := range f.daemons {
			Eventually(func() int { return d.get(gone, "/kits/1").status }, inForce, "50ms").Should(Equal(http.StatusUnauthorized), d.name)
		}
		AddReportEntry("everywhere after", time.Since(start).String())
		for _, d := range f.daemons {
			Expect(d.get(kept, "/kits/1").status).To(Equal(http.StatusOK))
		}
	})

	// The platform is away for long, and a daemon is replaced meanwhile. It has
	// nothing on disk; its configuration can come only from its peers.
	It("outlives a platform that is away, also through a daemon's restart", func() {
		a := account{name: "survey", rate: 1000, burst: 1000}
		f := newFleet(5, time.Millisecond, a)
		f.platform.SetFault(labplatform.Fault{Mode: labplatform.ModeAway})
		time.Sleep(3 * time.Second)
		for _, d := range f.daemons {
			Expect(d.get(a, "/kits/1").status).To(Equal(http.StatusOK), d.name)
		}
		f.daemons[0].kill()
		f.daemons[0].start()
		Eventually(f.daemons[0].ready, "15s", "100ms").Should(Succeed(), func() string { return f.daemons[0].log.String() })
		Eventually(func() int { return f.daemons[0].get(a, "/kits/1").status }, "5s", "100ms").Should(Equal(http.StatusOK))
	})

	// The platform comes back from a backup with the state of yesterday. Had a
	// daemon believed it, a key withdrawn today would work again.
	It("never goes back when the platform serves an older revision", func() {
		kept := account{name: "kept", rate: 1000, burst: 1000}
		gone := account{name: "gone", rate: 1000, burst: 1000}
		f := newFleet(4, time.Millisecond, kept, gone)
		f.accounts = []account{kept}
		f.publish()
		for _, d := range f.daemons {
			Eventually(func() int { return d.get(gone, "/kits/1").status }, inForce, "50ms").Should(Equal(http.StatusUnauthorized))
		}
		f.platform.SetFault(labplatform.Fault{Mode: labplatform.ModeStale, Back: 1})
		f.daemons[1].kill()
		f.daemons[1].start()
		Eventually(f.daemons[1].ready, "15s", "100ms").Should(Succeed())
		Consistently(func() bool {
			for _, d := range f.daemons {
				if d.get(gone, "/kits/1").status == http.StatusOK {
					return false
				}
			}
			return true
		}, "4s", "100ms").Should(BeTrue())
	})

	// One daemon loses both directions to all others, and can not know whether
	// keys were withdrawn since. It must stop acting on what it knows, and say
	// so at once, while the others go on.
	It("is not acted on by a daemon that is cut off alone", func() {
		a := account{name: "survey", rate: 1000, burst: 1000}
		f := newFleet(5, time.Millisecond, a)
		alone := f.daemons[4]
		for _, d := range f.daemons[:4] {
			f.relays.cut(alone.name, d.name)
			f.relays.cut(d.name, alone.name)
		}
		Eventually(func() int { return alone.get(a, "/kits/1").status }, "5s", "50ms").Should(Equal(http.StatusServiceUnavailable))
		r := alone.get(a, "/kits/1")
		Expect(r.outcome).To(Equal("notrun"))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		for _, d := range f.daemons[:4] {
			Expect(d.get(a, "/kits/1").status).To(Equal(http.StatusOK), d.name)
		}
		for _, d := range f.daemons[:4] {
			f.relays.heal(alone.name, d.name)
			f.relays.heal(d.name, alone.name)
		}
		Eventually(func() int { return alone.get(a, "/kits/1").status }, "10s", "100ms").Should(Equal(http.StatusOK))
	})

	// Whatever goes wrong, keys must not stand in what operators collect.
	It("shows no key in a state dump or log", func() {
		a := account{name: "survey", rate: 1000, burst: 1000}
		f := newFleet(3, time.Millisecond, a)
		d := f.daemons[0]
		resp, err := http.Get("http://" + d.admin + "/state") //nolint:noctx // a test's request
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var b strings.Builder
		_, err = copyTo(&b, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.String()).To(ContainSubstring(d.name))
		Expect(b.String() + d.log.String()).NotTo(ContainSubstring(a.key()))
		Expect(b.String() + d.log.String()).NotTo(ContainSubstring(fmt.Sprintf("%x", crpolicy.HashKey(a.key()))))
		for _, u := range f.upstreams {
			Expect(u.Runs().Leaks).To(BeZero())
		}
	})
})
