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

// path is the whole way of a request in one process: a caller's server, the
// entry, a session, the exit, and an upstream of the test's making.
type path struct {
	*gomega.WithT
	t     testing.TB
	addr  string
	entry *crentry.Entry
	exit  *crexit.Exit

	mu       sync.Mutex
	outcomes []crentry.Outcome
	faults   []crhop.Fault
}

type handler struct{ exit *crexit.Exit }

func (handler) HandleMessage(crid.Daemon, crevent.Message) {}

func (h handler) AcceptSession(ctx context.Context, _ crid.Daemon) func(context.Context, *quic.Stream) {
	return h.exit.OpenSession(ctx)
}

type freely struct{}

func (freely) Admit(context.Context, crid.Account, crid.Instant) (bool, time.Duration) {
	return true, 0
}

type remote struct{ client *crhop.Client }

func (r remote) Forward(
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

func newPath(t testing.TB, upstream string, change ...func(*crpolicy.Service)) *path {
	t.Helper()
	p := &path{WithT: gomega.NewWithT(t), t: t}
	svc := testService()
	for _, f := range change {
		f(&svc)
	}
	account := func(name crid.Account, key string) crpolicy.Account {
		return crpolicy.Account{Name: name, Rate: 1000, Burst: 1000, Keys: []crpolicy.KeyHash{crpolicy.HashKey(key)}}
	}
	snap := crpolicy.NewSnapshot(1, []crpolicy.Service{svc}, []crpolicy.Account{account("alpha", alphaKey), account("beta", betaKey)})
	p.exit = crexit.New(crexit.Options{
		Targets: []crexit.Spec{{Name: "t", Service: "s", Addr: upstream}},
		Pulse:   crforward.NewPauseDetector(time.Hour, crclock.Now()),
		Clock:   crclock.Now,
		Observe: p.fault,
		Idle:    bodyIdle,
	})
	p.Expect(p.exit.Apply(snap)).To(gomega.BeEmpty())
	view, err := crview.Build(crview.Input{Self: "entry", Snapshot: snap, Loads: crview.NewLoadRegistry(), List: crinstance.NewList(1, []crinstance.Instance{
		{Daemon: "exit", State: crinstance.StateLive, Targets: []crinstance.Target{{Name: "t", Service: "s"}}},
	})})
	p.Expect(err).NotTo(gomega.HaveOccurred())
	p.entry = crentry.New(crentry.Options{
		View:    func() *crview.View { return view },
		Trusted: func(crid.Instant) bool { return true },
		Admit:   freely{},
		Hop:     p.hop(),
		Clock:   crclock.Now,
		Observe: p.observe,
		Replay:  64 << 10,
		Held:    100,
		Idle:    bodyIdle,
	})
	p.serve()
	return p
}

// hop is the way to the exit: over sessions, unless the test has set another.
func (p *path) hop() crentry.Hop {
	if b, ok := p.t.(*straight); ok {
		return here{b, p.exit}
	}
	return remote{p.sessions()}
}

// straight marks a benchmark without the second hop.
type straight struct{ testing.TB }

// here runs the exit's part in the entry's process, which then is an entry that
// goes straight to the upstream.
type here struct {
	testing.TB
	exit *crexit.Exit
}

func (h here) Forward(
	ctx context.Context, _ *crroute.Target, f *crhop.Forward, body crentry.BodySource, sent func(crentry.Revoker),
) (*crhop.Exchange, error) {
	sent(nil)
	return h.exit.Run(ctx, h.exit.Own(), f, body.Open()), nil
}

func (p *path) sessions() *crhop.Client {
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
	near, far := listen("entry"), listen("exit")
	near.SetAddrs(map[crid.Daemon]string{"exit": far.Addr()})
	return crhop.NewClient(near)
}

func (p *path) serve() {
	var lc net.ListenConfig
	ln, err := lc.Listen(p.t.Context(), "tcp", "127.0.0.1:0")
	p.Expect(err).NotTo(gomega.HaveOccurred())
	srv := crentry.NewServer(p.entry, crentry.ServerOptions{HeaderBytes: 16 << 10, HeaderTime: bodyIdle})
	go func() { _ = srv.Serve(ln) }()
	p.t.Cleanup(func() { _ = srv.Close() })
	p.addr = ln.Addr().String()
}

func (p *path) observe(_ crid.Service, _ crid.Target, _ crid.Account, o crentry.Outcome, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

func (p *path) fault(_ crid.Target, _ crid.Account, f crhop.Fault, _ int, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, f)
}

// evidence returns what the entry and the exit have said of the target.
func (p *path) evidence() ([]crentry.Outcome, []crhop.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]crentry.Outcome(nil), p.outcomes...), append([]crhop.Fault(nil), p.faults...)
}

// dial opens a caller's connection for raw bytes.
func (p *path) dial(text string) net.Conn {
	p.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(p.t.Context(), "tcp", p.addr)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	p.t.Cleanup(func() { _ = conn.Close() })
	p.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	_, err = io.WriteString(conn, text)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

// answer is what a caller got: a body that broke off has err set.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (p *path) raw(text string) answer {
	p.t.Helper()
	return readAnswer(p.dial(text))
}

func readAnswer(conn net.Conn) answer {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return whole(resp, err)
}

func whole(resp *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// get sends a well-formed request.
func (p *path) get(uri string) answer { return p.send("GET", uri, "") }

func (p *path) send(method, uri, body string) answer {
	p.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return p.via(client, method, uri, body)
}

func (p *path) via(client *http.Client, method, uri, body string) answer {
	p.t.Helper()
	req, err := http.NewRequestWithContext(p.t.Context(), method, "http://"+p.addr+uri, strings.NewReader(body))
	p.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+alphaKey)
	return whole(client.Do(req)) //nolint:bodyclose // whole closes it
}

// recorder is an upstream that keeps every byte of the requests' heads and
// bodies as it got them.
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
