// Package crquota holds accounts to their rate over the whole fleet.
//
// Each account has one owner among the daemons alive, by rendezvous hashing, and
// the owner keeps the account's bucket. The daemon that a request enters asks the
// owner for a token. When the owner is silent the daemon uses a part of its own:
// the account's rate divided by the number of daemons.
//
// Where daemons do not hear each other, several take themselves for the owner.
// Each then hands out only the share of the rate that the daemons which it hears
// are of the fleet, so that the sum stays near the rate.
//
// # Usage
//
//	owner := crquota.Owner(account, daemons)
//	ok, wait := meter.Take(now, account, rate*crquota.Share(heard, size), burst)
//	ok, wait = parts.Take(now, account, rate, burst, size)
package crquota

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
)

// startFraction is the part of the burst that a bucket holds at first. A new owner
// does not know what was taken from the former one: a full bucket would hand the
// burst out twice, an empty one would refuse callers that are inside their rate.
const startFraction = 0.5

// ownerIdleTime is the time without requests after which a bucket is dropped. It
// is then full as a rule, and a fresh one holds half.
const ownerIdleTime = time.Minute

// Owner returns the daemon that keeps the account's bucket: the one with the
// greatest hash of both names. When a daemon goes, only its own accounts move.
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

// Relay returns the daemon to ask through for an account's tokens where others do
// not answer: the owner that the account would have without them. None, if there
// are no more.
func Relay(a crid.Account, daemons []crid.Daemon, without ...crid.Daemon) crid.Daemon {
	others := make([]crid.Daemon, 0, len(daemons))
	for _, d := range daemons {
		if !slices.Contains(without, d) {
			others = append(others, d)
		}
	}
	return Owner(a, others)
}

// partitionSlack is how much more than the rate the sides of a cut fleet hand out
// together: a tenth of the daemons may be dead without an account losing any of
// its rate. The users allow a quarter more; the rest is for buckets that start
// anew.
const partitionSlack = 1.1

// RateFraction is the part of an account's rate that its owner hands out which hears so
// many daemons, itself included, of a fleet of that size. Without it each half of a
// fleet that is cut in two would hand out the whole rate.
func RateFraction(heard, size int) float64 {
	if size <= 0 {
		return 1
	}
	return min(1, partitionSlack*float64(heard)/float64(size))
}

// bucket holds an account's tokens.
type bucket struct {
	tokens float64
	usedAt crid.Instant // of the last request
}

// take takes a token, or tells how long it is until there is one.
func (b *bucket) take(now crid.Instant, rate, burst float64) (ok bool, wait time.Duration) {
	b.tokens = min(b.tokens+max(now.Sub(b.usedAt).Seconds(), 0)*rate, burst)
	b.usedAt = max(b.usedAt, now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// buckets are accounts' buckets, dropped after a time without requests.
type buckets struct {
	byAccount map[crid.Account]*bucket
	idleTime  time.Duration
	sweptAt   crid.Instant
}

func newBuckets(idleTime time.Duration) buckets {
	return buckets{byAccount: make(map[crid.Account]*bucket), idleTime: idleTime}
}

// bucket returns an account's bucket, or a fresh one if none is kept.
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

// OwnerLimiter keeps the buckets of accounts. It is safe for concurrent use.
type OwnerLimiter struct {
	mu      sync.Mutex
	buckets buckets
}

// NewOwnerLimiter returns a meter without buckets.
func NewOwnerLimiter() *OwnerLimiter { return &OwnerLimiter{buckets: newBuckets(ownerIdleTime)} }

// Take takes a token of the account, or tells how long it is until there is one.
func (m *OwnerLimiter) Take(now crid.Instant, a crid.Account, rate, burst float64) (ok bool, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := max(burst, 1)
	b := m.buckets.bucket(now, a, func() float64 { return max(size*startFraction, 1) })
	return b.take(now, rate, size)
}
