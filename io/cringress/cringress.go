// Package cringress is the HTTP handler with which the daemon of io/crmesh serves
// callers. It finds the route, the account and the service of a request, applies the
// account's rate limit, and offers the request to targets, by io/croffer or in process by
// io/cregress, until one has responded. It buffers the whole response, so that the caller
// gets either that or a refusal. The daemon of io/crdaemon uses io/crentry instead.
//
// # Usage
//
//	entry := cringress.New(cringress.Options{...})
//	entry.SetView(view)
//	http.Serve(listener, entry)
package cringress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphorroad/core/crattempt"
	"camphorroad/core/crbudget"
	"camphorroad/core/crcrash"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplace"
	"camphorroad/core/crplan"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crregion"
	"camphorroad/core/crsize"
	"camphorroad/io/crdialect"
	"camphorroad/io/cregress"
	"camphorroad/io/crlink"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

const (
	// defaultCallerTimeout is the deadline of a request whose caller sends none, on a route
	// without a timeout.
	defaultCallerTimeout = 30 * time.Second
	// maxStartWait and startWaitShare bound the time, and the share of a caller's time, for which
	// a request waits for the first configuration of its daemon.
	maxStartWait   = 2 * time.Second
	startWaitShare = 0.1
)

// Quota limits the rates of accounts across the fleet.
type Quota interface {
	// Take takes a token, or returns how long to wait for one.
	Take(ctx context.Context, a *crplan.Account) (ok bool, wait time.Duration)
}

// RetryPool is the part of the fleet's retry budget that all daemons share.
type RetryPool interface {
	// Take takes a retry of a request for a service.
	Take(ctx context.Context, s crid.Service) bool
}

// Meter records metrics of responses and retries.
type Meter interface {
	// ObserveResponse counts a response; local means that the entry generated it, not a
	// target. The class is zero if no route was found.
	ObserveResponse(class crpolicy.Class, status int, local bool, latency time.Duration)
	// ObserveRetry counts a retry on a further target; pooled means that it was taken from
	// the pool.
	ObserveRetry(pooled bool)
	// ObserveRetryDenied counts a request that is not sent again for want of a retry.
	ObserveRetryDenied()
	// ObserveBlocked counts a request that is refused because targets have ended under it.
	ObserveBlocked()
	// ObserveCrossing counts the bytes of the bodies of a request that was sent to a target of
	// another domain, and of its response.
	ObserveCrossing(sent, received int)
}

// Options configure an Entry.
type Options struct {
	Self     crid.Daemon
	Domain   crid.Domain
	Regions  crregion.Map
	Service  crid.Service // of this daemon's own target
	Dialect  crdialect.Dialect
	Clock    func() crid.Instant
	Local    *cregress.Exit
	Peers    *croffer.Client
	Balancer *crplace.Balancer
	Budget   *crbudget.Budget
	Calls    *crbudget.CallCosts
	Crashes  *crcrash.Tracker
	Pool     RetryPool
	Attempts *crattempt.Tracker
	Sizes    *crsize.Tracker
	Quota    Quota
	Meter    Meter
	Log      *crlog.Logger
}

// Entry is the HTTP handler for callers.
type Entry struct {
	opts     Options
	view     atomic.Pointer[crmesh.View]
	ready    chan struct{} // closed once the view has a configuration and targets
	setReady sync.Once
	inFlight atomic.Int64
	held     atomic.Int64    // bytes of the bodies of requests in flight
	abortCtx context.Context //nolint:containedctx // cancelled by Abort
	abort    context.CancelFunc
}

// New returns an entry that delays requests until SetView, and refuses those that cannot wait.
func New(opts Options) *Entry {
	e := &Entry{opts: opts, ready: make(chan struct{})}
	e.abortCtx, e.abort = context.WithCancel(context.Background())
	e.view.Store(&crmesh.View{})
	return e
}

// SetView replaces the view with which new requests are handled.
func (e *Entry) SetView(v *crmesh.View) {
	e.view.Store(v)
	if isComplete(v) {
		e.setReady.Do(func() { close(e.ready) })
	}
}

// isComplete reports whether a view has a configuration and a list of targets.
func isComplete(v *crmesh.View) bool { return v.Plan != nil && v.HasRecords }

// RetryUsage is the use of this daemon's part of the retry budget.
func (e *Entry) RetryUsage() []crbudget.Usage {
	return e.opts.Budget.Usage(e.opts.Clock(), e.view.Load().FleetSize())
}

// InFlight is the number of requests in flight.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Abort cancels the requests in flight and responds to each with what is known of its
// outcome. It is called shortly before the process exits, as their callers would
// otherwise get no response.
func (e *Entry) Abort() { e.abort() }

