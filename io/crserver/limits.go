package crserver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"camphorroad/core/crconn"
	"camphorroad/core/crhead"
)

const (
	// DefaultHeadBytes bounds a request head where no other limit is known. It is that of net/http.
	DefaultHeadBytes = http.DefaultMaxHeaderBytes
	// headSlack is added to the limit for a head, as net/http does: what counts as part of it differs.
	headSlack = 4096
	// defaultBudget is the memory in bytes for the heads of a listener of [Guard].
	defaultBudget = 64 << 20
	// defaultConns bounds the connections of a listener of [Guard].
	defaultConns = 16 << 10
	// retryAfterSeconds is the Retry-After of a head that is refused for want of memory.
	retryAfterSeconds = 1
)

// Limits bound the memory that the clients of one or more listeners take. They are safe for concurrent use.
type Limits struct {
	budget    *crhead.Budget
	headBytes func() int
	conns     *crconn.Table[*Conn]
	refused   atomic.Int64 // heads
	closed    atomic.Int64 // connections
}

// NewLimits returns limits. maxConns bounds the open connections: for a new one, the connection that has waited longest for a
// request is closed, or the new one if requests are handled on all. headBytes returns the limit for the bytes of one head, which may change at any
// time; the budget bounds the memory of all heads. A head over the limit gets 431, one over the budget 503.
func NewLimits(maxConns int, budget *crhead.Budget, headBytes func() int) *Limits {
	return &Limits{conns: crconn.NewTable[*Conn](maxConns), budget: budget, headBytes: headBytes}
}

// Guard returns a listener whose connections are not closed under a request. The server must be one of [New].
func (l *Limits) Guard(inner net.Listener) net.Listener { return listener{inner, l} }

// Refused returns the number of heads that were refused.
func (l *Limits) Refused() int64 { return l.refused.Load() }

// Closed returns the number of connections that were closed because of maxConns.
func (l *Limits) Closed() int64 { return l.closed.Load() }

// admit reports whether a new connection may be served. It closes others for it.
func (l *Limits) admit(c *Conn) bool {
	for {
		longest, result := l.conns.Add(c)
		switch result {
		case crconn.Added:
			return true
		case crconn.Full:
			longest.evict()
		case crconn.Refused:
			l.closed.Add(1)
			_ = c.TCPConn.Close() // nothing of it was read
			return false
		}
	}
}

// evict closes a connection on which no request is handled.
func (c *Conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.limits.closed.Add(1)
	c.closed = true
	c.head.Release()
	c.Abort()
}

// Abort closes the connection at once.
func (c *Conn) Abort() {
	_ = c.TCPConn.Close()
	c.limits.conns.Remove(c)
}

// Linger closes the connection once the client has had time to read its responses.
func (c *Conn) Linger() {
	linger(c.TCPConn)
	c.limits.conns.Remove(c)
}

func (l *Limits) newConn(c *net.TCPConn) *Conn {
	return &Conn{TCPConn: c, limits: l, head: l.budget.NewHead()}
}

// NewConcurrentHead returns the account of the head of a request that is handled after Take.
func (c *Conn) NewConcurrentHead() *crhead.Head { return c.limits.budget.NewConcurrentHead() }

// maxHead is the limit for the bytes of one head.
func (c *Conn) maxHead() int { return c.limits.headBytes() + headSlack }

// AddHead counts the bytes of a head of NewConcurrentHead.
func (c *Conn) AddHead(h *crhead.Head, p []byte) error {
	return h.Add(p, c.maxHead()) //nolint:wrapcheck // the caller only compares it
}

// count counts bytes that net/http reads outside of a handler, which are those of a head. The caller holds mu.
func (c *Conn) count(p []byte) error {
	if c.busy || c.taken {
		return nil
	}
	return c.head.Add(p, c.maxHead()) //nolint:wrapcheck // net/http closes the connection
}

// refuse responds to a head that is not read further. No response is in progress. The caller holds mu.
func (c *Conn) refuse(err error) {
	c.limits.refused.Add(1)
	status, retry := http.StatusRequestHeaderFieldsTooLarge, ""
	if errors.Is(err, crhead.ErrOverBudget) {
		status, retry = http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	text := err.Error()
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retry, len(text), text)
	c.linger = true // Close must not reset the connection before the client has read the response
	c.head.Release()
}
