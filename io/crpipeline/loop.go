package crpipeline

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"camphorroad/core/crhead"
	"camphorroad/io/crserver"
)

const (
	// maxInProgress bounds the requests in progress on a connection.
	maxInProgress = 64
	// maxWaiting bounds the bytes of responses that wait, or are expected to, behind the first one
	// when another request starts.
	maxWaiting = 1 << 20
	// maxHead bounds the unread bytes that are held. A larger head is left to net/http.
	maxHead = 16 << 10
)

// loop serves a connection that is taken over. Its goroutine reads; the goroutine of the first request
// writes until no request is in progress, and then returns.
type loop struct {
	handler  *Handler
	conn     *crserver.Conn
	src      *bufio.Reader   // of net/http: a failed Read cancels the first request
	ctx      context.Context //nolint:containedctx // of the first request, which lasts until the last one ends
	remote   string
	returned *returnListener

	mu        sync.Mutex
	changed   *sync.Cond
	unread    []byte
	discarded int         // bytes read behind a response that closes the connection
	refused   bool        // the unread bytes begin with a request for net/http, or one whose head is over a limit
	queue     []*exchange // in progress, in order
	waiting   int         // bytes of the complete responses behind the first
	largest   int         // bytes of the largest response
	closing   bool        // no further request starts
	left      bool        // the caller has closed the connection
	broken    bool        // no further response can be written
	idle      bool        // no request is in progress, and none starts
	ended     bool        // the connection may belong to net/http again
	panicked  any         // value and stack of a handler's panic, or http.ErrAbortHandler
}

func newLoop(h *Handler, c *crserver.Conn, r *http.Request, e *exchange) *loop {
	l := &loop{handler: h, conn: c, ctx: r.Context(), remote: r.RemoteAddr, queue: []*exchange{e}}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// read reads requests until the connection ends or is returned to net/http.
func (l *loop) read() {
	defer l.handler.remove(l)
	for l.waitForSpace() {
		_, err := l.src.Peek(1)
		if !l.received(err) {
			break
		}
	}
	l.end()
}

// waitForSpace waits until further bytes may be read. It reports false if the loop has ended.
func (l *loop) waitForSpace() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.unread)+l.discarded >= maxHead && !l.idle && !l.broken {
		l.changed.Wait()
	}
	return !l.idle || !l.closing && !l.hasHead()
}

// hasHead reports whether the unread bytes begin with a whole head, or with one that is left to net/http
// for its size. The caller holds mu.
func (l *loop) hasHead() bool {
	return len(l.unread) >= maxHead || crserver.HeadEnd(l.unread) >= 0
}

// received handles the result of a read. It reports false if no further one is useful.
func (l *loop) received(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.left = l.left || !l.idle
		l.changed.Broadcast()
		return false
	}
	p, _ := l.src.Peek(l.src.Buffered()) // cannot fail: they are buffered
	if !l.closing && !l.broken {
		if l.idle && len(l.unread) == 0 {
			_ = l.conn.SetReadDeadline(time.Now().Add(crserver.HeaderTimeout))
		}
		l.unread = append(l.unread, p...)
	} else {
		l.discarded += len(p)
	}
	_, _ = l.src.Discard(len(p))
	l.advance()
	return true
}

// advance starts the requests that may run. The caller holds mu.
func (l *loop) advance() {
	for l.mayStart() {
		n := crserver.HeadEnd(l.unread)
		if n < 0 {
			l.refused = len(l.unread) >= maxHead
			return
		}
		account := l.conn.NewConcurrentHead()
		if l.conn.AddHead(account, l.unread[:n]) != nil {
			l.refused = true
			return
		}
		r, ok := parse(l.unread[:n])
		if !ok || !l.handler.concurrent(r) {
			account.Release()
			l.refused = true
			return
		}
		l.unread = append(l.unread[:0], l.unread[n:]...)
		l.start(r, account)
	}
}

// mayStart reports whether the state and the limits of the connection allow another request to start.
// None starts without one in progress: the context of all is that of the first. The caller holds mu.
func (l *loop) mayStart() bool {
	return !l.closing && !l.left && !l.broken && !l.refused && len(l.unread) > 0 &&
		len(l.queue) > 0 && len(l.queue) < maxInProgress && l.expectedWaiting() <= maxWaiting
}

