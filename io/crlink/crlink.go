// Package crlink holds HTTP/1.1 connections whose every byte the caller accounts
// for: when a request left, whose answer came, and what is left over.
//
// An ordinary client hides these: it sends again on its own, and takes the next
// bytes on a connection for the answer to what it sent last. A target that
// answers twice would then give one caller the answer of another, and a request
// that may run once could run twice.
//
// # Usage
//
//	pool := crlink.NewPool("10.0.0.1:7660", crlink.Options{Connect: 150 * time.Millisecond, Idle: 20 * time.Second})
//	conn, err := pool.Get(ctx)
//	answer, err := conn.Exchange(ctx, request, mine)
//	pool.Put(conn)
package crlink

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeEvery and probeCount find a peer that is gone without a
	// word within three seconds.
	probeIdle  = time.Second
	probeEvery = 700 * time.Millisecond
	probeCount = 2
	// unacknowledged is how long sent bytes may go unacknowledged.
	unacknowledged = 2500 * time.Millisecond
	// maxAnswer bounds an answer that is held in memory.
	maxAnswer = 16 << 20
	// maxStrays bounds the answers skipped that belong to other requests.
	maxStrays = 4
)

// Errors of an exchange.
var (
	// ErrTooLarge tells that an answer does not fit into memory.
	ErrTooLarge = errors.New("the answer is too large")
	// ErrStray tells that only answers to other requests came.
	ErrStray = errors.New("the answers belong to other requests")
)

// Dialer returns a dialer whose connections notice a silent peer.
func Dialer(connect time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}

// Options are the settings of a pool.
type Options struct {
	Connect time.Duration // longest time to connect
	Idle    time.Duration // longest time for which a connection is kept unused
	Keep    int           // connections kept unused
}

// Pool keeps connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	opts    Options
	dialer  *net.Dialer
	mu      sync.Mutex
	idle    []*Conn // the one used last at the end
	closed  bool
}

// NewPool returns a pool without connections.
func NewPool(address string, opts Options) *Pool {
	return &Pool{address: address, opts: opts, dialer: Dialer(opts.Connect)}
}

// Conn is a connection. It serves one exchange at a time.
type Conn struct {
	net    net.Conn
	br     *bufio.Reader
	used   time.Time
	reused bool
	broken bool
	limit  time.Duration // that the peer keeps it unused; zero: not told
}

// Reused reports whether the connection has served an exchange before.
func (c *Conn) Reused() bool { return c.reused }

// Get returns the connection used last that still seems alive, or a new one.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.Dial(ctx)
		}
		if time.Since(c.used) < p.lasts(c) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

// lasts is how long a connection may lie unused. The peer closes it after the
// time it told; what is sent at that moment is lost.
func (p *Pool) lasts(c *Conn) time.Duration {
	if c.limit > 0 {
		return min(p.opts.Idle, c.limit*7/10)
	}
	return p.opts.Idle
}

func (p *Pool) pop() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// Dial returns a new connection.
func (p *Pool) Dial(ctx context.Context) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &Conn{net: conn, br: bufio.NewReaderSize(conn, 4<<10)}, nil
}

// Put gives a connection back for later exchanges.
func (p *Pool) Put(c *Conn) {
	if c.broken || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.used, c.reused = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.opts.Keep {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes all unused connections; used ones are closed when given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Prune closes connections that have lain unused for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.used) < p.lasts(c) {
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
	_ = c.net.Close() // nothing more is sent or read on it
}

// quiet reports whether nothing has come on an unused connection.
func (c *Conn) quiet() bool { return c.br.Buffered() == 0 && Quiet(c.net) }

// Quiet reports whether nothing has come on a connection that nobody has read: neither
// its end nor bytes that were not asked for. It does not wait for a reader.
func Quiet(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// Request is a request as it goes out.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange sends a request and reads its answer. Answers of which mine says that
// they belong to another request are skipped; nil takes the first. When the
// context ends, the connection is closed, which tells the peer to stop.
//
// After an error the request may have been received, however the error looks.
func (c *Conn) Exchange(ctx context.Context, r Request, mine func(http.Header) bool) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.net.Close() })
	defer stop()
	a, err := c.exchange(r, mine)
	if err != nil {
		c.Close()
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, err
	}
	return a, nil
}

func (c *Conn) exchange(r Request, mine func(http.Header) bool) (*Answer, error) {
	if _, err := c.net.Write(r.encode()); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	for range maxStrays {
		//nolint:bodyclose // readBody closes it; an informational answer has none.
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(resp)
		if err != nil {
			return nil, err
		}
		if mine != nil && !mine(resp.Header) {
			if resp.Close {
				return nil, ErrStray
			}
			continue
		}
		c.broken = c.broken || resp.Close
		c.limit = keepAlive(resp.Header)
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
	}
	return nil, ErrStray
}

func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	err = errors.Join(err, resp.Body.Close())
	if err != nil {
		return nil, fmt.Errorf("read the answer's body: %w", err)
	}
	if len(body) > maxAnswer {
		return nil, ErrTooLarge
	}
	return body, nil
}

// encode writes the request in one piece, so that it leaves whole or not at all
// as far as this side can see to it.
func (r Request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	// A bytes.Buffer takes every write.
	_ = r.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// keepAlive reads how long the peer keeps an unused connection.
func keepAlive(h http.Header) time.Duration {
	for _, part := range SplitList(h.Get("Keep-Alive")) {
		var seconds int
		if _, err := fmt.Sscanf(part, "timeout=%d", &seconds); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// SplitList splits the value of a header that holds a list with commas.
func SplitList(s string) []string {
	parts := strings.Split(s, ",")
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
	}
	return parts
}

// CloseAfterChunks has the connection of a request in chunks end with its answer.
// net/http drops a length that stands beside the chunks. Another parser on the way
// may have gone by it, and what it took for the rest of this request would be
// served here as the next one of somebody else.
func CloseAfterChunks(w http.ResponseWriter, r *http.Request) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
}
