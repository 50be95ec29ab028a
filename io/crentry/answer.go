package crentry

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"

	"camphorroad/core/crforward"
	"camphorroad/io/crhop"
	"camphorroad/io/crwire"
)

// pass streams an answer to the caller. A body that breaks off aborts the
// caller's connection or stream: ending it in order would make half an answer
// look whole.
func (e *Entry) pass(w http.ResponseWriter, r *http.Request, s *serving, ex *crhop.Exchange) {
	defer s.end()
	defer ex.Body.Close()
	s.tracker.Passed()
	writeHead(w, &ex.Answer)
	if err := e.copyBody(w, r, ex); err != nil {
		s.broke(err)
		e.count(crforward.Cut)
		panic(http.ErrAbortHandler)
	}
	s.tracker.Complete()
	e.count(crforward.Answered)
}

// broke takes an answer that broke off at its source as evidence; a caller
// that went away is none.
func (s *serving) broke(err error) {
	if errors.Is(err, crwire.ErrAborted) || errors.Is(err, errShort) {
		s.target.Load().Failed()
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
	h.Set(HeaderOutcome, crforward.Answered.String())
	w.WriteHeader(a.Status)
}

const copyBuffer = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

func (e *Entry) copyBody(w http.ResponseWriter, r *http.Request, ex *crhop.Exchange) error {
	if r.Method == http.MethodHead || ex.Answer.Status == http.StatusNoContent || ex.Answer.Status == http.StatusNotModified {
		return nil
	}
	part := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(part)
	buf := *part
	rc := http.NewResponseController(w)
	wait := e.guardWrites(rc, ex.Answer.Length)
	defer wait.close()
	var total int64
	for {
		n, err := ex.Body.Read(buf)
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
	return newGuard(e.opts.Idle, rc.SetWriteDeadline)
}

// errShort tells of an answer shorter or longer than its head said.
var errShort = errors.New("answer's length differs from its head")

func whole(got, want int64) error {
	if want >= 0 && got != want {
		return errShort
	}
	return nil
}
