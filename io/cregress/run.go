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
	"camphorroad/core/crregistry"
	"camphorroad/io/crdialect"
	"camphorroad/io/crlink"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

// errLate ends a run whose time is up.
var errLate = errors.New("the time is up")

// run is one request that has its slot.
type run struct {
	exit    *Exit
	claim   *claim
	request croffer.Request
	target  crregistry.Record
	started crid.Instant
	watch   watch
}

// do runs the request and logs its end.
func (r *run) do(ctx context.Context) croffer.Result {
	r.started = r.exit.opts.Clock()
	result := r.send(ctx)
	r.log(result)
	return result
}

// log writes a line of a run without a success, and of a sample of the others.
func (r *run) log(result croffer.Result) {
	well := result.Outcome == croffer.Answered && result.Status < http.StatusBadRequest
	if well && !crlog.Sampled(r.claim.offer.ID) {
		return
	}
	r.exit.opts.Log.Event(crlog.RunEnded, crlog.Fields{
		"request": r.claim.offer.ID, "target": string(r.target.Target), "entry": string(r.claim.offer.From),
		"outcome": result.Outcome.String(), "status": strconv.Itoa(result.Status), "reason": result.Reason,
		"waited": r.started.Sub(r.claim.at).Round(time.Millisecond).String(),
		"took":   r.exit.opts.Clock().Sub(r.started).Round(time.Millisecond).String(),
		"sick":   crlog.Percent(result.Told.UnhealthyProb), "load": strconv.Itoa(result.Told.Load), "slots": strconv.Itoa(result.Told.Slots),
	})
}

func (r *run) send(ctx context.Context) croffer.Result {
	x := r.exit
	waited := r.started.Sub(r.claim.at)
	left := r.claim.offer.Left - waited - margin
	if left <= 0 {
		x.gate.Cancel(r.started, r.claim.ticket)
		return x.notSent("too late", 0)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, left, errLate)
	defer cancel()
	conn, err := x.pool.Get(ctx)
	if err != nil {
		return r.unreached(err)
	}
	wait := min(r.request.Wait-waited, left)
	defer x.count(r.claim.offer)()
	r.watch.start(x, r.claim.offer)
	answer, err := conn.Exchange(ctx, r.encode(wait), r.mine)
	r.watch.stop()
	if err != nil {
		return r.broken(ctx, err)
	}
	x.pool.Put(conn)
	return r.judge(answer)
}

// unreached ends a run that got no connection: nothing was sent.
func (r *run) unreached(err error) croffer.Result {
	x := r.exit
	now := x.opts.Clock()
	x.gate.Release(now, r.claim.ticket, 0)
	if !errors.Is(err, context.Canceled) {
		x.note(now, crjudge.Failure, r.claim.offer.ID)
	}
	return x.notSent("the target takes no connection", 0)
}

// broken ends a run without a whole answer. The request may have run.
func (r *run) broken(ctx context.Context, err error) croffer.Result {
	x := r.exit
	now := x.opts.Clock()
	x.gate.Release(now, r.claim.ticket, 0)
	result := croffer.Result{Outcome: croffer.Unknown, Reason: err.Error()}
	switch {
	case errors.Is(context.Cause(ctx), errLate):
		result.Outcome = croffer.Late
		r.lateEvidence(now)
	case ctx.Err() != nil:
		result.Reason = "the caller left"
	default:
		x.note(now, crjudge.Failure, r.claim.offer.ID)
	}
	result.Told = x.Told()
	return result
}

// lateEvidence weighs a request that ran until its time was up. If it had the
// time that requests usually take several times over, that speaks against the
// target; the watch may have said so already.
func (r *run) lateEvidence(now crid.Instant) {
	if r.watch.told() || r.exit.calls.failedSince(r.started) {
		return
	}
	if slow := r.exit.gate.SlowThreshold(r.claim.offer.Kind()); slow > 0 && now.Sub(r.started) < slow {
		return
	}
	r.exit.note(now, crjudge.Slow, r.claim.offer.ID)
}

// judge turns a whole answer into a result, and takes it as evidence.
func (r *run) judge(a *crlink.Answer) croffer.Result {
	x := r.exit
	now := x.opts.Clock()
	took := now.Sub(r.started)
	told := x.opts.Dialect.ParseResponse(a.Status, a.Header)
	if told.NotRun {
		x.gate.Release(now, r.claim.ticket, 0)
		return croffer.Result{Outcome: croffer.Rejected, Reason: "the target answered " + strconv.Itoa(a.Status), Told: x.Told()}
	}
	success := a.Status < http.StatusBadRequest
	if (success && !told.Sealed) || a.Header.Get("Content-Encoding") != "" {
		x.gate.Release(now, r.claim.ticket, 0)
		x.note(now, crjudge.Failure, r.claim.offer.ID)
		return croffer.Result{Outcome: croffer.Unknown, Reason: "the answer is not the target's own", Told: x.Told()}
	}
	r.evidence(now, took, a.Status)
	StripConnection(a.Header)
	return croffer.Result{Outcome: croffer.Answered, Status: a.Status, Header: a.Header, Body: a.Body, Told: x.Told()}
}

func (r *run) evidence(now crid.Instant, took time.Duration, status int) {
	x := r.exit
	switch {
	case status < http.StatusInternalServerError:
		x.gate.Release(now, r.claim.ticket, took)
		x.note(now, crjudge.Success, r.claim.offer.ID)
	case status == http.StatusGatewayTimeout:
		x.gate.Release(now, r.claim.ticket, 0)
		r.lateEvidence(now)
	default:
		x.gate.Release(now, r.claim.ticket, 0)
		if !x.calls.failedSince(r.started) {
			x.note(now, crjudge.Failure, r.claim.offer.ID)
		}
	}
}

// mine reports whether an answer belongs to the request. A target may send a
// second answer to an earlier one where this one's is due.
func (r *run) mine(h http.Header) bool {
	id := r.exit.opts.Dialect.ParseResponse(0, h).ID
	return id == "" || r.request.ID == "" || id == r.request.ID
}

func (r *run) encode(wait time.Duration) crlink.Request {
	h := http.Header(r.request.Header).Clone()
	StripConnection(h)
	r.exit.opts.Dialect.PrepareForward(h, crdialect.ForwardInfo{
		Timeout: wait, Target: r.target.Target, Account: r.request.Account, CallingService: r.request.From,
	})
	return crlink.Request{Method: r.request.Method, URI: r.request.URI, Host: r.request.Host, Header: h, Body: r.request.Body}
}

// watch tells the judge of a request that runs far longer than others while it
// still runs: a target that hangs gives no answer that could tell.
type watch struct {
	mu    sync.Mutex
	timer *time.Timer
	said  bool
	ended bool
}

func (w *watch) start(x *Exit, o croffer.Offer) {
	slow := x.gate.SlowThreshold(o.Kind())
	if slow == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	began := x.opts.Clock()
	w.timer = time.AfterFunc(slow, func() {
		w.mu.Lock()
		late := !w.ended && !x.calls.failedSince(began)
		w.said = w.said || late
		w.mu.Unlock()
		if late {
			x.note(x.opts.Clock(), crjudge.Slow, o.ID)
		}
	})
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) told() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.said
}
