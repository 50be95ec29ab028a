package crserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crhead"
	"camphorroad/io/crserver"
)

const (
	headLimit = 8 << 10
	maxConns  = 50
	// largeHead is more than the limit, and more than the part of it that is not counted exactly.
	largeHead  = 64 << 10
	headBudget = 256 << 10
)

// limited is a server with limits.
type limited struct {
	*gomega.WithT
	t         *testing.T
	headBytes atomic.Int64
	limits    *crserver.Limits
	address   string
	bodyBytes atomic.Int64 // of all requests
	bodies    atomic.Int64 // requests whose body is read
}

func serveLimited(t *testing.T) *limited {
	t.Helper()
	s := &limited{WithT: gomega.NewWithT(t), t: t}
	s.headBytes.Store(headLimit)
	s.limits = crserver.NewLimits(maxConns, crhead.NewBudget(headBudget), func() int { return int(s.headBytes.Load()) })
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.address = l.Addr().String()
	server := crserver.New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/unread" {
			s.bodies.Add(1)
			n, _ := io.Copy(io.Discard, r.Body)
			s.bodyBytes.Add(n)
		}
	}))
	go func() { _ = server.Serve(s.limits.Guard(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *limited) dial() net.Conn {
	s.t.Helper()
	c, err := new(net.Dialer).DialContext(context.Background(), "tcp4", s.address)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	s.t.Cleanup(func() { _ = c.Close() })
	return c
}

// status sends a text on a connection and returns the status of the response. A refusal as not run has to say
// when to return.
func (s *limited) status(c net.Conn, text string) int {
	s.t.Helper()
	go func() { _, _ = io.WriteString(c, text) }() // may be cut off
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.Expect(resp.Body.Close()).To(gomega.Succeed())
	if resp.StatusCode == http.StatusServiceUnavailable {
		s.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	}
	return resp.StatusCode
}

func headOf(n int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", n) + "\r\n\r\n"
}

// Guards against heads that are read without regard to the limit in force.
func TestHeadOverTheLimitIsRefusedAndTheLimitMayChange(t *testing.T) {
	s := serveLimited(t)
	s.Expect(s.status(s.dial(), headOf(headLimit))).To(gomega.Equal(http.StatusOK))
	s.Expect(s.status(s.dial(), headOf(largeHead))).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	s.headBytes.Store(2 * largeHead)
	c := s.dial()
	for range 3 {
		s.Expect(s.status(c, headOf(largeHead))).To(gomega.Equal(http.StatusOK))
	}
	s.Expect(s.limits.Refused()).To(gomega.Equal(int64(1)))
}

// Guards against bodies and the requests behind them that are taken for a head.
func TestBodiesAreNotCounted(t *testing.T) {
	s := serveLimited(t)
	c := s.dial()
	body := strings.Repeat("a line\r\n", largeHead/8)
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n" + body,
		"POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n" + body,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + body + "\r\n0\r\n\r\n",
		headOf(headLimit),
	} {
		s.Expect(s.status(c, text)).To(gomega.Equal(http.StatusOK))
	}
	s.Expect(s.bodyBytes.Load()).To(gomega.Equal(int64(2 * largeHead)))
}

// Guards against ordinary requests that are refused, and large ones that are not told so, when large heads take the budget.
func TestHeadOverTheBudgetIsRefusedAsNotRun(t *testing.T) {
	s := serveLimited(t)
	s.headBytes.Store(largeHead)
	fields := strings.Repeat("a:\r\n", headLimit/4)
	_, err := io.WriteString(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n"+fields)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.Eventually(func() int {
		c := s.dial()
		defer func() { _ = c.Close() }() // an open one could take the place of the first
		return s.status(c, "GET / HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
	}, "5s").Should(gomega.Equal(http.StatusServiceUnavailable))
	s.Expect(s.status(s.dial(), headOf(100))).To(gomega.Equal(http.StatusOK))
}

// Guards against connections without requests that keep out others, or for which a request is cut off.
func TestConnectionsWithoutRequestsMakeRoom(t *testing.T) {
	s := serveLimited(t)
	slow := s.dial()
	_, err := io.WriteString(slow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1")
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.Eventually(s.bodies.Load, "5s", "1ms").Should(gomega.Equal(int64(1)))
	for range 2 * maxConns {
		s.dial()
	}
	for range maxConns {
		s.Expect(s.status(s.dial(), headOf(10))).To(gomega.Equal(http.StatusOK))
	}
	s.Expect(s.status(slow, "2")).To(gomega.Equal(http.StatusOK))
	s.Expect(s.limits.Closed()).To(gomega.BeNumerically(">=", 2*maxConns+1))
}
