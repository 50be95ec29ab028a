package crentry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crpolicy"
	"camphorroad/io/crentry"
)

const auth = "Host: h\r\nAuthorization: Bearer " + alphaKey + "\r\n"

// A malformed request, from a faulty client or to exploit a difference between parsers, must
// be refused, must not reach the upstream, and must not affect the next caller.
func TestMalformedRequestsAreRefused(t *testing.T) {
	up := newRecorder(t)
	p := newHarness(t, up.addr())
	cases := []struct {
		name, text string
		status     int
	}{
		{"no request line", "hello\r\n\r\n", 400},
		{"space in a header name", "GET / HTTP/1.1\r\n" + auth + "Bad Name: x\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\nAuthorization: Bearer " + alphaKey + "\r\n\r\n", 400},
		{"head too large", "GET / HTTP/1.1\r\n" + auth + "X-Big: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", 431},
		{"two lengths", "POST / HTTP/1.1\r\n" + auth + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		{"negative length", "POST / HTTP/1.1\r\n" + auth + "Content-Length: -1\r\n\r\n", 400},
		{"unknown transfer coding", "POST / HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked, gzip\r\n\r\n", 501},
		{"HTTP/1.0", "GET / HTTP/1.0\r\n" + auth + "\r\n", 505},
		{"CONNECT", "CONNECT h:443 HTTP/1.1\r\n" + auth + "\r\n", 501},
		{"upgrade", "GET / HTTP/1.1\r\n" + auth + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 501},
		{"unknown expectation", "GET / HTTP/1.1\r\n" + auth + "Expect: miracle\r\n\r\n", 417},
		{"dot segments in the path", "GET /a/../b HTTP/1.1\r\n" + auth + "\r\n", 400},
		{"no key", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 401},
		{"malformed chunk size", "POST / HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got := p.raw(c.text)
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(c.status), got.body)
			g.Expect(p.get("/next").body).To(gomega.Equal("fine"))
		})
	}
	outcomes, faults := p.evidence()
	p.Expect(outcomes).To(gomega.HaveEach(crentry.OutcomeOK), "a caller's error is not a failure of the target")
	p.Expect(faults).To(gomega.HaveEach(gomega.BeZero()))
	for _, seen := range up.requests() {
		p.Expect(seen).To(gomega.HavePrefix("GET /next\n"))
	}
}

// Callers that stop sending within the head or body must hold no slot of the target: a
// few of them would block all other callers.
func TestSlowCallersHoldNoSlot(t *testing.T) {
	up := newRecorder(t)
	p := newHarness(t, up.addr())
	for range 8 {
		p.dial("GET / HTTP/1.1\r\nHost: h\r\n")
		p.dial("POST /once HTTP/1.1\r\n" + auth + "Content-Length: 10\r\n\r\nabc")
	}
	time.Sleep(bodyIdle / 3)
	start := time.Now()
	p.Expect(p.get("/next").body).To(gomega.Equal("fine"))
	p.Expect(time.Since(start)).To(gomega.BeNumerically("<", bodyIdle/2))
	head := readResponse(p.dial("GET / HTTP/1.1\r\nHost: h\r\n"))
	p.Expect(head.status == 0 || head.status == http.StatusRequestTimeout || head.status == http.StatusBadRequest).To(gomega.BeTrue(), "%v", head)
	body := readResponse(p.dial("POST /once HTTP/1.1\r\n" + auth + "Content-Length: 10\r\n\r\nabc"))
	p.Expect(body.err).NotTo(gomega.HaveOccurred())
	p.Expect(body.status).To(gomega.Equal(http.StatusRequestTimeout))
	p.Expect(body.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("notrun"))
	p.Eventually(p.entry.InFlight, 5*time.Second).Should(gomega.BeZero())
}

