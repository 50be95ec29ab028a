package cregress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crregistry"
	"camphorroad/io/crdialect"
	"camphorroad/io/crlink"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

// errTimeout is the cause of a context whose deadline has passed.
var errTimeout = errors.New("the time is up")

// run is a request that holds a slot.
type run struct {
	exit        *Exit
	reservation *reservation
	request     croffer.Request
	target      crregistry.Record
	started     crid.Instant
	slow        slowTimer
	connection  string // local address of the connection to the target; empty: none
	responseID  string // request ID that the response bears; empty: none
}

// do runs the request and logs its result.
func (r *run) do(ctx context.Context) croffer.Result {
	r.started = r.exit.opts.Clock()
	result := r.send(ctx)
	if r.reservation.offer.Class == crpolicy.ClassRepeat {
		result.Calls = r.exit.callRates.Report(r.started)
	}
	r.log(result)
	return result
}

// log logs each unsuccessful run and a sample of the others.
func (r *run) log(result croffer.Result) {
	success := result.Outcome == croffer.Answered && result.Status < http.StatusBadRequest
	if success && !crlog.Sampled(r.reservation.offer.ID) {
		return
	}
	r.exit.opts.Log.Event(crlog.RunEnded, crlog.Fields{
		"request": r.reservation.offer.ID, "target": string(r.target.Target), "entry": string(r.reservation.offer.From),
		"outcome": result.Outcome.String(), "status": strconv.Itoa(result.Status), "reason": result.Reason,
		"waited": r.started.Sub(r.reservation.acceptedAt).Round(time.Millisecond).String(),
		"took":   r.exit.opts.Clock().Sub(r.started).Round(time.Millisecond).String(),
		"sick":   crlog.Percent(result.LoadReport.UnhealthyProb), "load": strconv.Itoa(result.LoadReport.Load), "slots": strconv.Itoa(result.LoadReport.Slots),
		"connection": r.connection, "response": r.responseID,
	})
}

func (r *run) send(ctx context.Context) croffer.Result {
	x := r.exit
	waited := r.started.Sub(r.reservation.acceptedAt)
	left := r.reservation.offer.TimeLeft - waited - responseMargin
	attempt := r.attemptTime(left)
	if left <= 0 {
		x.gate.Cancel(r.started, r.reservation.ticket)
		return x.notSent("too late", 0)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, min(attempt+responseGrace, left), errTimeout)
	defer cancel()
	wait := min(r.request.Wait-waited, attempt)
	request := r.encode(wait)
	conn, err := x.pool.Get(ctx, x.opts.Dialect.RequestID(request.Header))
	if err != nil {
		return r.connectFailed(err)
	}
	r.connection = conn.LocalAddr()
	age := conn.Age() // before the time: a pause in between must not make the connection older
	sentAt := x.opts.Clock()
	connectedAt := sentAt.Add(-age)
	if !x.gate.Send(sentAt, connectedAt, r.reservation.ticket) {
		x.pool.Put(conn)
		x.gate.Cancel(sentAt, r.reservation.ticket)
		return x.notSent("the target is cold", x.gate.ColdFor(sentAt))
	}
	defer x.countIdempotent(r.reservation.offer)()
	x.callers.Started(r.reservation.offer.Priority)
	defer x.callers.Ended(r.reservation.offer.Priority)
	request.Written = func() { x.gate.Written(sentAt, x.opts.Clock(), connectedAt) }
	r.slow.start(x, r.reservation.offer)
	resp, err := conn.Exchange(ctx, request)
	r.slow.stop()
	if err != nil {
		return r.exchangeFailed(ctx, err)
	}
	x.gate.Responded(connectedAt, sentAt, x.aliveAt(conn, sentAt))
	x.pool.Put(conn)
	return r.handleResponse(resp)
}

// aliveAt returns an instant at which the process that has responded to a request was alive. A
// response may be read after the end of its process, which closes the connection.
func (x *Exit) aliveAt(conn *crlink.Conn, sentAt crid.Instant) crid.Instant {
	now := x.opts.Clock()
	if conn.PeerClosed() {
		return sentAt
	}
	return now
}

// responseGrace is the time that a target has for its response after the end of an attempt.
const responseGrace = 60 * time.Millisecond

// attemptTime returns the time that the target gets for the request.
func (r *run) attemptTime(left time.Duration) time.Duration {
	if attempt := r.reservation.offer.Attempt; attempt > 0 {
		return min(attempt, left)
	}
	return left
}

// connectFailed ends a run that got no connection. Nothing was sent.
func (r *run) connectFailed(err error) croffer.Result {
	x := r.exit
	now := x.opts.Clock()
	if !errors.Is(err, context.Canceled) {
		x.gate.ContactLost(now)
		x.observe(now, crjudge.Failure, r.reservation.offer.ID)
	}
	x.gate.Release(now, r.reservation.ticket, 0)
	return x.notSent("the target takes no connection", 0)
}

