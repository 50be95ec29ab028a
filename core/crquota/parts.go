package crquota

import (
	"math"
	"sync"
	"time"

	"camphorroad/core/crid"
)

// fallbackIdleTime is the time without requests after which a daemon's part of an account
// starts anew. Parts that filled up meanwhile would together be a token for each
// daemon of the fleet, which is many times the burst of a small account.
const fallbackIdleTime = 2 * time.Second

// fallbackStartTokens is how many tokens the parts of all daemons hold at first: a quarter
// of the slack that the users allow an account, since parts may start anew twice
// in a window in which the account also has up to three new owners.
const fallbackStartTokens = 5

// FallbackLimiter keeps this daemon's parts of accounts whose owner is silent. It is safe
// for concurrent use.
type FallbackLimiter struct {
	random  func() float64 // in [0,1)
	mu      sync.Mutex
	buckets buckets
}

// NewFallbackLimiter returns no parts yet. Draw gives random numbers in [0,1).
func NewFallbackLimiter(random func() float64) *FallbackLimiter {
	return &FallbackLimiter{random: random, buckets: newBuckets(fallbackIdleTime)}
}

// Take takes a token of this daemon's part of an account in a fleet of a size, or
// tells how long it is until there is one.
func (p *FallbackLimiter) Take(now crid.Instant, a crid.Account, rate, burst float64, size int) (ok bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := float64(max(size, 1))
	b := p.buckets.bucket(now, a, func() float64 { return p.startTokens(fallbackStartTokens / n) })
	return b.take(now, rate/n, max(burst/n, 1))
}

// startTokens is the number of tokens at first, in whole ones. A part of a token is one
// with that probability, so that all daemons together startTokens with the right number.
func (p *FallbackLimiter) startTokens(tokens float64) float64 {
	whole, fraction := math.Modf(tokens)
	if p.random() < fraction {
		whole++
	}
	return whole
}
