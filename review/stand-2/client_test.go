package stand2

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	status int // zero: none
	seal   string
	id     string
	retry  string
	body   []byte
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", a.took.Seconds(), a.err)
	}
	sealed := "no Response-Seal"
	if a.seal != "" {
		sealed = "with Response-Seal"
	}
	return fmt.Sprintf("%d after %.3f s, %s, %d bytes of body %q", a.status, a.took.Seconds(), sealed, len(a.body), strings.TrimSpace(string(a.body[:min(len(a.body), 80)])))
}

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// request is a client attempt.
type request struct {
	id       string
	method   string
	path     string
	key      string
	deadline int // ms
	body     []byte
}

// head returns the head of the request.
func (r request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n", r.method, r.path, configHost, r.id, r.deadline)
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// clientConn is a connection of a client.
type clientConn struct {
	*net.TCPConn
	src *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c.(*net.TCPConn), bufio.NewReader(c)}, nil
}

func (c *clientConn) send(r request) error {
	_, err := c.Write(append(r.head(), r.body...))
	return err
}

// read reads the answer to a request that was sent at a time.
func (c *clientConn) read(r request, sent time.Time) answer {
	_ = c.SetReadDeadline(sent.Add(time.Duration(r.deadline)*time.Millisecond + time.Second))
	resp, err := http.ReadResponse(c.src, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err, took: time.Since(sent)}
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{
		status: resp.StatusCode, seal: resp.Header.Get("Response-Seal"), id: resp.Header.Get("Request-Id"), retry: resp.Header.Get("Retry-After"),
		body: body, err: err, took: time.Since(sent),
	}
	if resp.Close {
		_ = c.Close()
	}
	return a
}

// do sends a request on a new connection and returns its answer.
func do(address string, r request) answer {
	began := time.Now()
	c, err := dial(address)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = c.Close() }()
	if err := c.send(r); err != nil {
		// The answer may have come before the whole body was sent.
		if a := c.read(r, began); a.err == nil {
			return a
		}
		return answer{err: err, took: time.Since(began)}
	}
	return c.read(r, began)
}
