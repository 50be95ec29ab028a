package crentry

import (
	"context"
	"errors"
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
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, req *accepted, b *body) {
	w.Header().Set(HeaderRequest, req.id.String())
	e.budget.RecordRequest()
	s := &serving{
		entry:    e,
		req:      req,
		tracker:  crforward.NewTracker(req.route.Class, crforward.DefaultTrackerParams()),
		body:     b,
		length:   r.ContentLength,
		method:   r.Method,
		host:     r.Host,
		deadline: req.started.Add(req.route.Timeout),
	}
	if s.length > 0 && s.length <= int64(e.opts.ReplayBytes) {
		if err := b.fill(s.expired); err != nil {
			e.refuse(w, b, bodyRefusal(err))
			return
		}
	}
	ex := s.attempts(r.Context())
	if ex == nil {
		s.refuse(w, r)
		return
	}
	e.pass(w, r, s, ex)
}

// refuse gives the final answer of a request without an answer to pass on. It
// always writes one: a caller that closed its half of the connection, or whose
// body broke off, ends the request's context too and may still be reading; from a
// handler that wrote nothing it would get an empty 200.
func (s *serving) refuse(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		s.body.settle()
	}
	if err := s.body.fault(); err != nil {
		refused := bodyRefusal(err)
		refused.outcome = s.tracker.Outcome()
		s.entry.refuse(w, s.body, refused)
		return
	}
	s.entry.refuse(w, s.body, s.giveUp())
}

func (s *serving) expired() bool { return !s.entry.opts.Clock().Before(s.deadline) }

// serving is one request on its way through its attempts.
type serving struct {
	entry    *Entry
	req      *accepted
	tracker  *crforward.Tracker
	body     *body
	length   int64
	method   string
	host     string
	deadline crid.Instant
	tried    []crid.Target
	target   *crroute.Target // that gave the answer
	opening  opening         // of its body
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
	target, ok := s.entry.chooser.Pick(pool, crroute.PickInfo{Now: s.entry.opts.Clock(), Tried: s.tried, IntN: rand.IntN})
	if !ok && s.reason == "" {
		s.reason = "no target takes new work"
	}
	return target, ok
}

// share is the time one attempt may take. A repeat request keeps half of what is
// left for another target, so that one stalled target does not use up the whole
// deadline, unless its body is too long to be sent again; a once request can not
// be sent again and gets all but the moment that the revoke needs.
func (s *serving) share(now crid.Instant) time.Duration {
	left := s.deadline.Sub(now)
	if s.req.route.Class == crpolicy.ClassRepeat {
		long := s.length > int64(s.entry.opts.ReplayBytes)
		if !long && s.tracker.Attempts() < crforward.DefaultTrackerParams().MaxAttempts {
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
	ex, err := s.entry.opts.Forwarder.Forward(attempt, target, s.forward(target, left), s.body, func(rv Revoker) {
		revoker = rv
		s.tracker.Sent(n, s.entry.opts.Clock())
	})
	inTime := timer.Stop()
	end := func() {
		cancel()
		target.Load().End()
	}
	if err == nil {
		if s.judge(n, target, ex, now) && s.begin(n, target, ex) {
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
	header := s.req.header
	if len(s.tried) > 1 {
		// An attempt that was given up may still be reading the first map.
		header = header.Clone()
	}
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
		Header:  header,
		Length:  s.length,
	}
}

// judge tells the tracker and the evidence what an exit answered; it reports
// whether the answer goes to the caller.
func (s *serving) judge(n int, target *crroute.Target, ex *crhop.Exchange, started crid.Instant) bool {
	now := s.entry.opts.Clock()
	took := now.Sub(started)
	target.Load().SetReportedInFlight(ex.Answer.InFlight, now)
	switch ex.Answer.Kind {
	case crhop.KindAnswer:
		s.tracker.ResponseStarted(n)
		return s.answered(n, target, ex, took)
	case crhop.KindRefusal:
		s.tracker.Refused(n, ex.Answer.NotRun, ex.Answer.RetryAfter)
		s.reason = ex.Answer.Reason
		switch ex.Answer.Fault {
		case crhop.FaultConnect:
			target.Load().RecordUnreachable(now)
			s.observe(target, OutcomeFailed, took)
		case crhop.FaultUnready:
			// Its refusals are so quick that it looks the idlest of all. Were it
			// not passed over, it would draw the requests of a whole service, and
			// those whose every attempt met the same daemon would be refused.
			target.Load().RecordNotReady(now)
			s.observe(target, OutcomeShed, took)
		case crhop.FaultShed:
			// As with an answer of the target itself that sheds.
			target.Load().RecordShed(now)
			s.observe(target, OutcomeShed, took)
		default:
			s.observe(target, OutcomeShed, took)
		}
	case crhop.KindFailure:
		s.tracker.ResponseStarted(n)
		s.tracker.Failed(n)
		s.reason = ex.Answer.Reason
		if ex.Answer.Fault == crhop.FaultBody {
			return false
		}
		s.wrong = ex.Answer.Fault == crhop.FaultWrong
		target.Load().RecordFailure()
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
	case crhop.FaultBroken, crhop.FaultConnect, crhop.FaultBody:
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
		target.Load().RecordShed(s.entry.opts.Clock())
		s.observe(target, OutcomeShed, took)
	case status >= http.StatusInternalServerError:
		target.Load().RecordFailure()
		s.observe(target, OutcomeFailed, took)
	default:
		target.Load().RecordAnswer()
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
	s.tracker.Failed(n)
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
		s.tracker.Failed(n)
		target.Load().RecordUnreachable(now)
		s.observe(target, OutcomeUnreachable, took)
		return
	}
	if ctx.Err() == nil && s.body.fault() == nil {
		target.Load().RecordUnreachable(now)
		s.observe(target, lostOutcome(inTime), took)
	}
	if rv == nil || s.req.route.Class == crpolicy.ClassRepeat || !s.tracker.NeedsRevoke(n) {
		s.tracker.Failed(n)
		return
	}
	ask, cancel := context.WithTimeout(context.WithoutCancel(ctx), crhop.RevokeTimeout)
	defer cancel()
	s.tracker.RevokeResult(n, rv.Revoke(ask), s.entry.opts.Clock())
}

func lostOutcome(inTime bool) Outcome {
	if inTime {
		return OutcomeUnreachable
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
	case r.outcome == crforward.OutcomeNotRun:
		r.status = http.StatusServiceUnavailable
	case s.wrong:
		r.status = http.StatusBadGateway
	default:
		r.status = http.StatusGatewayTimeout
	}
	return r
}
