package cringress

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

const (
	// offersMost bounds the offers of one request: with a third of the targets
	// sick and unknown to be so, eight refusals in a row are rarer than one in
	// ten thousand.
	offersMost = 8
	// silentMost bounds the exits that one request finds silent. Each costs its
	// timeout; where three did not answer, a large part of the fleet is gone or
	// this machine is cut off, and the caller is better told so at once.
	silentMost = 3
	// comeBack is the least time after which a refused caller may return.
	comeBack = 250 * time.Millisecond
	// comeBackMost is the most: longer ones only idle what has room again.
	comeBackMost = 1500 * time.Millisecond
	// repeatPrice is what a repeat takes from the budget: one arrival.
	repeatPrice = 1
	// leastTry is the least time left that a further target is tried with.
	leastTry = 60 * time.Millisecond
)

// dispatch offers a request to targets until one has answered it, it cannot be
// sent on, or its time is up.
func (q *request) dispatch(ctx context.Context) reply {
	d := &dispatch{request: q, last: refusal(http.StatusServiceUnavailable, "no target takes it", comeBack)}
	for d.offers < offersMost && d.silent < silentMost && ctx.Err() == nil {
		if !d.next(ctx) {
			break
		}
	}
	d.last.offers, d.last.targets, d.last.refusals = d.offers, d.sent, d.told()
	return d.final(ctx)
}

// dispatch is the way of one request over targets.
type dispatch struct {
	*request
	tried  []crid.Target // that it was offered to
	offers int
	silent int            // exits that did not answer an offer
	why    map[string]int // why offers and sends came to nothing
	sent   int            // targets that it was sent to
	ran    bool           // it may have run
	repeat bool           // the next send is a repeat
	after  time.Duration  // least time to come back that an exit told
	last   reply          // the answer so far
}

// final is the answer when no further target is tried.
func (d *dispatch) final(ctx context.Context) reply {
	if d.ran || !d.last.own {
		return d.last
	}
	if ctx.Err() != nil {
		d.last.reason = "no target took it in time"
	}
	if d.after > 0 {
		d.last.after = min(max(d.after, comeBack), comeBackMost)
	}
	return d.last
}

// next tries one target; it reports whether another one may be tried.
func (d *dispatch) next(ctx context.Context) bool {
	now := d.opts.Clock()
	if d.deadline.Sub(now) < leastTry {
		return false
	}
	choice, ok := d.opts.Balancer.Choose(now, d.view.Targets[d.service], crplace.Request{
		Class: d.route.Class, Domain: d.opts.Domain, Tried: d.tried, Rand: rand.Float64,
		Silent: func(id crid.Daemon) bool { return d.view.Silent[id] }, NoRetry: !d.again(now), Nested: d.isCall(),
	})
	if !ok {
		return false
	}
	if d.repeat && !d.opts.Budget.Spend(now, d.service, d.view.Size, repeatPrice) {
		spent, allowed := d.opts.Budget.Balance(now, d.service, d.view.Size)
		d.last.budget = fmt.Sprintf("%.1f of %.1f", spent, allowed)
		return false
	}
	if d.repeat {
		d.opts.Meter.ObserveRetry()
		d.opts.Log.Event(crlog.RequestRepeated, crlog.Fields{
			"request": d.caller.ID, "service": string(d.service), "target": string(choice.Target), "choice": choice.Reason(), "after": d.last.reason,
		})
	}
	d.offers++
	d.tried = append(d.tried, choice.Target)
	d.opts.Balancer.Begin(choice.Target)
	defer d.opts.Balancer.End(choice.Target)
	result, ok := d.try(ctx, choice)
	if !ok {
		if d.repeat {
			d.opts.Budget.Refund(now, d.service, repeatPrice)
		}
		return true
	}
	return d.took(ctx, choice, result)
}

// again reports whether the request could be sent to a further target if the next
// one failed it.
func (d *dispatch) again(now crid.Instant) bool {
	return d.mayRepeat() && d.sent+1 < d.route.MaxTargets && d.opts.Budget.Affords(now, d.service, d.view.Size, repeatPrice)
}

