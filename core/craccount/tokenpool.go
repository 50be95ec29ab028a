package craccount

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
)

const (
	poolShards     = 256 // a power of two
	initialGrants  = 8
	coldRetryAfter = time.Second
	maxClockAge    = 10 * time.Millisecond // of a clock reading when its token is taken; less than Params.Margin
)

// Outcome is the result of a request for a token.
type Outcome uint8

// The outcomes of [TokenPool.Take].
const (
	// Admitted means that one token was spent.
	Admitted Outcome = iota + 1
	// Refused means that the account is known to be exhausted.
	Refused
	// Cold means that no token is available and the account is not known to be exhausted. The caller
	// may wait once for the owners' answer.
	Cold
)

// Decision is an outcome, with advice for a refused caller.
type Decision struct {
	Outcome    Outcome
	RetryAfter time.Duration // zero unless refused
}

// Limiter decides on the requests of accounts. It is implemented by the policies that are
// compared with each other.
type Limiter interface {
	Take(account crid.Account, now crid.Instant) Decision
}

var (
	_ Limiter = (*TokenPool)(nil)
	_ Limiter = (*LocalSplit)(nil)
)

// pooledGrant is the unspent part of a grant.
type pooledGrant struct {
	key         GrantKey
	remaining   int
	taken       int          // since the last Drain
	lastSpentAt crid.Instant // when the last of taken was spent
	returned    int          // since the last Drain
	expiresAt   crid.Instant
}

// accountPool holds one account's tokens.
type accountPool struct {
	name           crid.Account
	mu             sync.Mutex
	dirty          bool // the next Drain visits it
	grants         []pooledGrant
	refused        int // requests since the last Drain
	cold           int // requests since the last Drain
	takenAfterWait int // tokens since the last Drain
	exhaustedUntil crid.Instant
	retryAfter     time.Duration
	wake           chan struct{} // closed by the next Deposit; nil: no request waits
}

type accountPools map[crid.Account]*accountPool

// poolShard is a copy-on-write map, which requests read without a lock.
type poolShard struct {
	mu    sync.Mutex
	pools atomic.Pointer[accountPools]
}

// TokenPool holds the tokens that requests at this daemon may spend. It is safe for
// concurrent use.
type TokenPool struct {
	shards      [poolShards]poolShard
	drainNeeded chan struct{}

	dirtyMu sync.Mutex
	dirty   []*accountPool // with tokens, or used since the last Drain
}

// NewTokenPool returns an empty pool.
func NewTokenPool() *TokenPool {
	return &TokenPool{drainNeeded: make(chan struct{}, 1)}
}

func (p *TokenPool) shard(account crid.Account) *poolShard {
	return &p.shards[xxhash.Sum64String(string(account))%poolShards]
}

func (s *poolShard) load() accountPools {
	if m := s.pools.Load(); m != nil {
		return *m
	}
	return nil
}

func (p *TokenPool) find(account crid.Account) *accountPool {
	return p.shard(account).load()[account]
}

