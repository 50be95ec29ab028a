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
	sickDaemons = 6
	sickFloor   = 4
	// foundWithin is far above the seconds that detection takes, for machines
	// that are busy with other things.
	foundWithin = 15 * time.Second
)

// sickPolicy keeps four of the targets in service, whatever is found.
var sickPolicy = `
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

// ejectedWatch asks every daemon all the time which targets it has taken out of
// service, and keeps the most that were out at one time over the whole fleet.
type ejectedWatch struct {
	mu    sync.Mutex
	by    map[string][]string // daemon to targets
	most  []string
	err   error
	ended chan struct{}
}

func watchEjected(ctx context.Context, f *crfleet.Fleet) *ejectedWatch {
	w := &ejectedWatch{by: make(map[string][]string), ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		for ctx.Err() == nil {
			for _, d := range f.Daemons() {
				state, err := d.State(ctx)
				switch {
				case err == nil:
					w.saw(d.Name(), state.Ejected())
				case ctx.Err() == nil:
					w.failed(err)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return w
}

func (w *ejectedWatch) failed(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
}

// error is the last that a dump could not be had for: what was not seen must
// not count as not ejected.
func (w *ejectedWatch) error() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil && len(w.by) < sickDaemons {
		return errors.New("not every daemon's dump was seen")
	}
	return w.err
}

func (w *ejectedWatch) saw(daemon string, targets []string) {
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

// everywhere reports whether every daemon has taken the target out.
func (w *ejectedWatch) everywhere(target string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, names := range w.by {
		if !slices.Contains(names, target) {
			return false
		}
	}
	return len(w.by) == sickDaemons
}

// nowhere reports whether no daemon has taken any target out.
func (w *ejectedWatch) nowhere() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, names := range w.by {
		if len(names) > 0 {
			return false
		}
	}
	return true
}

func (w *ejectedWatch) mostOut() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.most)
}

// sickFleet starts a fleet under load, with a watch, until the spec's end.
func sickFleet(accounts ...crfleet.Account) (*crfleet.Fleet, *ejectedWatch) {
	f := startFleet(
		crfleet.WithDaemons(sickDaemons),
		crfleet.WithServices(crfleet.Service{Name: "booking", Policy: sickPolicy, ServiceTime: 10 * time.Millisecond}),
		crfleet.WithAccounts(accounts...),
	)
	ctx, cancel := context.WithCancel(context.Background())
	plan := crload.Plan{Seconds: 300, Seed: 51, Entries: f.URLs()}
	for _, a := range accounts {
		plan.Accounts = append(plan.Accounts, crload.Account{Name: a.Name, Key: a.Key(), Rate: 60, Calls: reads})
	}
	var load sync.WaitGroup
	load.Go(func() { _, _ = crload.Run(ctx, plan) })
	w := watchEjected(ctx, f)
	DeferCleanup(func() {
		cancel()
		load.Wait()
		<-w.ended
	})
	return f, w
}

func sickAccounts() []crfleet.Account {
	var accounts []crfleet.Account
	for i := range 5 {
		accounts = append(accounts, account(fmt.Sprintf("firm-%d", i+1), 5000, 5000))
	}
	return accounts
}

var well = crupstream.Fault{Kind: crupstream.FaultNone}

var _ = Describe("Sick upstreams", Ordered, ContinueOnFailure, func() {
	var f *crfleet.Fleet
	var w *ejectedWatch

	BeforeAll(func() {
		f, w = sickFleet(sickAccounts()...)
		time.Sleep(2 * time.Second)
	})

	// One upstream grows sick while its health and load pages say what they
	// like. Until the last daemon has noticed, some callers still wait for it
	// or get its errors, and a late hold loses a kit to another crew.
	DescribeTable("stop receiving work at every daemon", func(i int, fault crupstream.Fault) {
		t := f.Target(i)
		t.SetFault(fault)
		start := time.Now()
		Eventually(func() bool { return w.everywhere(t.Name()) }, foundWithin, "20ms").Should(BeTrue())
		AddReportEntry("found everywhere after", time.Since(start).Round(10*time.Millisecond).String())
		sent := 0
		for _, r := range t.Log() {
			if r.At.After(start) {
				sent++
			}
		}
		AddReportEntry("sent to it meanwhile", sent)
		t.SetFault(well)
		Expect(len(w.mostOut())).To(BeNumerically("<=", sickDaemons-sickFloor), "below the floor: %v", w.mostOut())
		must(w.error())
		Eventually(w.nowhere, "25s", "50ms").Should(BeTrue(), "a mended target comes back")
	},
		Entry("when slow", 0, crupstream.Fault{Kind: crupstream.FaultSlow, Factor: 8}),
		Entry("when they answer with another's answer", 1, crupstream.Fault{Kind: crupstream.FaultWrong}),
		Entry("when they err, and their health page is well", 2, crupstream.Fault{Kind: crupstream.FaultError, Health: "ok"}),
		Entry("when they flap", 3, crupstream.Fault{Kind: crupstream.FaultFlap, Factor: 10, Period: 3 * time.Second}),
		Entry("when they stall", 4, crupstream.Fault{Kind: crupstream.FaultStall}),
		Entry("when slow, and their load page lies", 5, crupstream.Fault{Kind: crupstream.FaultLie, Factor: 8}),
	)

	// Three upstreams sicken within a moment, of which only two can be spared.
	// With the third one out as well the rest would drown in its work.
	It("are never taken out below the floor", func() {
		for i := range 3 {
			f.Target(i).SetFault(crupstream.Fault{Kind: crupstream.FaultSlow, Factor: 8 + float64(i)})
		}
		Eventually(func() int { return len(w.mostOut()) }, foundWithin, "20ms").Should(Equal(sickDaemons - sickFloor))
		Consistently(func() int { return len(w.mostOut()) }, "4s", "50ms").Should(BeNumerically("<=", sickDaemons-sickFloor))
		for i := range 3 {
			f.Target(i).SetFault(well)
		}
		must(w.error())
	})
})

var _ = Describe("Upstreams that are not to blame", func() {
	// Tax day: everything is five times slower for everybody. Nothing is sicker
	// than the rest, and whatever is taken out makes the rest slower still.
	It("are not taken out when all are slow at once", func() {
		f, w := sickFleet(sickAccounts()...)
		time.Sleep(2 * time.Second)
		for _, t := range f.Targets() {
			t.SetFault(crupstream.Fault{Kind: crupstream.FaultSlow, Factor: 5})
		}
		Consistently(func() []string { return w.mostOut() }, "8s", "100ms").Should(BeEmpty())
		must(w.error())
	})

	// One account sends what no upstream can digest, and every one errs for that
	// account alone. Whichever target its requests happen to meet looks as if
	// it failed.
	It("are not taken out for one account's poison", func() {
		accounts := sickAccounts()
		f, w := sickFleet(accounts...)
		time.Sleep(2 * time.Second)
		for _, t := range f.Targets()[:3] {
			t.SetFault(crupstream.Fault{Kind: crupstream.FaultPoison, Account: accounts[0].Name})
		}
		Consistently(func() []string { return w.mostOut() }, "8s", "100ms").Should(BeEmpty())
		must(w.error())
	})
})
