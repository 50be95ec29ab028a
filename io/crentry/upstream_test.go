package crentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crpolicy"
	"camphorroad/io/crentry"
	"camphorroad/io/crhop"
)

// rawUpstream is an upstream that writes raw bytes. The test's respond function handles
// each request.
type rawUpstream struct {
	net.Listener
	conns, requests atomic.Int64
	closed          chan struct{} // receives a value when a connection ends
}

func newRawUpstream(t *testing.T, respond func(s *rawUpstream, conn net.Conn, r *http.Request) bool) *rawUpstream {
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	s := &rawUpstream{Listener: ln, closed: make(chan struct{}, 100)}
	var wg sync.WaitGroup
	t.Cleanup(func() { _ = ln.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			context.AfterFunc(t.Context(), func() { _ = conn.Close() })
			wg.Go(func() { s.serve(conn, respond) })
		}
	})
	return s
}

func (s *rawUpstream) serve(conn net.Conn, respond func(*rawUpstream, net.Conn, *http.Request) bool) {
	defer func() { _ = conn.Close(); s.closed <- struct{}{} }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		if !respond(s, conn, r) {
			return
		}
	}
}

func (s *rawUpstream) addr() string { return s.Addr().String() }

// respondWith returns a respond function that writes the same text for every request and
// keeps the connection or not.
func respondWith(text string, keep bool) func(*rawUpstream, net.Conn, *http.Request) bool {
	return func(_ *rawUpstream, conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, text)
		return keep
	}
}

// clients returns clients of the protocols that must show a truncated response.
func clients() map[string]*http.Client {
	var h2c http.Protocols
	h2c.SetUnencryptedHTTP2(true)
	return map[string]*http.Client{
		"http/1.1": {Transport: &http.Transport{DisableKeepAlives: true}},
		"h2c":      {Transport: &http.Transport{Protocols: &h2c, DisableKeepAlives: true}},
	}
}

// Whatever an upstream sends, the caller must get the whole response, an aborted stream or a
// refusal; not a closed connection as long as nothing of the response was sent.
func TestFaultyUpstreams(t *testing.T) {
	const stall = "stall"
	cases := []struct {
		name, text string
		keep       bool
		status     int // 0: the stream breaks
		body       string
	}{
		{"complete with length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", true, 200, "fine"},
		{"complete in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", true, 200, "fine"},
		{"closes at once", "", false, 504, ""},
		{"closes within the head", "HTTP/1.1 200 OK\r\nContent-", false, 504, ""},
		{"no status line", "hello\r\n\r\n", false, 504, ""},
		{"status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n", true, 504, ""},
		{"switches protocols", "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nhello", true, 504, ""},
		{"too many 1xx", strings.Repeat("HTTP/1.1 103 Early\r\nX: "+strings.Repeat("a", 1000)+"\r\n\r\n", 200), false, 504, ""},
		{"head too large", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 128<<10) + "\r\n\r\n", false, 504, ""},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nfine", true, 504, ""},
		{"body shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfine", false, 504, ""},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n", false, 0, ""},
		{"long body truncated", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("a", 50000), false, 0, ""},
		{"neither length nor chunked", "HTTP/1.1 200 OK\r\n\r\nfi", false, 504, ""},
		{"body longer than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine and more", true, 200, "fine"},
		{"malformed chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, 504, ""},
		{"stalls within the body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfine" + stall, true, 504, ""},
		{"stalls between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n" + stall, true, 0, ""},
		{"204 with content", "HTTP/1.1 204 No\r\nContent-Length: 4\r\n\r\nfine", true, 204, ""},
		{"not modified", "HTTP/1.1 304 Not Modified\r\nEtag: x\r\n\r\n", true, 304, ""},
	}
	for _, c := range cases {
		for name, client := range clients() {
			t.Run(c.name+" over "+name, func(t *testing.T) {
				up := newRawUpstream(t, respondWith(strings.TrimSuffix(c.text, stall), c.keep))
				p := newHarness(t, up.addr())
				got := p.via(client, "POST", "/once", "")
				p.Eventually(p.exit.InFlight, 2*time.Second).Should(gomega.BeZero())
				p.Expect(up.requests.Load()).To(gomega.BeEquivalentTo(1))
				if c.status == 0 || c.status == http.StatusGatewayTimeout {
					p.Eventually(func() []crentry.AttemptOutcome { o, _ := p.evidence(); return o }).Should(gomega.ContainElement(crentry.OutcomeFailed))
				}
				if c.status == 0 {
					p.Expect(got.err).To(gomega.HaveOccurred(), "%+v", got)
					return
				}
				p.Expect(got.err).NotTo(gomega.HaveOccurred())
				p.Expect(got.status).To(gomega.Equal(c.status))
				if c.status == http.StatusGatewayTimeout {
					p.Expect(got.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("unknown"))
					p.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
					return
				}
				p.Expect(got.body).To(gomega.Equal(c.body))
			})
		}
	}
}

