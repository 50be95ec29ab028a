// Package crtarget implements a fake of a target on the users' platform: it executes
// requests, adds a seal header to its responses, marks requests that it did not execute,
// and injects partial failures for a share of its requests. It can be cold, restart and close connections. It records every request that
// it executed. crstage, crsoak and the tests of io/crlink and io/crmesh use it.
// crupstream is the fake of an upstream that speaks the daemon's own protocol.
//
// # Usage
//
//	t, err := crtarget.Start(crtarget.Options{Address: "127.0.0.2:0", ID: "i-1", Slots: 4})
//	defer t.Close()
//	t.SetBehaviour(crtarget.Behaviour{Error: 1})
//
// A request with the parameter bytes=N gets a response with N bytes more; see [Answer].
package crtarget

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Behaviour configures service time and faults. Each fault is a probability per request.
type Behaviour struct {
	ServiceTime    time.Duration
	Error          float64 // responds with 500 at once
	Hang           float64 // responds with 504 at the request's deadline
	Reset          float64 // executes the request and resets the connection
	Shed           float64 // responds that it did not execute the request
	Duplicate      float64 // responds twice
	Truncate       float64 // closes the connection within the response body
	Unsealed       float64 // responds without the seal header
	CloseDelimited float64 // responds without Content-Length and closes the connection
	ResponseBytes  int     // bytes added to each response; the parameter bytes of a request replaces it

	Endless Endless       // part of each response that does not end; empty: none
	Pace    time.Duration // pause between short writes of that part; zero: as fast as the caller reads
}

// maxResponseBytes bounds the parameter bytes of a request.
const maxResponseBytes = 64 << 20

// Run is a request that the target executed.
type Run struct {
	At                    time.Time
	Target                string // ID of the target
	ID, Method, URI, Body string
	Account, From         string // From is the service of the caller
	Timeout               time.Duration
	Header                http.Header
	Size                  int       // bytes of the body
	Sum                   string    // SHA-256 of the body
	Responded             time.Time // when a complete sealed response with status 200 was written; zero: none was
}

// maxRecordedBody is the length up to which a run records the body itself, so that a long
// run with uploads does not fill the memory.
const maxRecordedBody = 4 << 10

// Sum returns the SHA-256 of a body, as runs record it.
func Sum(body string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(body))) }

// answerPadding makes the blocks of an answer long: with short ones, a large answer took
// hundreds of milliseconds in tests with the race detector.
var answerPadding = strings.Repeat(".", 1000) + "\n"

// Answer returns the response body of a request. The n bytes after its first line differ
// between requests and do not repeat, so that missing and mixed parts are detected.
func Answer(id, method, uri string, n int) string {
	var b strings.Builder
	b.WriteString("answer to " + id + " " + method + " " + uri + "\n")
	for end := b.Len() + n; b.Len() < end; {
		block := id + ":" + strconv.Itoa(b.Len()) + answerPadding
		b.WriteString(block[:min(len(block), end-b.Len())])
	}
	return b.String()
}

// Options configure a target.
type Options struct {
	Address string
	ID      string
	Slots   int // not enforced
}

// Target is the fake target. It is safe for concurrent use.
type Target struct {
	opts      Options
	listener  net.Listener
	mu        sync.Mutex
	behaviour Behaviour
	limit     float64 // see SetLimit
	fatalURI  string  // see SetFatal
	downTime  time.Duration
	ends      int
	leaving   bool // see SetLeaving
	runs      []Run
	cancelled int // requests whose connection closed before they finished
	running   int
	peak      int // maximum of running
	conns     map[net.Conn]bool
	active    map[net.Conn]bool // of these, those on which a request is running
	closed    bool

	warmup       time.Duration // see SetWarmup
	healthPath   string
	healthChecks int
	coldUntil    time.Time
	arrivals     []Arrival
	wg           sync.WaitGroup
}

// Start starts a target that listens on opts.Address.
func Start(opts Options) (*Target, error) {
	l, err := listen(opts.Address)
	if err != nil {
		return nil, err
	}
	t := &Target{opts: opts, conns: make(map[net.Conn]bool), active: make(map[net.Conn]bool)}
	t.opts.Address = l.Addr().String()
	t.serveOn(l)
	return t, nil
}

// serveOn serves the connections of a listener, as a process that has just started. The caller holds
// t.mu, unless nothing else knows the target yet.
func (t *Target) serveOn(l net.Listener) {
	t.listener, t.coldUntil = l, time.Now().Add(t.warmup)
	t.wg.Add(1)
	go t.accept(l)
}

// listen listens on an address. It waits for addressTimeout at most until the address is free: a process
// that this one is starting holds a listener that was closed meanwhile, until it executes its program.
func listen(address string) (net.Listener, error) {
	for deadline := time.Now().Add(addressTimeout); ; time.Sleep(time.Millisecond) {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return l, err
		}
	}
}

// addressTimeout exceeds the time between fork and exec on a busy machine.
const addressTimeout = time.Second

// Address returns the address on which the target listens.
func (t *Target) Address() string { return t.opts.Address }

// SetBehaviour replaces the behaviour for later requests.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// SetLimit sets the requests a second that the target says in its responses that it takes.
// With zero it names no limit.
func (t *Target) SetLimit(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = rate
}

// SetFatal makes each request for a URI end the target's process: the target closes its listener
// and all connections, and starts again after downTime. With an empty URI no request does.
func (t *Target) SetFatal(uri string, downTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fatalURI, t.downTime = uri, downTime
}

// Ends returns how often the target's process has ended.
func (t *Target) Ends() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ends
}

// end ends the target's process, and starts it again later.
func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends++
	_ = t.listener.Close() // later connections are refused
	for c := range t.conns {
		_ = c.Close() // the peer sees the close
	}
	time.AfterFunc(t.downTime, t.restart)
}

