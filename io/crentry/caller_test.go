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

// Callers send requests that no server can serve: by mistake, by a broken
// library, or to find a gap between two parsers. Each must get a clear refusal,
// nothing of it may run at the upstream, and the next caller notices nothing.
func TestMalformedRequestsAreRefused(t *testing.T) {
	up := newRecorder(t)
	p := newPath(t, up.addr())
	cases := []struct {
		name, text string
		status     int
	}{
		{"no request line", "hello\r\n\r\n", 400},
		{"blank in a header name", "GET / HTTP/1.1\r\n" + auth + "Bad Name: x\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\nAuthorization: Bearer " + alphaKey + "\r\n\r\n", 400},
		{"head too large", "GET / HTTP/1.1\r\n" + auth + "X-Big: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", 431},
		{"two lengths", "POST / HTTP/1.1\r\n" + auth + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		{"negative length", "POST / HTTP/1.1\r\n" + auth + "Content-Length: -1\r\n\r\n", 400},
		{"unknown transfer coding", "POST / HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked, gzip\r\n\r\n", 501},
		{"HTTP/1.0", "GET / HTTP/1.0\r\n" + auth + "\r\n", 505},
		{"tunnel", "CONNECT h:443 HTTP/1.1\r\n" + auth + "\r\n", 501},
		{"upgrade", "GET / HTTP/1.1\r\n" + auth + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 501},
		{"unknown expectation", "GET / HTTP/1.1\r\n" + auth + "Expect: miracle\r\n\r\n", 417},
		{"climbing path", "GET /a/../b HTTP/1.1\r\n" + auth + "\r\n", 400},
		{"no key", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 401},
		{"garbage for chunks", "POST / HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
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
	p.Expect(outcomes).To(gomega.HaveEach(crentry.OutcomeOK), "a caller's fault is no evidence against a target")
	p.Expect(faults).To(gomega.HaveEach(gomega.BeZero()))
	for _, seen := range up.requests() {
		p.Expect(seen).To(gomega.HavePrefix("GET /next\n"))
	}
}

// A caller sends a part of its head or body and then nothing, by a lost link or
// on purpose. If that held a slot of the target, a few such callers would keep
// all others waiting.
func TestSlowCallersHoldNothing(t *testing.T) {
	up := newRecorder(t)
	p := newPath(t, up.addr())
	for range 8 {
		p.dial("GET / HTTP/1.1\r\nHost: h\r\n")
		p.dial("POST /once HTTP/1.1\r\n" + auth + "Content-Length: 10\r\n\r\nabc")
	}
	time.Sleep(bodyIdle / 3)
	start := time.Now()
	p.Expect(p.get("/next").body).To(gomega.Equal("fine"))
	p.Expect(time.Since(start)).To(gomega.BeNumerically("<", bodyIdle/2))
	head := readAnswer(p.dial("GET / HTTP/1.1\r\nHost: h\r\n"))
	p.Expect(head.status == 0 || head.status == http.StatusRequestTimeout || head.status == http.StatusBadRequest).To(gomega.BeTrue(), "%v", head)
	body := readAnswer(p.dial("POST /once HTTP/1.1\r\n" + auth + "Content-Length: 10\r\n\r\nabc"))
	p.Expect(body.err).NotTo(gomega.HaveOccurred())
	p.Expect(body.status).To(gomega.Equal(http.StatusRequestTimeout))
	p.Expect(body.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("notrun"))
	p.Eventually(p.entry.InFlight, 5*time.Second).Should(gomega.BeZero())
}

// A body whose length is not known is passed on as it comes, so its caller does
// hold a slot while it sends. Silence ends it, and the target is not blamed.
func TestSilenceWithinAStreamedBodyEnds(t *testing.T) {
	up := newRecorder(t)
	p := newPath(t, up.addr())
	conn := p.dial("POST /once HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	got := readAnswer(conn)
	p.Expect(got.err).NotTo(gomega.HaveOccurred())
	p.Expect(got.status).To(gomega.Equal(http.StatusRequestTimeout))
	p.Expect(got.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("unknown"), "the target had the head")
	outcomes, faults := p.evidence()
	p.Expect(outcomes).To(gomega.BeEmpty())
	p.Expect(faults).To(gomega.BeEmpty())
	p.Expect(up.requests()).To(gomega.BeEmpty())
	p.Eventually(p.exit.InFlight).Should(gomega.BeZero())
}

// A caller's process dies within its upload and closes its side. The upstream
// must not take the part for the whole.
func TestABodyShorterThanItsLengthIsRefused(t *testing.T) {
	up := newRecorder(t)
	p := newPath(t, up.addr())
	for _, head := range []string{"Content-Length: 10\r\n\r\nabc", "Content-Length: 200000\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n5\r\nab"} {
		conn := p.dial("POST /once HTTP/1.1\r\n" + auth + head)
		p.Expect(conn.(interface{ CloseWrite() error }).CloseWrite()).To(gomega.Succeed())
		got := readAnswer(conn)
		p.Expect(got.err).NotTo(gomega.HaveOccurred())
		p.Expect(got.status).To(gomega.Equal(http.StatusBadRequest), head)
	}
	p.Expect(up.requests()).To(gomega.BeEmpty())
	outcomes, faults := p.evidence()
	p.Expect(outcomes).To(gomega.BeEmpty())
	p.Expect(faults).To(gomega.BeEmpty())
	p.Eventually(p.exit.InFlight).Should(gomega.BeZero())
}

// A caller has sent its request, closes its own half of the connection, as some
// plain clients do, and reads on. The daemon takes it for gone and gives the
// request up; if it then just left, the caller would read an empty "200 OK".
func TestAHalfClosedCallerIsNotToldOK(t *testing.T) {
	up := newScript(t, func(_ *script, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1)) // until the exit closes
		return false
	})
	p := newPath(t, up.addr())
	for _, head := range []string{"GET / HTTP/1.1\r\n", "POST /once HTTP/1.1\r\nContent-Length: 0\r\n"} {
		conn := p.dial(head + auth + "\r\n")
		p.Eventually(up.runs.Load).Should(gomega.BeNumerically(">", 0))
		p.Expect(conn.(interface{ CloseWrite() error }).CloseWrite()).To(gomega.Succeed())
		got := readAnswer(conn)
		p.Expect(got.err).NotTo(gomega.HaveOccurred(), head)
		p.Expect(got.status).To(gomega.Equal(http.StatusGatewayTimeout), head)
		p.Expect(got.header.Get(crentry.HeaderOutcome)).To(gomega.Equal("unknown"), head)
		up.runs.Store(0)
	}
}

// A refused upload that still goes on would keep its caller waiting if the
// daemon read it to the end first.
func TestARefusalDoesNotWaitForTheUpload(t *testing.T) {
	p := newPath(t, newRecorder(t).addr())
	start := time.Now()
	got := p.raw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nabc")
	p.Expect(got.status).To(gomega.Equal(http.StatusUnauthorized))
	p.Expect(time.Since(start)).To(gomega.BeNumerically("<", 200*time.Millisecond))
}

// zeros is a body of a given size that is never in memory as a whole.
type zeros struct{ left int }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.left)
	z.left -= n
	return n, nil
}