// After an extra response, each request on a connection gets the previous one's response,
// perhaps another account's. An identity echo must detect it and close the connection.
func TestExtraResponseReachesNoOtherCaller(t *testing.T) {
	var mu sync.Mutex
	before := map[net.Conn]string{}
	up := newRawUpstream(t, func(_ *rawUpstream, conn net.Conn, r *http.Request) bool {
		id := r.Header.Get("Camphorroad-Request")
		mu.Lock()
		echo := before[conn]
		before[conn] = id
		mu.Unlock()
		if echo == "" {
			echo = id
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Echo: "+echo+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	p := newHarness(t, up.addr(), func(s *crpolicy.Service) { s.IdentityEcho = "X-Echo"; s.Slots = 1 })
	served := 0
	for range 20 {
		got := p.send("POST", "/once", "")
		p.Expect(got.err).NotTo(gomega.HaveOccurred())
		if got.status == 200 {
			served++
			continue
		}
		p.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
		p.Expect(got.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("unknown"))
	}
	p.Expect(served).To(gomega.Equal(10))
}

// If the upstream closes a keep-alive connection while a request of class once is sent,
// net/http by default resends some requests, and the request would run twice.
func TestClosedKeepAliveConnectionRunsNothingTwice(t *testing.T) {
	for _, method := range []string{"GET", "POST", "DELETE"} {
		for _, key := range []string{"", "Idempotency-Key: 1\r\n", "Idempotency-Key:\r\n", "X-Idempotency-Key: 1\r\n"} {
			t.Run(method+" "+key, func(t *testing.T) {
				var first atomic.Bool
				up := newRawUpstream(t, func(_ *rawUpstream, conn net.Conn, r *http.Request) bool {
					if r.URL.Path == "/warm" && !first.Swap(true) {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						return true
					}
					return false // has read and run the request, and closes
				})
				p := newHarness(t, up.addr())
				p.Expect(p.get("/warm").status).To(gomega.Equal(200))
				got := p.raw(method + " /once HTTP/1.1\r\n" + auth + key + "Content-Length: 0\r\n\r\n")
				p.Expect(got.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("unknown"))
				p.Expect(up.requests.Load()).To(gomega.BeEquivalentTo(2), "the first request and this one, each once")
			})
		}
	}
}

// A request assigned a closed idle connection was not sent and must be served. One sent while
// the upstream closes may have run: its outcome is unknown, and it must not be sent again.
func TestClosedIdleConnectionFailsNoRequest(t *testing.T) {
	up := newRawUpstream(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", false))
	p := newHarness(t, up.addr())
	for range 50 {
		p.Expect(p.send("POST", "/once", "body").status).To(gomega.Equal(200))
		<-up.closed
	}
	p.Expect(up.requests.Load()).To(gomega.BeEquivalentTo(50))
	const racing = 50
	answered := 0
	for range racing {
		got := p.send("POST", "/once", "body")
		if got.status == http.StatusOK {
			answered++
			continue
		}
		p.Expect(got.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("unknown"), "%+v", got)
	}
	p.Expect(up.requests.Load()).To(gomega.And(gomega.BeNumerically(">=", 50+answered), gomega.BeNumerically("<=", 50+racing)))
}

// If a caller disconnects while its request runs, the connection to the upstream must
// close and the slot must be freed, even if the upstream never responds.
func TestCancelledRequestFreesSlot(t *testing.T) {
	up := newRawUpstream(t, func(s *rawUpstream, conn net.Conn, r *http.Request) bool {
		if r.URL.Path == "/hang" {
			_, _ = conn.Read(make([]byte, 1)) // until the exit closes
			return false
		}
		return respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", true)(s, conn, r)
	})
	p := newHarness(t, up.addr(), func(s *crpolicy.Service) { s.Slots = 2 })
	conns := []net.Conn{p.dial("GET /hang HTTP/1.1\r\n" + auth + "\r\n"), p.dial("GET /hang HTTP/1.1\r\n" + auth + "\r\n")}
	p.Eventually(up.requests.Load).Should(gomega.BeEquivalentTo(2))
	for _, c := range conns {
		_ = c.Close()
	}
	p.Eventually(up.closed, 300*time.Millisecond).Should(gomega.Receive())
	p.Eventually(p.exit.InFlight, 300*time.Millisecond).Should(gomega.BeZero())
	p.Expect(p.get("/").body).To(gomega.Equal("fine"))
	_, faults := p.evidence()
	p.Expect(faults).To(gomega.Equal([]crhop.Fault{0}), "a caller that disconnected is not a failure of the target")
}

// A caller that stops reading a long response must not hold the target's slot.
func TestCallerThatStopsReadingHoldsNoSlot(t *testing.T) {
	p := newHarness(t, listenHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, &zeros{left: 64 << 20})
	})))
	p.dial("GET / HTTP/1.1\r\n" + auth + "\r\n")
	p.Eventually(p.exit.InFlight).Should(gomega.BeEquivalentTo(1))
	p.Eventually(p.exit.InFlight, 10*bodyIdle).Should(gomega.BeZero())
	p.Eventually(p.entry.InFlight, 10*bodyIdle).Should(gomega.BeZero())
}

