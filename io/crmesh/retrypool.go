package crmesh

import (
	"context"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
	"camphorroad/core/crquota"
	"camphorroad/io/crbeat"
	"camphorroad/io/crclock"
	"camphorroad/io/cringress"
)

// poolOwner keeps the retry pools that this daemon owns.
type poolOwner struct {
	self crid.Daemon
	loop *loop
	pool *crbudget.Pool
}

func newPoolOwner(opts Options, loop *loop) *poolOwner {
	_, pooled := crbudget.Split(retryLimit(opts))
	return &poolOwner{self: crid.Daemon(opts.Settings.Address), loop: loop, pool: crbudget.NewPool(pooled)}
}

// owner returns the daemon that owns the pool of a service.
func (o *poolOwner) owner(s crid.Service) crid.Daemon {
	return crquota.Owner(crbudget.PoolOwner(s), o.loop.view.Load().Owners)
}

func (o *poolOwner) take(s crid.Service, forPeer bool) bool {
	v := o.loop.view.Load()
	return o.pool.Take(crclock.Now(), s, crbudget.Ownership{Fraction: v.RateFraction(forPeer), Since: v.OwnersSince})
}

// grant takes a retry for a peer. handled is false if this daemon does not own the pool.
func (o *poolOwner) grant(s crid.Service) (ok, handled bool) {
	if o.owner(s) != o.self {
		return false, false
	}
	return o.take(s, true), true
}

// retryPool requests retries from the owners of the pools.
type retryPool struct {
	owner   *poolOwner
	channel *crbeat.Channel
}

var _ cringress.RetryPool = (*retryPool)(nil)

func newRetryPool(owner *poolOwner, ch *crbeat.Channel) *retryPool {
	return &retryPool{owner: owner, channel: ch}
}

// Take implements cringress.RetryPool. Without an answer of the owner there is no retry.
func (p *retryPool) Take(ctx context.Context, s crid.Service) bool {
	owner := p.owner.owner(s)
	if owner == p.owner.self {
		return p.owner.take(s, false)
	}
	ok, err := p.channel.RequestRetry(ctx, owner, s)
	return err == nil && ok
}
