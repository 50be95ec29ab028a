package e2e_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/io/crtrace"
	"camphorroad/lab/crfleet"
	labplatform "camphorroad/lab/crplatform"
)

// tracesEnv names a directory to keep the traces in, to renew those that
// io/crtrace replays.
const tracesEnv = "CAMPHORROAD_TRACES"

var _ = Describe("A recorded trace", func() {
	a := account("survey", 40, 60) // enough for each daemon to own a share

	var dir string
	traced := func() *crfleet.Fleet {
		dir = GinkgoT().TempDir()
		return startFleet(
			crfleet.WithDaemons(3), crfleet.WithServices(booking(time.Millisecond)), crfleet.WithAccounts(a),
			crfleet.WithSettings(fmt.Sprintf("[trace]\nfile = %q\n", filepath.Join(dir, "{daemon}.trace"))),
		)
	}

	// replay stops the daemon and replays what it recorded.
	replay := func(d *crfleet.Daemon, name string) crtrace.Report {
		must(d.Stop())
		must(d.Wait(within(10 * time.Second)))
		path := filepath.Join(dir, d.Name()+".trace")
		b, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		if keep := os.Getenv(tracesEnv); keep != "" {
			Expect(os.WriteFile(filepath.Join(keep, name+".trace"), b, 0o600)).To(Succeed())
		}
		Expect(string(b)).NotTo(ContainSubstring(a.Key()))
		file, err := os.Open(path)
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		report, err := crtrace.Replay(file)
		Expect(err).NotTo(HaveOccurred())
		return report
	}

	It("replays exactly when nothing goes wrong", func() {
		f := traced()
		for range 5 {
			f.Daemon(0).Get(a, "/kits/1")
		}
		report := replay(f.Daemon(0), "calm")
		Expect(report.Revisions).To(HaveLen(1))
		Expect(report.Reported).NotTo(HaveKey(crmember.EventStandingLost))
	})

	// A process that was frozen wakes up with old facts, and finds what the
	// others asked it for meanwhile. It must not grant a token on those facts.
	It("replays exactly when the daemon was frozen", func() {
		f := traced()
		d := f.Daemon(0)
		calls, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for _, other := range f.Daemons()[1:] {
			wg.Go(func() {
				defer GinkgoRecover()
				for calls.Err() == nil {
					other.Get(a, "/kits/1")
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		defer wg.Wait()
		defer stop()
		time.Sleep(500 * time.Millisecond)
		must(d.Freeze())
		time.Sleep(3 * time.Second)
		must(d.Resume())
		Eventually(d.Ready, "10s", "20ms").ShouldNot(Succeed())
		Eventually(d.Ready, "10s", "50ms").Should(Succeed())
		report := replay(d, "frozen")
		Expect(report.Reported).To(HaveKey(crmember.EventStandingLost))
		Expect(report.Tenures[len(report.Tenures)-1]).To(Equal(report.Tenures[len(report.Tenures)-3]))
	})

	// While a list of instances is handed over, two daemons might believe to
	// own one account.
	It("replays exactly when the list of instances changes", func() {
		f := traced()
		f.List(f.Instances()[:2])
		Eventually(func() int { return f.Daemon(2).Get(a, "/kits/1").Status }, "10s", "50ms").ShouldNot(Equal(200))
		Eventually(f.Daemon(0).Ready, "10s", "50ms").Should(Succeed())
		Eventually(func() int { return f.Daemon(0).Get(a, "/kits/1").Status }, "10s", "200ms").Should(Equal(200))
		report := replay(f.Daemon(0), "list")
		lists := slices.DeleteFunc(report.Tenures, func(list crid.Revision) bool { return list == 0 })
		Expect(lists).To(HaveLen(2))
		Expect(lists[1]).To(BeNumerically(">", lists[0]))
	})

	// The platform is away for a while; nobody may notice.
	It("replays exactly when the platform is away", func() {
		f := traced()
		f.Platform().SetFault(labplatform.Fault{Mode: labplatform.ModeAway})
		time.Sleep(3 * time.Second)
		_, err := f.SetAccounts(account("survey", 50, 60))
		must(err)
		f.Platform().SetFault(labplatform.Fault{})
		Eventually(f.Daemon(0).Log, inForce, "50ms").Should(ContainSubstring(`"former":"1"`))
		report := replay(f.Daemon(0), "away")
		Expect(report.Revisions).To(HaveLen(2))
		Expect(report.Reported).To(HaveKey(crconfig.NumberPlatformAway))
		Expect(report.Reported).NotTo(HaveKey(crmember.EventStandingLost))
	})
})
