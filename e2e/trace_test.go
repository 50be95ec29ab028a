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
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/io/crtrace"
	"camphorroad/lab/crfleet"
	labplatform "camphorroad/lab/crplatform"
	"camphorroad/lab/crupstream"
)

// tracesEnv is the environment variable with a directory to copy the traces to, which
// updates those that io/crtrace replays.
const tracesEnv = "CAMPHORROAD_TRACES"

var _ = Describe("A recorded trace", func() {
	a := account("survey", 40, 60) // enough for each daemon to own a share

	var dir string
	start := func() *crfleet.Fleet {
		dir = GinkgoT().TempDir()
		return startFleet(
			crfleet.WithDaemons(3), crfleet.WithServices(booking(time.Millisecond)), crfleet.WithAccounts(a),
			crfleet.WithSettings(fmt.Sprintf("[trace]\nfile = %q\n", filepath.Join(dir, "{daemon}.trace"))),
		)
	}

	// call sends requests to the daemons, one after another, until stopped.
	call := func(account crfleet.Account, daemons ...*crfleet.Daemon) (stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for _, d := range daemons {
			wg.Go(func() {
				for ctx.Err() == nil {
					d.Get(account, "/kits/1")
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		return func() {
			cancel()
			wg.Wait()
		}
	}

	// replay stops the daemon and replays the trace that it recorded.
	replay := func(d *crfleet.Daemon, name string) crtrace.Report {
		must(d.Stop())
		must(d.Wait(withTimeout(10 * time.Second)))
		path := filepath.Join(dir, d.Name()+".trace")
		b, err := os.ReadFile(path)
		must(err)
		if keep := os.Getenv(tracesEnv); keep != "" {
			must(os.WriteFile(filepath.Join(keep, name+".trace"), b, 0o600))
		}
		Expect(string(b)).NotTo(ContainSubstring(a.Key()))
		file, err := os.Open(path)
		must(err)
		defer file.Close()
		report, err := crtrace.Replay(file)
		must(err)
		return report
	}

	It("replays exactly without faults", func() {
		f := start()
		for range 5 {
			f.Daemon(0).Get(a, "/kits/1")
		}
		report := replay(f.Daemon(0), "calm")
		Expect(report.Revisions).To(HaveLen(1))
		Expect(report.LogEvents).NotTo(HaveKey(crmember.EventLeaseLost))
	})

	// A suspended process resumes with stale state and receives requests that its peers
	// sent meanwhile. It must not grant tokens by that state.
	It("replays exactly when the daemon was suspended", func() {
		f := start()
		d := f.Daemon(0)
		stop := call(a, f.Daemon(1), f.Daemon(2))
		defer stop()
		time.Sleep(500 * time.Millisecond)
		must(d.Suspend())
		time.Sleep(3 * time.Second)
		must(d.Resume())
		Eventually(d.Ready, "10s", "20ms").ShouldNot(Succeed())
		must(d.WaitReady(withTimeout(10 * time.Second)))
		report := replay(d, "frozen")
		Expect(report.LogEvents).To(HaveKey(crmember.EventLeaseLost))
		Expect(report.ActiveLists[len(report.ActiveLists)-1]).To(Equal(report.ActiveLists[len(report.ActiveLists)-3]))
	})

	// While a list of instances is handed over, two daemons could both act as the
	// owner of one account.
	It("replays exactly when the list of instances changes", func() {
		f := start()
		stop := call(a, f.Daemon(0), f.Daemon(1))
		defer stop()
		f.SetInstances(f.Instances()[:2])
		Eventually(func() int { return f.Daemon(2).Get(a, "/kits/1").Status }, "10s", "50ms").ShouldNot(Equal(200))
		time.Sleep(3 * time.Second)
		report := replay(f.Daemon(0), "list")
		lists := slices.DeleteFunc(report.ActiveLists, func(list crid.Revision) bool { return list == 0 })
		Expect(lists).To(HaveLen(2))
		Expect(lists[1]).To(BeNumerically(">", lists[0]))
	})

	// The platform is unavailable for a while; callers must not be affected.
	It("replays exactly when the platform is unavailable", func() {
		f := start()
		f.Platform().SetFault(labplatform.Fault{Mode: labplatform.ModeReset})
		time.Sleep(3 * time.Second)
		_, err := f.SetAccounts(account(a.Name, 50, 60))
		must(err)
		f.Platform().SetFault(labplatform.Fault{})
		Eventually(f.Daemon(0).Log, configDeadline, "50ms").Should(ContainSubstring(`"former":"1"`))
		report := replay(f.Daemon(0), "away")
		Expect(report.Revisions).To(HaveLen(2))
		Expect(report.LogEvents).To(HaveKey(crconfig.EventPlatformUnavailable))
		Expect(report.LogEvents).NotTo(HaveKey(crmember.EventLeaseLost))
	})

	// Two targets become unhealthy, one after the other. The floor of two allows one
	// of three targets to be ejected; callers still reach the other.
	It("replays exactly when targets are unhealthy", func() {
		f := start()
		stop := call(a, f.Daemons()...)
		defer stop()
		for _, target := range f.Targets()[1:] {
			target.SetFault(crupstream.Fault{Kind: crupstream.FaultWrong})
			time.Sleep(4 * time.Second)
		}
		log := func() string {
			var all string
			for _, d := range f.Daemons() {
				all += d.Log()
			}
			return all
		}
		Eventually(log, "10s", "100ms").Should(And(ContainSubstring("target ejected"), ContainSubstring("floor holds")))
		i := slices.IndexFunc(f.Daemons(), func(d *crfleet.Daemon) bool { return eventIn(d, "target ejected") })
		report := replay(f.Daemon(i), "sick")
		Expect(report.LogEvents).To(HaveKey(crhealth.EventEjected))
		Expect(report.Effects).To(HaveKey("steer"))
	})
})

func eventIn(d *crfleet.Daemon, name string) bool {
	ok, err := ContainSubstring(name).Match(d.Log())
	return ok && err == nil
}
