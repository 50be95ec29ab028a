package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
	"camphorroad/lab/crupstream"
)

const (
	healthDaemons = 6
	healthFloor   = 4
	// detectionTimeout is far above the seconds that detection takes, to allow for
	// busy machines.
	detectionTimeout = 15 * time.Second
)

// healthPolicy keeps at least four of the targets in service.
var healthPolicy = `
[service]
name = "booking"
floor = 4
slots = 5
queue = 40
connections = 300
echo = "X-Request-Echo"
[[route]]
name = "kits"
methods = ["GET"]
prefix = "/kits"
class = "repeat"
timeout = "2s"
`

// ejectionWatch polls every daemon for its ejected targets and keeps the largest
// set that was ejected at one time over the whole fleet.
type ejectionWatch struct {
	mu    sync.Mutex
	by    map[string][]string // ejected targets by daemon
	most  []string            // largest set of ejected targets at one time
	err   error
	ended chan struct{}
}

func watchEjections(ctx context.Context, f *crfleet.Fleet) *ejectionWatch {
	w := &ejectionWatch{by: make(map[string][]string), ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		for ctx.Err() == nil {
			for _, d := range f.Daemons() {
				state, err := d.State(ctx)
				switch {
				case err == nil:
					w.record(d.Name(), state.Ejected())
				case ctx.Err() == nil:
					w.recordError(err)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return w
}

func (w *ejectionWatch) recordError(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
}

// error returns the last failure to read a state dump, or an error if a daemon's dump is
// missing: a target that was not observed must not count as not ejected.
func (w *ejectionWatch) error() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil && len(w.by) < healthDaemons {
		return errors.New("the state dump of a daemon is missing")
	}
	return w.err
}

func (w *ejectionWatch) record(daemon string, targets []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.by[daemon] = targets
	union := make(map[string]struct{})
	for _, names := range w.by {
		for _, name := range names {
			union[name] = struct{}{}
		}
	}
	if len(union) > len(w.most) {
		w.most = nil
		for name := range union {
			w.most = append(w.most, name)
		}
		slices.Sort(w.most)
	}
}

// ejectedByAll reports whether every daemon has ejected the target.
func (w *ejectionWatch) ejectedByAll(target string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, names := range w.by {
		if !slices.Contains(names, target) {
			return false
		}
	}
	return len(w.by) == healthDaemons
}

// noneEjected reports whether no daemon has ejected any target.
func (w *ejectionWatch) noneEjected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, names := range w.by {
		if len(names) > 0 {
			return false
		}
	}
	return true
}

func (w *ejectionWatch) maxEjected() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.most)
}

// startHealthFleet starts a fleet under load, with a watch, until the spec's end.
func startHealthFleet(accounts ...crfleet.Account) (*crfleet.Fleet, *ejectionWatch) {
	f := startFleet(
		crfleet.WithDaemons(healthDaemons),
		crfleet.WithServices(crfleet.Service{Name: "booking", Policy: healthPolicy, ServiceTime: 10 * time.Millisecond}),
		crfleet.WithAccounts(accounts...),
	)
	ctx, cancel := context.WithCancel(context.Background())
	plan := crload.Plan{Seconds: 300, Seed: 51, Entries: f.URLs()}
	for _, a := range accounts {
		plan.Accounts = append(plan.Accounts, crload.Account{Name: a.Name, Key: a.Key(), Rate: 60, Calls: reads})
	}
	var load sync.WaitGroup
	load.Go(func() { _, _ = crload.Run(ctx, plan) })
	w := watchEjections(ctx, f)
	DeferCleanup(func() {
		cancel()
		load.Wait()
		<-w.ended
	})
	return f, w
}

func firmAccounts() []crfleet.Account {
	var accounts []crfleet.Account
	for i := range 5 {
		accounts = append(accounts, account(fmt.Sprintf("firm-%d", i+1), 5000, 5000))
	}
	return accounts
}

var healthy = crupstream.Fault{Kind: crupstream.FaultNone}

