// Package crquota enforces the rates of client accounts across the fleet of the daemons of
// `camphorroad join`. It is used by core/crmesh and io/crmesh. Package craccount enforces them for
// core/crdaemon, where several owners share an account's limit and entry daemons hold tokens ahead
// of demand.
//
// Each account has one owner among the reachable daemons, selected by rendezvous hashing. The owner
// keeps the account's token bucket, and an entry daemon requests a token from it for every
// request. When the owner does not answer, the entry daemon uses a fallback bucket of its own:
// the account's rate divided by the number of daemons.
//
// In a network partition several daemons may own the same account. Each then grants only the
// fraction of the rate that its reachable daemons are of the fleet, so that the sum stays near
// the rate. A daemon replaces an owner that it cannot reach only when that one must have noticed
// the partition; until then its side has the fallback buckets.
//
// # Usage
//
//	owner := crquota.Owner(account, daemons)
//	ok, wait := ownerLimiter.Take(now, account, rate*crquota.RateFraction(reachable, fleetSize), burst)
//	fraction := tolerance.FallbackFraction(rate, burst, noticeTime)
//	ok, wait = fallbackLimiter.Take(now, account, rate*fraction, burst*fraction, fleetSize)
package crquota

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
)

// startFraction is the fraction of the burst that a new bucket holds at most. A new owner has no
// record of the tokens that its predecessor granted: a full bucket would grant the burst twice, and
// an empty one would refuse callers within their rate.
const startFraction = 0.5

// maxNewOwners is the number of owners that an account may get one after the other in one window
// without exceeding its limit.
const maxNewOwners = 3

// Tolerance is how far accounts may exceed their limit.
type Tolerance struct {
	Window  time.Duration // in which requests are counted
	Overage float64       // share of the limit in a window, rate x Window + burst
}

// startTokens returns the number of tokens in a new owner's bucket.
func (t Tolerance) startTokens(rate, burst float64) float64 {
	tolerated := t.Overage * (rate*t.Window.Seconds() + burst)
	return max(min(burst*startFraction, tolerated/maxNewOwners), 1)
}

// FallbackFraction returns the fraction of an account's rate that the fallback buckets of all
// daemons grant together. It is what the tolerance leaves when an owner that is cut off from the
// rest of the fleet grants the whole rate until it notices, and the sides of the partition
// grant up to partitionSlack afterwards.
func (t Tolerance) FallbackFraction(rate, burst float64, noticeTime time.Duration) float64 {
	if rate <= 0 || noticeTime <= 0 {
		return 1
	}
	window := t.Window.Seconds()
	notice := min(noticeTime.Seconds(), window)
	tolerated := t.Overage*(window+burst/rate) - (partitionSlack-1)*(window-notice)
	return min(max(tolerated/notice, 0), 1)
}

// ownerIdleTime is the time without requests after which a bucket is dropped. It is usually full
// by then, while a new one holds half.
const ownerIdleTime = time.Minute

// Owner returns the daemon that keeps the account's bucket: the one with the greatest hash of
// both names. When a daemon leaves, only its own accounts move.
func Owner(a crid.Account, daemons []crid.Daemon) crid.Daemon {
	var best crid.Daemon
	var bestHash uint64
	for _, d := range daemons {
		h := xxhash.Sum64String(string(a) + "\x00" + string(d))
		if best == "" || h > bestHash || (h == bestHash && d < best) {
			best, bestHash = d, h
		}
	}
	return best
}

// Relay returns the daemon through which to request an account's tokens when the daemons without
// do not answer: the owner that the account would have if they were not in the fleet. It returns
// an empty name when there are no other daemons.
func Relay(a crid.Account, daemons []crid.Daemon, without ...crid.Daemon) crid.Daemon {
	others := make([]crid.Daemon, 0, len(daemons))
	for _, d := range daemons {
		if !slices.Contains(without, d) {
			others = append(others, d)
		}
	}
	return Owner(a, others)
}

// partitionSlack is the most that the sides of a partition together grant, as a multiple of the
// rate. With it a tenth of the daemons may be down without an account losing any of its rate.
// Accounts may exceed their rate by a quarter; the rest is for buckets that start again.
const partitionSlack = 1.1

// RateFraction returns the fraction of an account's rate that its owner grants, given the number
// of daemons that the owner can reach, itself included, and the size of the fleet. Without it
// each half of a partitioned fleet would grant the whole rate.
func RateFraction(reachable, fleetSize int) float64 {
	if fleetSize <= 0 {
		return 1
	}
	return min(1, partitionSlack*float64(reachable)/float64(fleetSize))
}

// bucket is the token bucket of an account.
type bucket struct {
	tokens float64
	usedAt crid.Instant // of the last request
}

// take takes a token, or returns the time until there is one.
func (b *bucket) take(now crid.Instant, rate, burst float64) (ok bool, wait time.Duration) {
	b.tokens = min(b.tokens+max(now.Sub(b.usedAt).Seconds(), 0)*rate, burst)
	b.usedAt = max(b.usedAt, now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// buckets are the token buckets of accounts. They are dropped after a time without requests.
type buckets struct {
	byAccount map[crid.Account]*bucket
	idleTime  time.Duration
	sweptAt   crid.Instant
}

func newBuckets(idleTime time.Duration) buckets {
	return buckets{byAccount: make(map[crid.Account]*bucket), idleTime: idleTime}
}

// bucket returns an account's bucket. It creates a missing one with the tokens that start returns.
func (s *buckets) bucket(now crid.Instant, a crid.Account, start func() float64) *bucket {
	s.sweep(now)
	b := s.byAccount[a]
	if b == nil || now.Sub(b.usedAt) > s.idleTime {
		b = &bucket{tokens: start(), usedAt: now}
		s.byAccount[a] = b
	}
	return b
}

func (s *buckets) sweep(now crid.Instant) {
	if now.Sub(s.sweptAt) < s.idleTime {
		return
	}
	s.sweptAt = now
	for a, b := range s.byAccount {
		if now.Sub(b.usedAt) > s.idleTime {
			delete(s.byAccount, a)
		}
	}
}

// OwnerLimiter keeps the buckets of the accounts that this daemon owns. It is safe for
// concurrent use.
type OwnerLimiter struct {
	tolerance Tolerance
	mu        sync.Mutex
	buckets   buckets
}

// NewOwnerLimiter returns a limiter without buckets.
func NewOwnerLimiter(t Tolerance) *OwnerLimiter {
	return &OwnerLimiter{tolerance: t, buckets: newBuckets(ownerIdleTime)}
}

// Take takes a token of the account, or returns the time until there is one.
func (l *OwnerLimiter) Take(now crid.Instant, a crid.Account, rate, burst float64) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	capacity := max(burst, 1)
	b := l.buckets.bucket(now, a, func() float64 { return l.tolerance.startTokens(rate, capacity) })
	return b.take(now, rate, capacity)
}

// TakeOver is Take for an account whose owner this daemon has replaced at since because it cannot
// reach it. The bucket starts with one token then, since the other owner may be running and
// grant the burst.
func (l *OwnerLimiter) TakeOver(now crid.Instant, a crid.Account, rate, burst float64, since crid.Instant) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets.bucket(now, a, func() float64 { return 1 })
	if b.usedAt.Before(since) {
		b.tokens, b.usedAt = min(b.tokens, 1), since
	}
	return b.take(now, rate, max(burst, 1))
}
