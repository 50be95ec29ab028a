package cringress

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"camphorroad/core/crbudget"
	"camphorroad/core/crcrash"
	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crpace"
	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

const (
	// maxOffers bounds the offers of one request, without those for a free slot that were
	// refused: with a third of the targets unhealthy but not known to be, eight refusals
	// in a row are rarer than one in ten thousand.
	maxOffers = 8
	// maxUnresponsive bounds the exits that do not reply to offers of one request. Each
	// costs a timeout. If three did not reply, a large part of the fleet is down or
	// this machine is partitioned, and the caller is refused at once.
	maxUnresponsive = 3
	// minRetryAfter is the least Retry-After of a refusal, before jitter.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is the largest Retry-After when no target takes a request, before
	// jitter. A longer one would leave targets idle that have free slots again.
	maxRetryAfter = 1500 * time.Millisecond
	// retryCost is the cost of a retry in the retry budget, in requests.
	retryCost = 1
	// minAttemptTime is the least remaining time with which a further target is tried.
	minAttemptTime = 60 * time.Millisecond
)

// dispatch offers a request to targets until one has responded, no further target may be
// tried, or the deadline has passed.
func (q *request) dispatch(ctx context.Context) response {
	d := &dispatch{
		request: q, response: refusal(http.StatusServiceUnavailable, "no target takes it", minRetryAfter),
		payment: crbudget.NewPayment(q.opts.Budget),
	}
	d.bytes, _ = q.opts.Sizes.Expected(q.route.Name)
	d.hasLarge = q.opts.Sizes.HasLarge(q.opts.Clock(), q.service)
	if d.mayRunAgain() {
		d.estimateCalls(nil)
	}
	for d.offers-d.busy < maxOffers && d.unresponsive < maxUnresponsive && ctx.Err() == nil {
		if !d.tryNext(ctx) {
			break
		}
	}
	d.response.offers, d.response.targets, d.response.refusals = d.offers, d.sent, d.refusalSummary()
	d.response.bytes, d.response.crossed = d.bytes, d.crossed
	return d.finalResponse(ctx)
}

// dispatch is the state of one request while targets are tried.
type dispatch struct {
	*request
	tried        []crid.Target // targets that it was offered to, without busy ones
	offers       int
	busy         int              // exits that refused it because no slot was free
	lastReported bool             // the last exit refused it and reported the target's load
	unresponsive int              // exits that did not reply to an offer
	calls        []crbudget.Retry // calls that the run of a retry makes
	refusals     map[string]int   // counts of the reasons why targets did not run it
	sent         int              // number of targets that it was sent to
	mayHaveRun   bool
	retrying     bool              // the next send is a retry
	payment      *crbudget.Payment // for the next send, if it is a retry
	retryAfter   time.Duration     // smallest Retry-After of an exit
	response     response          // response so far
	// refusedTrials is the number of exits that refused it as a trial because their targets had
	// got one shortly before.
	refusedTrials int
	bytes         int  // expected bytes of its bodies; zero: not known
	crossed       bool // its body was sent to another domain
	hasLarge      bool // its service also gets requests with large bodies
}

// finalResponse is the response when no further target is tried.
func (d *dispatch) finalResponse(ctx context.Context) response {
	if d.mayHaveRun || !d.response.local {
		return d.response
	}
	if ctx.Err() != nil {
		d.response.reason = "no target took it in time"
	}
	if d.retryAfter > 0 {
		d.response.retryAfter = min(max(d.retryAfter, minRetryAfter), maxRetryAfter)
	}
	return d.response
}

