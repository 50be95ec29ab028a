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

// serve makes attempts until one yields a response to relay, no further attempt is
// allowed, or the deadline has passed. The caller then gets the response or a refusal
// at once.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, req *admittedRequest, b *body) {
	w.Header().Set(HeaderRequest, req.id.String())
	e.budget.RecordRequest()
	s := &activeRequest{
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
		if err := b.bufferAll(s.expired); err != nil {
			e.refuse(w, b, bodyRefusal(err))
			return
		}
	}
	ex := s.runAttempts(r.Context())
	if ex == nil {
		s.refuse(w, r)
		return
	}
	e.relay(w, r, s, ex)
}

// refuse writes the refusal of a request without a response to relay. It writes one
// even if the request's context has ended: a caller that closed its half of the
// connection, or whose body was truncated, may still be reading, and would get an empty
// 200 from a handler that writes nothing.
func (s *activeRequest) refuse(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		s.body.waitForRead()
	}
	if err := s.body.readErr(); err != nil {
		refused := bodyRefusal(err)
		refused.outcome = s.tracker.Outcome()
		s.entry.refuse(w, s.body, refused)
		return
	}
	s.entry.refuse(w, s.body, s.finalRefusal())
}

func (s *activeRequest) expired() bool { return !s.entry.opts.Clock().Before(s.deadline) }

// activeRequest is the state of one request over its attempts.
type activeRequest struct {
	entry         *Entry
	req           *admittedRequest
	tracker       *crforward.Tracker
	body          *body
	length        int64
	method        string
	host          string
	deadline      crid.Instant
	tried         []crid.Target
	target        *crroute.Target // that the response came from
	prefix        bodyPrefix      // of the response body
	reason        string          // why the last attempt failed
	wrongResponse bool
	endAttempt    func() // ends the attempt that the response came from
}

