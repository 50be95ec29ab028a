// Package cringress is the entry: it takes requests of callers, finds out whose
// they are and where they may go, and sees to it that each gets the whole answer
// to its own request or an honest refusal.
//
// # Usage
//
//	entry := cringress.New(cringress.Options{...})
//	entry.Use(view)
//	http.Serve(listener, entry)
package cringress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplace"
	"camphorroad/core/crplan"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crdialect"
	"camphorroad/io/cregress"
	"camphorroad/io/crlink"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

const (
	// waitUntold is how long a caller is waited for that tells no time, on a
	// route without a timeout.
	waitUntold = 30 * time.Second
	// bodyMost bounds the body of a request that is held in memory, whatever
	// the operator allows: a daemon has a few hundred megabytes.
	bodyMost = 16 << 20
)

// Quota holds accounts to their rate over the whole fleet.
type Quota interface {
	// Take takes a token, or tells when there is one.
	Take(ctx context.Context, a *crplan.Account) (ok bool, wait time.Duration)
}

// Meter counts what callers were told.
type Meter interface {
	// ObserveResponse counts an answer; own says that it is not a target's. The class
	// is zero where no route was found.
	ObserveResponse(class crpolicy.Class, status int, own bool, took time.Duration)
	// ObserveRetry counts a request that is sent to a further target.
	ObserveRetry()
}

// Options are what an entry needs.
type Options struct {
	Self     crid.Daemon
	Domain   crid.Domain
	Service  crid.Service // of the instance that it stands on
	Dialect  crdialect.Dialect
	Clock    func() crid.Instant
	Local    *cregress.Exit
	Peers    *croffer.Client
	Balancer *crplace.Balancer
	Budget   *crbudget.Budget
	Quota    Quota
	Meter    Meter
	Log      *crlog.Logger
}

// Entry serves callers.
type Entry struct {
	opts   Options
	view   atomic.Pointer[crmesh.View]
	open   atomic.Int64
	ending context.Context //nolint:containedctx // ends what is in progress
	end    context.CancelFunc
}

// New returns an entry that refuses all until Use.
func New(opts Options) *Entry {
	e := &Entry{opts: opts}
	e.ending, e.end = context.WithCancel(context.Background())
	e.view.Store(&crmesh.View{})
	return e
}

// SetView makes a view the one that requests are handled by.
func (e *Entry) SetView(v *crmesh.View) { e.view.Store(v) }

// InFlight is the number of requests in progress.
func (e *Entry) InFlight() int64 { return e.open.Load() }

// Abort answers what is in progress with what is known of it by now. The process is about
// to end, and its callers would get no word at all.
func (e *Entry) Abort() { e.end() }

// reply is the final answer to a caller.
type reply struct {
	status   int
	header   http.Header
	body     []byte
	after    time.Duration // when to come back; zero: not told
	reason   string        // of an answer of our own
	own      bool          // the answer is not a target's
	targets  int           // that the request was sent to
	offers   int
	budget   string             // spent of what was allowed, where that kept the request from being sent again
	refusals string             // why offers came to nothing, each with its number
	choice   crplace.Choice     // of the target that gave the answer
	told     crplace.LoadReport // by its exit, last
}

func refusal(status int, reason string, after time.Duration) reply {
	return reply{status: status, reason: reason, after: after, own: true}
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.open.Add(1)
	defer e.open.Add(-1)
	started := e.opts.Clock()
	crlink.CloseAfterChunks(w, r)
	q := &request{Entry: e, started: started, http: r, view: e.view.Load()}
	answer := q.handle()
	e.opts.Meter.ObserveResponse(q.class(), answer.status, answer.own, e.opts.Clock().Sub(started))
	if r.Context().Err() != nil {
		q.log(answer, "caller left")
		return
	}
	q.log(answer, "")
	q.write(w, answer)
}

// request is one request of a caller on its way.
type request struct {
	*Entry
	started  crid.Instant
	http     *http.Request
	caller   crdialect.Caller
	view     *crmesh.View
	route    *crplan.Route
	account  *crplan.Account // nil: none
	service  crid.Service
	body     []byte
	leaves   crid.Instant // when the caller leaves
	deadline crid.Instant // when it is answered in any case
}

// handle leads a request through its steps.
func (q *request) handle() reply {
	if answer, ok := q.identify(); !ok {
		return answer
	}
	if answer, ok := q.readBody(); !ok {
		return answer
	}
	if answer, ok := q.takeToken(); !ok {
		return answer
	}
	q.opts.Budget.RecordRequest(q.started, q.service)
	if q.isCall() {
		q.opts.Budget.Charge(q.started, q.service, q.opts.Local.RepeatShare())
	}
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(q.opts.Clock()))
	defer cancel()
	defer context.AfterFunc(q.ending, cancel)()
	answer := q.dispatch(ctx)
	if q.isCall() && answer.status >= http.StatusInternalServerError {
		q.opts.Local.CallFailed()
	}
	return answer
}

