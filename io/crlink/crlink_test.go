package crlink_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/io/crlink"
	"camphorroad/lab/crtarget"
)

func target(t *testing.T, b crtarget.Behaviour) (*crtarget.Target, *crlink.Pool) {
	t.Helper()
	tg, err := crtarget.Start(crtarget.Options{Address: "127.0.0.1:0", ID: "i-1", Slots: 4})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(tg.Close)
	tg.Set(b)
	return tg, crlink.NewPool(tg.Address(), crlink.Options{Connect: time.Second, Idle: time.Second, Keep: 4})
}

func exchange(t *testing.T, p *crlink.Pool, id string) (*crlink.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := p.Get(ctx)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	a, err := c.Exchange(ctx, crlink.Request{
		Method: http.MethodPost, URI: "/x?y=1", Host: "h", Header: http.Header{"Request-Id": {id}, "Deadline-Milliseconds": {"500"}}, Body: []byte("body"),
	}, func(h http.Header) bool { return h.Get("Request-Id") == id })
	if err == nil {
		p.Put(c)
	}
	return a, err
}

// A target answers twice. The second answer stands where the next request's is
// due, and the next caller would get what belongs to another.
func TestASecondAnswerReachesNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	tg, pool := target(t, crtarget.Behaviour{Extra: 1})
	for _, id := range []string{"a", "b", "c", "d"} {
		a, err := exchange(t, pool, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(a.Body)).To(gomega.Equal("answer to " + id + " POST /x?y=1\n"))
	}
	g.Expect(tg.Runs()).To(gomega.HaveLen(4))
}

// The second answer comes late, when the next request has already been sent on
// the connection.
func TestALateSecondAnswerIsSkipped(t *testing.T) {
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
	pool := crlink.NewPool(l.Addr().String(), crlink.Options{Connect: time.Second, Idle: time.Second, Keep: 1})
	for id, want := range map[string]string{"a": "A"} {
		a, err := exchange(t, pool, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(a.Body)).To(gomega.Equal(want))
	}
	a, err := exchange(t, pool, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(a.Body)).To(gomega.Equal("B"))
}

// A target breaks off in the middle of its answer. Half of it must not pass for
// the whole.
func TestACutAnswerIsAnError(t *testing.T) {
	_, pool := target(t, crtarget.Behaviour{Cut: 1})
	_, err := exchange(t, pool, "a")
	gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
}

func TestAnAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	_, pool := target(t, crtarget.Behaviour{Endless: 1})
	for _, id := range []string{"a", "b"} {
		a, err := exchange(t, pool, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(a.Body)).To(gomega.ContainSubstring("answer to " + id))
	}
}

// The target closed a kept connection. A request sent there would be lost, and
// nobody could say whether it ran.
func TestAClosedConnectionIsNotUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	tg, pool := target(t, crtarget.Behaviour{})
	_, err := exchange(t, pool, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := tg.Address()
	tg.Close()
	again, err := crtarget.Start(crtarget.Options{Address: address, ID: "i-2", Slots: 4})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer again.Close()
	_, err = exchange(t, pool, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Runs()).To(gomega.HaveLen(1))
}

// Another goroutine waits for the next bytes of a connection, and a look at it waits behind that one.
func TestQuietDoesNotWaitForAReader(t *testing.T) {
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
	quiet := func() bool { return crlink.Quiet(conn) }
	g.Consistently(quiet, 100*time.Millisecond).Should(gomega.BeTrue())
	g.Expect(peer.Close()).To(gomega.Succeed())
	g.Eventually(quiet).Should(gomega.BeFalse())
	g.Eventually(read).Should(gomega.Receive(gomega.HaveOccurred()))
}

// The caller leaves while its request runs. The target has to learn it, or it
// works on for nobody.
func TestAContextThatEndsStopsTheTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	tg, pool := target(t, crtarget.Behaviour{Work: 5 * time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c, err := pool.Get(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = c.Exchange(ctx, crlink.Request{Method: http.MethodGet, URI: "/", Host: "h"}, nil)
	g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue())
	g.Eventually(tg.Stopped).Should(gomega.Equal(1))
}
