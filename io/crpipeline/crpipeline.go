// Package crpipeline runs pipelined HTTP/1.1 requests of a connection concurrently and sends the responses
// in the order of the requests.
//
// net/http serves a connection until a further request arrives while one is handled. The
// connection is then hijacked, and returned to the same server when no request is in progress and the
// head of a further one has arrived. Only requests that the entry allows are read here; all others are
// left to net/http.
//
// # Usage
//
//	handler := crpipeline.New(entry, meter)
//	server := crserver.New(handler)
//	go server.Serve(crserver.Guard(listener))
//	handler.Stop()
//	server.SetKeepAlivesEnabled(false)
//	err := errors.Join(server.Shutdown(ctx), handler.Wait(ctx))
package crpipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"camphorroad/io/crserver"
)

// Entry handles requests.
type Entry interface {
	http.Handler
	// Concurrent reports whether a request may run concurrently with others.
	Concurrent(r *http.Request) bool
}

// Meter records metrics of pipelined requests.
type Meter interface {
	// ObserveTakeover counts a connection that is taken over from net/http.
	ObserveTakeover()
	// ObserveConcurrent counts a request that is read while another one of its connection is in
	// progress.
	ObserveConcurrent()
}

// waitInterval is the time between checks for connections that are taken over.
const waitInterval = 10 * time.Millisecond

// Handler is an [http.Handler] that runs pipelined requests concurrently. Its server must be one of
// [crserver.New], and it must be the handler of only one server.
type Handler struct {
	entry Entry
	meter Meter

	mu       sync.Mutex
	stopping bool
	loops    map[*loop]struct{}
	returned *returnListener // nil until the first takeover
}

// New returns a handler that wraps an entry.
func New(entry Entry, meter Meter) *Handler {
	return &Handler{entry: entry, meter: meter, loops: make(map[*loop]struct{})}
}

// Stop ends the reading of pipelined requests. The last response in progress on each connection that is
// taken over closes the connection.
func (h *Handler) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	for l := range h.loops {
		l.stop()
	}
}

// Wait waits until no connection is taken over.
func (h *Handler) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for h.takenOver() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err() //nolint:wrapcheck // as http.Server.Shutdown
		case <-ticker.C:
		}
	}
	return nil
}

func (h *Handler) takenOver() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.loops)
}

// add registers a loop, and returns the listener for the return of its connection. It reports false while
// the handler stops.
func (h *Handler) add(l *loop, server *http.Server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return false
	}
	if h.returned == nil {
		returned := newReturnListener(l.conn.LocalAddr())
		h.returned = returned
		go func() { _ = server.Serve(returned) }() // returns when the server stops, and closes the listener
	}
	l.returned = h.returned
	h.loops[l] = struct{}{}
	return true
}

func (h *Handler) remove(l *loop) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.loops, l)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := crserver.ConnOf(r.Context()).(*crserver.Conn)
	if !ok || !h.concurrent(r) {
		h.entry.ServeHTTP(w, r)
		return
	}
	f := &first{w: w, header: w.Header(), handler: h, request: r, conn: c}
	c.Notify(f)
	defer f.finish()
	h.entry.ServeHTTP(f, r)
}

// concurrent reports whether a request may run concurrently with others.
func (h *Handler) concurrent(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ProtoMajor == 1 && r.ProtoMinor >= 1 && !r.Close &&
		r.ContentLength == 0 && len(r.TransferEncoding) == 0 && r.Header["Expect"] == nil && r.Header["Upgrade"] == nil && h.entry.Concurrent(r)
}

// first is the response writer of a request that net/http has read. Until the handler writes, the
// connection may be taken over; afterwards, the response is written by net/http.
type first struct {
	w       http.ResponseWriter
	header  http.Header // of w; takeOver must not call a method of w while the handler may
	handler *Handler
	request *http.Request
	conn    *crserver.Conn

	mu       sync.Mutex
	written  bool // the handler has written or returned
	loop     *loop
	exchange *exchange // in the loop
}

// writer returns the writer of the response.
func (f *first) writer() http.ResponseWriter {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loop != nil {
		return f.exchange
	}
	f.written = true
	return f.w
}

// Header implements http.ResponseWriter.
func (f *first) Header() http.Header {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.written {
		return f.w.Header()
	}
	return f.header
}

// Write implements http.ResponseWriter.
func (f *first) Write(p []byte) (int, error) { return f.writer().Write(p) }

// WriteHeader implements http.ResponseWriter.
func (f *first) WriteHeader(status int) { f.writer().WriteHeader(status) }

// BytesAhead implements crserver.Notifiee. Hijack waits for the Read that calls this.
func (f *first) BytesAhead() { go f.takeOver() }

// takeOver hijacks the connection, unless its response is already being written.
func (f *first) takeOver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	server, ok := f.request.Context().Value(http.ServerContextKey).(*http.Server)
	if f.written || !ok {
		return
	}
	e := &exchange{request: f.request, header: f.header}
	l := newLoop(f.handler, f.conn, f.request, e)
	if !f.handler.add(l, server) {
		return
	}
	_, buf, err := http.NewResponseController(f.w).Hijack()
	if err != nil {
		f.handler.remove(l)
		return
	}
	f.conn.Take()
	f.loop, f.exchange, l.src = l, e, buf.Reader
	f.handler.meter.ObserveTakeover()
	go l.read()
}

// finish ends the request. If the connection is taken over, it writes responses until no request is
// in progress.
func (f *first) finish() {
	f.conn.Notify(nil)
	f.mu.Lock()
	f.written = true
	f.mu.Unlock()
	if f.loop == nil {
		return
	}
	if p := recover(); p != nil {
		f.loop.fail(p)
	}
	f.loop.complete(f.exchange)
	f.loop.write()
}

// returnListener passes connections back to the server.
type returnListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newReturnListener(addr net.Addr) *returnListener {
	return &returnListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *returnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *returnListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *returnListener) Addr() net.Addr { return l.addr }

// put passes a connection to the server, or closes it if the server has stopped.
func (l *returnListener) put(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.done:
		_ = c.Close() // nothing of its unread requests has run
	}
}