// A body of unknown length is streamed, so its caller holds a slot while it sends. The
// idle timeout must end the request without counting a failure of the target.
func TestStreamedBodyIdleTimeout(t *testing.T) {
	up := newRecorder(t)
	p := newHarness(t, up.addr())
	conn := p.dial("POST /once HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	got := readResponse(conn)
	p.Expect(got.err).NotTo(gomega.HaveOccurred())
	p.Expect(got.status).To(gomega.Equal(http.StatusRequestTimeout))
	p.Expect(got.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("unknown"), "the target received the head")
	outcomes, faults := p.evidence()
	p.Expect(outcomes).To(gomega.BeEmpty())
	p.Expect(faults).To(gomega.BeEmpty())
	p.Expect(up.requests()).To(gomega.BeEmpty())
	p.Eventually(p.exit.InFlight).Should(gomega.BeZero())
}

// A caller that crashes during its upload closes its side of the connection. The upstream
// must not take the truncated body for the whole.
func TestTruncatedRequestBodyIsRefused(t *testing.T) {
	up := newRecorder(t)
	p := newHarness(t, up.addr())
	for _, head := range []string{"Content-Length: 10\r\n\r\nabc", "Content-Length: 200000\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n5\r\nab"} {
		conn := p.dial("POST /once HTTP/1.1\r\n" + auth + head)
		p.Expect(conn.(interface{ CloseWrite() error }).CloseWrite()).To(gomega.Succeed())
		got := readResponse(conn)
		p.Expect(got.err).NotTo(gomega.HaveOccurred())
		p.Expect(got.status).To(gomega.Equal(http.StatusBadRequest), head)
	}
	p.Expect(up.requests()).To(gomega.BeEmpty())
	outcomes, faults := p.evidence()
	p.Expect(outcomes).To(gomega.BeEmpty())
	p.Expect(faults).To(gomega.BeEmpty())
	p.Eventually(p.exit.InFlight).Should(gomega.BeZero())
}

// If a client closes its half of the connection and keeps reading, net/http cancels the
// request. If the handler then wrote nothing, the client would read an empty "200 OK".
func TestHalfClosedCallerGetsGatewayTimeout(t *testing.T) {
	up := newRawUpstream(t, func(_ *rawUpstream, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1)) // until the exit closes
		return false
	})
	p := newHarness(t, up.addr())
	for _, head := range []string{"GET / HTTP/1.1\r\n", "POST /once HTTP/1.1\r\nContent-Length: 0\r\n"} {
		conn := p.dial(head + auth + "\r\n")
		p.Eventually(up.requests.Load).Should(gomega.BeNumerically(">", 0))
		p.Expect(conn.(interface{ CloseWrite() error }).CloseWrite()).To(gomega.Succeed())
		got := readResponse(conn)
		p.Expect(got.err).NotTo(gomega.HaveOccurred(), head)
		p.Expect(got.status).To(gomega.Equal(http.StatusGatewayTimeout), head)
		p.Expect(got.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("unknown"), head)
		up.requests.Store(0)
	}
}

// A refusal must not wait until the daemon has read the rest of the upload.
func TestRefusalDoesNotWaitForUpload(t *testing.T) {
	p := newHarness(t, newRecorder(t).addr())
	start := time.Now()
	got := p.raw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nabc")
	p.Expect(got.status).To(gomega.Equal(http.StatusUnauthorized))
	p.Expect(time.Since(start)).To(gomega.BeNumerically("<", 200*time.Millisecond))
}

// zeros is a body of a given size that is generated while it is read.
type zeros struct{ left int }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.left)
	z.left -= n
	return n, nil
}