// try offers the request to a target and sends it if the exit takes it. It
// reports false if the request did not leave this daemon.
func (d *dispatch) try(ctx context.Context, c crplace.Choice) (croffer.Result, bool) {
	now := d.opts.Clock()
	o := croffer.Offer{
		ID: d.caller.ID, From: d.opts.Self, Target: c.Target, Service: d.service, Class: d.route.Class, Priority: d.priority(),
		Left: d.deadline.Sub(now), Objective: d.route.Objective - now.Sub(d.started), Last: c.LastResort, Repeat: d.repeat,
		Aim: d.route.Objective, Call: d.isCall(),
	}
	if c.Daemon == d.opts.Self {
		return d.tryLocal(ctx, o)
	}
	reply, grant, err := d.opts.Peers.Offer(ctx, c.Daemon, o)
	if err != nil {
		if ctx.Err() == nil {
			d.silent++
			d.note("silent")
			d.opts.Balancer.NoResponse(d.opts.Clock(), c.Target)
		}
		return croffer.Result{}, false
	}
	d.opts.Balancer.Responded(c.Target)
	d.heard(o, reply)
	if grant == nil {
		return croffer.Result{}, false
	}
	return grant.Run(ctx, d.outgoing()), true
}

func (d *dispatch) tryLocal(ctx context.Context, o croffer.Offer) (croffer.Result, bool) {
	reply := d.opts.Local.Offer(d.opts.Clock(), o)
	d.heard(o, reply)
	if !reply.Taken {
		return croffer.Result{}, false
	}
	return d.opts.Local.Run(ctx, reply.Ticket, d.outgoing()), true
}

func (d *dispatch) heard(o croffer.Offer, r croffer.Reply) {
	if r.Reason != "no such target here" {
		d.opts.Balancer.Report(o.Target, r.Told)
	}
	if !r.Taken {
		d.note(r.Reason)
		d.room(r.RetryAfter)
	}
}

// note counts why an offer or a send came to nothing.
func (d *dispatch) note(reason string) {
	if d.why == nil {
		d.why = make(map[string]int)
	}
	d.why[reason]++
}

// room notes when an exit expects to have room; zero: it does not say.
func (d *dispatch) room(after time.Duration) {
	if after > 0 && (d.after == 0 || after < d.after) {
		d.after = after
	}
}

// told lists the reasons noted, for logs.
func (d *dispatch) told() string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(d.why)) {
		parts = append(parts, fmt.Sprintf("%s: %d", reason, d.why[reason]))
	}
	return strings.Join(parts, ", ")
}

func (d *dispatch) outgoing() croffer.Request {
	r := croffer.Request{
		ID: d.caller.ID, Method: d.http.Method, URI: d.uri(), Host: d.http.Host,
		Header: d.http.Header, Body: d.body, From: d.opts.Service, Wait: d.leaves.Sub(d.opts.Clock()),
	}
	if d.account != nil {
		r.Account = d.account.Name
	}
	return r
}

// uri is path and query as the caller sent them, to the letter. Parsed and
// written anew, an odd but legal spelling would reach the target changed.
func (d *dispatch) uri() string {
	if strings.HasPrefix(d.http.RequestURI, "/") {
		return d.http.RequestURI
	}
	return d.http.URL.RequestURI()
}

// took deals with what became of a request that was sent; it reports whether
// another target may be tried.
func (d *dispatch) took(ctx context.Context, c crplace.Choice, r croffer.Result) bool {
	if r.Told.Slots > 0 {
		d.opts.Balancer.Report(c.Target, r.Told)
	}
	if r.NotRun() {
		d.note(r.Reason)
	}
	if r.Outcome == croffer.NotSent {
		d.room(r.RetryAfter)
		return true
	}
	d.sent++
	d.repeat = true
	more := d.sent < d.route.MaxTargets
	switch r.Outcome {
	case croffer.Rejected:
		return more
	case croffer.Answered:
		d.ran = true
		d.last = reply{status: r.Status, header: http.Header(r.Header), body: r.Body}
		d.last.choice, d.last.told = c, r.Told
		return more && r.Status >= http.StatusInternalServerError && d.mayRepeat()
	case croffer.Late:
		d.ran = true
		d.last = refusal(http.StatusGatewayTimeout, r.Reason, 0)
	default:
		d.ran = true
		d.last = refusal(http.StatusBadGateway, r.Reason, 0)
	}
	d.last.choice, d.last.told = c, r.Told
	return more && d.mayRepeat() && ctx.Err() == nil
}

// mayRepeat reports whether a request that may have run may run again.
func (d *dispatch) mayRepeat() bool { return d.route.Class == crpolicy.ClassRepeat }
