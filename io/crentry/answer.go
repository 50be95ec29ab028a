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

// pass streams an answer to the caller. A body that breaks off aborts the
// caller's connection or stream: ending it in order would make half an answer
// look whole.
func (e *Entry) pass(w http.ResponseWriter, r *http.Request, s *serving, ex *crhop.Exchange) {
	defer s.end()
	defer s.opening.release()
	defer ex.Body.Close()
	s.tracker.RelayStarted()
	if !s.body.reusable() {
		w.Header().Set("Connection", "close")
	}
	writeHead(w, &ex.Answer)
	if err := e.copyBody(w, r, ex, &s.opening); err != nil {
		s.broke(err)
		e.count(crforward.OutcomeCut)
		panic(http.ErrAbortHandler)
	}
	s.tracker.RelayCompleted()
	e.count(crforward.OutcomeAnswered)
}

// broke takes an answer that broke off at its source as evidence; a caller
// that went away is none.
func (s *serving) broke(err error) {
	if errors.Is(err, crwire.ErrAborted) || errors.Is(err, errShort) {
		s.target.Load().RecordFailure()
		s.observe(s.target, OutcomeFailed, s.entry.opts.Clock().Sub(s.req.started))
	}
}

func writeHead(w http.ResponseWriter, a *crhop.Answer) {
	h := w.Header()
	named := connectionHeaders(a.Header)
	for name, values := range a.Header {
		if !hopByHop(name) && !own(name) && !slices.Contains(named, name) {
			h[name] = values
		}
	}
	if a.Status == http.StatusNoContent {
		delete(h, "Content-Length") // an HTTP/2 caller would wait for the body
	}
	h.Set(HeaderOutcome, crforward.OutcomeAnswered.String())
	w.WriteHeader(a.Status)
}

const copyBuffer = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

func (e *Entry) copyBody(w http.ResponseWriter, r *http.Request, ex *crhop.Exchange, start *opening) error {
	if bodyless(r.Method, ex.Answer.Status) {
		return nil
	}
	buf := *start.buf
	rc := http.NewResponseController(w)
	wait := e.guardWrites(rc, ex.Answer.Length)
	defer wait.close()
	var total int64
	for n, err := start.n, start.err; ; n, err = ex.Body.Read(buf) {
		total += int64(n)
		if n > 0 {
			wait.begin()
			_, werr := w.Write(buf[:n])
			wait.end()
			if werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return whole(total, ex.Answer.Length)
		}
		if err != nil {
			return err
		}
		// A length that is known lets net/http decide when to send; an answer
		// of unknown length may be a live stream, and each part goes out.
		if ex.Answer.Length < 0 {
			wait.begin()
			err := rc.Flush()
			wait.end()
			if err != nil {
				return err
			}
		}
	}
}

// unsent is how much of an answer net/http keeps back before its first write to
// the caller, on HTTP/1.1; on HTTP/2 it is twice that.
const unsent = 2 << 10

// guardWrites bounds the wait for a caller that stops reading: it would hold the
// target's slot. Writing a short answer waits for nobody.
func (e *Entry) guardWrites(rc *http.ResponseController, length int64) *guard {
	if length >= 0 && length <= unsent {
		return nil
	}
	return newGuard(e.opts.BodyIdleTimeout, rc.SetWriteDeadline)
}

// opening is the start of an answer's body, which is read before the head goes to
// the caller: an answer that breaks off in it can still become a refusal that is
// true, where the caller would otherwise see a connection closed without a word.
// It delays nothing, as net/http keeps back as much.
type opening struct {
	buf *[]byte // nil: the answer has no body
	n   int
	err error // that came with the last of it
}

// read reads the first part of a body, and a short one to its end.
func (o *opening) read(ex *crhop.Exchange) error {
	o.buf = copyBuffers.Get().(*[]byte)
	short := ex.Answer.Length >= 0 && ex.Answer.Length <= unsent
	for o.err == nil && (o.n == 0 || short) && o.n < len(*o.buf) {
		var n int
		n, o.err = ex.Body.Read((*o.buf)[o.n:])
		o.n += n
	}
	switch {
	case errors.Is(o.err, io.EOF):
		return whole(int64(o.n), ex.Answer.Length)
	case o.n > 0 && !short:
		return nil // what broke off after it is told once it has gone out
	}
	return o.err
}

func (o *opening) release() {
	if o.buf != nil {
		copyBuffers.Put(o.buf)
	}
	*o = opening{}
}

// begin reads the start of the answer; it reports whether the answer can go out.
func (s *serving) begin(n int, target *crroute.Target, ex *crhop.Exchange) bool {
	s.target = target
	if bodyless(s.method, ex.Answer.Status) {
		return true
	}
	err := s.opening.read(ex)
	if err == nil {
		return true
	}
	s.opening.release()
	s.broke(err)
	s.tracker.Failed(n)
	s.reason = "the answer broke off"
	return false
}

// bodyless reports whether an answer has no body, whatever its head says.
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// errShort tells of an answer shorter or longer than its head said.
var errShort = errors.New("answer's length differs from its head")

func whole(got, want int64) error {
	if want >= 0 && got != want {
		return errShort
	}
	return nil
}