// Concurrent reports whether a request may run while others of its connection do: its route is
// known and idempotent.
func (e *Entry) Concurrent(r *http.Request) bool {
	plan := e.view.Load().Plan
	if plan == nil {
		return false
	}
	route, ok := plan.Route(r.Host, r.URL.EscapedPath())
	return ok && route.Class == crpolicy.ClassRepeat
}

// response is the final response to a caller.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration // Retry-After; zero: none
	reason     string        // of a refusal
	local      bool          // generated by this entry, not by a target
	targets    int           // number of targets that the request was sent to
	offers     int
	budget     string             // "spent of allowed", if the retry budget prevented a retry
	refusals   string             // reasons of refused offers with their counts, for logs
	choice     crplace.Choice     // of the target that responded
	loadReport crplace.LoadReport // last report of its exit
	bytes      int                // expected bytes of the bodies before it was sent; zero: not known
	crossed    bool               // the body of the request was sent to another domain
}

func refusal(status int, reason string, retryAfter time.Duration) response {
	return response{status: status, reason: reason, retryAfter: retryAfter, local: true}
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	started := e.opts.Clock()
	crlink.CloseAfterChunkedBody(w, r)
	q := &request{Entry: e, started: started, http: r, view: e.view.Load(), conn: http.NewResponseController(w)}
	q.limitBody(refusedBodyTime)
	defer q.heldBody.release()
	resp := q.handle()
	e.opts.Meter.ObserveResponse(q.class(), resp.status, resp.local, e.opts.Clock().Sub(started))
	if r.Context().Err() != nil && !q.incomplete {
		q.log(resp, "caller left")
		return
	}
	q.log(resp, "")
	q.write(w, resp)
}

// request is the state of one request of a caller.
type request struct {
	*Entry
	started        crid.Instant
	http           *http.Request
	conn           *http.ResponseController
	info           crdialect.RequestInfo
	view           *crmesh.View
	route          *crplan.Route
	account        *crplan.Account // nil: no key, or an unknown one
	service        crid.Service
	priority       int                    // 0 is the most urgent
	allowed        func(crid.Domain) bool // domains in which it may be processed; nil: all
	body           []byte
	heldBody       heldReader   // the body as it was read
	incomplete     bool         // the body did not arrive, which ends the context of the request
	content        crcrash.Key  // identifies repetitions of the request
	callerDeadline crid.Instant // when the caller stops waiting
	deadline       crid.Instant // when the caller gets a response at the latest
}

// handle serves the request and returns the response.
func (q *request) handle() response {
	if resp, ok := q.identify(); !ok {
		return resp
	}
	if resp, ok := q.readBody(); !ok {
		return resp
	}
	if resp, ok := q.checkBlocked(); !ok {
		return resp
	}
	if resp, ok := q.takeToken(); !ok {
		return resp
	}
	q.recordRequest()
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(q.opts.Clock()))
	defer cancel()
	defer context.AfterFunc(q.abortCtx, cancel)()
	resp := q.dispatch(ctx)
	if q.isNested() && resp.status >= http.StatusInternalServerError {
		q.opts.Local.RecordNestedFailure(q.service, resp.status == http.StatusServiceUnavailable)
	}
	return resp
}

// recordRequest counts the request for the retry budget, and sets the priority of a nested call.
func (q *request) recordRequest() {
	if !q.isNested() {
		q.opts.Budget.RecordRequest(q.started, q.service)
		return
	}
	repeated, uncharged := q.opts.Local.RetryShares()
	q.opts.Budget.RecordCall(q.started, q.service, repeated)
	q.opts.Budget.Charge(q.started, q.service, uncharged)
	q.opts.Local.RecordCall(q.service)
	q.priority = q.opts.Local.CallPriority(q.route.Name, q.priority)
}

// identify finds the route, the account and the service.
func (q *request) identify() (response, bool) {
	info, err := q.opts.Dialect.ParseRequest(q.http.Header)
	q.info = info
	if err != nil {
		return refusal(http.StatusBadRequest, err.Error(), 0), false
	}
	q.awaitView()
	plan := q.view.Plan
	if plan == nil {
		return refusal(http.StatusServiceUnavailable, "no configuration yet", minRetryAfter), false
	}
	route, ok := plan.Route(q.http.Host, q.http.URL.EscapedPath())
	if !ok {
		return refusal(http.StatusNotFound, "no route", 0), false
	}
	q.route = route
	if account, ok := plan.AccountByKey(q.info.Key); ok && q.info.Key != "" {
		q.account = account
	}
	if q.account == nil && plan.RequiresKey() && !route.AllowAnonymous {
		return refusal(http.StatusUnauthorized, "unknown key", 0), false
	}
	q.service = route.Pick(rand.Float64())
	q.priority = q.ownPriority()
	q.allowed = q.opts.Regions.Allowed(route.Homes, q.accountHomes())
	q.setDeadlines()
	return response{}, true
}

