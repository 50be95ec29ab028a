package crentry

import (
	"errors"
	"io"
	"sync"
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

// errSuperseded ends the reader of an attempt that was given up.
var errSuperseded = errors.New("another attempt reads the body")

// replay keeps the first bytes of a body, so that a request can be sent again
// after a proof that it was not run. A body beyond its limit is streamed on and
// can not be sent twice.
type replay struct {
	mu      sync.Mutex
	src     io.Reader
	buf     []byte
	limit   int
	err     error
	spilled bool
	turn    int
}

// newBody wraps a request's body; a length of zero means none.
func newBody(src io.Reader, length int64, limit int) BodySource {
	if length == 0 || src == nil {
		return emptyBody{}
	}
	return &replay{src: src, limit: limit}
}

type emptyBody struct{}

// Open implements BodySource.
func (emptyBody) Open() io.Reader { return nil }

// Replayable implements BodySource.
func (emptyBody) Replayable() bool { return true }

// Open implements BodySource.
func (b *replay) Open() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	return &replayReader{body: b, turn: b.turn}
}

// Replayable implements BodySource.
func (b *replay) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.spilled
}

type replayReader struct {
	body *replay
	turn int
	off  int
}

// Read implements io.Reader. It holds the body's lock while it waits for the
// caller, so that the next attempt can not read out of turn.
func (r *replayReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.turn != b.turn {
		return 0, errSuperseded
	}
	if r.off < len(b.buf) {
		n := copy(p, b.buf[r.off:])
		r.off += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	b.err = err
	b.keep(p[:n])
	r.off += n
	return n, err
}

func (b *replay) keep(p []byte) {
	if b.spilled {
		return
	}
	if len(b.buf)+len(p) > b.limit {
		b.spilled = true
		b.buf = nil
		return
	}
	b.buf = append(b.buf, p...)
}