// expectedWaiting is the expected size of the responses behind the first when those in progress are
// complete. Each of them may be as large as the largest one on this connection.
func (l *loop) expectedWaiting() int {
	incomplete := 0
	for _, e := range l.queue[1:] {
		if !e.done {
			incomplete++
		}
	}
	return l.waiting + incomplete*l.largest
}

// start runs a request in a goroutine of its own. The caller holds mu.
func (l *loop) start(r *http.Request, account *crhead.Head) {
	ctx, cancel := context.WithCancel(l.ctx)
	r = r.WithContext(ctx)
	r.RemoteAddr = l.remote
	e := &exchange{request: r, header: make(http.Header)}
	l.queue = append(l.queue, e)
	l.handler.meter.ObserveConcurrent()
	go func() {
		defer cancel()
		defer account.Release()
		defer l.complete(e)
		defer func() {
			if p := recover(); p != nil {
				l.fail(p)
			}
		}()
		l.handler.entry.ServeHTTP(e, r)
	}()
}

// complete records that the handler of a request has returned.
func (l *loop) complete(e *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() == nil {
		e.WriteHeader(http.StatusOK) // as net/http does; a cancelled handler may return without a response
	}
	e.done = true
	l.largest = max(l.largest, len(e.body))
	if e != l.queue[0] {
		l.waiting += len(e.body)
	}
	l.closing = l.closing || e.closes()
	l.changed.Broadcast()
}

// fail ends the connection after a panic. The failing Read cancels the other requests. The goroutine that
// panics calls it, as net/http logs the stack of the one that writes.
func (l *loop) fail(p any) {
	if err, _ := p.(error); !errors.Is(err, http.ErrAbortHandler) { // net/http does not log that
		p = fmt.Sprintf("%v\n%s", p, debug.Stack())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.panicked = p
	l.breakOff()
}

// breakOff closes the connection without further responses. The caller holds mu.
func (l *loop) breakOff() {
	l.broken = true
	l.conn.Abort()
}

// stop ends the reading of requests.
func (l *loop) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	if l.idle && !l.ended {
		_ = l.conn.SetReadDeadline(time.Now())
	}
	l.changed.Broadcast()
}

// write writes the responses in order until no request is in progress.
func (l *loop) write() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > 0 {
		e := l.queue[0]
		for !e.done {
			l.changed.Wait()
		}
		l.send(e)
		l.queue[0] = nil
		if l.queue = l.queue[1:]; len(l.queue) > 0 && l.queue[0].done {
			l.waiting -= len(l.queue[0].body)
		}
		l.advance()
		l.changed.Broadcast()
	}
	l.setIdle()
	if l.panicked != nil {
		panic(l.panicked) // net/http logs it
	}
}

// send writes a response. The caller holds mu, which is released while it writes.
func (l *loop) send(e *exchange) {
	if e.status == 0 {
		l.breakOff() // the request was cancelled, and has no response
	}
	if l.broken {
		return
	}
	closes := l.closing && len(l.queue) == 1
	l.mu.Unlock()
	err := e.send(l.conn.TCPConn, closes)
	l.mu.Lock()
	if err != nil {
		l.breakOff()
	}
}

// setIdle lets the reader end, or wait for the next request. The caller holds mu.
func (l *loop) setIdle() {
	l.idle = true
	wait := crserver.IdleTimeout
	switch {
	case l.closing || l.hasHead():
		wait = 0
	case len(l.unread) > 0:
		wait = crserver.HeaderTimeout
	}
	_ = l.conn.SetReadDeadline(time.Now().Add(wait))
	l.changed.Broadcast()
}

// end closes the connection, or returns it to net/http if it has unread bytes.
func (l *loop) end() {
	l.mu.Lock()
	for !l.idle {
		l.changed.Wait()
	}
	closing, lost := l.closing, l.left || l.broken
	l.ended = true
	l.mu.Unlock()
	switch {
	case lost:
		l.conn.Abort()
	case closing:
		l.conn.Linger()
	case len(l.unread) == 0:
		l.conn.Abort() // the caller has left, or the idle time-out has passed
	default:
		_ = l.conn.SetReadDeadline(time.Time{})
		l.returned.put(l.conn.Renew(l.unread))
	}
}
