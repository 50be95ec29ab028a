// Package crserver is the HTTP/1.1 server of the daemon of io/crmesh. While it stops, it never closes
// a connection whose request it has begun to handle.
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
//	go server.Serve(crserver.Guard(listener))
//	server.SetKeepAlivesEnabled(false)
//	err := server.Shutdown(ctx)
package crserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headerTimeout bounds the wait for the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request is kept.
	idleTimeout = 2 * time.Minute
)

// Guard returns a listener whose connections are not closed under a request. The server must be
// one of [New].
func Guard(l net.Listener) net.Listener { return listener{l} }

// New returns a server for a handler.
func New(h http.Handler) *http.Server {
	return &http.Server{
		Handler: guarded{h}, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

type connKey struct{}

// ConnOf returns the connection of a request, given its context; nil if there is none.
func ConnOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: tcp}, nil
	}
	return c, err
}

// conn is a connection that is not closed while a request is handled.
type conn struct {
	*net.TCPConn
	mu     sync.Mutex
	busy   bool
	closed bool
}

// Close implements net.Conn. It does nothing while a request is handled.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return nil
	}
	c.closed = true
	return c.TCPConn.Close()
}

// begin reports whether a request may be handled: the connection is not closed, and will not be
// before end.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.closed
	return c.busy
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// guarded is a handler that keeps the connection open until the response has been written.
type guarded struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (g guarded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := ConnOf(r.Context()).(*conn)
	if !ok {
		g.Handler.ServeHTTP(w, r)
		return
	}
	if !c.begin() {
		panic(http.ErrAbortHandler) // the caller sees the close; nothing has run
	}
	defer c.end()
	g.Handler.ServeHTTP(w, r)
	_ = http.NewResponseController(w).Flush() // fails only on a broken connection
}
