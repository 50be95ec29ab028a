package crmesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crplan"
	"camphorroad/core/crquota"
	"camphorroad/io/crbeat"
	"camphorroad/io/crclock"
	"camphorroad/io/cringress"
	"camphorroad/io/crlog"
)

// ownerRest is how long an owner that did not answer is not asked again.
const ownerRest = time.Second

// ownerMeter keeps the buckets of the accounts that this daemon owns.
type ownerMeter struct {
	loop  *loop
	meter *crquota.Meter
}

func newOwnerMeter(loop *loop) *ownerMeter {
	return &ownerMeter{loop: loop, meter: crquota.NewMeter()}
}

// grant gives a token of an account. One that this daemon's plan does not know
// is granted: the daemon that asks has a newer plan.
func (m *ownerMeter) grant(name crid.Account) (ok bool, wait time.Duration) {
	v := m.loop.view.Load()
	if v.Plan == nil {
		return true, 0
	}
	a, known := v.Plan.AccountNamed(name)
	if !known || a.Rate <= 0 {
		return true, 0
	}
	share := crquota.Share(v.Heard, v.Size)
	return m.meter.Take(crclock.Now(), a.Name, a.Rate*share, a.Burst*share)
}

// quota asks an account's owner for tokens, and falls back on this daemon's part
// of the rate while the owner is silent.
type quota struct {
	self    crid.Daemon
	loop    *loop
	owner   *ownerMeter
	parts   *crquota.Parts
	channel *crbeat.Channel
	log     *crlog.Logger
	mu      sync.Mutex
	silent  map[crid.Daemon]crid.Instant
}

var _ cringress.Quota = (*quota)(nil)

func newQuota(opts Options, loop *loop, m *ownerMeter, ch *crbeat.Channel, l *crlog.Logger) *quota {
	return &quota{
		self: crid.Daemon(opts.Settings.Address), loop: loop, owner: m, parts: crquota.NewParts(rand.Float64), channel: ch, log: l,
		silent: make(map[crid.Daemon]crid.Instant),
	}
}

// Take implements cringress.Quota.
func (q *quota) Take(ctx context.Context, a *crplan.Account) (ok bool, wait time.Duration) {
	v := q.loop.view.Load()
	owner := crquota.Owner(a.Name, v.Daemons)
	if owner == q.self || owner == "" {
		return q.owner.grant(a.Name)
	}
	if !q.resting(owner) {
		ok, wait, err := q.channel.Ask(ctx, owner, a.Name)
		if err == nil {
			return ok, wait
		}
		if ctx.Err() == nil {
			q.rest(owner, a.Name)
		}
	}
	return q.parts.Take(crclock.Now(), a.Name, a.Rate, a.Burst, v.Size)
}

func (q *quota) resting(d crid.Daemon) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return crclock.Now().Before(q.silent[d])
}

func (q *quota) rest(d crid.Daemon, a crid.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silent[d] = crclock.Now().Add(ownerRest)
	q.log.Event(crlog.OwnerSilent, crlog.Fields{"peer": string(d), "account": string(a)})
}