// runAttempts returns the exchange whose response is relayed to the caller, or nil.
func (s *activeRequest) runAttempts(ctx context.Context) *crhop.Exchange {
	for {
		target, ok := s.pick()
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

func (s *activeRequest) pick() (*crroute.Target, bool) {
	pool := s.req.view.Pool(s.req.service)
	if pool == nil {
		s.reason = "the service has no targets"
		return nil, false
	}
	target, ok := s.entry.picker.Pick(pool, crroute.PickInfo{Now: s.entry.opts.Clock(), Tried: s.tried, IntN: rand.IntN})
	if !ok && s.reason == "" {
		s.reason = "no target takes new work"
	}
	return target, ok
}

// attemptTimeout is the timeout of one attempt. A request of class repeat keeps half of the
// remaining time for another target, so that one stalled target does not use up the
// whole deadline, unless its body is too long to be sent again. A request of class once
// cannot be sent again and gets all but the time that a revoke needs.
func (s *activeRequest) attemptTimeout(now crid.Instant) time.Duration {
	left := s.deadline.Sub(now)
	if s.req.route.Class == crpolicy.ClassRepeat {
		streamed := s.length > int64(s.entry.opts.ReplayBytes)
		if !streamed && s.tracker.Attempts() < crforward.DefaultTrackerParams().MaxAttempts {
			return left / 2
		}
		return left
	}
	return max(left-crhop.RevokeTimeout, left/2)
}

func (s *activeRequest) attempt(ctx context.Context, target *crroute.Target) *crhop.Exchange {
	s.tried = append(s.tried, target.Name())
	now := s.entry.opts.Clock()
	timeout := s.attemptTimeout(now)
	n := s.tracker.Begin()
	attemptCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(timeout, cancel)
	target.Load().Begin()
	var revoker Revoker
	ex, err := s.entry.opts.Forwarder.Forward(attemptCtx, target, s.newForward(target, timeout), s.body, func(rv Revoker) {
		revoker = rv
		s.tracker.Sent(n, s.entry.opts.Clock())
	})
	inTime := timer.Stop()
	end := func() {
		cancel()
		target.Load().End()
	}
	if err == nil {
		if s.handleExitResponse(n, target, ex, now) && s.readPrefix(n, target, ex) {
			s.endAttempt = end
			return ex
		}
		_ = ex.Body.Close()
		end()
		return nil
	}
	end()
	s.handleLost(ctx, n, target, err, inTime, now, revoker)
	return nil
}

func (s *activeRequest) newForward(target *crroute.Target, timeout time.Duration) *crhop.Forward {
	id := s.req.id
	// Each attempt has its own ID at the exits: a refused attempt must never
	// start, while the next one may.
	id[0] ^= byte(len(s.tried) - 1)
	header := s.req.header
	if len(s.tried) > 1 {
		// An abandoned attempt may still be reading the first map.
		header = header.Clone()
	}
	return &crhop.Forward{
		ID:      id,
		Service: s.req.service,
		Target:  target.Name(),
		Account: s.req.account,
		Class:   s.req.route.Class,
		Timeout: timeout,
		Method:  s.method,
		URI:     s.req.uri,
		Host:    s.host,
		Header:  header,
		Length:  s.length,
	}
}

// handleExitResponse records an exit's response in the tracker and as health evidence.
// It reports whether the response is relayed to the caller.
func (s *activeRequest) handleExitResponse(n int, target *crroute.Target, ex *crhop.Exchange, started crid.Instant) bool {
	now := s.entry.opts.Clock()
	took := now.Sub(started)
	target.Load().SetReportedInFlight(ex.Response.InFlight, now)
	switch ex.Response.Kind {
	case crhop.KindResponse:
		s.tracker.ResponseStarted(n)
		return s.handleUpstreamResponse(n, target, ex, took)
	case crhop.KindRefusal:
		s.tracker.Refused(n, ex.Response.NotRun, ex.Response.RetryAfter)
		s.reason = ex.Response.Reason
		switch ex.Response.Fault {
		case crhop.FaultConnectFailed:
			target.Load().RecordUnreachable(now)
			s.observe(target, OutcomeFailed, took)
		case crhop.FaultNotReady:
			// The exit's quick refusals make the target look the least loaded.
			// Unless it is avoided, most requests of the service are sent to
			// it, and one whose attempts all go to this exit is refused.
			target.Load().RecordNotReady(now)
			s.observe(target, OutcomeShed, took)
		case crhop.FaultShed:
			// Handled like a shed response of the target itself.
			target.Load().RecordShed(now)
			s.observe(target, OutcomeShed, took)
		default:
			s.observe(target, OutcomeShed, took)
		}
	case crhop.KindFailure:
		s.tracker.ResponseStarted(n)
		s.tracker.Failed(n)
		s.reason = ex.Response.Reason
		if ex.Response.Fault == crhop.FaultRequestBody {
			return false
		}
		s.wrongResponse = ex.Response.Fault == crhop.FaultWrongResponse
		target.Load().RecordFailure()
		s.observe(target, outcomeOf(ex.Response.Fault), took)
	}
	return false
}

func outcomeOf(f crhop.Fault) AttemptOutcome {
	switch f {
	case crhop.FaultWrongResponse:
		return OutcomeWrong
	case crhop.FaultTimeout:
		return OutcomeStalled
	case crhop.FaultUpstreamFailed, crhop.FaultConnectFailed, crhop.FaultRequestBody:
		return OutcomeFailed
	}
	return OutcomeFailed
}

// handleUpstreamResponse handles an upstream's response. A request of class repeat that
// was shed or failed is retried on another target. If it cannot be retried, the response
// is relayed unchanged.
func (s *activeRequest) handleUpstreamResponse(n int, target *crroute.Target, ex *crhop.Exchange, took time.Duration) bool {
	status := ex.Response.Status
	shed := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	switch {
	case shed:
		target.Load().RecordShed(s.entry.opts.Clock())
		s.observe(target, OutcomeShed, took)
	case status >= http.StatusInternalServerError:
		target.Load().RecordFailure()
		s.observe(target, OutcomeFailed, took)
	default:
		target.Load().RecordSuccess()
		s.observe(target, OutcomeOK, took)
		return true
	}
	return !s.shouldRetry(n)
}

// shouldRetry reports whether a failed response is retried.
func (s *activeRequest) shouldRetry(n int) bool {
	if s.req.route.Class != crpolicy.ClassRepeat || !s.body.Replayable() {
		return false
	}
	if len(s.tried) >= s.req.view.Pool(s.req.service).Len() {
		return false
	}
	s.tracker.Failed(n)
	return s.tracker.MayRetry()
}

// handleLost handles an attempt without a response. If a request of class once may have
// been sent, it is revoked at the exit: only the result of a revoke can prove that the
// request did not run and never will.
func (s *activeRequest) handleLost(ctx context.Context, n int, target *crroute.Target, err error, inTime bool, started crid.Instant, rv Revoker) {
	now := s.entry.opts.Clock()
	took := now.Sub(started)
	s.reason = "no answer from the target's daemon"
	if errors.Is(err, crhop.ErrNotSent) {
		s.tracker.Failed(n)
		target.Load().RecordUnreachable(now)
		s.observe(target, OutcomeUnreachable, took)
		return
	}
	if ctx.Err() == nil && s.body.readErr() == nil {
		target.Load().RecordUnreachable(now)
		s.observe(target, lostOutcome(inTime), took)
	}
	if rv == nil || s.req.route.Class == crpolicy.ClassRepeat || !s.tracker.NeedsRevoke(n) {
		s.tracker.Failed(n)
		return
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crhop.RevokeTimeout)
	defer cancel()
	s.tracker.RevokeResult(n, rv.Revoke(revokeCtx), s.entry.opts.Clock())
}

func lostOutcome(inTime bool) AttemptOutcome {
	if inTime {
		return OutcomeUnreachable
	}
	return OutcomeStalled
}

func (s *activeRequest) observe(target *crroute.Target, o AttemptOutcome, took time.Duration) {
	s.entry.opts.Observe(s.req.service, target.Name(), s.req.account, o, took)
}

// finalRefusal is the refusal of a request without a response to relay.
func (s *activeRequest) finalRefusal() *refusal {
	r := &refusal{outcome: s.tracker.Outcome(), reason: s.reason, retryAfter: max(defaultRetryAfter, s.tracker.RetryAfter())}
	switch {
	case r.outcome == crforward.OutcomeNotRun:
		r.status = http.StatusServiceUnavailable
	case s.wrongResponse:
		r.status = http.StatusBadGateway
	default:
		r.status = http.StatusGatewayTimeout
	}
	return r
}
