package crexit

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	upstreamIdle    = 90 * time.Second
	upstreamConnect = time.Second
	maxAnswerHeader = 64 << 10
	// idleConnections bounds the kept connections of a target.
	idleConnections = 64
)

// countedConn counts the writes begun on a connection, which tells for certain
// whether anything of a request can have left.
type countedConn struct {
	net.Conn
	writes  atomic.Int64
	retired atomic.Bool
}

// Write implements net.Conn. It counts before it writes: a write that is not
// counted has not begun.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.retired.Load() {
		return 0, net.ErrClosed
	}
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// retire closes the connection for good; nothing is written on it from then on.
func (c *countedConn) retire() {
	c.retired.Store(true)
	_ = c.Close()
}

// newTransport returns a pool of at most so many connections; zero: no bound.
func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: upstreamConnect}
	idle := idleConnections
	if connections > 0 {
		idle = min(idle, connections)
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		IdleConnTimeout:        upstreamIdle,
		MaxResponseHeaderBytes: maxAnswerHeader,
		MaxIdleConnsPerHost:    idle,
		MaxConnsPerHost:        connections,
	}
}
