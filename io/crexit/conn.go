package crexit

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	idleConnTimeout        = 90 * time.Second
	connectTimeout         = time.Second
	maxResponseHeaderBytes = 64 << 10
	// maxIdleConns bounds the idle connections to a target.
	maxIdleConns = 64
)

// countingConn counts the writes begun on a connection. An unchanged count proves
// that no part of a request was sent.
type countingConn struct {
	net.Conn
	writes  atomic.Int64
	retired atomic.Bool
}

// Write implements net.Conn. It counts before it writes: a write that is not
// counted has not begun.
func (c *countingConn) Write(p []byte) (int, error) {
	if c.retired.Load() {
		return 0, net.ErrClosed
	}
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// retire closes the connection and fails all later writes.
func (c *countingConn) retire() {
	c.retired.Store(true)
	_ = c.Close()
}

// newTransport returns a transport with at most maxConns connections; zero means
// no limit.
func newTransport(maxConns int) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	maxIdle := maxIdleConns
	if maxConns > 0 {
		maxIdle = min(maxIdle, maxConns)
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		MaxIdleConnsPerHost:    maxIdle,
		MaxConnsPerHost:        maxConns,
	}
}
