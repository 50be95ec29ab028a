package crentry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crroute"
	"camphorroad/io/crhop"
)

// serve makes attempts until one gives an answer to pass on, none is allowed
// any more, or the time is up; then the caller gets its final answer at once.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, req *accepted) {
	// Without full duplex net/http reads the rest of a body before it writes
	// the answer, and a refusal would wait for a slow caller's upload.
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set(HeaderRequest, req.id.String())
	e.budget.Request()
	s := &serving{
		entry:    e,
		req:      req,
		tracker:  crforward.NewTracker(req.route.Class, crforward.DefaultTrackerParams()),
		body:     newBody(r.Body, r.ContentLength, e.opts.Replay),
		length:   r.ContentLength,
		method:   r.Method,
		host:     r.Host,
		deadline: req.started.Add(req.route.Timeout),
	}
	ex := s.attempts(r.Context())
	if ex == nil {
		if r.Context().Err() == nil {
			e.refuse(w, s.giveUp())
		}
		return
	}
	e.pass(w, r, s, ex)
}

// serving is one request on its way through its attempts.
type serving struct {
	entry    *Entry
	req      *accepted
	tracker  *crforward.Tracker
	body     BodySource
	length   int64
	method   string
	host     string
	deadline crid.Instant
	tried    []crid.Target
	last     int // the attempt that gave the answer
	reason   string
	wrong    bool
	end      func() // of the attempt that gave the answer
}

// attempts returns the exchange whose answer goes to the caller, or nil.
func (s *serving) attempts(ctx context.Context) *crhop.Exchange {
	for {
		target, ok := s.choose()
		if !ok {
			return nil
		}
		ex := s.attempt(ctx, target)
		if ex != nil {
			return ex
		}
		now := s.entry.opts.Clock()
		if ctx.Err() != nil || !now.Before(s.deadline) || !s.body.Replayable() {
			return nil
		}
		if !s.tracker.MayRetry() || !s.entry.budget.Take(now) {
			return nil
		}
		s.entry.counters.Retried.Add(1)
	}
}

func (s *serving) choose() (*crroute.Target, bool) {
	pool := s.req.view.Pool(s.req.service)
	if pool == nil {
		s.reason = "the service has no targets"
		return nil, false
	}
	target, ok := s.entry.chooser.Pick(pool, crroute.Ask{Now: s.entry.opts.Clock(), Tried: s.tried, IntN: rand.IntN})
	if !ok && s.reason == "" {
		s.reason = "no target takes new work"
	}
	return target, ok
}

// share is the time one attempt may take. A repeat request keeps half of what is
// left for another target, so that one stalled target does not use up the whole
// deadline; a once request can not be sent again and gets all but the moment
// that the revoke needs.
func (s *serving) share(now crid.Instant) time.Duration {
	left := s.deadline.Sub(now)
	if s.req.route.Class == crpolicy.ClassRepeat {
		if s.tracker.Attempts() < crforward.DefaultTrackerParams().MaxAttempts {
			return left / 2
		}
		return left
	}
	return max(left-crhop.RevokeTimeout, left/2)
}

func (s *serving) attempt(ctx context.Context, target *crroute.Target) *crhop.Exchange {
	s.tried = append(s.tried, target.Name())
	now := s.entry.opts.Clock()
	left := s.share(now)
	n := s.tracker.Begin()
	attempt, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(left, cancel)
	target.Load().Begin()
	var revoker Revoker
	ex, err := s.entry.opts.Hop.Forward(attempt, target, s.forward(target, left), s.body, func(rv Revoker) {
		revoker = rv
		s.tracker.Sent(n, s.entry.opts.Clock())
	})
	inTime := timer.Stop()
	end := func() {
		cancel()
		target.Load().End()
	}
	if err == nil {
		if good := s.judge(n, target, ex, now); good {
			s.last = n
			s.end = end
			return ex
		}
		_ = ex.Body.Close()
		end()
		return nil
	}
	end()
	s.lost(ctx, n, target, err, inTime, now, revoker)
	return nil
}

func (s *serving) forward(target *crroute.Target, left time.Duration) *crhop.Forward {
	id := s.req.id
	// Each attempt has an identity of its own at the exits: a refused one must
	// never start, while the next may.
	id[0] ^= byte(len(s.tried) - 1)
	return &crhop.Forward{
		ID:      id,
		Service: s.req.service,
		Target:  target.Name(),
		Account: s.req.account,
		Class:   s.req.route.Class,
		Left:    left,
		Method:  s.method,
		URI:     s.req.uri,
		Host:    s.host,
		Header:  s.req.header.Clone(),
		Length:  s.length,
	}
}

// judge tells the tracker and the evidence what an exit answered; it reports
// whether the answer goes to the caller.
func (s *serving) judge(n int, target *crroute.Target, ex *crhop.Exchange, started crid.Instant) bool {
	now := s.entry.opts.Clock()
	took := now.Sub(started)
	target.Load().Hint(ex.Answer.InFlight, now)
	switch ex.Answer.Kind {
	case crhop.KindAnswer:
		s.tracker.Head(n)
		return s.answered(n, target, ex, took)
	case crhop.KindRefusal:
		s.tracker.Refused(n, ex.Answer.NotRun, ex.Answer.RetryAfter)
		s.reason = ex.Answer.Reason
		switch ex.Answer.Fault {
		case crhop.FaultConnect:
			target.Load().Unreachable(now)
			s.observe(target, OutcomeFailed, took)
		case crhop.FaultUnready:
			// Its refusals are so quick that it looks the idlest of all. Were it
			// not passed over, it would draw the requests of a whole service, and
			// those whose every attempt met the same daemon would be refused.
			target.Load().Unready(now)
			s.observe(target, OutcomeShed, took)
		default:
			s.observe(target, OutcomeShed, took)
		}
	case crhop.KindFailure:
		s.tracker.Head(n)
		s.tracker.Lost(n)
		s.reason = ex.Answer.Reason
		s.wrong = ex.Answer.Fault == crhop.FaultWrong
		target.Load().Failed()
		s.observe(target, outcomeOf(ex.Answer.Fault), took)
	}
	return false
}

