package craccount

import (
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// LocalSplit is the baseline policy: each of n daemons enforces 1/n of an account's rate and
// burst without any messages. It exceeds the limit when n is not the same at all daemons, and
// refuses callers within the limit when they enter unevenly.
type LocalSplit struct {
	mu      sync.Mutex
	n       float64
	limits  func(crid.Account) crpolicy.Account
	buckets map[crid.Account]*bucket
}

type bucket struct {
	balance float64
	at      crid.Instant
}

// NewLocalSplit returns the policy of one of n daemons. Its buckets start full.
func NewLocalSplit(n int, limits func(crid.Account) crpolicy.Account) *LocalSplit {
	return &LocalSplit{n: float64(n), limits: limits, buckets: map[crid.Account]*bucket{}}
}

// Take implements Limiter; it never returns Cold.
func (l *LocalSplit) Take(account crid.Account, now crid.Instant) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits(account)
	rate, burst := limit.Rate/l.n, limit.Burst/l.n
	b, ok := l.buckets[account]
	if !ok {
		b = &bucket{balance: burst, at: now}
		l.buckets[account] = b
	}
	b.balance = min(burst, b.balance+rate*max(0, now.Sub(b.at).Seconds()))
	b.at = max(b.at, now)
	if b.balance < 1 {
		missing := (1 - b.balance) / rate
		return Decision{Outcome: Refused, RetryAfter: time.Duration(missing * float64(time.Second))}
	}
	b.balance--
	return Decision{Outcome: Admitted}
}

// OneOwner returns params under which an account has a single owner, for comparison: the loss
// of that owner makes the account's whole rate unavailable.
func OneOwner(params Params) Params {
	params.MaxShares = 1
	return params
}
