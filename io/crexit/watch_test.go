package crexit_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crclock"
	"camphorroad/io/crexit"
	"camphorroad/io/crhop"
	"camphorroad/lab/crupstream"
)

// watchedExit is an exit with one target; it records the arguments of its callbacks.
type watchedExit struct {
	*gomega.WithT
	exit     *crexit.Exit
	upstream *crupstream.Upstream

	mu      sync.Mutex
	probes  []bool
	took    time.Duration
	reports []bool // of ReportedUnhealthy
	leaving []bool
}

func newWatchedExit(t *testing.T, change func(*crpolicy.Service)) *watchedExit {
	w := &watchedExit{WithT: gomega.NewWithT(t)}
	w.upstream = crupstream.New(crupstream.Options{Name: "t", Slots: 2, Queue: 2, ServiceTime: 25 * time.Millisecond})
	srv := httptest.NewServer(w.upstream)
	t.Cleanup(srv.Close)
	w.exit = crexit.New(crexit.Options{
		Targets:       []crexit.TargetSpec{{Name: "t", Service: "s", Addr: strings.TrimPrefix(srv.URL, "http://")}},
		PauseDetector: crforward.NewPauseDetector(time.Hour, crclock.Now()),
		Clock:         crclock.Now,
		Probe: func(_ crid.Target, ok bool, took time.Duration) {
			w.locked(func() { w.probes = append(w.probes, ok); w.took = took })
		},
		ReportedUnhealthy: func(_ crid.Target, unhealthy bool) { w.locked(func() { w.reports = append(w.reports, unhealthy) }) },
		Leaving:           func(_ crid.Target, l bool) { w.locked(func() { w.leaving = append(w.leaving, l) }) },
	})
	svc := crpolicy.Service{
		Name: "s", Slots: 2, Queue: 2, Connections: 8, HealthPath: "/health", LoadPath: "/load",
		Probe: crpolicy.Probe{Path: "/probe", Status: 200, Body: crupstream.ProbeBody, Interval: 100 * time.Millisecond},
	}
	change(&svc)
	w.Expect(w.exit.Apply(crpolicy.NewSnapshot(1, []crpolicy.Service{svc}, nil))).To(gomega.BeEmpty())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.exit.Watch(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return w
}

func (w *watchedExit) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// last returns a function that returns the last value of the list: 1 for true, 0 for
// false, -1 if the list is empty.
func (w *watchedExit) last(list *[]bool) func() int {
	return func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch l := *list; {
		case len(l) == 0:
			return -1
		case l[len(l)-1]:
			return 1
		}
		return 0
	}
}

// A target that gives wrong responses or hangs must fail its probes. One whose health page
// reports a failure must be reported as unhealthy.
func TestUnhealthyTargetIsReported(t *testing.T) {
	w := newWatchedExit(t, func(*crpolicy.Service) {})
	w.Eventually(w.last(&w.probes)).Should(gomega.Equal(1))
	w.Eventually(w.last(&w.reports), 2*time.Second).Should(gomega.Equal(0))
	w.Expect(w.took).To(gomega.BeNumerically(">=", 25*time.Millisecond))
	w.upstream.SetFault(crupstream.Fault{Kind: crupstream.FaultWrong, Health: "sick"})
	w.Eventually(w.last(&w.probes)).Should(gomega.Equal(0))
	w.Eventually(w.last(&w.reports), 2*time.Second).Should(gomega.Equal(1))
	w.upstream.SetFault(crupstream.Fault{Kind: crupstream.FaultStall})
	w.locked(func() { w.probes = nil })
	w.Eventually(w.last(&w.probes), 4*time.Second).Should(gomega.Equal(0), "a probe without a response has failed")
}

// All slots are held by requests that hang. A probe that counted its time in the
// queue would fail the target for it.
func TestProbeWaitsForSlot(t *testing.T) {
	w := newWatchedExit(t, func(s *crpolicy.Service) { s.Probe.Interval = time.Hour })
	w.upstream.SetFault(crupstream.Fault{Kind: crupstream.FaultStall})
	ctx, cancel := context.WithCancel(t.Context())
	for n := range uint64(2) {
		go w.exit.Run(ctx, w.exit.LocalLedger(), forward(n+1, crpolicy.ClassRepeat), nil)
	}
	w.Eventually(w.exit.InFlight).Should(gomega.BeEquivalentTo(2))
	svc := crpolicy.Service{Name: "s", Slots: 2, Queue: 2, Probe: crpolicy.Probe{Path: "/probe", Status: 200, Interval: 100 * time.Millisecond}}
	w.exit.Apply(crpolicy.NewSnapshot(2, []crpolicy.Service{svc}, nil))
	w.Consistently(w.last(&w.probes), 500*time.Millisecond).Should(gomega.Equal(-1))
	cancel()
}

// An upstream that reports draining must get no new work, and the exit must report it
// before the platform's list does.
func TestDrainingTargetIsReportedLeaving(t *testing.T) {
	w := newWatchedExit(t, func(*crpolicy.Service) {})
	w.upstream.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/lab/drain", nil)) //nolint:noctx // a recorder's request
	w.Eventually(w.last(&w.leaving), 3*time.Second).Should(gomega.Equal(1))
	ex := w.exit.Run(t.Context(), w.exit.LocalLedger(), forward(1, crpolicy.ClassOnce), nil)
	w.Expect(ex.Response.Kind).To(gomega.Equal(crhop.KindRefusal))
	w.Expect(ex.Response.NotRun).To(gomega.BeTrue())
	w.Expect(w.upstream.Runs().Total).To(gomega.BeZero())
}

// Watch stops all its goroutines when its context ends, even during a probe that hangs.
func TestWatchLeaksNoGoroutines(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Run("watch", func(t *testing.T) {
		w := newWatchedExit(t, func(*crpolicy.Service) {})
		w.upstream.SetFault(crupstream.Fault{Kind: crupstream.FaultStall})
		time.Sleep(300 * time.Millisecond)
	})
	goleak.VerifyNone(t, ignore)
}