var _ = Describe("Unhealthy upstreams", Ordered, ContinueOnFailure, func() {
	var f *crfleet.Fleet
	var w *ejectionWatch

	BeforeAll(func() {
		f, w = startHealthFleet(firmAccounts()...)
		time.Sleep(2 * time.Second)
	})

	// One upstream becomes unhealthy while its health and load pages may be wrong.
	// Until the last daemon has ejected it, some callers wait for it or get its errors,
	// and the kit of a late hold goes to another crew.
	DescribeTable("stop receiving work at every daemon", func(i int, fault crupstream.Fault) {
		t := f.Target(i)
		t.SetFault(fault)
		start := time.Now()
		Eventually(func() bool { return w.ejectedByAll(t.Name()) }, detectionTimeout, "20ms").Should(BeTrue())
		AddReportEntry("ejected by all daemons after", time.Since(start).Round(10*time.Millisecond).String())
		ran := 0
		for _, r := range t.Log() {
			if r.At.After(start) {
				ran++
			}
		}
		AddReportEntry("requests that ran there meanwhile", ran)
		t.SetFault(healthy)
		Expect(len(w.maxEjected())).To(BeNumerically("<=", healthDaemons-healthFloor), "below the floor: %v", w.maxEjected())
		must(w.error())
		Eventually(w.noneEjected, "25s", "50ms").Should(BeTrue(), "a recovered target returns to service")
	},
		Entry("when slow", 0, crupstream.Fault{Kind: crupstream.FaultSlow, Factor: 8}),
		Entry("when they send another request's response", 1, crupstream.Fault{Kind: crupstream.FaultWrong}),
		Entry("when they fail, and their health page is ok", 2, crupstream.Fault{Kind: crupstream.FaultError, Health: "ok"}),
		Entry("when they flap", 3, crupstream.Fault{Kind: crupstream.FaultFlap, Factor: 10, Period: 3 * time.Second}),
		Entry("when they stall", 4, crupstream.Fault{Kind: crupstream.FaultStall}),
		Entry("when slow, and their load page is wrong", 5, crupstream.Fault{Kind: crupstream.FaultLie, Factor: 8}),
	)

	// Three upstreams become unhealthy at nearly the same time, and only two may be
	// ejected. Without the third the remaining upstreams would be overloaded.
	It("are never ejected below the floor", func() {
		for i := range 3 {
			f.Target(i).SetFault(crupstream.Fault{Kind: crupstream.FaultSlow, Factor: 8 + float64(i)})
		}
		Eventually(func() int { return len(w.maxEjected()) }, detectionTimeout, "20ms").Should(Equal(healthDaemons - healthFloor))
		Consistently(func() int { return len(w.maxEjected()) }, "4s", "50ms").Should(BeNumerically("<=", healthDaemons-healthFloor))
		for i := range 3 {
			f.Target(i).SetFault(healthy)
		}
		must(w.error())
	})
})

var _ = Describe("Upstreams that are no outliers", func() {
	// All upstreams are five times slower at once. None is an outlier, and each
	// ejection would make the remaining ones slower still.
	It("are not ejected when all are slow at once", func() {
		f, w := startHealthFleet(firmAccounts()...)
		time.Sleep(2 * time.Second)
		for _, t := range f.Targets() {
			t.SetFault(crupstream.Fault{Kind: crupstream.FaultSlow, Factor: 5})
		}
		Consistently(func() []string { return w.maxEjected() }, "8s", "100ms").Should(BeEmpty())
		must(w.error())
	})

	// One account sends requests on which every upstream fails, for that account
	// alone. A target that gets these requests must not be ejected for them.
	It("are not taken out for one account's poison", func() {
		accounts := firmAccounts()
		f, w := startHealthFleet(accounts...)
		time.Sleep(2 * time.Second)
		for _, t := range f.Targets()[:3] {
			t.SetFault(crupstream.Fault{Kind: crupstream.FaultPoison, Account: accounts[0].Name})
		}
		Consistently(func() []string { return w.maxEjected() }, "8s", "100ms").Should(BeEmpty())
		must(w.error())
	})
})
