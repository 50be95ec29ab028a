// Package crserver is the HTTP/1.1 server of the daemon of io/crmesh. While it stops, it never closes
// a connection whose request it has begun to handle. It bounds the memory of request heads, which net/http
// bounds only for each connection, by a limit that cannot change.
//
// [http.Server] closes idle connections when it stops, or when keep-alive is disabled. It looks
// at a connection's state and closes it in two steps. A request that is read between them is
// handled, and its response is lost. A guarded connection ignores such a close, and net/http closes it
// after the response, as keep-alive is disabled by then. If the close comes first, the request is not
// handled.
//
// # Usage
//
//	server := crserver.New(handler)
//	go server.Serve(crserver.NewLimits(maxConns, budget, headBytes).Guard(listener))
//	server.SetKeepAlivesEnabled(false)
//	err := server.Shutdown(ctx)
package crserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"camphorroad/core/crhead"
)

const (
	// HeaderTimeout bounds the wait for the head of a request.
	HeaderTimeout = 10 * time.Second
	// lingerTime bounds the time until a closed connection ends. net/http waits as long
	// after a request that is too large.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds the bytes that are read from a closed connection.
	lingerBytes = 64 << 10
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout = 2 * time.Minute
)

// Guard returns a listener whose connections are not closed under a request, with default limits. The
// server must be one of [New].
func Guard(l net.Listener) net.Listener {
	return NewLimits(defaultConns, crhead.NewBudget(defaultBudget), func() int { return DefaultHeadBytes }).Guard(l)
}

// New returns a server for a handler.
func New(h http.Handler) *http.Server {
	return &http.Server{
		Handler: guarded{h}, ReadHeaderTimeout: HeaderTimeout, IdleTimeout: IdleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

type connKey struct{}

// ConnOf returns the connection of a request, given its context; nil if there is none.
func ConnOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

type listener struct {
	net.Listener
	limits *Limits
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, err
		}
		if conn := l.limits.newConn(tcp); l.limits.admit(conn) {
			return conn, nil
		}
	}
}

// Notifiee is notified when a caller sends further bytes while its request is handled.
type Notifiee interface {
	// BytesAhead is called by Read or Notify, so it must not block.
	BytesAhead()
}

// Conn is a connection that is not closed while a request is handled.
//
// A Read into a buffer of net/http returns no bytes after the end of a request head. net/http
// therefore buffers no head of a further request while it handles one, but finds its first byte by
// the one-byte Read with which it waits for the end of the connection.
type Conn struct {
	*net.TCPConn

	limits *Limits

	rest  []byte // read from the socket, but not yet returned by Read
	state headState

	mu       sync.Mutex
	head     *crhead.Head // of the request that is read or handled
	busy     bool         // a request is handled
	closed   bool
	taken    bool // the handler has hijacked the connection
	ahead    bool // the last Read returned one byte of a further request
	linger   bool // the caller has pipelined requests, so Close must not reset the connection
	notifiee Notifiee
}

// maxHeadRead is the size of the buffer into which net/http reads heads. It reads into larger
// buffers only within a body.
const maxHeadRead = 4096

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.readHead(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	if err := c.count(p[:n]); err != nil {
		c.refuse(err)
		c.mu.Unlock()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err} // net/http responds to other errors
	}
	c.ahead = len(p) == 1
	var notifiee Notifiee
	if c.ahead {
		c.linger = true
		notifiee, c.notifiee = c.notifiee, nil
	}
	c.mu.Unlock()
	if notifiee != nil {
		notifiee.BytesAhead()
	}
	return n, err
}

// readHead reads up to the end of a head.
func (c *Conn) readHead(p []byte) (n int, err error) {
	buffered := len(c.rest) > 0
	if buffered {
		n = copy(p, c.rest)
	} else if n, err = c.TCPConn.Read(p); n <= 0 {
		return n, err //nolint:wrapcheck // net/http compares it
	}
	if len(p) <= maxHeadRead {
		if end := c.state.find(p[:n]); end >= 0 && end < n {
			if !buffered {
				c.rest = append([]byte(nil), p[end:n]...)
			}
			n = end
		}
	}
	if buffered {
		if c.rest = c.rest[n:]; len(c.rest) == 0 {
			c.rest = nil
		}
	}
	return n, err //nolint:wrapcheck // net/http compares it
}

