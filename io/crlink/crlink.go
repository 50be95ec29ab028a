// Package crlink is an HTTP/1.1 client with a connection pool. It never retries a
// request, it checks that a response belongs to its request, and it does not reuse a
// connection with unread data. The bytes of a response are bounded in each of its parts.
//
// net/http retries requests by itself, so a request that may run only once could run
// twice. It also takes the next bytes on a connection for the response to the last
// request: after a duplicate response of a target, one caller would get the response
// of another.
//
// With [Options].ID, the ID of a response tells which exchange on its connection it
// belongs to, if it arrives late or twice: an exchange accepts only a response that bears
// its ID, and a connection is used at most once with an ID. A response without an ID could
// belong to any exchange, so an exchange without an ID gets a connection that has not been
// used. A connection on which a response of another exchange has arrived is not used again.
//
// io/cregress uses the client for its target and io/croffer for the other daemons.
// io/crexit, io/crentry, io/cringress and the store client use only its helpers.
//
// # Usage
//
//	pool := crlink.NewPool("10.0.0.1:7660", crlink.Options{
//		ConnectTimeout: 150 * time.Millisecond, IdleTimeout: 20 * time.Second, MaxIdle: 8, ID: dialect.RequestID,
//	})
//	conn, err := pool.Get(ctx, id)
//	resp, err := conn.Exchange(ctx, request)
//	pool.Put(conn)
package crlink

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect within three seconds
	// a peer that has failed without closing the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = 700 * time.Millisecond
	keepAliveCount    = 2
	// ackTimeout is how long sent bytes may stay unacknowledged.
	ackTimeout = 2500 * time.Millisecond
	// maxResponses bounds the responses read in an exchange, including the skipped ones.
	maxResponses = 4
	// maxExchanges bounds the exchanges on a connection, whose IDs it keeps.
	maxExchanges = 256
)

// ErrUnexpectedResponse means that the responses belong to other exchanges.
var ErrUnexpectedResponse = errors.New("the answers belong to other requests")

// Dialer returns a dialer whose connections detect an unresponsive peer.
func Dialer(connectTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			return errors.Join(err, optErr)
		},
	}
}

// Options are the settings of a pool.
type Options struct {
	ConnectTimeout time.Duration // for the TCP handshake
	IdleTimeout    time.Duration // how long an idle connection is kept
	MaxIdle        int           // maximum number of idle connections
	// ID returns the ID that a response bears; empty: none. If it is nil, each response
	// belongs to the exchange during which it arrives.
	ID func(http.Header) string
}

// Pool keeps connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	opts    Options
	dialer  *net.Dialer
	reading atomic.Int64 // bytes of the bodies that are being read
	mu      sync.Mutex
	idle    []*Conn // the most recently used one is last
	closed  bool
}

// NewPool returns a pool without connections.
func NewPool(address string, opts Options) *Pool {
	return &Pool{address: address, opts: opts, dialer: Dialer(opts.ConnectTimeout)}
}

// Conn is a connection. It serves one exchange at a time.
type Conn struct {
	conn            *boundedConn
	reading         *atomic.Int64            // of its pool
	responseID      func(http.Header) string // of its pool; nil: responses bear no IDs
	id              string                   // ID of the next exchange; empty: none
	used            []uint64                 // hashes of the IDs of its exchanges
	br              *bufio.Reader
	connectedAt     time.Time
	lastUsed        time.Time
	reused          bool
	broken          bool
	peerIdleTimeout time.Duration // from the peer's Keep-Alive header; zero: not sent
}

// Reused reports whether the connection has served an exchange before.
func (c *Conn) Reused() bool { return c.reused }

// LocalAddr returns the local address of the connection, by which logs tell connections apart.
func (c *Conn) LocalAddr() string { return c.conn.LocalAddr().String() }

// Age returns the time since the connection was established.
func (c *Conn) Age() time.Duration { return time.Since(c.connectedAt) }

// PeerClosed reports whether the peer has closed the connection. It returns false while there are
// bytes to be read.
func (c *Conn) PeerClosed() bool { return c.br.Buffered() == 0 && peek(c.conn.Conn) == peekClosed }

// Get returns a connection for one exchange with an ID; an empty ID is none. It is the most
// recently used idle connection that is still reusable and that can tell the response of
// this exchange from those of earlier ones, or a new one. If Options.ID is nil, id has no
// effect.
func (p *Pool) Get(ctx context.Context, id string) (*Conn, error) {
	for {
		c := p.pop(id)
		if c == nil {
			var err error
			if c, err = p.Dial(ctx); err != nil {
				return nil, err
			}
			c.id = id
			return c, nil
		}
		if time.Since(c.lastUsed) < p.idleTimeout(c) && c.reusable() {
			c.id = id
			return c, nil
		}
		c.Close()
	}
}

// idleTimeout returns how long a connection may be idle. It is shorter than the peer's
// own timeout, since a request sent at the moment when the peer closes the connection
// is lost.
func (p *Pool) idleTimeout(c *Conn) time.Duration {
	if c.peerIdleTimeout > 0 {
		return min(p.opts.IdleTimeout, c.peerIdleTimeout*7/10)
	}
	return p.opts.IdleTimeout
}