// If a target sheds with 503 and Retry-After, the exit must lower its concurrency limit
// at once, and the caller must get the Retry-After.
func TestShedResponsesLowerSlots(t *testing.T) {
	var running, peak atomic.Int64
	var shedding atomic.Bool
	p := newHarness(t, listenHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		if shedding.Load() {
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		peak.Store(max(peak.Load(), n))
		time.Sleep(20 * time.Millisecond)
	})))
	burst := func() int64 {
		peak.Store(0)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() { _ = p.send("POST", "/once", "") })
		}
		wg.Wait()
		return peak.Load()
	}
	p.Expect(burst()).To(gomega.BeEquivalentTo(4))
	shedding.Store(true)
	got := p.send("POST", "/once", "")
	p.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	p.Expect(got.header.Get("Retry-After")).To(gomega.Equal("7"))
	shedding.Store(false)
	p.Expect(burst()).To(gomega.BeNumerically("<", 4))
}

// The slot of a request that hangs at the upstream must be freed at the deadline.
func TestHungRequestFreesSlotAtDeadline(t *testing.T) {
	up := newRawUpstream(t, func(_ *rawUpstream, conn net.Conn, r *http.Request) bool {
		if r.URL.Path == "/once" {
			_, _ = conn.Read(make([]byte, 1))
			return false
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	p := newHarness(t, up.addr(), func(s *crpolicy.Service) {
		s.Slots = 1
		s.Routes[0].Timeout = 400 * time.Millisecond
	})
	start := time.Now()
	p.Expect(p.send("POST", "/once", "").header.Get(crentry.HeaderOutcome)).To(gomega.Equal("unknown"))
	p.Expect(p.get("/").status).To(gomega.Equal(200))
	p.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
}
