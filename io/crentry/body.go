package crentry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// BodySource gives the request's body to one attempt after the other.
type BodySource interface {
	// Open returns the body from its start, for one attempt; the reader of the
	// attempt before gives only errors from then on. It is nil where there is
	// no body.
	Open() io.Reader
	// Replayable reports whether another attempt can have the whole body.
	Replayable() bool
}

// Errors of a request's body.
var (
	// errSuperseded ends the reader of an attempt that was given up.
	errSuperseded = errors.New("another attempt reads the body")
	// errSlow tells of a body that was not whole by the request's deadline.
	errSlow = errors.New("body not whole by the deadline")
)

// linger is how long a caller's connection may still bring the rest of a body
// that nobody reads, before the connection is given up.
const linger = 250 * time.Millisecond

const (
	moment   = time.Millisecond // that a refusal may wait for the rest of a body
	maxTaken = 64 << 10         // bytes of a refused body that are read
)

// body is a request's body. It keeps the first bytes, so that a request can be
// sent again after a proof that it was not run. A body beyond its limit is
// streamed on and can not be sent twice.
//
// The lock is held no longer than a moment while the caller is waited for: a
// refusal has to go out at once, however slowly the caller sends.
type body struct {
	src    io.Reader // nil: no body
	limit  int
	guard  *guard
	rc     *http.ResponseController
	stream bool // of its own, by HTTP/2; else the connection serves the next request too
	asked  bool // the caller waits to be asked for it

	mu      sync.Mutex
	moved   *sync.Cond
	buf     []byte
	err     error
	reading bool
	spilled bool
	turn    int
}

// newBody wraps a request's body; a length of zero means none.
func newBody(w http.ResponseWriter, r *http.Request, limit int, idle time.Duration) *body {
	b := &body{limit: limit}
	b.moved = sync.NewCond(&b.mu)
	if r.ContentLength != 0 && r.Body != nil {
		b.src = r.Body
		b.rc = http.NewResponseController(w)
		b.guard = newGuard(idle, b.rc.SetReadDeadline)
		b.stream = r.ProtoMajor > 1
		b.asked = r.Header.Get("Expect") != ""
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
	b.turn++
	b.moved.Broadcast()
	return &bodyReader{body: b, turn: b.turn}
}

// Replayable implements BodySource.
func (b *body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.spilled
}

// settle waits until a read that is under way has said what became of it. It is
// for requests whose context has ended: net/http ends that a moment before a read
// that failed returns, and who asks for the fault in between finds none.
func (b *body) settle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.reading {
		b.moved.Wait()
	}
}

// fault is why the caller did not bring the whole body, or nil.
func (b *body) fault() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil || errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// fill reads a whole body that fits the limit, so that a caller who sends it
// slowly holds no slot of a target meanwhile.
func (b *body) fill(expired func() bool) error {
	r := b.Open()
	part := make([]byte, min(b.limit, copyBuffer))
	for {
		_, err := r.Read(part)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case expired():
			b.fail(errSlow)
			return errSlow
		}
	}
}

func (b *body) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
}

// close ends a read that is still waiting for the caller. Otherwise net/http
// would wait for the rest of the body before it serves the connection on, and a
// caller that falls silent would hold the connection for ever.
func (b *body) close() {
	if b.src == nil {
		return
	}
	b.guard.close()
	b.mu.Lock()
	b.turn++
	whole := b.err != nil
	b.moved.Broadcast()
	b.mu.Unlock()
	if !whole {
		_ = b.rc.SetReadDeadline(time.Now().Add(linger))
	}
}

// take reads what has come of a body that nobody else reads, so that its
// connection can be kept. It waits no longer than a moment.
func (b *body) take() {
	if b.src == nil || b.stream || b.asked {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reading || b.err != nil {
		return
	}
	_ = b.rc.SetReadDeadline(time.Now().Add(moment))
	n, err := io.Copy(io.Discard, io.LimitReader(b.src, maxTaken))
	_ = b.rc.SetReadDeadline(time.Time{})
	if err == nil && n < maxTaken {
		b.err = io.EOF
	}
}

// reusable reports whether the caller's connection can serve another request. A
// body whose end is met only after the handler has returned makes net/http, in
// full duplex, close the connection after the answer. The caller has to be told,
// or its next request would meet the closed connection and get no word.
func (b *body) reusable() bool {
	if b.src == nil || b.stream {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

type bodyReader struct {
	body *body
	turn int
	off  int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case r.turn != b.turn:
			return 0, errSuperseded
		case r.off < len(b.buf):
			n := copy(p, b.buf[r.off:])
			r.off += n
			return n, nil
		case b.err != nil:
			return 0, b.err
		case !b.reading:
			return r.pull(p)
		}
		b.moved.Wait()
	}
}

// pull reads from the caller with the lock released. What comes for an attempt
// that was given up meanwhile is kept for the next.
func (r *bodyReader) pull(p []byte) (int, error) {
	b := r.body
	b.reading = true
	b.mu.Unlock()
	b.guard.begin()
	n, err := b.src.Read(p)
	b.guard.end()
	b.mu.Lock()
	b.reading = false
	if b.err == nil {
		b.err = err
	}
	b.keep(p[:n])
	b.moved.Broadcast()
	if r.turn != b.turn {
		return 0, errSuperseded
	}
	r.off += n
	return n, err
}

func (b *body) keep(p []byte) {
	if b.spilled || len(p) == 0 {
		return
	}
	if len(b.buf)+len(p) > b.limit {
		b.spilled = true
		b.buf = nil
		return
	}
	b.buf = append(b.buf, p...)
}

// bodyRefusal is the answer to a caller that did not bring its whole body.
func bodyRefusal(err error) *refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errSlow) {
		return &refusal{status: http.StatusRequestTimeout, reason: "the body came too slowly", final: true, close: true}
	}
	return &refusal{status: http.StatusBadRequest, reason: "the body broke off or is malformed", final: true, close: true}
}
