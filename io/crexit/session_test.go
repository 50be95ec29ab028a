package crexit_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crforward"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crclock"
	"camphorroad/io/crhop"
)

func okHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
}

// After a process pause, an exit starts no forward of a session opened before it. An
// entry that kept such a session would be refused until the session ends.
func TestSessionIsRenewedAfterExitPause(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHop(t, okHandler(), service)
	_, err := h.get(1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	old, err := h.peers.Session(t.Context(), "exit")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h.detector.Tick(crclock.Now().Add(2 * time.Hour)) // simulates a pause of two hours
	ex, err := h.client.Forward(t.Context(), "exit", forward(2, crpolicy.ClassOnce), nil, func(*crhop.Handle) {})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ex.Response.Kind).To(gomega.Equal(crhop.KindRefusal))
	g.Expect(ex.Response.NotRun).To(gomega.BeTrue())
	g.Expect(ex.Response.Reason).To(gomega.Equal(crforward.ReasonStale.String()))
	g.Expect(ex.Body.Close()).To(gomega.Succeed())
	g.Eventually(old.Context().Done()).Should(gomega.BeClosed())
	renewed, err := h.peers.Session(t.Context(), "exit")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(renewed).NotTo(gomega.BeIdenticalTo(old))
}

// A session, or the local ledger, whose records are used up must be replaced without a
// refused or truncated request, including requests running on the old session.
func TestSessionIsRenewedWhenLedgerIsFull(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	h := newHop(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-release
		}
		_, _ = io.WriteString(w, "answer")
	}), service)
	long := forward(1<<60, crpolicy.ClassOnce)
	long.URI, long.Timeout = "/long", time.Minute
	result := make(chan error, 1)
	go func() {
		ex, err := h.client.Forward(context.Background(), "exit", long, nil, func(*crhop.Handle) {})
		if err == nil {
			_, err = io.Copy(io.Discard, ex.Body)
			_ = ex.Body.Close()
		}
		result <- err
	}()
	first, err := h.peers.Session(t.Context(), "exit")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(h.exit.InFlight).Should(gomega.BeEquivalentTo(1))

	// Forwards that have expired are recorded, and cost little.
	records := uint64(crforward.DefaultLedgerParams().MaxRecords)
	var wg sync.WaitGroup
	var closed atomic.Int64
	for worker := range uint64(16) {
		wg.Go(func() {
			for n := range 2 * records / 16 {
				f := forward(worker<<32|n, crpolicy.ClassRepeat)
				f.Timeout = 0
				ex, err := h.client.Forward(context.Background(), "exit", f, nil, func(*crhop.Handle) {})
				if err != nil || ex.Response.Reason == crforward.ReasonClosed.String() {
					closed.Add(1)
				}
				if err == nil {
					_ = ex.Body.Close()
				}
			}
		})
	}
	wg.Wait()
	g.Expect(closed.Load()).To(gomega.BeZero())
	close(release)
	g.Expect(<-result).To(gomega.Succeed(), "the request running on the old session finishes")
	g.Eventually(first.Context().Done()).Should(gomega.BeClosed())

	for n := range 2 * records {
		f := forward(n, crpolicy.ClassRepeat)
		f.Timeout = 0
		ex := h.exit.Run(t.Context(), h.exit.LocalLedger(), f, nil)
		g.Expect(ex.Response.Reason).To(gomega.Equal(crforward.ReasonExpired.String()))
		_ = ex.Body.Close()
	}
}

// A forward with another session's ID, such as one delayed from before a restart, must
// not start. Later forwards of the session itself must still run.
func TestForwardWithWrongSessionIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs atomic.Int64
	h := newHop(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }), service)
	_, err := h.get(1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, err := h.peers.Session(t.Context(), "exit")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f := forward(2, crpolicy.ClassOnce)
	f.Session = 12345
	resp, err := rawForward(s, f)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.Kind).To(gomega.Equal(crhop.KindRefusal))
	g.Expect(resp.NotRun).To(gomega.BeTrue())
	g.Expect(runs.Load()).To(gomega.BeEquivalentTo(1))
	_, err = h.get(3)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// A new policy lowers the connections and the queue of a target. With the old limits
// the daemon would go on overloading it.
func TestApplyLowersConnectionAndQueueLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	var mu sync.Mutex
	conns := map[string]bool{}
	h := newHop(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		conns[r.RemoteAddr] = true
		mu.Unlock()
		<-release
	}), service)
	connCount := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(conns)
	}
	apply := func(svc crpolicy.Service) { h.exit.Apply(crpolicy.NewSnapshot(2, []crpolicy.Service{svc}, nil)) }
	apply(crpolicy.Service{Name: "s", Slots: 8, Queue: 8, Connections: 3})
	var wg sync.WaitGroup
	kinds := make(chan crhop.Kind, 20)
	send := func(n uint64) {
		wg.Go(func() {
			ex := h.exit.Run(t.Context(), h.exit.LocalLedger(), forward(n, crpolicy.ClassOnce), nil)
			kinds <- ex.Response.Kind
			_ = ex.Body.Close()
		})
	}
	for n := range uint64(8) {
		send(n + 1)
	}
	g.Eventually(connCount).Should(gomega.Equal(3))
	g.Consistently(connCount, 200*time.Millisecond).Should(gomega.Equal(3))
	apply(crpolicy.Service{Name: "s", Slots: 8, Queue: 0, Connections: 3})
	send(100)
	g.Eventually(kinds).Should(gomega.Receive(gomega.Equal(crhop.KindRefusal)), "the queue is full")
	finish()
	wg.Wait()
	g.Expect(kinds).To(gomega.HaveLen(8))
	for range 8 {
		g.Expect(<-kinds).To(gomega.Equal(crhop.KindResponse))
	}
}