// tryNext tries one target; it reports whether another one may be tried.
func (d *dispatch) tryNext(ctx context.Context) bool {
	now := d.opts.Clock()
	if d.deadline.Sub(now) < minAttemptTime {
		return false
	}
	if wait, blocked := d.opts.Crashes.Blocked(now, d.content); blocked {
		d.refuseBlocked(wait)
		return false
	}
	couldRetry := d.couldRetry(now)
	choice, ok := d.opts.Balancer.Choose(now, d.view.Targets[d.service], crplace.Request{
		Service: d.service, FleetSize: len(d.view.Live), Class: d.route.Class, Domain: d.opts.Domain, Tried: d.tried, Rand: rand.Float64,
		Unresponsive: func(id crid.Daemon) bool { return d.view.Unresponsive[id] }, NoRetry: !couldRetry, PooledRetry: d.allowsRetry(), Nested: d.isNested(), Busy: d.busy, Allowed: d.allowed,
		Bytes: d.bytes, Slack: d.slack(now), HasLarge: d.hasLarge, RefusedTrials: d.refusedTrials,
	})
	if !ok {
		return false
	}
	if d.retrying && !d.payRetry(ctx, now) {
		d.opts.Meter.ObserveRetryDenied()
		spent, allowed := d.opts.Budget.Balance(now, d.service, d.view.FleetSize())
		d.response.budget = fmt.Sprintf("%.1f of %.1f", spent, allowed)
		return false
	}
	if d.retrying {
		d.opts.Meter.ObserveRetry(d.payment.UsesPool())
		d.opts.Log.Event(crlog.RequestRetried, crlog.Fields{
			"request": d.info.ID, "service": string(d.service), "target": string(choice.Target), "choice": choice.Reason(), "after": d.response.reason,
			"paid": d.payment.String(),
		})
	}
	d.offers++
	d.opts.Balancer.Begin(choice.Target)
	// A trial may be retried from the pool. Without a limit, a target that hangs would use up the
	// time for that.
	result, ok := d.try(ctx, choice, couldRetry || choice.Trial)
	if !d.lastReported {
		d.opts.Balancer.End(choice.Target)
	}
	if !ok {
		d.payment.Cancel(now)
		return true
	}
	d.payment.Finish()
	return d.handleResult(ctx, choice, result)
}

// slack is the time for which the request may wait and still be answered within its objective,
// or within the time left if it misses the objective in any case.
func (d *dispatch) slack(now crid.Instant) time.Duration {
	typical := d.opts.Attempts.Typical(d.service, crpace.Kind{Class: d.route.Class, Objective: d.route.Objective})
	left := d.deadline.Sub(now)
	if objective := d.route.Objective - now.Sub(d.started); objective > typical {
		left = min(left, objective)
	}
	return max(left-typical, 0)
}

// payRetry pays for a retry and the calls that its run makes.
func (d *dispatch) payRetry(ctx context.Context, now crid.Instant) bool {
	return d.payment.Pay(now, d.retries(), func(s crid.Service) bool { return d.opts.Pool.Take(ctx, s) })
}

// retries returns a retry of the request with the calls that its run makes.
func (d *dispatch) retries() []crbudget.Retry {
	return append([]crbudget.Retry{d.retry(d.service, retryCost)}, d.calls...)
}

// retry is a retry at a service, as the budget counts it.
func (d *dispatch) retry(s crid.Service, cost float64) crbudget.Retry {
	return crbudget.Retry{Service: s, Priority: d.priority, FleetSize: d.view.FleetSize(), Cost: cost}
}

// estimateCalls estimates which calls the run of a retry makes, given the services of which a
// call has failed in the run before it.
func (d *dispatch) estimateCalls(failed []crid.Service) {
	d.calls = nil
	for _, c := range d.opts.Calls.Estimate(d.service, failed) {
		d.calls = append(d.calls, d.retry(c.Service, c.PerRun))
	}
}

// couldRetry reports whether the request could be retried on a further target if the next
// one fails.
func (d *dispatch) couldRetry(now crid.Instant) bool {
	return d.allowsRetry() && d.opts.Budget.Affords(now, d.retries()...)
}

// allowsRetry reports whether the request could be retried if there is a retry in the budget.
func (d *dispatch) allowsRetry() bool { return d.mayRunAgain() && d.sent+1 < d.route.MaxTargets }

// try offers the request to a target and sends it if the exit accepts. It reports false
// if the request was not sent.
func (d *dispatch) try(ctx context.Context, c crplace.Choice, couldRetry bool) (croffer.Result, bool) {
	now := d.opts.Clock()
	o := croffer.Offer{
		ID: d.info.ID, From: d.opts.Self, Target: c.Target, Service: d.service, Class: d.route.Class, Priority: d.priority,
		TimeLeft: d.deadline.Sub(now), ObjectiveLeft: d.route.Objective - now.Sub(d.started), LastResort: c.LastResort, TrialIdle: c.TrialIdle, Retry: d.retrying, CallsSpent: len(d.calls) > 0,
		RouteObjective: d.route.Objective, Nested: d.isNested(), FreeSlot: c.FreeSlotOnly(), Limit: c.Limit,
	}
	if d.account != nil {
		o.SetAccount(d.account.Name, d.account.Rate)
	}
	if couldRetry {
		o.Attempt = d.opts.Attempts.Limit(d.service, o.Kind(), c.Trial || c.UnhealthyProb >= crjudge.Threshold)
	}
	d.lastReported = false
	if c.Daemon == d.opts.Self {
		return d.tryLocal(ctx, c, o)
	}
	reply, reservation, err := d.opts.Peers.Offer(ctx, c.Daemon, o)
	if err != nil {
		if ctx.Err() == nil {
			d.unresponsive++
			d.countRefusal("silent")
			d.tried = append(d.tried, c.Target)
			d.opts.Balancer.NoResponse(d.opts.Clock(), c.Target)
		}
		return croffer.Result{}, false
	}
	d.opts.Balancer.Responded(c.Target)
	d.handleOfferReply(o, reply)
	if reservation == nil {
		return croffer.Result{}, false
	}
	return d.run(c.Domain, o, func(r croffer.Request) croffer.Result { return reservation.Run(ctx, r) }), true
}

