package crentry

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"

	"camphorroad/core/crforward"
	"camphorroad/core/crroute"
	"camphorroad/io/crhop"
	"camphorroad/io/crwire"
)

// relay streams a response to the caller. If the body is truncated, it aborts the
// caller's connection or stream: a regular end would make the truncated response
// look complete.
func (e *Entry) relay(w http.ResponseWriter, r *http.Request, s *activeRequest, ex *crhop.Exchange) {
	defer s.endAttempt()
	defer s.prefix.release()
	defer ex.Body.Close()
	s.tracker.RelayStarted()
	if !s.body.connReusable() {
		w.Header().Set("Connection", "close")
	}
	writeHead(w, &ex.Response)
	if err := e.copyBody(w, r, ex, &s.prefix); err != nil {
		s.recordBodyError(err)
		e.countOutcome(crforward.OutcomeCut)
		panic(http.ErrAbortHandler)
	}
	s.tracker.RelayCompleted()
	e.countOutcome(crforward.OutcomeAnswered)
}

// recordBodyError counts a response body that was truncated at its source as a failure
// of the target. A caller that disconnected is not a failure of the target.
func (s *activeRequest) recordBodyError(err error) {
	if errors.Is(err, crwire.ErrAborted) || errors.Is(err, errLengthMismatch) {
		s.target.Load().RecordFailure()
		s.observe(s.target, OutcomeFailed, s.entry.opts.Clock().Sub(s.req.started))
	}
}

func writeHead(w http.ResponseWriter, resp *crhop.Response) {
	h := w.Header()
	listed := connectionHeaders(resp.Header)
	for name, values := range resp.Header {
		if !isHopByHop(name) && !isFleetHeader(name) && !slices.Contains(listed, name) {
			h[name] = values
		}
	}
	if resp.Status == http.StatusNoContent {
		delete(h, "Content-Length") // an HTTP/2 client would wait for the body
	}
	h.Set(HeaderOutcome, crforward.OutcomeAnswered.String())
	w.WriteHeader(resp.Status)
}

const copyBufferSize = 32 << 10

var copyBufferPool = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

func (e *Entry) copyBody(w http.ResponseWriter, r *http.Request, ex *crhop.Exchange, prefix *bodyPrefix) error {
	if bodyless(r.Method, ex.Response.Status) {
		return nil
	}
	buf := *prefix.buf
	rc := http.NewResponseController(w)
	timer := e.newWriteTimer(rc, ex.Response.Length)
	defer timer.close()
	var total int64
	for n, err := prefix.n, prefix.err; ; n, err = ex.Body.Read(buf) {
		total += int64(n)
		if n > 0 {
			timer.start()
			_, werr := w.Write(buf[:n])
			timer.stop()
			if werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return checkLength(total, ex.Response.Length)
		}
		if err != nil {
			return err
		}
		// A response of unknown length may be a live stream, so each part is
		// flushed. With a known length net/http decides when to send.
		if ex.Response.Length < 0 {
			timer.start()
			err := rc.Flush()
			timer.stop()
			if err != nil {
				return err
			}
		}
	}
}

// netHTTPBufferSize is the number of response bytes that net/http buffers before its first
// write to the caller on HTTP/1.1. On HTTP/2 it buffers twice as many.
const netHTTPBufferSize = 2 << 10

// newWriteTimer returns a timer that bounds the wait for a caller that stops reading,
// because the request holds a slot of the target meanwhile. It returns nil for a short
// response, whose write does not block.
func (e *Entry) newWriteTimer(rc *http.ResponseController, length int64) *idleTimer {
	if length >= 0 && length <= netHTTPBufferSize {
		return nil
	}
	return newIdleTimer(e.opts.BodyIdleTimeout, rc.SetWriteDeadline)
}

// bodyPrefix is the start of a response body. It is read before the head is sent to the
// caller: if the response is truncated within it, the caller gets a refusal instead of
// a connection that closes without a response. This adds no delay, because net/http
// buffers as much.
type bodyPrefix struct {
	buf *[]byte // nil: the response has no body
	n   int
	err error // of the last read, io.EOF included
}

// read reads the first part of a body, or all of a short one.
func (p *bodyPrefix) read(ex *crhop.Exchange) error {
	p.buf = copyBufferPool.Get().(*[]byte)
	short := ex.Response.Length >= 0 && ex.Response.Length <= netHTTPBufferSize
	for p.err == nil && (p.n == 0 || short) && p.n < len(*p.buf) {
		var n int
		n, p.err = ex.Body.Read((*p.buf)[p.n:])
		p.n += n
	}
	switch {
	case errors.Is(p.err, io.EOF):
		return checkLength(int64(p.n), ex.Response.Length)
	case p.n > 0 && !short:
		return nil // copyBody reports the error after it has written these bytes
	}
	return p.err
}

func (p *bodyPrefix) release() {
	if p.buf != nil {
		copyBufferPool.Put(p.buf)
	}
	*p = bodyPrefix{}
}

// readPrefix reads the start of the response body and reports whether the response can be
// sent to the caller.
func (s *activeRequest) readPrefix(n int, target *crroute.Target, ex *crhop.Exchange) bool {
	s.target = target
	if bodyless(s.method, ex.Response.Status) {
		return true
	}
	err := s.prefix.read(ex)
	if err == nil {
		return true
	}
	s.prefix.release()
	s.recordBodyError(err)
	s.tracker.Failed(n)
	s.reason = "the answer broke off"
	return false
}

// bodyless reports whether a response has no body, whatever its head states.
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// errLengthMismatch reports a body shorter or longer than the Content-Length of its head.
var errLengthMismatch = errors.New("response body length differs from Content-Length")

func checkLength(got, want int64) error {
	if want >= 0 && got != want {
		return errLengthMismatch
	}
	return nil
}
