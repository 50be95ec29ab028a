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

// Guards against callers that hold requests of a daemon by bodies which arrive slowly and without end.
func TestSlowBodyOfACallerEndsWithTheDeadline(t *testing.T) {
	const deadline = 500 * time.Millisecond
	f := newFleet(t, 1)
	for name, c := range map[string]struct {
		headers, drip string
		status        int
		longest       time.Duration
	}{
		"declared length": {"Authorization: Bearer k1\r\nContent-Length: 100000\r\n\r\n", "x", http.StatusRequestTimeout, 2 * deadline},
		"chunks":          {"Authorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", http.StatusRequestTimeout, 2 * deadline},
		"trailer":         {"Authorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x", http.StatusRequestTimeout, 2 * deadline},
		"refused":         {"Content-Length: 100000\r\n\r\n", "x", http.StatusUnauthorized, 2 * deadline},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.machines[0].cfg.Listen.Caller)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /hold/"+name[:1]+" HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow-"+name[:1]+"\r\nDeadline-Milliseconds: 500\r\n"+c.headers)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			began := time.Now()
			done := make(chan struct{})
			go func() {
				defer close(done)
				for { // until the daemon closes the connection
					if _, err := io.WriteString(conn, c.drip); err != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
			g.Expect(conn.SetReadDeadline(began.Add(3 * time.Second))).To(gomega.Succeed())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", c.longest))
			g.Eventually(done, 8*time.Second).Should(gomega.BeClosed())
			g.Expect(f.runs("slow-"+name[:1])).To(gomega.BeEmpty(), "408 says that it has not run")
		})
	}
}