// identify finds the route, the account and the service.
func (q *request) identify() (reply, bool) {
	caller, err := q.opts.Dialect.Caller(q.http.Header)
	q.caller = caller
	if err != nil {
		return refusal(http.StatusBadRequest, err.Error(), 0), false
	}
	plan := q.view.Plan
	if plan == nil {
		return refusal(http.StatusServiceUnavailable, "no configuration yet", comeBack), false
	}
	route, ok := plan.Route(q.http.Host, q.http.URL.EscapedPath())
	if !ok {
		return refusal(http.StatusNotFound, "no route", 0), false
	}
	q.route = route
	if account, ok := plan.AccountByKey(q.caller.Key); ok && q.caller.Key != "" {
		q.account = account
	}
	if q.account == nil && plan.RequiresKey() && !route.AllowAnonymous {
		return refusal(http.StatusUnauthorized, "unknown key", 0), false
	}
	q.service = route.Pick(rand.Float64())
	q.setTimes()
	return reply{}, true
}

func (q *request) setTimes() {
	wait := q.caller.Wait
	if wait <= 0 {
		wait = waitUntold
	}
	q.leaves = q.started.Add(wait)
	q.deadline = q.leaves
	if t := q.route.Timeout; t > 0 && t < wait {
		q.deadline = q.started.Add(t)
	}
}

func (q *request) readBody() (reply, bool) {
	most := int64(bodyMost)
	if allowed := q.view.Plan.Limits().BodyBytes; allowed > 0 {
		most = min(most, allowed)
	}
	if q.http.ContentLength > most {
		return refusal(http.StatusRequestEntityTooLarge, "the body is too large", 0), false
	}
	body, err := io.ReadAll(io.LimitReader(q.http.Body, most+1))
	if err != nil {
		return refusal(http.StatusBadRequest, "the body broke off", 0), false
	}
	if int64(len(body)) > most {
		return refusal(http.StatusRequestEntityTooLarge, "the body is too large", 0), false
	}
	q.body = body
	return reply{}, true
}

func (q *request) takeToken() (reply, bool) {
	if q.account == nil || q.account.Rate <= 0 {
		return reply{}, true
	}
	ok, wait := q.opts.Quota.Take(q.http.Context(), q.account)
	if !ok {
		return refusal(http.StatusTooManyRequests, "the account's rate is used up", max(wait, comeBack)), false
	}
	return reply{}, true
}

// isCall reports whether the request is a call of the target on this machine:
// these carry no key where callers have to.
func (q *request) isCall() bool {
	return q.account == nil && q.route != nil && q.route.AllowAnonymous && q.view.Plan.RequiresKey()
}

func (q *request) priority() int {
	if q.account != nil && q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// write sends the answer to the caller.
func (q *request) write(w http.ResponseWriter, a reply) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if a.own {
		h.Set("Content-Type", "text/plain; charset=utf-8")
		a.body = []byte(a.reason + "\n")
	}
	if a.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(jittered(a.after).Seconds(), 'f', 3, 64))
	}
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	if q.http.Method == http.MethodHead {
		return
	}
	if _, err := w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		q.opts.Log.Event(crlog.CallerGone, crlog.Fields{"request": q.caller.ID, "error": err.Error()})
	}
}

// jittered spreads a time to come back, so that callers refused together do not
// return together.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// log writes the request's line: of each that failed, and of a sample of those that
// went well.
func (q *request) log(a reply, end string) {
	event := crlog.RequestFailed
	if a.status < http.StatusBadRequest && end == "" {
		if !crlog.Sampled(q.caller.ID) {
			return
		}
		event = crlog.RequestServed
	}
	f := crlog.Fields{
		"request": q.caller.ID, "status": strconv.Itoa(a.status), "reason": a.reason, "service": string(q.service),
		"target": string(a.choice.Target), "choice": a.choice.Reason(),
		"believed": crlog.Percent(a.choice.UnhealthyProb), "told": crlog.Percent(a.told.UnhealthyProb), "class": q.class().String(), "refusals": a.refusals, "targets": strconv.Itoa(a.targets), "offers": strconv.Itoa(a.offers),
		"budget": a.budget, "took": q.opts.Clock().Sub(q.started).Round(time.Millisecond).String(), "end": end,
	}
	if q.account != nil {
		f["account"] = string(q.account.Name)
	}
	if q.view.Plan != nil {
		f["plan"] = q.view.Plan.Label()
	}
	q.opts.Log.Event(event, f)
}

// class is the route's, or zero where none was found.
func (q *request) class() crpolicy.Class {
	if q.route == nil {
		return 0
	}
	return q.route.Class
}
