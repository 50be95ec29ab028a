package crlink_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/io/crlink"
	"camphorroad/lab/crtarget"
)

func startTarget(t *testing.T, b crtarget.Behaviour) (*crtarget.Target, *crlink.Pool) {
	t.Helper()
	srv, err := crtarget.Start(crtarget.Options{Address: "127.0.0.1:0", ID: "i-1", Slots: 4})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(srv.Close)
	srv.SetBehaviour(b)
	return srv, newPool(srv.Address())
}

func newPool(address string) *crlink.Pool {
	return crlink.NewPool(address, crlink.Options{
		ConnectTimeout: time.Second, IdleTimeout: time.Second, MaxIdle: 4, ID: func(h http.Header) string { return h.Get("Request-Id") },
	})
}

func exchange(t *testing.T, p *crlink.Pool, id string) (*crlink.Response, error) {
	t.Helper()
	return exchangeMethod(t, p, http.MethodPost, id, []byte("body"))
}

func head(t *testing.T, p *crlink.Pool, id string) (*crlink.Response, error) {
	t.Helper()
	return exchangeMethod(t, p, http.MethodHead, id, nil)
}

func exchangeMethod(t *testing.T, p *crlink.Pool, method, id string, body []byte) (*crlink.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := p.Get(ctx, id)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := c.Exchange(ctx, crlink.Request{
		Method: method, URI: "/x?y=1", Host: "h", Header: http.Header{"Request-Id": {id}, "Deadline-Milliseconds": {"500"}}, Body: body,
	})
	if err == nil {
		p.Put(c)
	}
	return resp, err
}

// A target sends a duplicate response, which the next caller must not get as the
// response to its own request.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	g := gomega.NewWithT(t)
	srv, pool := startTarget(t, crtarget.Behaviour{Duplicate: 1})
	for _, id := range []string{"a", "b", "c", "d"} {
		resp, err := exchange(t, pool, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(resp.Body)).To(gomega.Equal("answer to " + id + " POST /x?y=1\n"))
	}
	g.Expect(srv.Runs()).To(gomega.HaveLen(4))
}

// The duplicate response arrives after the next request was sent on the connection.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		for _, answers := range []string{
			"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\nA",
			"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\nA" +
				"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 1\r\n\r\nB",
		} {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			if _, err := conn.Write([]byte(answers)); err != nil {
				return
			}
		}
	}()
	pool := newPool(l.Addr().String())
	for id, want := range map[string]string{"a": "A"} {
		resp, err := exchange(t, pool, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(resp.Body)).To(gomega.Equal(want))
	}
	resp, err := exchange(t, pool, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(resp.Body)).To(gomega.Equal("B"))
}

// startScript starts a target that answers the exchanges on its first connection with the given bytes, and
// those on later connections with a response to the ID of the request.
func startScript(t *testing.T, answers ...string) *crlink.Pool {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for script := answers; ; script = nil {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { answerScript(conn, script) })
		}
	})
	pool := newPool(l.Addr().String())
	t.Cleanup(pool.Close)
	return pool
}

func answerScript(conn net.Conn, script []string) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for i := 0; ; i++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := response(r.Header.Get("Request-Id"), "own")
		if i < len(script) {
			answer = script[i]
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against requests on a connection whose target has sent a response too many.
func TestConnectionWithForeignResponseIsNotUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := startScript(t, response("a", "A"), response("a", "A")+response("b", "B"), response("c", "same connection"))
	for _, want := range []struct{ id, body string }{{"a", "A"}, {"b", "B"}, {"c", "own"}} {
		resp, err := exchange(t, pool, want.id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(resp.Body)).To(gomega.Equal(want.body))
	}
}

// Guards against a response that is taken from the body of a foreign one, before the response to a HEAD request.
func TestBodyOfForeignResponseIsNotAResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	first := response("a", response("b", ""))
	pool := startScript(t, first, first+"HTTP/1.1 404 Not Found\r\nRequest-Id: b\r\nContent-Length: 9\r\n\r\n")
	_, err := exchange(t, pool, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := head(t, pool, "b")
	g.Expect(err).To(gomega.MatchError(crlink.ErrUnexpectedResponse), "%+v", resp)
}

// Guards against a response that is read as the body of a repeated response to a HEAD request.
func TestResponseIsNotTheBodyOfAHeadResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	forged := response("b", "forged")
	begin := "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: " + strconv.Itoa(len(forged)) + "\r\n\r\n"
	toHead := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: " + strconv.Itoa(len(begin)) + "\r\n\r\n"
	pool := startScript(t, toHead, toHead+begin+forged)
	_, err := head(t, pool, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := exchange(t, pool, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(resp.Body)).To(gomega.Equal("own"))
}

// A target closes the connection in the middle of its response. The part received must
// not be returned as a complete response.
func TestTruncatedResponseIsAnError(t *testing.T) {
	_, pool := startTarget(t, crtarget.Behaviour{Truncate: 1})
	_, err := exchange(t, pool, "a")
	gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
}

func TestCloseDelimitedResponseEndsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	_, pool := startTarget(t, crtarget.Behaviour{CloseDelimited: 1})
	for _, id := range []string{"a", "b"} {
		resp, err := exchange(t, pool, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(resp.Body)).To(gomega.ContainSubstring("answer to " + id))
	}
}

// The target has closed an idle connection. A request sent on it would be lost with an
// unknown outcome.
func TestClosedConnectionIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	srv, pool := startTarget(t, crtarget.Behaviour{})
	_, err := exchange(t, pool, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := srv.Address()
	srv.Close()
	restarted, err := crtarget.Start(crtarget.Options{Address: address, ID: "i-2", Slots: 4})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer restarted.Close()
	_, err = exchange(t, pool, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(restarted.Runs()).To(gomega.HaveLen(1))
}

// While another goroutine blocks in Read on a connection, Reusable must not block.
func TestReusableDoesNotWaitForReader(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer ln.Close()
	conn, err := crlink.Dialer(time.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	peer, err := ln.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	reusable := func() bool { return crlink.Reusable(conn) }
	g.Consistently(reusable, 100*time.Millisecond).Should(gomega.BeTrue())
	g.Expect(peer.Close()).To(gomega.Succeed())
	g.Eventually(reusable).Should(gomega.BeFalse())
	g.Eventually(read).Should(gomega.Receive(gomega.HaveOccurred()))
}

// When the caller cancels a running request, the connection must be closed, as otherwise
// the target would continue to run it.
func TestContextEndClosesConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	srv, pool := startTarget(t, crtarget.Behaviour{ServiceTime: 5 * time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c, err := pool.Get(ctx, "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = c.Exchange(ctx, crlink.Request{Method: http.MethodGet, URI: "/", Host: "h"})
	g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue())
	g.Eventually(srv.Cancelled).Should(gomega.Equal(1))
}
