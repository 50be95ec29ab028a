package crentry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"camphorroad/core/crevent"
	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crroute"
	"camphorroad/core/crview"
	"camphorroad/io/crcert"
	"camphorroad/io/crclock"
	"camphorroad/io/crentry"
	"camphorroad/io/crexit"
	"camphorroad/io/crhop"
	"camphorroad/io/crpeer"
	"camphorroad/io/crwire"
)

const (
	alphaKey = "crk_alpha-0123456789"
	betaKey  = "crk_beta-0123456789"
	bodyIdle = 300 * time.Millisecond
)

// harness runs the whole path of a request in one process: the server for callers, the
// entry, a session, the exit, and an upstream that the test provides.
type harness struct {
	*gomega.WithT
	t     testing.TB
	addr  string
	entry *crentry.Entry
	exit  *crexit.Exit

	mu       sync.Mutex
	outcomes []crentry.AttemptOutcome
	faults   []crhop.Fault
}

type handler struct{ exit *crexit.Exit }

func (handler) HandleMessage(crid.Daemon, crevent.Message) {}

func (h handler) AcceptSession(ctx context.Context, _ crid.Daemon) func(context.Context, *quic.Stream) {
	return h.exit.OpenSession(ctx)
}

type unlimited struct{}

func (unlimited) Admit(context.Context, crid.Account, crid.Instant) (bool, time.Duration) {
	return true, 0
}

type sessionForwarder struct{ client *crhop.Client }

func (r sessionForwarder) Forward(
	ctx context.Context, to *crroute.Target, f *crhop.Forward, body crentry.BodySource, sent func(crentry.Revoker),
) (*crhop.Exchange, error) {
	return r.client.Forward(ctx, to.Daemon(), f, body.Open(), func(h *crhop.Handle) { sent(revoker{r.client, h}) })
}

type revoker struct {
	client *crhop.Client
	handle *crhop.Handle
}

func (r revoker) Revoke(ctx context.Context) crforward.RevokeResult {
	return r.client.Revoke(ctx, r.handle)
}

func testService() crpolicy.Service {
	route := func(name, prefix string, class crpolicy.Class) crpolicy.Route {
		return crpolicy.Route{Name: crid.Route(name), Prefix: prefix, Class: class, Timeout: 2 * time.Second}
	}
	return crpolicy.Service{
		Name: "s", Slots: 4, Queue: 16, Connections: 16,
		Routes: []crpolicy.Route{route("once", "/once", crpolicy.ClassOnce), route("rest", "/", crpolicy.ClassRepeat)},
	}
}

func newHarness(t testing.TB, upstream string, change ...func(*crpolicy.Service)) *harness {
	t.Helper()
	p := &harness{WithT: gomega.NewWithT(t), t: t}
	svc := testService()
	for _, f := range change {
		f(&svc)
	}
	account := func(name crid.Account, key string) crpolicy.Account {
		return crpolicy.Account{Name: name, Rate: 1000, Burst: 1000, Keys: []crpolicy.KeyHash{crpolicy.HashKey(key)}}
	}
	snap := crpolicy.NewSnapshot(1, []crpolicy.Service{svc}, []crpolicy.Account{account("alpha", alphaKey), account("beta", betaKey)})
	p.exit = crexit.New(crexit.Options{
		Targets:         []crexit.TargetSpec{{Name: "t", Service: "s", Addr: upstream}},
		PauseDetector:   crforward.NewPauseDetector(time.Hour, crclock.Now()),
		Clock:           crclock.Now,
		Observe:         p.fault,
		BodyIdleTimeout: bodyIdle,
	})
	p.Expect(p.exit.Apply(snap)).To(gomega.BeEmpty())
	view, err := crview.Build(crview.Input{Self: "entry", Snapshot: snap, Loads: crview.NewLoadRegistry(), List: crinstance.NewList(1, []crinstance.Instance{
		{Daemon: "exit", State: crinstance.StateLive, Targets: []crinstance.Target{{Name: "t", Service: "s"}}},
	})})
	p.Expect(err).NotTo(gomega.HaveOccurred())
	p.entry = crentry.New(crentry.Options{
		View:            func() *crview.View { return view },
		Trusted:         func(crid.Instant) bool { return true },
		Admitter:        unlimited{},
		Forwarder:       p.forwarder(),
		Clock:           crclock.Now,
		Observe:         p.observe,
		ReplayBytes:     64 << 10,
		MaxInFlight:     100,
		BodyIdleTimeout: bodyIdle,
	})
	p.serve()
	return p
}

// forwarder returns the forwarder to the exit: over a session, or in process for a
// directPath.
func (p *harness) forwarder() crentry.Forwarder {
	if b, ok := p.t.(*directPath); ok {
		return localForwarder{b, p.exit}
	}
	return sessionForwarder{p.sessions()}
}