// getOrCreate returns the pool of an account. It creates a missing one.
func (p *TokenPool) getOrCreate(account crid.Account) *accountPool {
	if ap := p.find(account); ap != nil {
		return ap
	}
	shard := p.shard(account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old := shard.load()
	if ap := old[account]; ap != nil {
		return ap
	}
	next := maps.Clone(old)
	if next == nil {
		next = accountPools{}
	}
	ap := &accountPool{name: account}
	next[account] = ap
	shard.pools.Store(&next)
	return ap
}

// Take spends one token that is valid at now. It never waits. The caller reads now just
// before the call: a process that resumes from a pause must not spend tokens whose room has been
// refilled in the meantime.
func (p *TokenPool) Take(account crid.Account, now crid.Instant) Decision {
	ap := p.getOrCreate(account)
	ap.mu.Lock()
	p.markDirty(ap)
	if ap.spend(now) {
		ap.mu.Unlock()
		return Decision{Outcome: Admitted}
	}
	if now.Before(ap.exhaustedUntil) {
		ap.refused++
		retry := ap.retryAfter
		ap.mu.Unlock()
		return Decision{Outcome: Refused, RetryAfter: retry}
	}
	ap.cold++
	ap.mu.Unlock()
	p.signalDrain()
	return Decision{Outcome: Cold}
}

// markDirty makes the next Drain visit an account pool, whose lock the caller holds.
func (p *TokenPool) markDirty(ap *accountPool) {
	if ap.dirty {
		return
	}
	ap.dirty = true
	p.dirtyMu.Lock()
	p.dirty = append(p.dirty, ap)
	p.dirtyMu.Unlock()
}

// spend takes a token from the valid grant that expires first.
func (ap *accountPool) spend(now crid.Instant) bool {
	best := -1
	for i := range ap.grants {
		g := &ap.grants[i]
		if g.remaining == 0 || !now.Before(g.expiresAt) {
			continue
		}
		if best < 0 || g.expiresAt < ap.grants[best].expiresAt {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	ap.grants[best].remaining--
	ap.grants[best].taken++
	ap.grants[best].lastSpentAt = max(ap.grants[best].lastSpentAt, now)
	return true
}

// signalDrain signals the caller of Drain not to wait for the next tick.
func (p *TokenPool) signalDrain() {
	select {
	case p.drainNeeded <- struct{}{}:
	default:
	}
}

// DrainNeeded receives a value when a request came out [Cold] or tokens were withdrawn. The
// I/O layer then drains without waiting for the next tick.
func (p *TokenPool) DrainNeeded() <-chan struct{} { return p.drainNeeded }

// Wait waits after [Cold]. It returns nil once an owner of the account has answered, or the
// error of ctx.
func (p *TokenPool) Wait(ctx context.Context, account crid.Account, now crid.Instant) error {
	ap := p.getOrCreate(account)
	ap.mu.Lock()
	if ap.hasToken(now) || now.Before(ap.exhaustedUntil) {
		ap.mu.Unlock()
		return nil
	}
	if ap.wake == nil {
		ap.wake = make(chan struct{})
	}
	wake := ap.wake
	ap.mu.Unlock()
	select {
	case <-wake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (ap *accountPool) hasToken(now crid.Instant) bool {
	return slices.ContainsFunc(ap.grants, func(g pooledGrant) bool {
		return g.remaining > 0 && now.Before(g.expiresAt)
	})
}

// Admit takes a token. Only when the account is cold at this daemon, it waits for the answer of
// its owners until ctx ends; the caller limits this to about 20 ms. It returns Admitted or
// Refused.
//
// A process may be paused between reading the clock and taking the token, and would then spend
// an expired token. Admit therefore reads the clock again, and refuses when more time has
// passed than owners allow for.
func (p *TokenPool) Admit(ctx context.Context, account crid.Account, clock func() crid.Instant) Decision {
	now := clock()
	d := p.Take(account, now)
	for d.Outcome == Cold {
		if err := p.Wait(ctx, account, clock()); err != nil {
			return Decision{Outcome: Refused, RetryAfter: coldRetryAfter}
		}
		now = clock()
		d = p.takeAfterWait(account, now)
	}
	if d.Outcome == Admitted && clock().Sub(now) > maxClockAge {
		return Decision{Outcome: Refused, RetryAfter: coldRetryAfter}
	}
	return d
}

// takeAfterWait is Take for a request that is already counted as Cold.
func (p *TokenPool) takeAfterWait(account crid.Account, now crid.Instant) Decision {
	ap := p.getOrCreate(account)
	ap.mu.Lock()
	defer ap.mu.Unlock()
	p.markDirty(ap)
	if ap.spend(now) {
		ap.takenAfterWait++
		return Decision{Outcome: Admitted}
	}
	if now.Before(ap.exhaustedUntil) {
		return Decision{Outcome: Refused, RetryAfter: ap.retryAfter}
	}
	return Decision{Outcome: Cold}
}

// Deposit carries out the [Deposit] effect.
func (p *TokenPool) Deposit(d Deposit) {
	ap := p.getOrCreate(d.Account)
	ap.mu.Lock()
	defer ap.mu.Unlock()
	p.markDirty(ap)
	if d.Tokens > 0 {
		if ap.grants == nil {
			ap.grants = make([]pooledGrant, 0, initialGrants)
		}
		ap.grants = append(ap.grants, pooledGrant{key: d.Key, remaining: d.Tokens, expiresAt: d.ExpiresAt})
		if !d.Short {
			ap.exhaustedUntil = 0
		}
	} else {
		ap.exhaustedUntil, ap.retryAfter = d.ExhaustedUntil, d.RetryAfter
	}
	if ap.wake != nil {
		close(ap.wake)
		ap.wake = nil
	}
}

// Withdraw carries out the [Withdraw] effect. The tokens leave the pool before they are reported
// to the reducer, so that none is both spent and returned.
func (p *TokenPool) Withdraw(d Withdraw) {
	ap := p.find(d.Account)
	if ap == nil {
		return
	}
	ap.mu.Lock()
	keep := d.Keep
	for i := range ap.grants {
		g := &ap.grants[i]
		kept := min(keep, g.remaining)
		keep -= kept
		g.returned += g.remaining - kept
		g.remaining = kept
	}
	ap.mu.Unlock()
	p.signalDrain()
}

// Forget carries out the [Forget] effect. Tokens still held are unusable until they expire.
func (p *TokenPool) Forget(d Forget) {
	shard := p.shard(d.Account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	next := maps.Clone(shard.load())
	delete(next, d.Account)
	shard.pools.Store(&next)
}

// Drain returns the usage since the last Drain, by account and grant, and removes grants that
// have expired at now.
func (p *TokenPool) Drain(now crid.Instant) []UsageDelta {
	p.dirtyMu.Lock()
	listed := p.dirty
	p.dirty = nil
	p.dirtyMu.Unlock()
	var usage []UsageDelta
	for _, ap := range listed {
		usage = p.drain(usage, ap, now)
	}
	slices.SortFunc(usage, compareUsage)
	return usage
}

// drain keeps an account pool dirty while it has tokens, since they will expire.
func (p *TokenPool) drain(usage []UsageDelta, ap *accountPool, now crid.Instant) []UsageDelta {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	usage = ap.drain(usage, now)
	ap.dirty = false
	if len(ap.grants) > 0 {
		p.markDirty(ap)
	}
	return usage
}

func (ap *accountPool) drain(usage []UsageDelta, now crid.Instant) []UsageDelta {
	if ap.refused+ap.cold+ap.takenAfterWait > 0 {
		usage = append(usage, UsageDelta{Account: ap.name, Refused: ap.refused, Cold: ap.cold, TakenAfterWait: ap.takenAfterWait})
		ap.refused, ap.cold, ap.takenAfterWait = 0, 0, 0
	}
	kept := ap.grants[:0]
	for _, g := range ap.grants {
		if !now.Before(g.expiresAt) {
			g.returned += g.remaining
			g.remaining = 0
		}
		if g.taken+g.returned > 0 {
			usage = append(usage, UsageDelta{Account: ap.name, Key: g.key, Taken: g.taken, LastSpentAt: g.lastSpentAt, Returned: g.returned})
			g.taken, g.returned = 0, 0
		}
		if g.remaining > 0 {
			kept = append(kept, g)
		}
	}
	ap.grants = kept
	return usage
}

func compareUsage(a, b UsageDelta) int {
	return cmp.Or(
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Key.Owner, b.Key.Owner),
		cmp.Compare(a.Key.Inc, b.Key.Inc),
		cmp.Compare(a.Key.ID, b.Key.ID),
	)
}
