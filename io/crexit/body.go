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

// requestBody is the request body sent to the upstream. It cannot be rewound, so
// that net/http never replays the request. A nil *requestBody means no body.
type requestBody struct {
	src         io.Reader
	readStarted atomic.Bool
	readFailed  atomic.Bool
}

// newRequestBody returns the body to send, or nil. net/http replays a request
// that has no body on a new connection when the reused one breaks, for safe
// methods and for anything with an Idempotency-Key header; a request of class
// once without a body would then run twice. net/http never replays a body that it
// cannot rewind, so a request of class once that it might replay gets an empty body
// of this type.
func newRequestBody(f *crhop.Forward, src io.Reader) *requestBody {
	if f.Length != 0 && src != nil {
		return &requestBody{src: src}
	}
	if f.Class != crpolicy.ClassRepeat && replayable(f) {
		return &requestBody{src: eofReader{}}
	}
	return nil
}

// replayable reports whether net/http may replay the request. It follows
// net/http's rule, in which an empty Idempotency-Key header counts too.
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
	b.readStarted.Store(true)
	n, err := b.src.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.readFailed.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It leaves the stream open; the session closes it.
func (*requestBody) Close() error { return nil }

func (b *requestBody) unread() bool { return b == nil || !b.readStarted.Load() }

func (b *requestBody) broken() bool { return b != nil && b.readFailed.Load() }

// runBody is the body of an upstream's response. Closing it ends the run.
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

// idleTimeoutBody cancels a run whose upstream sends no part of the response body for
// BodyIdleTimeout, and reports a truncated body through Options.Observe. All reads share
// one timer.
type idleTimeoutBody struct {
	io.ReadCloser
	run       *run
	callerCtx context.Context
	timer     *time.Timer
	timedOut  atomic.Bool
}

func (r *run) responseBody(callerCtx context.Context, body io.ReadCloser) io.ReadCloser {
	if body == http.NoBody {
		return body
	}
	b := &idleTimeoutBody{ReadCloser: body, run: r, callerCtx: callerCtx}
	if r.exit.opts.BodyIdleTimeout > 0 {
		b.timer = time.AfterFunc(r.exit.opts.BodyIdleTimeout, b.onIdle)
		b.timer.Stop()
	}
	return b
}

func (b *idleTimeoutBody) onIdle() {
	b.timedOut.Store(true)
	b.run.cancel()
}

// Read implements io.Reader.
func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	if b.timer != nil {
		b.timer.Reset(b.run.exit.opts.BodyIdleTimeout)
		defer b.timer.Stop()
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if b.callerCtx.Err() == nil {
		b.run.observe(b.fault(), 0)
	}
	return n, fmt.Errorf("%w: %w", crwire.ErrAborted, err)
}

func (b *idleTimeoutBody) fault() crhop.Fault {
	if b.timedOut.Load() {
		return crhop.FaultTimeout
	}
	return crhop.FaultUpstreamFailed
}