// A caller uploads and downloads files of any size. A daemon of 64 MB that held
// one in memory would be killed, and all its callers cut.
func TestHugeBodiesAreStreamed(t *testing.T) {
	const size = 128 << 20
	var peak uint64
	srv := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		_, _ = io.Copy(w, &zeros{left: int(n)})
	})
	p := newPath(t, listenHTTP(t, srv), func(s *crpolicy.Service) { s.Routes[1].Timeout = 2 * time.Minute })
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

// What the protocol allows must go through: continue, HEAD, answers without a
// body, and both framings at once, which must give one request and not two.
func TestWellFormedOddities(t *testing.T) {
	up := newRecorder(t)
	p := newPath(t, up.addr())
	conn := p.dial("POST /expect HTTP/1.1\r\n" + auth + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	line := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	_, err := io.ReadFull(conn, line)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	p.Expect(string(line)).To(gomega.HavePrefix("HTTP/1.1 100 "))
	_, _ = io.WriteString(conn, "abc")
	p.Expect(readAnswer(conn).body).To(gomega.Equal("fine"))
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

// A caller's hold is refused before its body was read. net/http then met the
// body's end only after the handler, panicked inside, and closed the connection,
// which had been told to stay. Whoever sent the next request on it got no word.
func TestARefusalSaysWhetherItsConnectionStays(t *testing.T) {
	p := newPath(t, newRecorder(t).addr())
	const head = "POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	for body, stays := range map[string]bool{"hold": true, "ho": false} {
		conn := p.dial(head + body)
		r := bufio.NewReader(conn)
		for range 3 {
			resp, err := http.ReadResponse(r, nil)
			got := whole(resp, err)
			p.Expect(got.err).NotTo(gomega.HaveOccurred(), body)
			p.Expect(got.status).To(gomega.Equal(http.StatusUnauthorized), body)
			p.Expect(resp.Close).To(gomega.Equal(!stays), body)
			if !stays {
				break
			}
			time.Sleep(20 * time.Millisecond) // the server waits for the next request by then
			_, err = io.WriteString(conn, head+body)
			p.Expect(err).NotTo(gomega.HaveOccurred())
		}
	}
}

// A parser on the way goes by the length of a request that also says it comes in
// chunks, and takes its last bytes for its body. Served here as a request of their
// own, they would run what their caller never sent.
func TestNothingIsServedBehindAnAmbiguousBody(t *testing.T) {
	up := newRecorder(t)
	p := newPath(t, up.addr())
	conn := p.dial("POST /seen HTTP/1.1\r\n" + auth + "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		"GET /hidden HTTP/1.1\r\n" + auth + "\r\n")
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	p.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	rest, _ := io.ReadAll(r) // a reset ends it as well as a close
	p.Expect(rest).To(gomega.BeEmpty())
	for _, seen := range up.requests() {
		p.Expect(seen).NotTo(gomega.ContainSubstring("/hidden"))
	}
}
