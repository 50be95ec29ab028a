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
	maxClockAge    = 10 * time.Millisecond // less than Params.Margin
)

// Outcome is what a request for a token came to.
type Outcome uint8

// The outcomes of [TokenPool.Take].
const (
	// Admitted means that one token was spent.
	Admitted Outcome = iota + 1
	// Refused means that the account is known to be exhausted.
	Refused
	// Cold means that no token is at hand and the owners have not been asked
	// yet; the caller may wait for them once.
	Cold
)

// Decision is an outcome with advice for a refused caller.
type Decision struct {
	Outcome    Outcome
	RetryAfter time.Duration // zero unless refused
}

// Limiter decides on requests of accounts; the policies that are compared
// with one another implement it.
type Limiter interface {
	Take(account crid.Account, now crid.Instant) Decision
}

var (
	_ Limiter = (*TokenPool)(nil)
	_ Limiter = (*LocalSplit)(nil)
)

// pooledGrant is the unspent rest of a grant.
type pooledGrant struct {
	key         GrantKey
	remaining   int
	taken       int          // since the last Drain
	lastSpentAt crid.Instant // when the last of them was taken
	returned    int          // since the last Drain
	expiresAt   crid.Instant
}

// accountPool holds one account's tokens.
type accountPool struct {
	name           crid.Account
	mu             sync.Mutex
	dirty          bool // the next Drain looks at it
	grants         []pooledGrant
	refused        int
	cold           int
	takenAfterWait int
	exhaustedUntil crid.Instant
	retryAfter     time.Duration
	wake           chan struct{} // closed by the next Deposit; nil: nobody waits
}

type accountPools map[crid.Account]*accountPool

// poolShard is a copy-on-write map: requests read it without a lock.
type poolShard struct {
	mu    sync.Mutex
	pools atomic.Pointer[accountPools]
}

// TokenPool holds the tokens that requests at this daemon may spend. It is safe
// for concurrent use.
type TokenPool struct {
	shards      [poolShards]poolShard
	drainNeeded chan struct{}

	dirtyMu sync.Mutex
	dirty   []*accountPool // with tokens, or used since the last Drain
}

// NewTokenPool returns an empty wallet.
func NewTokenPool() *TokenPool {
	return &TokenPool{drainNeeded: make(chan struct{}, 1)}
}

func (w *TokenPool) shard(account crid.Account) *poolShard {
	return &w.shards[xxhash.Sum64String(string(account))%poolShards]
}

func (s *poolShard) load() accountPools {
	if m := s.pools.Load(); m != nil {
		return *m
	}
	return nil
}

func (w *TokenPool) find(account crid.Account) *accountPool {
	return w.shard(account).load()[account]
}

