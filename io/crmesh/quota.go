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

// throughMost bounds the daemons that are asked through, one after the other. Where some
// paths are cut one in three of them is cut off, too, from one side or the other.
const throughMost = 2

// ownerRest is how long an owner that did not answer is not asked again.
const ownerRest = time.Second

// ownerMeter keeps the buckets of the accounts that this daemon owns.
type ownerMeter struct {
	self  crid.Daemon
	loop  *loop
	meter *crquota.OwnerLimiter
}

func newOwnerMeter(opts Options, loop *loop) *ownerMeter {
	return &ownerMeter{self: crid.Daemon(opts.Settings.Address), loop: loop, meter: crquota.NewOwnerLimiter()}
}

// decide returns what this daemon does about a token of an account.
func (m *ownerMeter) decide(name crid.Account, by crquota.Origin) crquota.Action {
	return m.loop.view.Load().TokenStep(name, m.self, by)
}

// answer gives a token of an account to a peer, unless another daemon has to be
// asked.
func (m *ownerMeter) answer(name crid.Account, by crquota.Origin) (ok bool, wait time.Duration, mine bool) {
	if step := m.decide(name, by); step.To != "" || !step.Grant {
		return false, 0, false
	}
	ok, wait = m.grant(name)
	return ok, wait, true
}

// grant gives a token of an account. One that this daemon's plan does not know
// is granted: the daemon that asks has a newer plan.
func (m *ownerMeter) grant(name crid.Account) (ok bool, wait time.Duration) {
	v := m.loop.view.Load()
	if v.Plan == nil {
		return true, 0
	}
	a, known := v.Plan.Account(name)
	if !known || a.Rate <= 0 {
		return true, 0
	}
	share := v.RateShare()
	return m.meter.Take(crclock.Now(), a.Name, a.Rate*share, a.Burst*share)
}

// quota asks an account's owner for tokens, and falls back on this daemon's part
// of the rate while the owner is silent.
type quota struct {
	self    crid.Daemon
	loop    *loop
	owner   *ownerMeter
	parts   *crquota.FallbackLimiter
	channel *crbeat.Channel
	log     *crlog.Logger
	mu      sync.Mutex
	silent  map[way]crid.Instant
}

var _ cringress.Quota = (*quota)(nil)

func newQuota(opts Options, loop *loop, m *ownerMeter, ch *crbeat.Channel, l *crlog.Logger) *quota {
	q := &quota{
		self: crid.Daemon(opts.Settings.Address), loop: loop, owner: m, parts: crquota.NewFallbackLimiter(rand.Float64), channel: ch, log: l,
		silent: make(map[way]crid.Instant),
	}
	ch.PassOn(q.passOn)
	return q
}

// way is a way to an account's tokens. A daemon that is silent as the one may
// answer as the other.
type way struct {
	to crid.Daemon
	as crquota.Origin
}

// Take implements cringress.Quota.
func (q *quota) Take(ctx context.Context, a *crplan.Account) (ok bool, wait time.Duration) {
	step := q.owner.decide(a.Name, crquota.FromCaller)
	ok, wait, err := q.do(ctx, a.Name, step)
	if err == nil {
		return ok, wait
	}
	// A cut between two machines leaves most others a path. Without one to ask
	// through, an account would be held to a part of its rate in each cut.
	v := q.loop.view.Load()
	without := []crid.Daemon{step.To, q.self}
	for range throughMost {
		d := crquota.Relay(a.Name, v.Live, without...)
		if d == "" {
			break
		}
		if ok, wait, err := q.ask(ctx, way{to: d, as: crquota.ToRelay}, a.Name); err == nil {
			return ok, wait
		}
		without = append(without, d)
	}
	return q.parts.Take(crclock.Now(), a.Name, a.Rate, a.Burst, v.Size)
}

// passOn asks for a peer.
func (q *quota) passOn(ctx context.Context, a crid.Account, by crquota.Origin) (ok bool, wait time.Duration, err error) {
	return q.do(ctx, a, q.owner.decide(a, by))
}

// errNobody tells that a question may not go on.
var errNobody = errors.New("no daemon to ask")

// do takes a step: it asks, or grants what nobody else answers for.
func (q *quota) do(ctx context.Context, a crid.Account, step crquota.Action) (ok bool, wait time.Duration, err error) {
	err = errNobody
	if step.To != "" {
		ok, wait, err = q.ask(ctx, way{to: step.To, as: step.Origin}, a)
	}
	if err != nil && step.Grant {
		ok, wait = q.owner.grant(a)
		return ok, wait, nil
	}
	return ok, wait, err
}

// errResting tells that a daemon did not answer a moment ago.
var errResting = errors.New("the daemon did not answer a moment ago")

// ask asks on a way unless it rests, and lets it rest if no answer comes.
func (q *quota) ask(ctx context.Context, w way, a crid.Account) (ok bool, wait time.Duration, err error) {
	if q.resting(w) {
		return false, 0, errResting
	}
	ok, wait, err = q.channel.Ask(ctx, w.to, a, w.as)
	if err != nil && ctx.Err() == nil {
		q.rest(w, a)
	}
	return ok, wait, err
}

func (q *quota) resting(w way) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return crclock.Now().Before(q.silent[w])
}

func (q *quota) rest(w way, a crid.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silent[w] = crclock.Now().Add(ownerRest)
	if w.as != crquota.ToRelay {
		q.loop.emit(crmesh.TokenRequestUnanswered{Now: crclock.Now(), Peer: w.to})
	}
	q.log.Event(crlog.OwnerSilent, crlog.Fields{"peer": string(w.to), "account": string(a), "through": strconv.FormatBool(w.as == crquota.ToRelay)})
}