// exchangeFailed ends a run without a complete response. The request may have run.
func (r *run) exchangeFailed(ctx context.Context, err error) croffer.Result {
	x := r.exit
	now := x.opts.Clock()
	result := croffer.Result{Outcome: croffer.Unknown, Reason: err.Error()}
	ended := false
	switch {
	case errors.Is(context.Cause(ctx), errTimeout):
		result.Outcome = croffer.TimedOut
		x.gate.ContactLost(now)
		r.observeTimeout(now)
	case ctx.Err() != nil:
		result.Reason = "the caller left"
	default:
		ended = true
		x.gate.ContactLost(now)
		x.observe(now, crjudge.Failure, r.reservation.offer.ID)
	}
	x.gate.Release(now, r.reservation.ticket, 0)
	if ended {
		result.EndedMillis = r.recordEnd(ctx)
	}
	result.LoadReport = x.LoadReport()
	return result
}

// observeTimeout records a request that ran until its deadline. It does not count
// against the target if it ran for less time than a slow request takes, if slowTimer has
// recorded it, or if a nested call of the target has failed meanwhile.
func (r *run) observeTimeout(now crid.Instant) {
	if r.slow.hasFired() || r.exit.nestedFailures.since(r.started) {
		return
	}
	if slow := r.exit.gate.SlowThreshold(r.reservation.offer.Kind()); slow > 0 && now.Sub(r.started) < slow {
		return
	}
	r.exit.observe(now, crjudge.Slow, r.reservation.offer.ID)
}

// handleResponse turns a complete response into a result and records it.
func (r *run) handleResponse(resp *crlink.Response) croffer.Result {
	x := r.exit
	now := x.opts.Clock()
	took := now.Sub(r.started)
	info := x.opts.Dialect.ParseResponse(resp.Status, resp.Header)
	r.responseID = info.ID
	x.handleAnnouncements(now, r.target, info)
	if info.NotRun {
		x.gate.Release(now, r.reservation.ticket, 0)
		return croffer.Result{Outcome: croffer.Rejected, Reason: "the target answered " + strconv.Itoa(resp.Status), LoadReport: x.LoadReport()}
	}
	success := resp.Status < http.StatusBadRequest
	if (success && !info.Sealed) || resp.Header.Get("Content-Encoding") != "" {
		x.observe(now, crjudge.Failure, r.reservation.offer.ID)
		x.gate.Release(now, r.reservation.ticket, 0)
		return croffer.Result{Outcome: croffer.Unknown, Reason: "the answer is not the target's own", LoadReport: x.LoadReport()}
	}
	r.observeResponse(now, took, resp.Status)
	if resp.Status < http.StatusInternalServerError {
		x.answers.Record(contentKey(r.request))
	}
	if info.Refusal && r.reservation.offer.Class != crpolicy.ClassRepeat {
		// The target may have run it, and its caller would send it again.
		return croffer.Result{Outcome: croffer.Unknown, Reason: "the target answered " + strconv.Itoa(resp.Status) + " and may have run it", LoadReport: x.LoadReport()}
	}
	StripHopByHop(resp.Header)
	result := croffer.Result{Outcome: croffer.Answered, Status: resp.Status, Header: resp.Header, Body: resp.Body, LoadReport: x.LoadReport()}
	if !success && x.nestedRefusals.since(r.started) {
		result.Reason = croffer.ReasonCallRefused
	}
	return result
}

func (r *run) observeResponse(now crid.Instant, took time.Duration, status int) {
	x := r.exit
	switch {
	case status < http.StatusInternalServerError:
		x.gate.Release(now, r.reservation.ticket, took)
		x.observe(now, crjudge.Success, r.reservation.offer.ID)
	case status == http.StatusGatewayTimeout:
		r.observeTimeout(now)
		x.gate.Release(now, r.reservation.ticket, 0)
	default:
		// The failure is recorded first, so that the slot does not go to a request that would fail, too.
		if !x.nestedFailures.since(r.started) {
			x.observe(now, crjudge.Failure, r.reservation.offer.ID)
		}
		x.gate.Release(now, r.reservation.ticket, 0)
	}
}

func (r *run) encode(wait time.Duration) crlink.Request {
	h := http.Header(r.request.Header).Clone()
	StripHopByHop(h)
	r.exit.opts.Dialect.PrepareForward(h, crdialect.ForwardInfo{
		Timeout: wait, Target: r.target.Target, Account: r.request.Account, CallingService: r.request.From,
	})
	return crlink.Request{Method: r.request.Method, URI: r.request.URI, Host: r.request.Host, Header: h, Body: r.request.Body}
}

// slowTimer records a slow request while it is still running, since a target that hangs
// sends no response that could be recorded.
type slowTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	fired bool
	ended bool
}

func (t *slowTimer) start(x *Exit, o croffer.Offer) {
	delay := x.gate.SlowThreshold(o.Kind())
	if delay == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	started := x.opts.Clock()
	t.timer = time.AfterFunc(delay, func() {
		t.mu.Lock()
		slow := !t.ended && !x.nestedFailures.since(started)
		t.fired = t.fired || slow
		t.mu.Unlock()
		if slow {
			x.observe(x.opts.Clock(), crjudge.Slow, o.ID)
		}
	})
}

func (t *slowTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t *slowTimer) hasFired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fired
}