// getOrCreate returns the cell of an account, made when it is missing.
func (w *TokenPool) getOrCreate(account crid.Account) *accountPool {
	if c := w.find(account); c != nil {
		return c
	}
	shard := w.shard(account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old := shard.load()
	if c := old[account]; c != nil {
		return c
	}
	next := maps.Clone(old)
	if next == nil {
		next = accountPools{}
	}
	c := &accountPool{name: account}
	next[account] = c
	shard.pools.Store(&next)
	return c
}

// Take spends one token that is valid at now and never waits. The caller reads
// now just before: a process that wakes from a pause must not spend tokens
// whose place has been minted anew while it slept.
func (w *TokenPool) Take(account crid.Account, now crid.Instant) Decision {
	c := w.getOrCreate(account)
	c.mu.Lock()
	w.markDirty(c)
	if c.spend(now) {
		c.mu.Unlock()
		return Decision{Outcome: Admitted}
	}
	if now.Before(c.exhaustedUntil) {
		c.refused++
		retry := c.retryAfter
		c.mu.Unlock()
		return Decision{Outcome: Refused, RetryAfter: retry}
	}
	c.cold++
	c.mu.Unlock()
	w.signalDrain()
	return Decision{Outcome: Cold}
}

// markDirty has the next Drain look at a cell whose lock is held.
func (w *TokenPool) markDirty(c *accountPool) {
	if c.dirty {
		return
	}
	c.dirty = true
	w.dirtyMu.Lock()
	w.dirty = append(w.dirty, c)
	w.dirtyMu.Unlock()
}

// spend takes from the valid lot that is void first.
func (c *accountPool) spend(now crid.Instant) bool {
	best := -1
	for i := range c.grants {
		l := &c.grants[i]
		if l.remaining == 0 || !now.Before(l.expiresAt) {
			continue
		}
		if best < 0 || l.expiresAt < c.grants[best].expiresAt {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	c.grants[best].remaining--
	c.grants[best].taken++
	c.grants[best].lastSpentAt = max(c.grants[best].lastSpentAt, now)
	return true
}

// signalDrain tells the shell that draining at once is worth while.
func (w *TokenPool) signalDrain() {
	select {
	case w.drainNeeded <- struct{}{}:
	default:
	}
}

// DrainNeeded fires when a request is cold or tokens were withdrawn; the shell then
// drains without waiting for the next tick.
func (w *TokenPool) DrainNeeded() <-chan struct{} { return w.drainNeeded }

// Wait returns nil when something has been heard from an owner of the account
// that came out [Cold], or the error of ctx.
func (w *TokenPool) Wait(ctx context.Context, account crid.Account, now crid.Instant) error {
	c := w.getOrCreate(account)
	c.mu.Lock()
	if c.hasToken(now) || now.Before(c.exhaustedUntil) {
		c.mu.Unlock()
		return nil
	}
	if c.wake == nil {
		c.wake = make(chan struct{})
	}
	wake := c.wake
	c.mu.Unlock()
	select {
	case <-wake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *accountPool) hasToken(now crid.Instant) bool {
	return slices.ContainsFunc(c.grants, func(l pooledGrant) bool {
		return l.remaining > 0 && now.Before(l.expiresAt)
	})
}

// Admit takes a token and, only when the account is cold here, waits for its
// owners until ctx ends, which the caller bounds to some 20 ms. It returns
// Admitted or Refused.
//
// A process may be paused between reading the clock and taking the token, and
// would then spend tokens long void. Admit reads the clock again and refuses
// when more time has passed than owners allow for.
func (w *TokenPool) Admit(ctx context.Context, account crid.Account, clock func() crid.Instant) Decision {
	now := clock()
	d := w.Take(account, now)
	for d.Outcome == Cold {
		if err := w.Wait(ctx, account, clock()); err != nil {
			return Decision{Outcome: Refused, RetryAfter: coldRetryAfter}
		}
		now = clock()
		d = w.takeAfterWait(account, now)
	}
	if d.Outcome == Admitted && clock().Sub(now) > maxClockAge {
		return Decision{Outcome: Refused, RetryAfter: coldRetryAfter}
	}
	return d
}

// takeAfterWait is Take for a request that has been counted already.
func (w *TokenPool) takeAfterWait(account crid.Account, now crid.Instant) Decision {
	c := w.getOrCreate(account)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.markDirty(c)
	if c.spend(now) {
		c.takenAfterWait++
		return Decision{Outcome: Admitted}
	}
	if now.Before(c.exhaustedUntil) {
		return Decision{Outcome: Refused, RetryAfter: c.retryAfter}
	}
	return Decision{Outcome: Cold}
}

// Deposit carries the effect out.
func (w *TokenPool) Deposit(d Deposit) {
	c := w.getOrCreate(d.Account)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.markDirty(c)
	if d.Tokens > 0 {
		if c.grants == nil {
			c.grants = make([]pooledGrant, 0, initialGrants)
		}
		c.grants = append(c.grants, pooledGrant{key: d.Key, remaining: d.Tokens, expiresAt: d.ExpiresAt})
		if !d.Short {
			c.exhaustedUntil = 0
		}
	} else {
		c.exhaustedUntil, c.retryAfter = d.ExhaustedUntil, d.RetryAfter
	}
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
}

// Withdraw carries the effect out: the tokens leave the wallet before the
// reducer hears of them, so that none is both spent and given back.
func (w *TokenPool) Withdraw(d Withdraw) {
	c := w.find(d.Account)
	if c == nil {
		return
	}
	c.mu.Lock()
	keep := d.Keep
	for i := range c.grants {
		l := &c.grants[i]
		stay := min(keep, l.remaining)
		keep -= stay
		l.returned += l.remaining - stay
		l.remaining = stay
	}
	c.mu.Unlock()
	w.signalDrain()
}

// Forget carries the effect out. Tokens still held are lost until void.
func (w *TokenPool) Forget(d Forget) {
	shard := w.shard(d.Account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	next := maps.Clone(shard.load())
	delete(next, d.Account)
	shard.pools.Store(&next)
}

// Drain returns what happened since the last Drain, by account and grant, and
// takes out lots that are void at now.
func (w *TokenPool) Drain(now crid.Instant) []UsageDelta {
	w.dirtyMu.Lock()
	listed := w.dirty
	w.dirty = nil
	w.dirtyMu.Unlock()
	var usage []UsageDelta
	for _, c := range listed {
		usage = w.drain(usage, c, now)
	}
	slices.SortFunc(usage, compareUsage)
	return usage
}

// drain keeps a cell listed while it has tokens, since they will be void.
func (w *TokenPool) drain(usage []UsageDelta, c *accountPool, now crid.Instant) []UsageDelta {
	c.mu.Lock()
	defer c.mu.Unlock()
	usage = c.drain(usage, now)
	c.dirty = false
	if len(c.grants) > 0 {
		w.markDirty(c)
	}
	return usage
}

func (c *accountPool) drain(usage []UsageDelta, now crid.Instant) []UsageDelta {
	if c.refused+c.cold+c.takenAfterWait > 0 {
		usage = append(usage, UsageDelta{Account: c.name, Refused: c.refused, Cold: c.cold, TakenAfterWait: c.takenAfterWait})
		c.refused, c.cold, c.takenAfterWait = 0, 0, 0
	}
	kept := c.grants[:0]
	for _, l := range c.grants {
		if !now.Before(l.expiresAt) {
			l.returned += l.remaining
			l.remaining = 0
		}
		if l.taken+l.returned > 0 {
			usage = append(usage, UsageDelta{Account: c.name, Key: l.key, Taken: l.taken, LastSpentAt: l.lastSpentAt, Returned: l.returned})
			l.taken, l.returned = 0, 0
		}
		if l.remaining > 0 {
			kept = append(kept, l)
		}
	}
	c.grants = kept
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
