package crquota

import (
	"math"
	"sync"
	"time"

	"camphorroad/core/crid"
)

// fallbackIdleTime is the time without requests after which a fallback bucket starts again.
// Buckets that filled up in that time would hold a token for each daemon of the fleet together,
// which is many times the burst of a small account.
const fallbackIdleTime = 2 * time.Second

// fallbackStartTokens is how many tokens new fallback buckets of all daemons hold together. It
// is a quarter of the excess that an account is allowed, since fallback buckets may start twice
// in a window in which the account also has up to three new owners.
const fallbackStartTokens = 5

// FallbackLimiter keeps this daemon's buckets of accounts whose owner does not answer. It is
// safe for concurrent use.
type FallbackLimiter struct {
	random  func() float64 // in [0,1)
	mu      sync.Mutex
	buckets buckets
}

// NewFallbackLimiter returns a limiter without buckets. Random returns random numbers in [0,1).
func NewFallbackLimiter(random func() float64) *FallbackLimiter {
	return &FallbackLimiter{random: random, buckets: newBuckets(fallbackIdleTime)}
}

// Take takes a token of this daemon's fallback bucket, which has the account's rate divided by the
// size of the fleet. Without a token it returns the time until there is one.
func (l *FallbackLimiter) Take(now crid.Instant, a crid.Account, rate, burst float64, fleetSize int) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	daemons := float64(max(fleetSize, 1))
	b := l.buckets.bucket(now, a, func() float64 { return l.startTokens(fallbackStartTokens / daemons) })
	return b.take(now, rate/daemons, max(burst/daemons, 1))
}

// startTokens returns the number of tokens in a new bucket, rounded at random to a whole number
// so that the buckets of all daemons together start with the expected number.
func (l *FallbackLimiter) startTokens(tokens float64) float64 {
	whole, fraction := math.Modf(tokens)
	if l.random() < fraction {
		whole++
	}
	return whole
}