func (d *dispatch) tryLocal(ctx context.Context, c crplace.Choice, o croffer.Offer) (croffer.Result, bool) {
	reply := d.opts.Local.Offer(d.opts.Clock(), o)
	d.handleOfferReply(o, reply)
	if !reply.Accepted {
		return croffer.Result{}, false
	}
	return d.run(c.Domain, o, func(r croffer.Request) croffer.Result { return d.opts.Local.Run(ctx, reply.Ticket, r) }), true
}

// run sends the request to the exit that has accepted it, and records how long it took.
func (d *dispatch) run(domain crid.Domain, o croffer.Offer, send func(croffer.Request) croffer.Result) croffer.Result {
	sentAt := d.opts.Clock()
	result := send(d.newRequest())
	took := d.opts.Clock().Sub(sentAt)
	d.meterCrossing(domain, result)
	ended := o.Attempt > 0 && took >= o.Attempt
	if (result.Outcome == croffer.Answered && result.Status < http.StatusBadRequest) || ended {
		d.opts.Attempts.Record(d.service, o.Kind(), took)
	}
	return result
}

// meterCrossing counts the bytes of the bodies that went to the exit of a target of another
// domain and came back. The body of a request that the exit then refused has crossed, too.
func (d *dispatch) meterCrossing(domain crid.Domain, r croffer.Result) {
	if domain != d.opts.Domain {
		d.crossed = true
		d.opts.Meter.ObserveCrossing(len(d.body), len(r.Body))
	}
}

func (d *dispatch) handleOfferReply(o croffer.Offer, r croffer.Reply) {
	if r.Reason != "no such target here" {
		d.opts.Balancer.Report(o.Target, r.LoadReport)
	}
	if r.Accepted {
		d.tried = append(d.tried, o.Target)
		return
	}
	d.lastReported = r.Reason != "no such target here"
	d.countRefusal(r.Reason)
	d.recordRetryAfter(r.RetryAfter)
	if o.TrialIdle > 0 && r.Reason == croffer.ReasonUnhealthy {
		d.refusedTrials++
	}
	if r.Reason == croffer.ReasonBusy {
		d.busy++ // it may still wait in the queue there
		return
	}
	d.tried = append(d.tried, o.Target)
}

// countRefusal counts a reason why a target did not run the request.
func (d *dispatch) countRefusal(reason string) {
	if d.refusals == nil {
		d.refusals = make(map[string]int)
	}
	d.refusals[reason]++
}

// recordRetryAfter records the Retry-After of an exit; zero means none.
func (d *dispatch) recordRetryAfter(after time.Duration) {
	if after > 0 && (d.retryAfter == 0 || after < d.retryAfter) {
		d.retryAfter = after
	}
}

// refusalSummary lists the counted reasons for logs.
func (d *dispatch) refusalSummary() string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(d.refusals)) {
		parts = append(parts, fmt.Sprintf("%s: %d", reason, d.refusals[reason]))
	}
	return strings.Join(parts, ", ")
}

func (d *dispatch) newRequest() croffer.Request {
	r := croffer.Request{
		ID: d.info.ID, Method: d.http.Method, URI: d.uri(), Host: d.http.Host,
		Header: d.http.Header, Body: d.body, From: d.opts.Service, Wait: d.callerDeadline.Sub(d.opts.Clock()),
	}
	if d.account != nil {
		r.Account = d.account.Name
	}
	return r
}

// uri is the path and query exactly as the caller sent them. Encoding the parsed URL
// again would change unusual but valid escapes.
func (q *request) uri() string {
	if strings.HasPrefix(q.http.RequestURI, "/") {
		return q.http.RequestURI
	}
	return q.http.URL.RequestURI()
}

