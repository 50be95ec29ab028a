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

// sendRaw sends bytes to the machine's caller port. It returns the status of the first
// response, and the bytes received after it until the connection was closed.
func (m *machine) sendRaw(text string) (status int, rest string) {
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
	after, _ := io.ReadAll(r) // a reset ends the stream, as a close does
	return resp.StatusCode, string(after)
}

const headers = "Host: h.example\r\nAuthorization: Bearer k1\r\nDeadline-Milliseconds: 2000\r\n"

// A request has both Content-Length and Transfer-Encoding. A proxy that uses the length takes a
// second request for body data. Served, its response would go to the next user of the connection.
func TestSmuggledRequestIsNotServed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1)
	m := f.machines[0]
	smuggled := "POST /hold/x HTTP/1.1\r\nRequest-Id: hidden\r\n" + headers + "Content-Length: 0\r\n\r\n"
	_, rest := m.sendRaw("POST /look/a HTTP/1.1\r\nRequest-Id: seen\r\n" + headers + "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled)
	g.Expect(rest).To(gomega.BeEmpty())
	g.Expect(f.runs("hidden")).To(gomega.BeEmpty())
}

// A request has two API keys or an invalid deadline. If it were served, it could run for
// the wrong account, or hold a slot for a caller that does not wait.
func TestAmbiguousHeadersAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1)
	m := f.machines[0]
	for _, text := range []string{
		"GET /look/a HTTP/1.1\r\nRequest-Id: bad\r\nConnection: close\r\n" + headers + "Authorization: Bearer k2\r\n\r\n",
		"GET /look/a HTTP/1.1\r\nRequest-Id: bad\r\nConnection: close\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nDeadline-Milliseconds: -1\r\n\r\n",
		"GET /look/a HTTP/1.1\r\nRequest-Id: bad\r\nConnection: close\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nDeadline-Milliseconds: x\r\n\r\n",
	} {
		status, _ := m.sendRaw(text)
		g.Expect(status).To(gomega.Equal(http.StatusBadRequest))
	}
	g.Expect(f.runs("bad")).To(gomega.BeEmpty())
	status, _ := m.sendRaw("GET /look/a HTTP/1.1\r\nRequest-Id: good\r\nConnection: close\r\n" + headers + "\r\n")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
}