// pop removes and returns the most recently used idle connection that can be used with an ID,
// or nil.
func (p *Pool) pop(id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if c.identifies(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// identifies reports whether a response to an exchange with an ID can be told from late and
// repeated responses to the earlier exchanges on the connection.
func (c *Conn) identifies(id string) bool {
	if c.responseID == nil {
		return true
	}
	if id == "" {
		return len(c.used) == 0
	}
	return !slices.Contains(c.used, xxhash.Sum64String(id))
}

// Dial returns a new connection, for an exchange without an ID.
func (p *Pool) Dial(ctx context.Context) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	bounded := &boundedConn{Conn: conn}
	return &Conn{conn: bounded, reading: &p.reading, responseID: p.opts.ID, br: bufio.NewReaderSize(bounded, 4<<10), connectedAt: time.Now()}, nil
}

// Put returns a connection to the pool.
func (p *Pool) Put(c *Conn) {
	if c.broken || c.br.Buffered() > 0 || len(c.used) >= maxExchanges {
		c.Close()
		return
	}
	c.lastUsed, c.reused = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.opts.MaxIdle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes all idle connections. Those in use are closed by Put.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Prune closes the connections that have been idle for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.lastUsed) < p.idleTimeout(c) {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	p.idle = kept
}

// Close closes the connection.
func (c *Conn) Close() {
	c.broken = true
	_ = c.conn.Close() // nothing more is sent or read on it
}

// reusable reports whether an idle connection is still open and has no unread data.
func (c *Conn) reusable() bool { return c.br.Buffered() == 0 && Reusable(c.conn.Conn) }

// Reusable reports whether an idle connection is still open and has no unread data. It
// does not wait for a goroutine that reads from the connection.
func Reusable(conn net.Conn) bool { return peek(conn) == peekOpen }

// peekResult is what a read from a connection would find.
type peekResult int

const (
	peekOpen   peekResult = iota // nothing, so far
	peekData                     // bytes
	peekClosed                   // the end, or an error
)

// peek returns what a read from the connection would find, without waiting and without reading.
func peek(conn net.Conn) peekResult {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return peekOpen
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return peekClosed
	}
	result := peekClosed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			result = peekOpen
		case err == nil && n > 0:
			result = peekData
		}
	})
	if err != nil {
		return peekClosed
	}
	return result
}

// Request is a request to send.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Written is called once the request has been written, or writing it has failed; nil: it is not.
	Written func()
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Closes bool // it says that the peer closes the connection
}

// Exchange sends a request and reads its response. It skips responses that do not bear the
// ID for which Get returned the connection. When ctx ends, the connection is closed, so that
// the peer stops processing the request.
//
// After any error the peer may have received the request.
func (c *Conn) Exchange(ctx context.Context, r Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	resp, err := c.exchange(r)
	if err != nil {
		c.Close()
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, err
	}
	return resp, nil
}

func (c *Conn) exchange(r Request) (*Response, error) {
	if c.responseID != nil {
		c.used = append(c.used, xxhash.Sum64String(c.id))
	}
	if r.Method == http.MethodHead {
		// No body follows the head of its response. A foreign response may belong to a request with
		// another method, so that bytes of a body could be taken for a response.
		c.broken = true
	}
	_, err := c.conn.Write(r.encode())
	if r.Written != nil {
		r.Written()
	}
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	c.conn.allow(maxHeadBytes, ErrHeadTooLarge)
	for range maxResponses {
		//nolint:bodyclose // readBody closes it; an informational response has none.
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		c.conn.allow(maxWireBytes, ErrResponseTooLarge)
		body, err := c.readBody(resp)
		if err != nil {
			return nil, err
		}
		c.conn.allow(maxHeadBytes, ErrHeadTooLarge)
		if c.responseID != nil && c.responseID(resp.Header) != c.id {
			c.broken = true
			if resp.Close || r.Method == http.MethodHead {
				return nil, ErrUnexpectedResponse
			}
			continue
		}
		c.broken = c.broken || resp.Close
		c.peerIdleTimeout = keepAliveTimeout(resp.Header)
		return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Closes: resp.Close}, nil
	}
	return nil, ErrUnexpectedResponse
}

// encode returns the whole request in one buffer. Sent with a single write, it is sent
// completely or not at all, as far as this side can tell.
func (r Request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, or zero.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range SplitList(h.Get("Keep-Alive")) {
		var seconds int
		if _, err := fmt.Sscanf(part, "timeout=%d", &seconds); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// SplitList splits a header value that is a comma-separated list.
func SplitList(s string) []string {
	parts := strings.Split(s, ",")
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
	}
	return parts
}

// CloseAfterChunkedBody closes the connection after the response if the request has a
// chunked body. net/http ignores a Content-Length next to chunked encoding, but a proxy
// in front of it may use that length instead. Bytes that the proxy takes for the rest of
// the body would then be served as another caller's next request (request smuggling).
func CloseAfterChunkedBody(w http.ResponseWriter, r *http.Request) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
}
