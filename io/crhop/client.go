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

// Exchange is one forward under way, its answer's head read. Its body must be
// closed: until then the exit takes the answer as not delivered, and the stream
// stays open.
type Exchange struct {
	Answer Answer
	Body   io.ReadCloser // the answer's body; io.EOF only after a whole body
}

// Client forwards to exits of other daemons.
type Client struct {
	peers *crpeer.Transport

	mu  sync.Mutex
	ids map[*crpeer.Session]crforward.SessionID
}

// NewClient returns a client over the transport.
func NewClient(peers *crpeer.Transport) *Client {
	return &Client{peers: peers, ids: make(map[*crpeer.Session]crforward.SessionID)}
}

// Handle is a forward's place: what a later revoke needs.
type Handle struct {
	session *crpeer.Session
	number  crforward.SessionID
	id      crid.Request
	target  crid.Target
}

// Forward opens a stream to the daemon and forwards a request. sent is called
// just before the first byte goes out. The body may be nil.
//
// The error wraps ErrNotSent where nothing was written, else ErrLost.
func (c *Client) Forward(ctx context.Context, to crid.Daemon, f *Forward, body io.Reader, sent func(*Handle)) (*Exchange, error) {
	session, err := c.peers.Session(ctx, to)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	f.Session = c.number(session)
	sent(&Handle{session: session, number: f.Session, id: f.ID, target: f.Target})
	stop := context.AfterFunc(ctx, func() { cancel(stream) })
	ex, err := exchange(stream, f, body)
	if err != nil {
		stop()
		cancel(stream)
		session.ReleaseStream()
		return nil, fmt.Errorf("%w: %w", ErrLost, err)
	}
	if ex.Answer.Renew {
		c.peers.Retire(session)
	}
	ex.Body.(*answerBody).close = func() {
		stop()
		cancel(stream)
		session.ReleaseStream()
	}
	return ex, nil
}

// number returns the random number of a session, drawn at its first use.
func (c *Client) number(s *crpeer.Session) crforward.SessionID {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.ids[s]
	if ok {
		return n
	}
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	n = crforward.SessionID(binary.BigEndian.Uint64(b[:]))
	c.ids[s] = n
	context.AfterFunc(s.Context(), func() { c.forget(s) })
	return n
}

func (c *Client) forget(s *crpeer.Session) {
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
	// An exit that has answered early stops reading, and our writes fail; the
	// answer is there all the same. Only the read tells whether there is one.
	// The write side stays open, though nothing follows, until the answer's body
	// is closed: its end is how the exit learns that the answer has arrived.
	if body == nil {
		_ = w.End()
		w.Release()
	} else {
		go sendBody(stream, w, body)
	}
	r := crwire.NewReader(stream)
	ex := &Exchange{}
	if err := r.Value(&ex.Answer); err != nil {
		r.Release()
		return nil, err
	}
	ex.Body = &answerBody{reader: r}
	return ex, nil
}

func finish(stream *quic.Stream, w *crwire.Writer) error {
	if err := w.End(); err != nil {
		return err
	}
	return stream.Close()
}

// sendBody ends with the stream: the stream's cancellation fails the write, and
// the caller's connection ends the read.
func sendBody(stream *quic.Stream, w *crwire.Writer, body io.Reader) {
	defer w.Release()
	if err := CopyChunks(w, body); err != nil {
		_ = w.Abort()
		_ = stream.Close()
		return
	}
	_ = w.End()
}

const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// CopyChunks sends body as chunks, each flushed, so that a slow source's bytes
// are not held back. It does not send the end mark.
func CopyChunks(w *crwire.Writer, body io.Reader) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
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

// answerBody is read and closed by one goroutine.
type answerBody struct {
	reader *crwire.Reader
	close  func()
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.ErrClosedPipe
	}
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.reader == nil {
		return nil
	}
	b.reader.Release()
	b.reader = nil
	b.close()
	return nil
}

// Revoke asks the exit about a forward, over the session it was sent in. Where
// that session has ended, or no answer comes in time, nothing is known.
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
	verdict, err := askRevoke(stream, Revoke{Session: h.number, ID: h.id, Target: h.target})
	if err != nil {
		cancel(stream)
		return crforward.RevokeResultUnknown
	}
	return verdict
}

func askRevoke(stream *quic.Stream, rv Revoke) (crforward.RevokeResult, error) {
	w := crwire.NewWriter(stream)
	defer w.Release()
	if err := errors.Join(w.Kind(StreamRevoke), w.Value(rv)); err != nil {
		return 0, err
	}
	if err := finish(stream, w); err != nil {
		return 0, err
	}
	r := crwire.NewReader(stream)
	defer r.Release()
	var answer Revoked
	err := r.Value(&answer)
	return answer.Verdict, err
}

// RevokeTimeout bounds the wait for the answer to a revoke. The caller's final
// answer waits for it, so it is short.
const RevokeTimeout = 150 * time.Millisecond
