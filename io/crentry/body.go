package crentry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// BodySource provides the request's body to successive attempts.
type BodySource interface {
	// Open returns the body from its start, for one attempt. From then on the
	// reader of the previous attempt returns only errors. Open returns nil if
	// there is no body.
	Open() io.Reader
	// Replayable reports whether another attempt can read the whole body.
	Replayable() bool
}

// Errors of a request's body.
var (
	// errSuperseded is returned to the reader of an abandoned attempt.
	errSuperseded = errors.New("another attempt reads the body")
	// errBodyTimeout reports a body that was incomplete at the request's deadline.
	errBodyTimeout = errors.New("request body incomplete at the deadline")
)

// lingerTimeout is how long net/http may wait for the rest of a body that is not read any
// more, before it closes the caller's connection.
const lingerTimeout = 250 * time.Millisecond

const (
	discardTimeout  = time.Millisecond // a refusal may wait this long for the rest of a body
	maxDiscardBytes = 64 << 10         // at most this much of a refused request's body is read
)

// body is a request's body. It buffers the first bytes, so that a request can be
// sent again after a proof that it was not run. A body larger than the limit is
// streamed and cannot be sent twice.
//
// A read that waits for the caller holds the lock for at most discardTimeout, so that a
// refusal is sent at once however slowly the caller sends.
type body struct {
	src    io.Reader // nil: no body
	limit  int
	timer  *idleTimer
	rc     *http.ResponseController
	http2  bool // HTTP/2: the body has its own stream; on HTTP/1.1 the connection serves the next request too
	expect bool // the caller sent Expect and waits for 100 Continue

	mu         sync.Mutex
	cond       *sync.Cond
	buf        []byte
	err        error
	reading    bool
	overflowed bool
	attempt    int
}

// newBody wraps a request's body. A Content-Length of zero means no body.
func newBody(w http.ResponseWriter, r *http.Request, limit int, idle time.Duration) *body {
	b := &body{limit: limit}
	b.cond = sync.NewCond(&b.mu)
	if r.ContentLength != 0 && r.Body != nil {
		b.src = r.Body
		b.rc = http.NewResponseController(w)
		b.timer = newIdleTimer(idle, b.rc.SetReadDeadline)
		b.http2 = r.ProtoMajor > 1
		b.expect = r.Header.Get("Expect") != ""
	}
	return b
}

// Open implements BodySource.
func (b *body) Open() io.Reader {
	if b.src == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	b.cond.Broadcast()
	return &bodyReader{body: b, attempt: b.attempt}
}

// Replayable implements BodySource.
func (b *body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflowed
}

// waitForRead waits until a read in progress has returned. It is for requests whose
// context has ended: net/http cancels the context shortly before the failed read
// returns, and a call of readErr in between would return nil.
func (b *body) waitForRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.reading {
		b.cond.Wait()
	}
}

// readErr returns why the caller did not send the whole body, or nil.
func (b *body) readErr() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil || errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// bufferAll buffers a whole body that fits the limit before the request is forwarded, so
// that a slow upload holds no slot of a target.
func (b *body) bufferAll(expired func() bool) error {
	r := b.Open()
	chunk := make([]byte, min(b.limit, copyBufferSize))
	for {
		_, err := r.Read(chunk)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case expired():
			b.fail(errBodyTimeout)
			return errBodyTimeout
		}
	}
}

func (b *body) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
}

// close bounds a read that still waits for the caller. Without the deadline net/http
// would wait for the rest of the body before it reads the next request, and a caller
// that stops sending would hold the connection forever.
func (b *body) close() {
	if b.src == nil {
		return
	}
	b.timer.close()
	b.mu.Lock()
	b.attempt++
	complete := b.err != nil
	b.cond.Broadcast()
	b.mu.Unlock()
	if !complete {
		_ = b.rc.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
}

// discard reads and discards the received part of a body that has no other reader, so
// that its connection can be kept. It waits for at most discardTimeout.
func (b *body) discard() {
	if b.src == nil || b.http2 || b.expect {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reading || b.err != nil {
		return
	}
	_ = b.rc.SetReadDeadline(time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(b.src, maxDiscardBytes))
	_ = b.rc.SetReadDeadline(time.Time{})
	if err == nil && n < maxDiscardBytes {
		b.err = io.EOF
	}
}

// connReusable reports whether the caller's connection can serve another request. In
// full duplex, net/http closes the connection after the response if the end of the
// body is read only after the handler has returned. The response must then announce
// the close, or the caller's next request would be lost on the closed connection.
func (b *body) connReusable() bool {
	if b.src == nil || b.http2 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

type bodyReader struct {
	body    *body
	attempt int
	off     int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case r.attempt != b.attempt:
			return 0, errSuperseded
		case r.off < len(b.buf):
			n := copy(p, b.buf[r.off:])
			r.off += n
			return n, nil
		case b.err != nil:
			return 0, b.err
		case !b.reading:
			return r.readSource(p)
		}
		b.cond.Wait()
	}
}

// readSource reads from the caller with the lock released. Bytes that arrive for an
// attempt abandoned meanwhile are buffered for the next one.
func (r *bodyReader) readSource(p []byte) (int, error) {
	b := r.body
	b.reading = true
	b.mu.Unlock()
	b.timer.start()
	n, err := b.src.Read(p)
	b.timer.stop()
	b.mu.Lock()
	b.reading = false
	if b.err == nil {
		b.err = err
	}
	b.retain(p[:n])
	b.cond.Broadcast()
	if r.attempt != b.attempt {
		return 0, errSuperseded
	}
	r.off += n
	return n, err
}

func (b *body) retain(p []byte) {
	if b.overflowed || len(p) == 0 {
		return
	}
	if len(b.buf)+len(p) > b.limit {
		b.overflowed = true
		b.buf = nil
		return
	}
	b.buf = append(b.buf, p...)
}

// bodyRefusal is the refusal for a caller that did not send its whole body.
func bodyRefusal(err error) *refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errBodyTimeout) {
		return &refusal{status: http.StatusRequestTimeout, reason: "the body came too slowly", permanent: true, close: true}
	}
	return &refusal{status: http.StatusBadRequest, reason: "the body broke off or is malformed", permanent: true, close: true}
}