// awaitView waits for the first configuration and list of targets, which a daemon that has just
// started gets within a second. A refusal would reach most callers of a fleet that starts again.
func (q *request) awaitView() {
	if isComplete(q.view) {
		return
	}
	timer := time.NewTimer(min(maxStartWait, time.Duration(startWaitShare*float64(q.callerTimeout()))))
	defer timer.Stop()
	select {
	case <-q.ready:
	case <-timer.C:
	case <-q.http.Context().Done():
	case <-q.abortCtx.Done():
	}
	q.view = q.Entry.view.Load()
}

// callerTimeout is the time for which the caller waits.
func (q *request) callerTimeout() time.Duration {
	if q.info.Timeout <= 0 {
		return defaultCallerTimeout
	}
	return q.info.Timeout
}

func (q *request) setDeadlines() {
	wait := q.callerTimeout()
	q.callerDeadline = q.started.Add(wait)
	q.deadline = q.callerDeadline
	if t := q.route.Timeout; t > 0 && t < wait {
		q.deadline = q.started.Add(t)
	}
}

// checkBlocked refuses a request under which the processes of targets have ended.
func (q *request) checkBlocked() (response, bool) {
	c := crcrash.Content{Method: q.http.Method, Host: q.http.Host, URI: q.uri(), Body: q.body}
	if q.account != nil {
		c.Account = q.account.Name
	}
	q.content = crcrash.KeyOf(c)
	if wait, blocked := q.opts.Crashes.Blocked(q.started, q.content); blocked {
		q.opts.Meter.ObserveBlocked()
		return refusal(http.StatusServiceUnavailable, croffer.ReasonEndsTargets, wait), false
	}
	return response{}, true
}

func (q *request) takeToken() (response, bool) {
	if q.account == nil || q.account.Rate <= 0 {
		return response{}, true
	}
	ok, wait := q.opts.Quota.Take(q.http.Context(), q.account)
	if !ok {
		return refusal(http.StatusTooManyRequests, "the account's rate is used up", max(wait, minRetryAfter)), false
	}
	return response{}, true
}

// isNested reports whether the request is a nested call of the target on this machine.
// Such calls carry no key and use routes that require none, while callers need a key.
func (q *request) isNested() bool {
	return q.account == nil && q.route != nil && q.route.AllowAnonymous && q.view.Plan.RequiresKey()
}

func (q *request) accountHomes() []crid.Region {
	if q.account == nil {
		return nil
	}
	return q.account.Homes
}

// ownPriority returns the priority that the configuration gives the account or the route.
func (q *request) ownPriority() int {
	if q.account != nil && q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// write sends the response to the caller.
func (q *request) write(w http.ResponseWriter, resp response) {
	h := w.Header()
	for name, values := range resp.header {
		h[name] = values
	}
	if resp.local {
		h.Set("Content-Type", "text/plain; charset=utf-8")
		resp.body = []byte(resp.reason + "\n")
	}
	if resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(jittered(resp.retryAfter).Seconds(), 'f', 3, 64))
	}
	if resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	w.WriteHeader(resp.status)
	if q.http.Method == http.MethodHead {
		return
	}
	if _, err := w.Write(resp.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		q.opts.Log.Event(crlog.CallerDisconnected, crlog.Fields{"request": q.info.ID, "error": err.Error()})
	}
}

// jittered adds ±25 % of jitter to a Retry-After, so that callers refused at the same
// time do not retry at the same time.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// log writes the log line of a request: for each failed one and for a sample of the
// successful ones. end is empty, or the reason why the caller got no response.
func (q *request) log(resp response, end string) {
	event := crlog.RequestFailed
	if resp.status < http.StatusBadRequest && end == "" {
		if !crlog.Sampled(q.info.ID) {
			return
		}
		event = crlog.RequestServed
	}
	f := crlog.Fields{
		"request": q.info.ID, "status": strconv.Itoa(resp.status), "reason": resp.reason, "service": string(q.service),
		"target": string(resp.choice.Target), "choice": resp.choice.Reason(),
		"believed": crlog.Percent(resp.choice.UnhealthyProb), "told": crlog.Percent(resp.loadReport.UnhealthyProb), "class": q.class().String(), "refusals": resp.refusals, "targets": strconv.Itoa(resp.targets), "offers": strconv.Itoa(resp.offers),
		"budget": resp.budget, "took": q.opts.Clock().Sub(q.started).Round(time.Millisecond).String(), "end": end,
		"bytes": strconv.Itoa(resp.bytes), "cross": strconv.FormatBool(resp.crossed),
	}
	if q.account != nil {
		f["account"] = string(q.account.Name)
	}
	if q.view.Plan != nil {
		f["plan"] = q.view.Plan.Label()
	}
	q.opts.Log.Event(event, f)
}

// class is the route's class, or zero if no route was found.
func (q *request) class() crpolicy.Class {
	if q.route == nil {
		return 0
	}
	return q.route.Class
}
