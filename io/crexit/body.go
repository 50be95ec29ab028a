package crexit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"camphorroad/core/crpolicy"
	"camphorroad/io/crhop"
	"camphorroad/io/crwire"
)

// requestBody is the body towards the upstream. It can not be rewound, which
// keeps net/http from replaying the request behind our back. Its methods take a
// nil receiver for no body.
type requestBody struct {
	src     io.Reader
	touched atomic.Bool
	failed  atomic.Bool
}

// newRequestBody returns the body to send, or nil. net/http replays a request
// that has no body on a fresh connection when the reused one breaks, for safe
// methods and for anything with an Idempotency-Key header; a charge without a
// body would then run twice. It never replays a body that it can not rewind, so
// a once request that it might replay gets such a body, though empty.
func newRequestBody(f *crhop.Forward, src io.Reader) *requestBody {
	if f.Length != 0 && src != nil {
		return &requestBody{src: src}
	}
	if f.Class != crpolicy.ClassRepeat && replayable(f) {
		return &requestBody{src: eofReader{}}
	}
	return nil
}

// replayable mirrors net/http's rule, to which an Idempotency-Key counts even
// when it is empty.
func replayable(f *crhop.Forward) bool {
	switch f.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	_, key := f.Header["Idempotency-Key"]
	_, oldKey := f.Header["X-Idempotency-Key"]
	return key || oldKey
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	n, err := b.src.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer; the stream that is read is the session's to close.
func (*requestBody) Close() error { return nil }

func (b *requestBody) unread() bool { return b == nil || !b.touched.Load() }

func (b *requestBody) broken() bool { return b != nil && b.failed.Load() }

// runBody is an upstream's answer on its way out. Closing it ends the run.
type runBody struct {
	io.ReadCloser
	end func()
}

// Close ends the run.
func (b *runBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

// watchedBody cancels a run whose upstream falls silent within its answer, and
// reports an answer that breaks off. One timer serves all reads.
type watchedBody struct {
	io.ReadCloser
	run    *run
	caller context.Context
	timer  *time.Timer
	silent atomic.Bool
}

func (r *run) answerBody(caller context.Context, body io.ReadCloser) io.ReadCloser {
	if body == http.NoBody {
		return body
	}
	b := &watchedBody{ReadCloser: body, run: r, caller: caller}
	if r.exit.opts.Idle > 0 {
		b.timer = time.AfterFunc(r.exit.opts.Idle, b.fire)
		b.timer.Stop()
	}
	return b
}

func (b *watchedBody) fire() {
	b.silent.Store(true)
	b.run.cancel()
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	if b.timer != nil {
		b.timer.Reset(b.run.exit.opts.Idle)
		defer b.timer.Stop()
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if b.caller.Err() == nil {
		b.run.observe(b.fault(), 0)
	}
	return n, fmt.Errorf("%w: %w", crwire.ErrAborted, err)
}

func (b *watchedBody) fault() crhop.Fault {
	if b.silent.Load() {
		return crhop.FaultTimeout
	}
	return crhop.FaultUpstreamFailed
}