// A daemon limited to 64 MB that held a large body in memory would be killed, and all
// its requests would be lost.
func TestLargeBodiesAreStreamed(t *testing.T) {
	const size = 128 << 20
	var peak uint64
	srv := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		_, _ = io.Copy(w, &zeros{left: int(n)})
	})
	p := newHarness(t, listenHTTP(t, srv), func(s *crpolicy.Service) { s.Routes[1].Timeout = 2 * time.Minute })
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.addr+"/", &zeros{left: size})
	p.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("X-Api-Key", alphaKey)
	req.ContentLength = size
	resp, err := http.DefaultClient.Do(req)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	p.Expect(n).To(gomega.BeEquivalentTo(size))
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p.Expect(max(peak, m.HeapAlloc)).To(gomega.BeNumerically("<", 64<<20))
}

// Valid but unusual requests must be served: Expect, HEAD, trailers, and both framings
// at once, which must give one request and not two.
func TestUnusualValidRequestsAreServed(t *testing.T) {
	up := newRecorder(t)
	p := newHarness(t, up.addr())
	conn := p.dial("POST /expect HTTP/1.1\r\n" + auth + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	line := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	_, err := io.ReadFull(conn, line)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	p.Expect(string(line)).To(gomega.HavePrefix("HTTP/1.1 100 "))
	_, _ = io.WriteString(conn, "abc")
	p.Expect(readResponse(conn).body).To(gomega.Equal("fine"))
	p.Expect(up.requests()[0]).To(gomega.HaveSuffix("\nabc"))

	smuggled := p.raw("POST /both HTTP/1.1\r\n" + auth + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"3\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
	p.Expect(smuggled.status == 200 || smuggled.status == 400).To(gomega.BeTrue())
	p.Consistently(func() string { return strings.Join(up.requests(), "") }, 100*time.Millisecond).ShouldNot(gomega.ContainSubstring("/smuggled"))

	trailing := p.raw("POST /trailer HTTP/1.1\r\n" + auth + "Trailer: X-Late\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Late: " + alphaKey + "\r\n\r\n")
	p.Expect(trailing.body).To(gomega.Equal("fine"))
	p.Expect(strings.Join(up.requests(), "")).NotTo(gomega.ContainSubstring("X-Late"))

	head := p.send("HEAD", "/head", "")
	p.Expect(head.err).NotTo(gomega.HaveOccurred())
	p.Expect(head.header.Get("Content-Length")).To(gomega.Equal("4"))
}

// If a body is read to its end only after the handler, net/http panics and closes the
// connection. A refusal must announce the close, or the next request gets no response.
func TestRefusalAnnouncesConnectionClose(t *testing.T) {
	p := newHarness(t, newRecorder(t).addr())
	const head = "POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	for body, keepAlive := range map[string]bool{"hold": true, "ho": false} {
		conn := p.dial(head + body)
		r := bufio.NewReader(conn)
		for range 3 {
			resp, err := http.ReadResponse(r, nil)
			got := toResponse(resp, err)
			p.Expect(got.err).NotTo(gomega.HaveOccurred(), body)
			p.Expect(got.status).To(gomega.Equal(http.StatusUnauthorized), body)
			p.Expect(resp.Close).To(gomega.Equal(!keepAlive), body)
			if !keepAlive {
				break
			}
			time.Sleep(20 * time.Millisecond) // by then the server waits for the next request
			_, err = io.WriteString(conn, head+body)
			p.Expect(err).NotTo(gomega.HaveOccurred())
		}
	}
}

// If a chunked request has a Content-Length, an intermediary may take the bytes after the
// last chunk for its body. They must not be served as another, smuggled request.
func TestNoRequestIsServedAfterAmbiguousBody(t *testing.T) {
	up := newRecorder(t)
	p := newHarness(t, up.addr())
	conn := p.dial("POST /seen HTTP/1.1\r\n" + auth + "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		"GET /hidden HTTP/1.1\r\n" + auth + "\r\n")
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	rest, _ := io.ReadAll(r) // the connection may end with a reset or a close
	p.Expect(rest).To(gomega.BeEmpty())
	for _, seen := range up.requests() {
		p.Expect(seen).NotTo(gomega.ContainSubstring("/hidden"))
	}
}
