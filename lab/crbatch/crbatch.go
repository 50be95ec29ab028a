// Package crbatch is a caller that uses HTTP pipelining: it writes a batch of requests on one
// connection before the first is answered, and reads the responses in order. crload and
// crsoak use it, since net/http's client does not pipeline.
//
// # Usage
//
//	c, err := crbatch.Dial(ctx, "127.0.0.1:8080")
//	defer c.Close()
//	responses := c.Do(ctx, requests)
package crbatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// ErrNotRead is the error of the requests behind a response that closes the connection.
// They count as not read: none of them may have run.
var ErrNotRead = errors.New("behind a response that closes the connection")

// ErrSurplus is the error of the last request of a batch when the connection has data
// behind its response, or behind the response that closes the connection.
var ErrSurplus = errors.New("data behind the last response")

// surplusWait is how long a closing connection is read for surplus data.
const surplusWait = 20 * time.Millisecond

// Response is the response to one request of a batch.
type Response struct {
	Status int // zero: no response
	Header http.Header
	Body   []byte
	At     time.Time // when the response was complete, or reading failed
	Err    error     // the response is incomplete, or none arrived
}

// Conn is a connection of a pipelining caller. It is not safe for concurrent use.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	closed bool
}

// Dial connects to an address.
func Dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Reusable reports whether a further batch can be sent on the connection.
func (c *Conn) Reusable() bool { return !c.closed }

// Close closes the connection.
func (c *Conn) Close() {
	c.closed = true
	_ = c.conn.Close() // nothing more is sent or read
}

// Do sends requests and returns as many responses. After an error the connection is closed,
// and the later responses have the same error. Requests with bodies are not supported: the
// peer may not read them before it answers the earlier ones.
func (c *Conn) Do(ctx context.Context, requests []*http.Request) []Response {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.conn.SetDeadline(deadline) // fails only on a closed connection
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Now()) })
	defer stop()
	responses := make([]Response, len(requests))
	var text bytes.Buffer
	for _, req := range requests {
		if err := req.Write(&text); err != nil {
			c.fail(responses, err)
			return responses
		}
	}
	_, writeErr := c.conn.Write(text.Bytes())
	for i, req := range requests {
		if responses[i] = c.read(req); responses[i].Err != nil {
			// A peer that closes may answer a part of the batch that it has read.
			c.fail(responses[i:], errors.Join(writeErr, responses[i].Err))
			return responses
		}
		if c.closed {
			c.checkSurplus(&responses[i])
			c.Close()
			c.fail(responses[i+1:], ErrNotRead)
			return responses
		}
	}
	if c.reader.Buffered() > 0 {
		responses[len(responses)-1].Err = ErrSurplus
		c.Close()
	}
	return responses
}

// fail closes the connection and sets the error of the given responses.
func (c *Conn) fail(unanswered []Response, err error) {
	c.Close()
	for i := range unanswered {
		unanswered[i].Err, unanswered[i].At = err, time.Now()
	}
}

func (c *Conn) read(req *http.Request) Response {
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return Response{Err: err, At: time.Now()}
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	body, err := io.ReadAll(resp.Body)
	c.closed = resp.Close
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, At: time.Now(), Err: err}
}

// checkSurplus reads a closing connection on, since no response may follow.
func (c *Conn) checkSurplus(last *Response) {
	_ = c.conn.SetReadDeadline(time.Now().Add(surplusWait)) // fails only on a closed connection
	if _, err := c.reader.Peek(1); err == nil {
		last.Err = ErrSurplus
	}
}
