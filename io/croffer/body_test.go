package croffer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
)

// startServer serves the requests of peers, whose bodies arrive within a time, and returns its address.
func startServer(t *testing.T, timeout time.Duration) string {
	t.Helper()
	clock := func() crid.Instant { return 0 }
	s := httptest.NewServer(newHandler(nil, clock, StoreHandlers{}, bodyReader{timeout: timeout}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a peer that uses up the memory of a daemon with a body without end.
func TestEndlessBodyOfAPeerIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startServer(t, 10*time.Second)
	body := bytes.NewReader(make([]byte, maxBodyBytes+1))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+PathOffer, io.NopCloser(body))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadRequest))
}

// Guards against a peer that keeps a request of a daemon in progress by a body that arrives slowly and without end.
func TestSlowBodyOfAPeerIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", startServer(t, 200*time.Millisecond))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST "+PathOffer+" HTTP/1.1\r\nHost: peer\r\nContent-Length: 1000\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	drip := time.AfterFunc(0, func() {
		for range 100 {
			if _, err := conn.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	defer drip.Stop()
	g.Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(gomega.Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadRequest))
}