func outcomeOf(f crhop.Fault) Outcome {
	switch f {
	case crhop.FaultWrong:
		return OutcomeWrong
	case crhop.FaultTimeout:
		return OutcomeStalled
	case crhop.FaultBroken, crhop.FaultConnect:
		return OutcomeFailed
	}
	return OutcomeFailed
}

// answered handles an upstream's answer. A repeat request that was shed or
// failed is tried elsewhere; what can not be tried again is passed on as it is.
func (s *serving) answered(n int, target *crroute.Target, ex *crhop.Exchange, took time.Duration) bool {
	status := ex.Answer.Status
	shed := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	switch {
	case shed:
		s.observe(target, OutcomeShed, took)
	case status >= http.StatusInternalServerError:
		target.Load().Failed()
		s.observe(target, OutcomeFailed, took)
	default:
		target.Load().Answered()
		s.observe(target, OutcomeOK, took)
		return true
	}
	return !s.again(n)
}

// again reports whether an answer that failed is worth another attempt.
func (s *serving) again(n int) bool {
	if s.req.route.Class != crpolicy.ClassRepeat || !s.body.Replayable() {
		return false
	}
	if len(s.tried) >= s.req.view.Pool(s.req.service).Len() {
		return false
	}
	s.tracker.Lost(n)
	return s.tracker.MayRetry()
}

// lost handles an attempt that gave no answer. Where it may have been sent, a
// once request asks the exit to revoke it: the only way to learn that it did
// not run, and to make sure that it never will.
func (s *serving) lost(ctx context.Context, n int, target *crroute.Target, err error, inTime bool, started crid.Instant, rv Revoker) {
	now := s.entry.opts.Clock()
	took := now.Sub(started)
	s.reason = "no answer from the target's daemon"
	if errors.Is(err, crhop.ErrNotSent) {
		s.tracker.Lost(n)
		target.Load().Unreachable(now)
		s.observe(target, OutcomeUnreached, took)
		return
	}
	if ctx.Err() == nil {
		target.Load().Unreachable(now)
		s.observe(target, lostOutcome(inTime), took)
	}
	if rv == nil || s.req.route.Class == crpolicy.ClassRepeat || !s.tracker.NeedsRevoke(n) {
		s.tracker.Lost(n)
		return
	}
	ask, cancel := context.WithTimeout(context.WithoutCancel(ctx), crhop.RevokeTimeout)
	defer cancel()
	s.tracker.Verdict(n, rv.Revoke(ask), s.entry.opts.Clock())
}

func lostOutcome(inTime bool) Outcome {
	if inTime {
		return OutcomeUnreached
	}
	return OutcomeStalled
}

func (s *serving) observe(target *crroute.Target, o Outcome, took time.Duration) {
	s.entry.opts.Observe(s.req.service, target.Name(), s.req.account, o, took)
}

// giveUp is the final answer of a request without an answer to pass on.
func (s *serving) giveUp() *refusal {
	r := &refusal{outcome: s.tracker.Outcome(), reason: s.reason, retry: max(soon, s.tracker.RetryAfter())}
	switch {
	case r.outcome == crforward.NotRun:
		r.status = http.StatusServiceUnavailable
	case s.wrong:
		r.status = http.StatusBadGateway
	default:
		r.status = http.StatusGatewayTimeout
	}
	return r
}

// pass streams an answer to the caller. A body that breaks off aborts the
// caller's connection or stream: ending it in order would make half an answer
// look whole.
func (e *Entry) pass(w http.ResponseWriter, r *http.Request, s *serving, ex *crhop.Exchange) {
	defer s.end()
	defer ex.Body.Close()
	s.tracker.Passed()
	writeHead(w, &ex.Answer)
	if err := e.copyBody(w, r, ex); err != nil {
		e.count(crforward.Cut)
		panic(http.ErrAbortHandler)
	}
	s.tracker.Complete()
	e.count(crforward.Answered)
}

func writeHead(w http.ResponseWriter, a *crhop.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = append([]string(nil), values...)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.Set(HeaderOutcome, crforward.Answered.String())
	w.WriteHeader(a.Status)
}

const copyBuffer = 32 << 10

func (e *Entry) copyBody(w http.ResponseWriter, r *http.Request, ex *crhop.Exchange) error {
	if r.Method == http.MethodHead || ex.Answer.Status == http.StatusNoContent || ex.Answer.Status == http.StatusNotModified {
		return nil
	}
	buf := make([]byte, copyBuffer)
	rc := http.NewResponseController(w)
	var total int64
	for {
		n, err := ex.Body.Read(buf)
		total += int64(n)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
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
			if err := rc.Flush(); err != nil {
				return err
			}
		}
	}
}

// errShort tells of an answer shorter or longer than its head said.
var errShort = errors.New("answer's length differs from its head")

func whole(got, want int64) error {
	if want >= 0 && got != want {
		return errShort
	}
	return nil
}