func (t *Target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", t.opts.Address)
	if err != nil {
		time.AfterFunc(t.downTime, t.restart) // the address may still be in use
		return
	}
	t.serveOn(l)
}

// SetLeaving makes the target say in its responses that it leaves.
func (t *Target) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// announcements are the response headers in which the target tells of its limit and of its
// leaving.
func (t *Target) announcements() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	headers := ""
	if t.limit > 0 {
		headers += "Server-Limit: " + strconv.FormatFloat(t.limit, 'f', -1, 64) + "\r\n"
	}
	if t.leaving {
		headers += "Server-Leaving: 1\r\n"
	}
	return headers
}

// Runs returns the executed requests in the order of their start.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Cancelled returns the number of requests whose connection closed before they finished.
func (t *Target) Cancelled() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cancelled
}

// Peak returns the maximum number of requests that ran concurrently.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// Close closes the listener and all connections at once.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	_ = t.listener.Close() // later connections are refused
	for c := range t.conns {
		_ = c.Close() // the peer sees the close
	}
	t.mu.Unlock()
	t.wg.Wait()
}

func (t *Target) accept(l net.Listener) {
	defer t.wg.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		ended := t.listener != l
		if !ended {
			t.conns[conn] = true
		}
		t.mu.Unlock()
		if ended {
			_ = conn.Close() // the process that accepted it has ended
			return
		}
		t.wg.Add(1)
		go t.serve(conn)
	}
}

func (t *Target) serve(conn net.Conn) {
	defer t.wg.Done()
	defer func() {
		_ = conn.Close() // the caller sees the close
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
		t.setActive(conn, true)
		open := t.handle(conn, br, r, string(body))
		t.setActive(conn, false)
		if !open {
			return
		}
	}
}

// handle responds to one request and reports whether the connection stays open.
func (t *Target) handle(conn net.Conn, br *bufio.Reader, r *http.Request, body string) bool {
	t.mu.Lock()
	b := t.behaviour
	t.mu.Unlock()
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expected-Instance"); want != "" && want != t.opts.ID {
		return t.writeResponse(conn, 421, id, "Instance-Id: "+t.opts.ID+"\r\n", "", false)
	}
	t.recordArrival()
	if t.isHealthCheck(r) {
		return t.respondHealth(conn, id)
	}
	if chance(b.Shed) {
		return t.writeResponse(conn, 503, id, "Not-Executed: 1\r\n", "", false)
	}
	run := t.start(r, body)
	defer t.finish()
	if t.isFatal(r) {
		t.end()
		return false
	}
	timeout, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	if err != nil {
		timeout = int(time.Minute / time.Millisecond)
	}
	switch {
	case b.Endless != "":
		b.Endless.send(conn, id, b.Pace)
		return false
	case chance(b.Reset):
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes serve's Close send a reset
		}
		return false
	case chance(b.Error):
		return t.writeResponse(conn, 500, id, "", "failed\n", true)
	case chance(b.Hang):
		t.serveFor(conn, br, time.Duration(timeout)*time.Millisecond)
		return t.writeResponse(conn, 504, id, "", "late\n", true)
	}
	if !t.serveFor(conn, br, b.ServiceTime) {
		return false
	}
	return t.respond(conn, b, run, r)
}

func (t *Target) isFatal(r *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fatalURI != "" && r.URL.RequestURI() == t.fatalURI
}

// respond writes the response of the run with the given index.
func (t *Target) respond(conn net.Conn, b Behaviour, run int, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	text := Answer(id, r.Method, r.URL.RequestURI(), responseBytes(b, r))
	switch {
	case chance(b.Truncate):
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text[:max(4, len(text)/2)])
		return false
	case chance(b.Unsealed):
		return t.writeResponse(conn, 200, id, "", text, false)
	case chance(b.CloseDelimited):
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n%s", id, text)
		return false
	case chance(b.Duplicate):
		first := t.writeResponse(conn, 200, id, "", text, true)
		return first && t.writeResponse(conn, 200, id, "", text, true)
	}
	if !t.writeResponse(conn, 200, id, "", text, true) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[run].Responded = time.Now()
	return true
}

func responseBytes(b Behaviour, r *http.Request) int {
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 {
		return min(n, maxResponseBytes)
	}
	return b.ResponseBytes
}

func chance(probability float64) bool { return probability > 0 && rand.Float64() < probability }

// start records a run and returns its index.
func (t *Target) start(r *http.Request, body string) int {
	sum, size := Sum(body), len(body)
	if size > maxRecordedBody {
		body = ""
	}
	timeout, _ := strconv.Atoi(r.Header.Get("Deadline-Milliseconds")) // zero: no deadline given
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	t.peak = max(t.peak, t.running)
	t.runs = append(t.runs, Run{
		At: time.Now(), Target: t.opts.ID, ID: r.Header.Get("Request-Id"), Method: r.Method, URI: r.URL.RequestURI(), Body: body,
		Account: r.Header.Get("Tenant-Name"), From: r.Header.Get("Calling-Service"),
		Timeout: time.Duration(timeout) * time.Millisecond, Header: r.Header, Size: size, Sum: sum,
	})
	return len(t.runs) - 1
}

func (t *Target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// serveFor waits for d and reports true, or reports false if the connection closes first.
func (t *Target) serveFor(conn net.Conn, br *bufio.Reader, d time.Duration) bool {
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
	t.cancelled++
	t.mu.Unlock()
	return false
}

func (t *Target) writeResponse(conn net.Conn, status int, id, extra, body string, sealed bool) bool {
	if sealed {
		extra += "Response-Seal: s\r\n"
	}
	extra += t.announcements()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, extra, len(body), body)
	return err == nil
}
