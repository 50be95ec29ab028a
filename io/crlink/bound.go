package crlink

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// maxHeadBytes bounds the head of a response, with the interim responses before it.
	maxHeadBytes = 32 << 10
	// maxResponseBytes bounds a response body, which is held in memory.
	maxResponseBytes = 16 << 20
	// maxWireBytes bounds a response body with its framing, which is a large part of short chunks.
	maxWireBytes = maxResponseBytes + 2<<20
	// maxReading bounds the bodies that a pool's connections read at the same time.
	maxReading = 2 * maxResponseBytes
	// firstBuffer is the size of the buffer for a body until it turns out to be larger.
	firstBuffer = 4 << 10
)

// Errors of responses without end.
var (
	// ErrHeadTooLarge means that the head of a response exceeds maxHeadBytes.
	ErrHeadTooLarge = errors.New("the head of the answer is too large")
	// ErrResponseTooLarge means that a response body exceeds maxResponseBytes.
	ErrResponseTooLarge = errors.New("the answer is too large")
	// ErrResponsesTooLarge means that the bodies that are being read exceed maxReading together.
	ErrResponsesTooLarge = errors.New("the answers that are being read are too large")
)

// boundedConn is a connection that returns an error after a number of bytes. It is used by one
// goroutine.
type boundedConn struct {
	net.Conn
	left int
	err  error
}

// allow sets the number of bytes that may be read, and the error after them.
func (c *boundedConn) allow(n int, err error) { c.left, c.err = n, err }

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, c.err
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err //nolint:wrapcheck // its callers compare it
}

// sharedReader counts the bytes that it has read into a sum, which other readers share.
type sharedReader struct {
	src io.Reader
	sum *atomic.Int64
	n   int64
}

// Read implements io.Reader.
func (r *sharedReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	r.n += int64(n)
	if r.sum.Add(int64(n)) > maxReading {
		return n, ErrResponsesTooLarge
	}
	return n, err //nolint:wrapcheck // its callers compare it
}

// release removes the bytes from the sum.
func (r *sharedReader) release() { r.sum.Add(-r.n) }

func (c *Conn) readBody(resp *http.Response) ([]byte, error) {
	if resp.Body != http.NoBody && resp.ContentLength > maxResponseBytes {
		return nil, ErrResponseTooLarge
	}
	src := &sharedReader{src: resp.Body, sum: c.reading}
	defer src.release()
	body, err := readAll(src, maxResponseBytes)
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return nil, fmt.Errorf("read the answer's body: %w", err)
	}
	return body, nil
}

// readAll reads to the end, or returns ErrResponseTooLarge after more than limit bytes. Unlike that of
// io.ReadAll, its buffer does not exceed the limit.
func readAll(r io.Reader, limit int) ([]byte, error) {
	b := make([]byte, 0, firstBuffer)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > limit:
			return nil, ErrResponseTooLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err //nolint:wrapcheck // readBody wraps it
		case len(b) == cap(b):
			size := 2 * cap(b)
			if size >= limit {
				size = limit + 1
			}
			b = append(make([]byte, 0, size), b...)
		}
	}
}
