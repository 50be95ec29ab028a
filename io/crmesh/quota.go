package crmesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplan"
	"camphorroad/core/crquota"
	"camphorroad/io/crbeat"
	"camphorroad/io/crclock"
	"camphorroad/io/cringress"
	"camphorroad/io/crlog"
)

// maxRelays bounds the daemons that a token request is sent through, one after the
// other. Under a partial network partition, about one in three of them is cut off from
// one side or the other.
const maxRelays = 2

// ownerBackoff is how long a daemon that did not answer gets no further requests.
const ownerBackoff = time.Second

// ownerLimiter keeps the token buckets of the accounts that this daemon owns.
type ownerLimiter struct {
	self    crid.Daemon
	loop    *loop
	limiter *crquota.OwnerLimiter
}

func newOwnerLimiter(opts Options, loop *loop) *ownerLimiter {
	return &ownerLimiter{self: crid.Daemon(opts.Settings.Address), loop: loop, limiter: crquota.NewOwnerLimiter()}
}

// decide returns how a token request for an account is handled: granted here, or sent
// on.
func (m *ownerLimiter) decide(name crid.Account, by crquota.Origin) crquota.Action {
	return m.loop.view.Load().TokenAction(name, m.self, by)
}

// answer takes a token for a peer. handled is false if another daemon has to be queried.
func (m *ownerLimiter) answer(name crid.Account, by crquota.Origin) (ok bool, wait time.Duration, handled bool) {
	if step := m.decide(name, by); step.To != "" || !step.Grant {
		return false, 0, false
	}
	ok, wait = m.take(name)
	return ok, wait, true
}

// take takes a token from an account's bucket. An account that is not in this daemon's
// plan is allowed: the daemon that sends the request has a newer plan.
func (m *ownerLimiter) take(name crid.Account) (ok bool, wait time.Duration) {
	v := m.loop.view.Load()
	if v.Plan == nil {
		return true, 0
	}
	a, known := v.Plan.Account(name)
	if !known || a.Rate <= 0 {
		return true, 0
	}
	share := v.RateShare()
	return m.limiter.Take(crclock.Now(), a.Name, a.Rate*share, a.Burst*share)
}

// quota requests tokens from the owner of an account. While the owner does not answer,
// it falls back on this daemon's share of the rate.
type quota struct {
	self         crid.Daemon
	loop         *loop
	owner        *ownerLimiter
	fallback     *crquota.FallbackLimiter
	channel      *crbeat.Channel
	log          *crlog.Logger
	mu           sync.Mutex
	backoffUntil map[route]crid.Instant
}

var _ cringress.Quota = (*quota)(nil)

func newQuota(opts Options, loop *loop, m *ownerLimiter, ch *crbeat.Channel, l *crlog.Logger) *quota {
	q := &quota{
		self: crid.Daemon(opts.Settings.Address), loop: loop, owner: m, fallback: crquota.NewFallbackLimiter(rand.Float64), channel: ch, log: l,
		backoffUntil: make(map[route]crid.Instant),
	}
	ch.SetRelay(q.relay)
	return q
}

// route is a daemon and the role in which it is queried. One that does not answer as the
// owner may still answer as a relay.
type route struct {
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
	// Without a relay, an account would be limited to a share of its rate during each
	// one.
	v := q.loop.view.Load()
	excluded := []crid.Daemon{action.To, q.self}
	for range maxRelays {
		d := crquota.Relay(a.Name, v.Live, excluded...)
		if d == "" {
			break
		}
		if ok, wait, err := q.request(ctx, route{to: d, origin: crquota.ToRelay}, a.Name); err == nil {
			return ok, wait
		}
		excluded = append(excluded, d)
	}
	return q.fallback.Take(crclock.Now(), a.Name, a.Rate, a.Burst, v.Size)
}

// relay requests a token on behalf of a peer.
func (q *quota) relay(ctx context.Context, a crid.Account, by crquota.Origin) (ok bool, wait time.Duration, err error) {
	return q.execute(ctx, a, q.owner.decide(a, by))
}

// errNoRoute reports that a request must not be sent on.
var errNoRoute = errors.New("no daemon to request the token from")

// execute sends a token request as decided, or takes a token here if no other daemon
// answers.
func (q *quota) execute(ctx context.Context, a crid.Account, step crquota.Action) (ok bool, wait time.Duration, err error) {
	err = errNoRoute
	if step.To != "" {
		ok, wait, err = q.request(ctx, route{to: step.To, origin: step.Origin}, a)
	}
	if err != nil && step.Grant {
		ok, wait = q.owner.take(a)
		return ok, wait, nil
	}
	return ok, wait, err
}

// errBackoff reports that a daemon is in backoff after an unanswered request.
var errBackoff = errors.New("daemon in backoff after an unanswered request")

// request sends a token request over a route unless the route is in backoff, and
// starts a backoff if no answer comes.
func (q *quota) request(ctx context.Context, r route, a crid.Account) (ok bool, wait time.Duration, err error) {
	if q.inBackoff(r) {
		return false, 0, errBackoff
	}
	ok, wait, err = q.channel.RequestToken(ctx, r.to, a, r.origin)
	if err != nil && ctx.Err() == nil {
		q.startBackoff(r, a)
	}
	return ok, wait, err
}

func (q *quota) inBackoff(r route) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return crclock.Now().Before(q.backoffUntil[r])
}

func (q *quota) startBackoff(r route, a crid.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backoffUntil[r] = crclock.Now().Add(ownerBackoff)
	if r.origin != crquota.ToRelay {
		q.loop.emit(crmesh.TokenRequestUnanswered{Now: crclock.Now(), Peer: r.to})
	}
	q.log.Event(crlog.OwnerUnresponsive, crlog.Fields{"peer": string(r.to), "account": string(a), "through": strconv.FormatBool(r.origin == crquota.ToRelay)})
}