// Notify sets the notifiee. BytesAhead is called on it once, when bytes of a further request arrive, or
// at once if they already have. Nil removes it.
func (c *Conn) Notify(n Notifiee) {
	c.mu.Lock()
	ahead := c.ahead && n != nil
	if ahead {
		c.notifiee = nil
	} else {
		c.notifiee = n
	}
	c.mu.Unlock()
	if ahead {
		n.BytesAhead()
	}
}

// Take records that the request's handler has hijacked the connection. Close then does nothing until the
// handler returns; the handler closes the TCPConn.
func (c *Conn) Take() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken = true
}

// Renew returns a connection for another [http.Server.Serve]. It reads the unread bytes first.
// The old one must not be used any more.
func (c *Conn) Renew(unread []byte) *Conn {
	renewed := c.limits.newConn(c.TCPConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.limits.conns.Replace(c, renewed)
	renewed.linger, renewed.rest = true, append(append([]byte(nil), unread...), c.rest...)
	return renewed
}

// HeadEnd returns the length of the request head with which p begins, or -1 if it is incomplete.
func HeadEnd(p []byte) int {
	var s headState
	return s.find(p)
}

// headState is the part of the end of a head, an empty line, that has been read.
type headState int

const (
	inLine headState = iota
	lineEnd
	lineEndCR
)

// find returns the index after the first end of a head in p, or -1. As net/http does, it accepts lines
// that end without CR.
func (s *headState) find(p []byte) int {
	for i := 0; i < len(p); i++ {
		switch {
		case *s == inLine:
			next := bytes.IndexByte(p[i:], '\n')
			if next < 0 {
				return -1
			}
			i += next
			*s = lineEnd
		case p[i] == '\n':
			*s = inLine
			return i + 1
		case p[i] == '\r' && *s == lineEnd:
			*s = lineEndCR
		default:
			*s = inLine
		}
	}
	return -1
}

// Close implements net.Conn. It does nothing while a request is handled.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closed {
		return nil
	}
	c.closed = true
	c.head.Release()
	if c.linger {
		go c.Linger()
		return nil
	}
	defer c.limits.conns.Remove(c)
	return c.TCPConn.Close() //nolint:wrapcheck // as the embedded connection
}

// linger closes a connection on which unread bytes may arrive. If they were not read, the
// kernel would answer them with a reset, by which the caller can lose responses that it has not read yet.
// A caller that sends more than lingerBytes has lingerTime to read them.
func linger(c *net.TCPConn) {
	deadline := time.Now().Add(lingerTime)
	_ = c.SetReadDeadline(deadline)
	if c.CloseWrite() == nil {
		if n, _ := io.CopyN(io.Discard, struct{ io.Reader }{c}, lingerBytes); n == lingerBytes {
			time.Sleep(time.Until(deadline))
		}
	}
	_ = c.Close()
}

// begin reports whether a request may be handled: the connection is not closed, and will not be
// before end.
func (c *Conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy = !c.closed; c.busy {
		c.limits.conns.Busy(c)
	}
	return c.busy
}

func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.head.Release()
	c.limits.conns.Wait(c)
}

func (c *Conn) isTaken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken
}

// guarded is a handler that keeps the connection open until the response has been written.
type guarded struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (g guarded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := ConnOf(r.Context()).(*Conn)
	if !ok {
		g.Handler.ServeHTTP(w, r)
		return
	}
	if !c.begin() {
		panic(http.ErrAbortHandler) // the caller sees the close; nothing has run
	}
	defer c.end()
	g.Handler.ServeHTTP(w, r)
	if c.isTaken() {
		return
	}
	_ = http.NewResponseController(w).Flush() // fails only on a broken connection
}
