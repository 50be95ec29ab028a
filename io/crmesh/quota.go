package crmesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplan"
	"camphorroad/core/crquota"
	"camphorroad/io/crbeat"
	"camphorroad/io/crclock"
	"camphorroad/io/cringress"
	"camphorroad/io/crlog"
)

// maxRelayAttempts bounds the relays that are tried, one after the other, for a token
// request. In a partial network partition about one in three relays cannot reach this
// daemon or the owner.
const maxRelayAttempts = 2

// requestBackoff is how long no further requests are sent over a route after an
// unanswered one.
const requestBackoff = time.Second

// ownerLimiter keeps the token buckets of the accounts that this daemon owns.
type ownerLimiter struct {
	self      crid.Daemon
	loop      *loop
	limiter   *crquota.OwnerLimiter
	granted   metrics.Counter // tokens granted as an account's owner
	replacing metrics.Counter // of these, those granted in place of an owner that is unreachable
}

func newOwnerLimiter(opts Options, loop *loop, r metrics.Registry) *ownerLimiter {
	return &ownerLimiter{
		self: crid.Daemon(opts.Settings.Address), loop: loop, limiter: crquota.NewOwnerLimiter(quotaTolerance(opts)),
		granted: metrics.NewRegisteredCounter("tokens.granted.total", r), replacing: metrics.NewRegisteredCounter("tokens.replacing.total", r),
	}
}

// quotaTolerance returns how far accounts may exceed their limits.
func quotaTolerance(opts Options) crquota.Tolerance {
	b := opts.Settings.Bounds
	return crquota.Tolerance{Window: b.QuotaWindow(), Overage: b.QuotaOverage}
}

// decide returns how a token request for an account is handled: granted here, or
// forwarded. A daemon without a plan does not know the account's limit, so it does not
// answer, and its peers use their fallback buckets until it has a plan.
func (l *ownerLimiter) decide(name crid.Account, origin crquota.Origin) crquota.Action {
	v := l.loop.view.Load()
	action := v.TokenAction(name, l.self, origin)
	action.Grant = action.Grant && v.Plan != nil
	return action
}

// grant takes a token for a peer. handled is false if another daemon has to be queried.
func (l *ownerLimiter) grant(name crid.Account, origin crquota.Origin) (ok bool, wait time.Duration, handled bool) {
	if action := l.decide(name, origin); action.To != "" || !action.Grant {
		return false, 0, false
	}
	ok, wait = l.take(name, true)
	return ok, wait, true
}

// take takes a token from an account's bucket. It grants a token for an account that is
// not in this daemon's plan, since the daemon that sends the request has a newer plan.
func (l *ownerLimiter) take(name crid.Account, forPeer bool) (ok bool, wait time.Duration) {
	v := l.loop.view.Load()
	if v.Plan == nil {
		return false, 0 // see decide
	}
	a, known := v.Plan.Account(name)
	if !known || a.Rate <= 0 {
		return true, 0
	}
	fraction, replaces := v.RateFraction(forPeer), v.ReplacesOwner(a.Name, l.self)
	if replaces {
		ok, wait = l.limiter.TakeOver(crclock.Now(), a.Name, a.Rate*fraction, a.Burst*fraction, v.OwnersSince)
	} else {
		ok, wait = l.limiter.Take(crclock.Now(), a.Name, a.Rate*fraction, a.Burst*fraction)
	}
	l.count(ok, replaces)
	return ok, wait
}

func (l *ownerLimiter) count(granted, replaces bool) {
	if !granted {
		return
	}
	l.granted.Inc(1)
	if replaces {
		l.replacing.Inc(1)
	}
}

// quota requests tokens from the owner of an account. While the owner does not answer,
// it uses a fallback bucket, which has a fraction of this daemon's part of the rate.
type quota struct {
	self         crid.Daemon
	loop         *loop
	owner        *ownerLimiter
	fallback     *crquota.FallbackLimiter
	tolerance    crquota.Tolerance
	fromFallback metrics.Counter // tokens taken from the fallback buckets
	channel      *crbeat.Channel
	log          *crlog.Logger
	mu           sync.Mutex
	backoffUntil map[tokenRoute]crid.Instant
}

var _ cringress.Quota = (*quota)(nil)

