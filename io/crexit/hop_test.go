package crexit_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"camphorroad/core/crevent"
	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crcert"
	"camphorroad/io/crclock"
	"camphorroad/io/crexit"
	"camphorroad/io/crhop"
	"camphorroad/io/crpeer"
	"camphorroad/io/crwire"
)

// hop is an entry's client and an exit in one process, connected over real sessions.
type hop struct {
	client   *crhop.Client
	exit     *crexit.Exit
	peers    *crpeer.Transport
	detector *crforward.PauseDetector
}

// rawForward sends a forward unchanged, with the session ID that it carries.
func rawForward(s *crpeer.Session, f *crhop.Forward) (crhop.Response, error) {
	stream, err := s.OpenStream()
	if err != nil {
		return crhop.Response{}, err
	}
	defer s.ReleaseStream()
	w := crwire.NewWriter(stream)
	var resp crhop.Response
	err = errors.Join(w.Kind(crhop.StreamForward), w.Value(f), w.End(), stream.Close())
	return resp, errors.Join(err, crwire.NewReader(stream).Value(&resp))
}

type handler struct{ exit *crexit.Exit }

func (handler) HandleMessage(crid.Daemon, crevent.Message) {}

func (h handler) AcceptSession(ctx context.Context, _ crid.Daemon) func(context.Context, *quic.Stream) {
	return h.exit.OpenSession(ctx)
}

func newHop(tb testing.TB, upstream http.Handler, svc crpolicy.Service) *hop {
	tb.Helper()
	g := gomega.NewWithT(tb)
	srv := httptest.NewServer(upstream)
	tb.Cleanup(srv.Close)
	dir := tb.TempDir()
	g.Expect(crcert.Issue(dir, "entry", "exit")).To(gomega.Succeed())
	detector := crforward.NewPauseDetector(time.Hour, crclock.Now())
	exit := crexit.New(crexit.Options{
		Targets:       []crexit.TargetSpec{{Name: "t", Service: svc.Name, Addr: strings.TrimPrefix(srv.URL, "http://")}},
		PauseDetector: detector,
		Clock:         crclock.Now,
	})
	g.Expect(exit.Apply(crpolicy.NewSnapshot(1, []crpolicy.Service{svc}, nil))).To(gomega.BeEmpty())
	listen := func(name string) *crpeer.Transport {
		id, err := crpeer.LoadIdentity(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "ca.pem"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reg, err := crwire.NewRegistry()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t, err := crpeer.Listen(context.Background(), crpeer.Options{Addr: "127.0.0.1:0", Identity: id, Registry: reg, Handler: handler{exit: exit}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		tb.Cleanup(func() { _ = t.Close() })
		return t
	}
	entry, remote := listen("entry"), listen("exit")
	entry.SetAddrs(map[crid.Daemon]string{"exit": remote.Addr()})
	return &hop{client: crhop.NewClient(entry), exit: exit, peers: entry, detector: detector}
}

var service = crpolicy.Service{Name: "s", Slots: 256, Queue: 256}

func forward(n uint64, class crpolicy.Class) *crhop.Forward {
	f := &crhop.Forward{Service: "s", Target: "t", Account: "a", Class: class, Timeout: 5 * time.Second, Method: "GET", URI: "/x", Host: "h"}
	for i := range 8 {
		f.ID[i] = byte(n >> (8 * i))
	}
	return f
}

func (h *hop) get(n uint64) (time.Duration, error) {
	start := time.Now()
	ex, err := h.client.Forward(context.Background(), "exit", forward(n, crpolicy.ClassRepeat), nil, func(*crhop.Handle) {})
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, ex.Body)
	_ = ex.Body.Close()
	return time.Since(start), err
}

// BenchmarkHop compares a forward over a session to an exit and its upstream with the
// same request sent directly to the upstream.
func BenchmarkHop(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	b.Run("forward", func(b *testing.B) {
		h := newHop(b, handler, service)
		var n uint64
		var mu sync.Mutex
		measure(b, func() (time.Duration, error) {
			mu.Lock()
			n++
			id := n
			mu.Unlock()
			return h.get(id)
		})
		session, err := h.peers.Session(b.Context(), "exit")
		if err != nil {
			b.Fatal(err)
		}
		stats := session.Stats()
		b.ReportMetric(float64(stats.PacketsSent)/float64(n), "sent/op")
		b.ReportMetric(float64(stats.PacketsReceived)/float64(n), "received/op")
		b.ReportMetric(float64(stats.PacketsLost), "lost")
	})
	b.Run("direct", func(b *testing.B) {
		srv := httptest.NewServer(handler)
		defer srv.Close()
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
		measure(b, func() (time.Duration, error) {
			start := time.Now()
			resp, err := client.Get(srv.URL) //nolint:noctx // a benchmark's request
			if err != nil {
				return 0, err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			return time.Since(start), err
		})
	})
}

func measure(b *testing.B, do func() (time.Duration, error)) {
	b.ReportAllocs()
	var mu sync.Mutex
	var all []time.Duration
	b.RunParallel(func(pb *testing.PB) {
		var local []time.Duration
		for pb.Next() {
			d, err := do()
			if err != nil {
				b.Error(err)
				return
			}
			local = append(local, d)
		}
		mu.Lock()
		all = append(all, local...)
		mu.Unlock()
	})
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99us")
	b.ReportMetric(float64(all[len(all)*999/1000].Microseconds()), "p999us")
}

// An exit that responds before it has read the whole request stops reading. An entry that
// took its failed write for a lost forward would return 504 for a request that ran.
func TestForwardWithEarlyResponseSucceeds(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHop(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "a") }), service)
	var wg sync.WaitGroup
	errs := make(chan error, 8)
	for worker := range uint64(8) {
		wg.Go(func() {
			for n := range uint64(4000) {
				f := forward(worker<<32|n, crpolicy.ClassOnce)
				f.Target = "nobody" // refused at once, before the request is read
				ex, err := h.client.Forward(t.Context(), "exit", f, nil, func(*crhop.Handle) {})
				if err != nil {
					errs <- err
					return
				}
				_ = ex.Body.Close()
			}
		})
	}
	wg.Wait()
	g.Expect(errs).To(gomega.BeEmpty())
}
