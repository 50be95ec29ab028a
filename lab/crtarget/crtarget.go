// Package crtarget is a stand-in of a target on the users' platform: it runs
// requests in slots, seals its answers, says when it did not run one, and fails
// in the gray ways that the platform knows.
//
// # Usage
//
//	t := crtarget.Start(crtarget.Options{Address: "127.0.0.2:0", ID: "i-1", Slots: 4})
//	defer t.Close()
//	t.Set(crtarget.Behaviour{Fail: 1})
package crtarget

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// Behaviour is how a target works and fails. Shares are of its requests.
type Behaviour struct {
	Work    time.Duration
	Fail    float64 // answers 500 at once
	Hang    float64 // answers at its deadline with 504
	Reset   float64 // runs the request and resets the connection
	Shed    float64 // says that it did not run the request
	Extra   float64 // answers twice
	Cut     float64 // breaks off in the middle of its answer
	Strip   float64 // leaves its seal away
	Endless float64 // answers without a length, and closes
}

// Run is a request that ran.
type Run struct {
	At                    time.Time
	Target                string // where it ran
	ID, Method, URI, Body string
	Account, From         string
	Wait                  time.Duration
	Header                http.Header
}

// Options are the settings of a target.
type Options struct {
	Address string
	ID      string
	Slots   int
}

// Target is the stand-in. It is safe for concurrent use.
type Target struct {
	opts     Options
	listener net.Listener
	mu       sync.Mutex
	does     Behaviour
	runs     []Run
	stopped  int // runs whose connection closed before their end
	running  int
	most     int
	conns    map[net.Conn]bool
	done     sync.WaitGroup
}

// Start listens and serves.
func Start(opts Options) (*Target, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", opts.Address)
	if err != nil {
		return nil, err
	}
	t := &Target{opts: opts, listener: l, conns: make(map[net.Conn]bool)}
	t.done.Add(1)
	go t.accept()
	return t, nil
}

// Address returns where the target listens.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Set changes how the target behaves.
func (t *Target) Set(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.does = b
}

// Runs returns the requests that ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Stopped returns how many runs ended as their connection closed.
func (t *Target) Stopped() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

// Most returns the greatest number of requests that ran at one time.
func (t *Target) Most() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.most
}

// Close ends the target at once, with all its connections.
func (t *Target) Close() {
	_ = t.listener.Close() // whoever connects later is refused
	t.mu.Lock()
	for c := range t.conns {
		_ = c.Close() // the other side sees it
	}
	t.mu.Unlock()
	t.done.Wait()
}

func (t *Target) accept() {
	defer t.done.Done()
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		t.done.Add(1)
		go t.serve(conn)
	}
}

func (t *Target) serve(conn net.Conn) {
	defer t.done.Done()
	defer func() {
		_ = conn.Close() // its end is what the caller sees
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !t.answer(conn, br, r, string(body)) {
			return
		}
	}
}

// answer answers one request; it reports whether the connection goes on.
func (t *Target) answer(conn net.Conn, br *bufio.Reader, r *http.Request, body string) bool {
	t.mu.Lock()
	does := t.does
	t.mu.Unlock()
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expected-Instance"); want != "" && want != t.opts.ID {
		return t.write(conn, 421, id, "Instance-Id: "+t.opts.ID+"\r\n", "", false)
	}
	if chance(does.Shed) {
		return t.write(conn, 503, id, "Not-Executed: 1\r\n", "", false)
	}
	t.begin(r, body)
	defer t.end()
	wait, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	if err != nil {
		wait = int(time.Minute / time.Millisecond)
	}
	switch {
	case chance(does.Reset):
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // so that closing resets
		}
		return false
	case chance(does.Fail):
		return t.write(conn, 500, id, "", "failed\n", true)
	case chance(does.Hang):
		t.work(conn, br, time.Duration(wait)*time.Millisecond)
		return t.write(conn, 504, id, "", "late\n", true)
	}
	if !t.work(conn, br, does.Work) {
		return false
	}
	return t.good(conn, does, id, r)
}

func (t *Target) good(conn net.Conn, does Behaviour, id string, r *http.Request) bool {
	text := "answer to " + id + " " + r.Method + " " + r.URL.RequestURI() + "\n"
	switch {
	case chance(does.Cut):
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text[:4])
		return false
	case chance(does.Strip):
		return t.write(conn, 200, id, "", text, false)
	case chance(does.Endless):
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n%s", id, text)
		return false
	case chance(does.Extra):
		first := t.write(conn, 200, id, "", text, true)
		return first && t.write(conn, 200, id, "", text, true)
	}
	return t.write(conn, 200, id, "", text, true)
}

func chance(share float64) bool { return share > 0 && rand.Float64() < share }

func (t *Target) begin(r *http.Request, body string) {
	wait, _ := strconv.Atoi(r.Header.Get("Deadline-Milliseconds")) // zero: not told
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	t.most = max(t.most, t.running)
	t.runs = append(t.runs, Run{
		At: time.Now(), Target: t.opts.ID, ID: r.Header.Get("Request-Id"), Method: r.Method, URI: r.URL.RequestURI(), Body: body,
		Account: r.Header.Get("Tenant-Name"), From: r.Header.Get("Calling-Service"),
		Wait: time.Duration(wait) * time.Millisecond, Header: r.Header,
	})
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// work takes the time, or less when the connection closes; it reports whether
// the work was finished.
func (t *Target) work(conn net.Conn, br *bufio.Reader, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	_ = conn.SetReadDeadline(time.Now().Add(d)) // fails only on a closed connection
	_, err := br.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	if err == nil {
		time.Sleep(d)
		return true
	}
	t.mu.Lock()
	t.stopped++
	t.mu.Unlock()
	return false
}

func (t *Target) write(conn net.Conn, status int, id, extra, body string, sealed bool) bool {
	if sealed {
		extra += "Response-Seal: s\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, extra, len(body), body)
	return err == nil
}
