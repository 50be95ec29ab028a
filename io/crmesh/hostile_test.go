package crmesh_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// raw sends bytes to the machine's entry and returns the first answer, and whatever
// came after it until the connection ended.
func (m *machine) raw(text string) (status int, rest string) {
	m.t.Helper()
	g := gomega.NewWithT(m.t)
	conn, err := (&net.Dialer{}).DialContext(m.t.Context(), "tcp", m.cfg.Listen.Caller)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Expect(conn.SetDeadline(time.Now().Add(3 * time.Second))).To(gomega.Succeed())
	_, err = io.WriteString(conn, text)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	after, _ := io.ReadAll(r) // a reset ends it as well as a close
	return resp.StatusCode, string(after)
}

const head = "Host: h.example\r\nAuthorization: Bearer k1\r\nDeadline-Milliseconds: 2000\r\n"

// A parser on the way goes by the length of a request that also says it comes in
// chunks, and takes its last bytes for its body. Served here as a request of their
// own, they would run what their caller never sent, and its answer would go to
// whoever uses the connection next.
func TestNothingIsServedBehindAnAmbiguousBody(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1)
	m := f.machines[0]
	hidden := "POST /hold/x HTTP/1.1\r\nRequest-Id: hidden\r\n" + head + "Content-Length: 0\r\n\r\n"
	_, rest := m.raw("POST /look/a HTTP/1.1\r\nRequest-Id: seen\r\n" + head + "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden)
	g.Expect(rest).To(gomega.BeEmpty())
	g.Expect(f.runs("hidden")).To(gomega.BeEmpty())
}

// Two keys of different accounts come with one request, or a time to wait that is
// none. Whichever is taken, the request may run for the wrong account, or hold a slot
// for nobody; its caller can mend it once told.
func TestAmbiguousHeadsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1)
	m := f.machines[0]
	for _, text := range []string{
		"GET /look/a HTTP/1.1\r\nRequest-Id: bad\r\nConnection: close\r\n" + head + "Authorization: Bearer k2\r\n\r\n",
		"GET /look/a HTTP/1.1\r\nRequest-Id: bad\r\nConnection: close\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nDeadline-Milliseconds: -1\r\n\r\n",
		"GET /look/a HTTP/1.1\r\nRequest-Id: bad\r\nConnection: close\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nDeadline-Milliseconds: x\r\n\r\n",
	} {
		status, _ := m.raw(text)
		g.Expect(status).To(gomega.Equal(http.StatusBadRequest))
	}
	g.Expect(f.runs("bad")).To(gomega.BeEmpty())
	status, _ := m.raw("GET /look/a HTTP/1.1\r\nRequest-Id: good\r\nConnection: close\r\n" + head + "\r\n")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
}
