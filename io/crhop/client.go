package crhop

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/io/crpeer"
	"camphorroad/io/crwire"
)

// Exchange is a forward whose response head has been read. Its body must be closed:
// until then the stream stays open and the exit does not count the response as
// delivered.
type Exchange struct {
	Response Response
	Body     io.ReadCloser // response body; io.EOF only after the whole body
}

// Client forwards requests to the exits of other daemons.
type Client struct {
	transport *crpeer.Transport

	mu  sync.Mutex
	ids map[*crpeer.Session]crforward.SessionID
}

// NewClient returns a client that uses the transport.
func NewClient(transport *crpeer.Transport) *Client {
	return &Client{transport: transport, ids: make(map[*crpeer.Session]crforward.SessionID)}
}

// Handle identifies a forward that was sent, for its revocation.
type Handle struct {
	session   *crpeer.Session
	sessionID crforward.SessionID
	id        crid.Request
	target    crid.Target
}

// Forward opens a stream to the daemon and forwards a request. It calls sent just before
// it writes the first byte. The body may be nil.
//
// The error wraps ErrNotSent if nothing was written, and ErrLost otherwise.
func (c *Client) Forward(ctx context.Context, to crid.Daemon, f *Forward, body io.Reader, sent func(*Handle)) (*Exchange, error) {
	session, err := c.transport.Session(ctx, to)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	f.Session = c.sessionID(session)
	sent(&Handle{session: session, sessionID: f.Session, id: f.ID, target: f.Target})
	stop := context.AfterFunc(ctx, func() { cancel(stream) })
	ex, err := exchange(stream, f, body)
	if err != nil {
		stop()
		cancel(stream)
		session.ReleaseStream()
		return nil, fmt.Errorf("%w: %w", ErrLost, err)
	}
	if ex.Response.RenewSession {
		c.transport.Retire(session)
	}
	ex.Body.(*responseBody).close = func() {
		stop()
		cancel(stream)
		session.ReleaseStream()
	}
	return ex, nil
}

// sessionID returns the random ID of a session, generated at its first use.
func (c *Client) sessionID(s *crpeer.Session) crforward.SessionID {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.ids[s]
	if ok {
		return id
	}
	var b [8]byte
	_, _ = rand.Read(b[:]) // documented never to fail
	id = crforward.SessionID(binary.BigEndian.Uint64(b[:]))
	c.ids[s] = id
	context.AfterFunc(s.Context(), func() { c.removeSessionID(s) })
	return id
}

func (c *Client) removeSessionID(s *crpeer.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ids, s)
}

func cancel(stream *quic.Stream) {
	stream.CancelRead(CodeCancelled)
	stream.CancelWrite(CodeCancelled)
}

func exchange(stream *quic.Stream, f *Forward, body io.Reader) (*Exchange, error) {
	w := crwire.NewWriter(stream)
	if err := errors.Join(w.Kind(StreamForward), w.Value(f)); err != nil {
		w.Release()
		return nil, err
	}
	// An exit that has responded early stops reading, and writes fail although
	// there is a response. So write errors are ignored, and only a failed read
	// fails the exchange. The write side stays open until the response body is
	// closed: its end signals to the exit that the response was delivered.
	if body == nil {
		_ = w.End()
		w.Release()
	} else {
		go sendBody(stream, w, body)
	}
	r := crwire.NewReader(stream)
	ex := &Exchange{}
	if err := r.Value(&ex.Response); err != nil {
		r.Release()
		return nil, err
	}
	ex.Body = &responseBody{reader: r}
	return ex, nil
}

func endAndClose(stream *quic.Stream, w *crwire.Writer) error {
	if err := w.End(); err != nil {
		return err
	}
	return stream.Close()
}

// sendBody writes the request body until its end. It needs no stop signal: its write
// fails when the stream is cancelled, and its read when the caller's connection ends.
func sendBody(stream *quic.Stream, w *crwire.Writer, body io.Reader) {
	defer w.Release()
	if err := CopyChunks(w, body); err != nil {
		_ = w.Abort()
		_ = stream.Close()
		return
	}
	_ = w.End()
}

const copyBufferSize = 32 << 10

var copyBufferPool = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// CopyChunks sends body as chunks and flushes each, so that the bytes of a slow source
// are not delayed. It does not send the end mark.
func CopyChunks(w *crwire.Writer, body io.Reader) error {
	buf := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(buf)
	for {
		n, err := body.Read(*buf)
		if werr := w.Chunk((*buf)[:n]); werr != nil {
			return werr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// responseBody is the body of an Exchange. It is not safe for concurrent use.
type responseBody struct {
	reader *crwire.Reader
	close  func()
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.ErrClosedPipe
	}
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.reader == nil {
		return nil
	}
	b.reader.Release()
	b.reader = nil
	b.close()
	return nil
}

// Revoke sends the revocation of a forward to the exit, over the session in which the
// forward was sent. The result is RevokeResultUnknown if that session has ended or no
// response arrives in time.
func (c *Client) Revoke(ctx context.Context, h *Handle) crforward.RevokeResult {
	stream, err := h.session.OpenStream()
	if err != nil {
		return crforward.RevokeResultUnknown
	}
	defer h.session.ReleaseStream()
	stop := context.AfterFunc(ctx, func() { cancel(stream) })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	result, err := exchangeRevoke(stream, Revoke{Session: h.sessionID, ID: h.id, Target: h.target})
	if err != nil {
		cancel(stream)
		return crforward.RevokeResultUnknown
	}
	return result
}

func exchangeRevoke(stream *quic.Stream, rv Revoke) (crforward.RevokeResult, error) {
	w := crwire.NewWriter(stream)
	defer w.Release()
	if err := errors.Join(w.Kind(StreamRevoke), w.Value(rv)); err != nil {
		return 0, err
	}
	if err := endAndClose(stream, w); err != nil {
		return 0, err
	}
	r := crwire.NewReader(stream)
	defer r.Release()
	var resp RevokeResponse
	err := r.Value(&resp)
	return resp.Result, err
}

// RevokeTimeout bounds the wait for the response to a revocation. It is short, because the
// caller's response waits for it.
const RevokeTimeout = 150 * time.Millisecond
