package e2e_test

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/io/crtrace"
	labplatform "camphorroad/lab/crplatform"
)

// tracesEnv names a directory to keep the traces in, to renew those that
// io/crtrace replays.
const tracesEnv = "CAMPHORROAD_TRACES"

var _ = Describe("A recorded trace", func() {
	a := account{name: "survey", rate: 40, burst: 60} // enough for each daemon to own a share

	// replay stops the daemon and replays what it recorded.
	replay := func(d *daemon, name string) crtrace.Report {
		d.signal(syscall.SIGTERM)
		Eventually(d.done, "10s").Should(Receive(BeNil()), d.log.String)
		b, err := os.ReadFile(d.trace())
		Expect(err).NotTo(HaveOccurred())
		if dir := os.Getenv(tracesEnv); dir != "" {
			Expect(os.WriteFile(filepath.Join(dir, name+".trace"), b, 0o600)).To(Succeed())
		}
		Expect(string(b)).NotTo(ContainSubstring(a.key()))
		file, err := os.Open(d.trace())
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		report, err := crtrace.Replay(file)
		Expect(err).NotTo(HaveOccurred())
		return report
	}

	It("replays exactly when nothing goes wrong", func() {
		f := newFleet(3, time.Millisecond, a)
		for range 5 {
			f.daemons[0].get(a, "/kits/1")
		}
		report := replay(f.daemons[0], "calm")
		Expect(report.Revisions).To(HaveLen(1))
		Expect(report.Reported).NotTo(HaveKey(crmember.EventStandingLost))
	})

	// A process that was frozen wakes up with old facts, and finds what the
	// others asked it for meanwhile. It must not grant a token on those facts.
	It("replays exactly when the daemon was frozen", func() {
		f := newFleet(3, time.Millisecond, a)
		d := f.daemons[0]
		calls, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for _, other := range f.daemons[1:] {
			wg.Go(func() {
				defer GinkgoRecover()
				for calls.Err() == nil {
					other.get(a, "/kits/1")
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		defer wg.Wait()
		defer stop()
		time.Sleep(500 * time.Millisecond)
		d.signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		d.signal(syscall.SIGCONT)
		Eventually(d.ready, "10s", "20ms").ShouldNot(Succeed())
		Eventually(d.ready, "10s", "50ms").Should(Succeed())
		report := replay(d, "frozen")
		Expect(report.Reported).To(HaveKey(crmember.EventStandingLost))
		Expect(report.Tenures[len(report.Tenures)-1]).To(Equal(report.Tenures[len(report.Tenures)-3]))
	})

	// While a list of instances is handed over, two daemons might believe to
	// own one account.
	It("replays exactly when the list of instances changes", func() {
		f := newFleet(3, time.Millisecond, a)
		f.platform.SetInstances(f.instances()[:2])
		Eventually(func() int { return f.daemons[2].get(a, "/kits/1").status }, "10s", "50ms").ShouldNot(Equal(200))
		Eventually(f.daemons[0].ready, "10s", "50ms").Should(Succeed())
		Eventually(func() int { return f.daemons[0].get(a, "/kits/1").status }, "10s", "200ms").Should(Equal(200))
		report := replay(f.daemons[0], "list")
		lists := slices.DeleteFunc(report.Tenures, func(list crid.Revision) bool { return list == 0 })
		Expect(lists).To(HaveLen(2))
		Expect(lists[1]).To(BeNumerically(">", lists[0]))
	})

	// The platform is away for a while; nobody may notice.
	It("replays exactly when the platform is away", func() {
		f := newFleet(3, time.Millisecond, a)
		f.platform.SetFault(labplatform.Fault{Mode: labplatform.ModeAway})
		time.Sleep(3 * time.Second)
		f.accounts = []account{{name: a.name, rate: 50, burst: 60}}
		f.publish()
		f.platform.SetFault(labplatform.Fault{})
		Eventually(f.daemons[0].log.String, inForce, "50ms").Should(ContainSubstring(`"former":"1"`))
		report := replay(f.daemons[0], "away")
		Expect(report.Revisions).To(HaveLen(2))
		Expect(report.Reported).To(HaveKey(crconfig.NumberPlatformAway))
		Expect(report.Reported).NotTo(HaveKey(crmember.EventStandingLost))
	})
})