// directPath marks a benchmark whose entry runs the exit in its own process.
type directPath struct{ testing.TB }

// localForwarder runs the exit in the entry's process, so that the entry calls the
// upstream directly.
type localForwarder struct {
	testing.TB
	exit *crexit.Exit
}

func (h localForwarder) Forward(
	ctx context.Context, _ *crroute.Target, f *crhop.Forward, body crentry.BodySource, sent func(crentry.Revoker),
) (*crhop.Exchange, error) {
	sent(nil)
	return h.exit.Run(ctx, h.exit.LocalLedger(), f, body.Open()), nil
}

func (p *harness) sessions() *crhop.Client {
	dir := p.t.TempDir()
	p.Expect(crcert.Issue(dir, "entry", "exit")).To(gomega.Succeed())
	listen := func(name string) *crpeer.Transport {
		id, err := crpeer.LoadIdentity(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "ca.pem"))
		p.Expect(err).NotTo(gomega.HaveOccurred())
		reg, err := crwire.NewRegistry()
		p.Expect(err).NotTo(gomega.HaveOccurred())
		t, err := crpeer.Listen(context.Background(), crpeer.Options{Addr: "127.0.0.1:0", Identity: id, Registry: reg, Handler: handler{p.exit}})
		p.Expect(err).NotTo(gomega.HaveOccurred())
		p.t.Cleanup(func() { _ = t.Close() })
		return t
	}
	entry, exit := listen("entry"), listen("exit")
	entry.SetAddrs(map[crid.Daemon]string{"exit": exit.Addr()})
	return crhop.NewClient(entry)
}

func (p *harness) serve() {
	var lc net.ListenConfig
	ln, err := lc.Listen(p.t.Context(), "tcp", "127.0.0.1:0")
	p.Expect(err).NotTo(gomega.HaveOccurred())
	srv := crentry.NewServer(p.entry, crentry.ServerOptions{MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: bodyIdle})
	go func() { _ = srv.Serve(ln) }()
	p.t.Cleanup(func() { _ = srv.Close() })
	p.addr = ln.Addr().String()
}

func (p *harness) observe(_ crid.Service, _ crid.Target, _ crid.Account, o crentry.AttemptOutcome, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

func (p *harness) fault(_ crid.Target, _ crid.Account, f crhop.Fault, _ int, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, f)
}

// evidence returns what the entry and the exit have reported about the target.
func (p *harness) evidence() ([]crentry.AttemptOutcome, []crhop.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]crentry.AttemptOutcome(nil), p.outcomes...), append([]crhop.Fault(nil), p.faults...)
}

// dial opens a connection as a caller and sends text.
func (p *harness) dial(text string) net.Conn {
	p.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(p.t.Context(), "tcp", p.addr)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	p.t.Cleanup(func() { _ = conn.Close() })
	p.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	_, err = io.WriteString(conn, text)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

// response is what a caller received; err is set if the body was truncated.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (p *harness) raw(text string) response {
	p.t.Helper()
	return readResponse(p.dial(text))
}

func readResponse(conn net.Conn) response {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return toResponse(resp, err)
}

func toResponse(resp *http.Response, err error) response {
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// get sends a well-formed request.
func (p *harness) get(uri string) response { return p.send("GET", uri, "") }

func (p *harness) send(method, uri, body string) response {
	p.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return p.via(client, method, uri, body)
}

func (p *harness) via(client *http.Client, method, uri, body string) response {
	p.t.Helper()
	req, err := http.NewRequestWithContext(p.t.Context(), method, "http://"+p.addr+uri, strings.NewReader(body))
	p.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+alphaKey)
	return toResponse(client.Do(req)) //nolint:bodyclose // toResponse closes it
}

// recorder is an upstream that records the heads and bodies of the requests as it
// received them.
type recorder struct {
	*httptest.Server
	mu   sync.Mutex
	seen []string
}

func newRecorder(t *testing.T) *recorder {
	r := &recorder{}
	r.Server = httptest.NewServer(http.HandlerFunc(r.serve))
	t.Cleanup(r.Close)
	return r
}

func (r *recorder) serve(w http.ResponseWriter, req *http.Request) {
	var text strings.Builder
	text.WriteString(req.Method + " " + req.RequestURI + "\nHost: " + req.Host + "\n")
	_ = req.Header.Write(&text)
	b, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	text.WriteString("\n" + string(b))
	r.mu.Lock()
	r.seen = append(r.seen, text.String())
	r.mu.Unlock()
	_, _ = io.WriteString(w, "fine")
}

func (r *recorder) addr() string { return strings.TrimPrefix(r.URL, "http://") }

func (r *recorder) requests() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.seen...)
}

func listenHTTP(t testing.TB, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}