func newQuota(opts Options, loop *loop, owner *ownerLimiter, ch *crbeat.Channel, r metrics.Registry, l *crlog.Logger) *quota {
	q := &quota{
		self: crid.Daemon(opts.Settings.Address), loop: loop, owner: owner, channel: ch, log: l,
		fallback: crquota.NewFallbackLimiter(rand.Float64), tolerance: quotaTolerance(opts),
		fromFallback: metrics.NewRegisteredCounter("tokens.fallback.total", r),
		backoffUntil: make(map[tokenRoute]crid.Instant),
	}
	ch.SetRelay(q.relay)
	return q
}

// tokenRoute is a daemon and the role in which it is queried. A daemon that does not
// answer as the owner may still answer as a relay.
type tokenRoute struct {
	to     crid.Daemon
	origin crquota.Origin
}

// Take implements cringress.Quota.
func (q *quota) Take(ctx context.Context, a *crplan.Account) (ok bool, wait time.Duration) {
	action := q.owner.decide(a.Name, crquota.FromCaller)
	ok, wait, err := q.execute(ctx, a.Name, action)
	if err == nil {
		return ok, wait
	}
	// A network partition between two machines leaves most others reachable from both.
	// Without a relay, an account would be limited to a fraction of its rate during
	// each one.
	v := q.loop.view.Load()
	excluded := []crid.Daemon{action.To, q.self}
	for range maxRelayAttempts {
		d := crquota.Relay(a.Name, v.Live, excluded...)
		if d == "" {
			break
		}
		if ok, wait, err := q.request(ctx, tokenRoute{to: d, origin: crquota.ToRelay}, a.Name); err == nil {
			return ok, wait
		}
		excluded = append(excluded, d)
	}
	fraction := q.tolerance.FallbackFraction(a.Rate, a.Burst, v.NoticeTime)
	ok, wait = q.fallback.Take(crclock.Now(), a.Name, a.Rate*fraction, a.Burst*fraction, v.FleetSize())
	if ok {
		q.fromFallback.Inc(1)
	}
	return ok, wait
}

// relay requests a token on behalf of a peer.
func (q *quota) relay(ctx context.Context, a crid.Account, origin crquota.Origin) (ok bool, wait time.Duration, err error) {
	return q.execute(ctx, a, q.owner.decide(a, origin))
}

// errNoTokenRoute reports that a request must not be forwarded.
var errNoTokenRoute = errors.New("no daemon to request the token from")

// execute forwards a token request as the action says. If the action allows a grant, it
// takes a token here when no other daemon answers.
func (q *quota) execute(ctx context.Context, a crid.Account, action crquota.Action) (ok bool, wait time.Duration, err error) {
	err = errNoTokenRoute
	if action.To != "" {
		ok, wait, err = q.request(ctx, tokenRoute{to: action.To, origin: action.Origin}, a)
	}
	if err != nil && action.Grant {
		ok, wait = q.owner.take(a, false)
		return ok, wait, nil
	}
	return ok, wait, err
}

// errBackoff reports that a daemon is in backoff after an unanswered request.
var errBackoff = errors.New("daemon in backoff after an unanswered request")

// request sends a token request over a route unless the route is in backoff, and
// starts a backoff if no answer comes.
func (q *quota) request(ctx context.Context, r tokenRoute, a crid.Account) (ok bool, wait time.Duration, err error) {
	if q.inBackoff(r) {
		return false, 0, errBackoff
	}
	ok, wait, err = q.channel.RequestToken(ctx, r.to, a, r.origin)
	if err != nil && ctx.Err() == nil {
		q.startBackoff(r, a)
	}
	return ok, wait, err
}

func (q *quota) inBackoff(r tokenRoute) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return crclock.Now().Before(q.backoffUntil[r])
}

func (q *quota) startBackoff(r tokenRoute, a crid.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backoffUntil[r] = crclock.Now().Add(requestBackoff)
	if r.origin != crquota.ToRelay {
		q.loop.emit(crmesh.TokenRequestUnanswered{Now: crclock.Now(), Peer: r.to})
	}
	q.log.Event(crlog.OwnerUnresponsive, crlog.Fields{"peer": string(r.to), "account": string(a), "through": strconv.FormatBool(r.origin == crquota.ToRelay)})
}