// handleResult handles the result of a request that an exit has accepted. It reports
// whether another target may be tried.
func (d *dispatch) handleResult(ctx context.Context, c crplace.Choice, r croffer.Result) bool {
	if r.LoadReport.Slots > 0 {
		d.opts.Balancer.Report(c.Target, r.LoadReport)
	}
	if r.NotRun() {
		d.countRefusal(r.Reason)
	}
	if r.Outcome == croffer.NotSent {
		if r.Reason == croffer.ReasonEndsTargets {
			d.refuseBlocked(r.RetryAfter)
			return false
		}
		d.recordRetryAfter(r.RetryAfter)
		return true
	}
	d.sent++
	d.retrying = true
	if d.mayRunAgain() {
		d.opts.Calls.Record(d.service, r.Calls)
		d.estimateCalls(r.Calls.Failed)
	}
	more := d.sent < d.route.MaxTargets
	switch r.Outcome {
	case croffer.Rejected:
		return more
	case croffer.Answered:
		d.mayHaveRun = true
		d.recordSurvival(c, r.Status)
		d.recordAnnouncements(c, r)
		d.response = response{status: r.Status, header: http.Header(r.Header), body: r.Body}
		d.response.choice, d.response.loadReport = c, r.LoadReport
		d.recordSize(r)
		// A service that refuses calls has no room for the calls of another run either.
		return more && r.Status >= http.StatusInternalServerError && d.mayRunAgain() && r.Reason != croffer.ReasonCallRefused
	case croffer.TimedOut:
		d.mayHaveRun = true
		d.response = refusal(http.StatusGatewayTimeout, r.Reason, 0)
	default:
		d.mayHaveRun = true
		d.response = refusal(http.StatusBadGateway, r.Reason, 0)
		if r.EndedMillis != 0 {
			d.recordEnd(c, crcrash.End{Daemon: c.Daemon, AtMillis: r.EndedMillis})
		}
	}
	d.response.choice, d.response.loadReport = c, r.LoadReport
	return more && d.mayRunAgain() && ctx.Err() == nil
}

// refuseBlocked sets the response to a request under which the processes of targets have ended. If it
// has been sent to a target, the response of that attempt stays.
func (d *dispatch) refuseBlocked(wait time.Duration) {
	if d.sent > 0 {
		return
	}
	d.opts.Meter.ObserveBlocked()
	d.response, d.retryAfter = refusal(http.StatusServiceUnavailable, croffer.ReasonEndsTargets, wait), 0
}

// recordEnd records that the process of a target has ended while it ran the request.
func (d *dispatch) recordEnd(c crplace.Choice, e crcrash.End) {
	d.opts.Crashes.RecordEnd(d.opts.Clock(), d.content, e)
	d.opts.Log.Event(crlog.EndRecorded, crlog.Fields{
		"request": d.info.ID, "content": d.content.String(), "target": string(c.Target), "ends": strconv.Itoa(d.opts.Crashes.Ends(d.content)),
	})
}

// recordSurvival records that a target has answered the request. One that fails may not have begun
// to run it.
func (d *dispatch) recordSurvival(c crplace.Choice, status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if ends := d.opts.Crashes.RecordAnswer(d.opts.Clock(), d.content, c.Daemon); ends > 0 {
		d.opts.Log.Event(crlog.EndsForgotten, crlog.Fields{
			"request": d.info.ID, "content": d.content.String(), "target": string(c.Target), "ends": strconv.Itoa(ends),
		})
	}
}

// recordSize records the bytes of the bodies of a successful response and its request. An error
// response has a small body whatever the route.
func (d *dispatch) recordSize(r croffer.Result) {
	if r.Status < http.StatusBadRequest {
		d.opts.Sizes.Record(d.opts.Clock(), d.service, d.route.Name, len(d.body)+len(r.Body))
	}
}

// recordAnnouncements records what a response says of the target itself.
func (d *dispatch) recordAnnouncements(c crplace.Choice, r croffer.Result) {
	info := d.opts.Dialect.ParseResponse(r.Status, r.Header)
	a := crplace.Announcement{Limit: info.Limit.Rate, Leaving: info.Leaving}
	if info.Limit.Unknown {
		a.Limit = c.Limit
	}
	d.opts.Balancer.Announce(c.Candidate, a)
}

// mayRunAgain reports whether a request that may have run may be retried.
func (d *dispatch) mayRunAgain() bool { return d.route.Class == crpolicy.ClassRepeat }
