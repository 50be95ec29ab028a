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
	walletShards = 256 // a power of two
	firstLots    = 8
	coldRetry    = time.Second
	staleAfter   = 10 * time.Millisecond // less than Params.Margin
)

// Outcome is what a request for a token came to.
type Outcome uint8

// The outcomes of [Wallet.Take].
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
	_ Limiter = (*Wallet)(nil)
	_ Limiter = (*LocalSplit)(nil)
)

// heldLot is the unspent rest of a grant.
type heldLot struct {
	key    GrantKey
	left   int
	taken  int          // since the last Drain
	spent  crid.Instant // when the last of them was taken
	back   int          // since the last Drain
	voidAt crid.Instant
}

// cell holds one account's tokens.
type cell struct {
	name       crid.Account
	mu         sync.Mutex
	listed     bool // the next Drain looks at it
	lots       []heldLot
	refused    int
	cold       int
	again      int
	dryUntil   crid.Instant
	retryAfter time.Duration
	wake       chan struct{} // closed by the next Deposit; nil: nobody waits
}

type cells map[crid.Account]*cell

// walletShard is a copy-on-write map: requests read it without a lock.
type walletShard struct {
	mu    sync.Mutex
	cells atomic.Pointer[cells]
}

// Wallet holds the tokens that requests at this daemon may spend. It is safe
// for concurrent use.
type Wallet struct {
	shards [walletShards]walletShard
	wanted chan struct{}

	listMu sync.Mutex
	listed []*cell // with tokens, or used since the last Drain
}

// NewWallet returns an empty wallet.
func NewWallet() *Wallet {
	return &Wallet{wanted: make(chan struct{}, 1)}
}

func (w *Wallet) shard(account crid.Account) *walletShard {
	return &w.shards[xxhash.Sum64String(string(account))%walletShards]
}

func (s *walletShard) load() cells {
	if m := s.cells.Load(); m != nil {
		return *m
	}
	return nil
}

func (w *Wallet) find(account crid.Account) *cell {
	return w.shard(account).load()[account]
}

// open returns the cell of an account, made when it is missing.
func (w *Wallet) open(account crid.Account) *cell {
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
		next = cells{}
	}
	c := &cell{name: account}
	next[account] = c
	shard.cells.Store(&next)
	return c
}

// Take spends one token that is valid at now and never waits. The caller reads
// now just before: a process that wakes from a pause must not spend tokens
// whose place has been minted anew while it slept.
func (w *Wallet) Take(account crid.Account, now crid.Instant) Decision {
	c := w.open(account)
	c.mu.Lock()
	w.list(c)
	if c.spend(now) {
		c.mu.Unlock()
		return Decision{Outcome: Admitted}
	}
	if now.Before(c.dryUntil) {
		c.refused++
		retry := c.retryAfter
		c.mu.Unlock()
		return Decision{Outcome: Refused, RetryAfter: retry}
	}
	c.cold++
	c.mu.Unlock()
	w.signal()
	return Decision{Outcome: Cold}
}

// list has the next Drain look at a cell whose lock is held.
func (w *Wallet) list(c *cell) {
	if c.listed {
		return
	}
	c.listed = true
	w.listMu.Lock()
	w.listed = append(w.listed, c)
	w.listMu.Unlock()
}

// spend takes from the valid lot that is void first.
func (c *cell) spend(now crid.Instant) bool {
	best := -1
	for i := range c.lots {
		l := &c.lots[i]
		if l.left == 0 || !now.Before(l.voidAt) {
			continue
		}
		if best < 0 || l.voidAt < c.lots[best].voidAt {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	c.lots[best].left--
	c.lots[best].taken++
	c.lots[best].spent = max(c.lots[best].spent, now)
	return true
}

// signal tells the shell that draining at once is worth while.
func (w *Wallet) signal() {
	select {
	case w.wanted <- struct{}{}:
	default:
	}
}

// Wanted fires when a request is cold or tokens were withdrawn; the shell then
// drains without waiting for the next tick.
func (w *Wallet) Wanted() <-chan struct{} { return w.wanted }

// Wait returns nil when something has been heard from an owner of the account
// that came out [Cold], or the error of ctx.
func (w *Wallet) Wait(ctx context.Context, account crid.Account, now crid.Instant) error {
	c := w.open(account)
	c.mu.Lock()
	if c.valid(now) || now.Before(c.dryUntil) {
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

func (c *cell) valid(now crid.Instant) bool {
	return slices.ContainsFunc(c.lots, func(l heldLot) bool {
		return l.left > 0 && now.Before(l.voidAt)
	})
}

// Admit takes a token and, only when the account is cold here, waits for its
// owners until ctx ends, which the caller bounds to some 20 ms. It returns
// Admitted or Refused.
//
// A process may be paused between reading the clock and taking the token, and
// would then spend tokens long void. Admit reads the clock again and refuses
// when more time has passed than owners allow for.
func (w *Wallet) Admit(ctx context.Context, account crid.Account, clock func() crid.Instant) Decision {
	now := clock()
	d := w.Take(account, now)
	for d.Outcome == Cold {
		if err := w.Wait(ctx, account, clock()); err != nil {
			return Decision{Outcome: Refused, RetryAfter: coldRetry}
		}
		now = clock()
		d = w.retake(account, now)
	}
	if d.Outcome == Admitted && clock().Sub(now) > staleAfter {
		return Decision{Outcome: Refused, RetryAfter: coldRetry}
	}
	return d
}

// retake is Take for a request that has been counted already.
func (w *Wallet) retake(account crid.Account, now crid.Instant) Decision {
	c := w.open(account)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.list(c)
	if c.spend(now) {
		c.again++
		return Decision{Outcome: Admitted}
	}
	if now.Before(c.dryUntil) {
		return Decision{Outcome: Refused, RetryAfter: c.retryAfter}
	}
	return Decision{Outcome: Cold}
}

// Deposit carries the effect out.
func (w *Wallet) Deposit(d Deposit) {
	c := w.open(d.Account)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.list(c)
	if d.Tokens > 0 {
		if c.lots == nil {
			c.lots = make([]heldLot, 0, firstLots)
		}
		c.lots = append(c.lots, heldLot{key: d.Key, left: d.Tokens, voidAt: d.VoidAt})
		if !d.Short {
			c.dryUntil = 0
		}
	} else {
		c.dryUntil, c.retryAfter = d.DryUntil, d.RetryAfter
	}
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
}

// Withdraw carries the effect out: the tokens leave the wallet before the
// reducer hears of them, so that none is both spent and given back.
func (w *Wallet) Withdraw(d Withdraw) {
	c := w.find(d.Account)
	if c == nil {
		return
	}
	c.mu.Lock()
	keep := d.Keep
	for i := range c.lots {
		l := &c.lots[i]
		stay := min(keep, l.left)
		keep -= stay
		l.back += l.left - stay
		l.left = stay
	}
	c.mu.Unlock()
	w.signal()
}

// Forget carries the effect out. Tokens still held are lost until void.
func (w *Wallet) Forget(d Forget) {
	shard := w.shard(d.Account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	next := maps.Clone(shard.load())
	delete(next, d.Account)
	shard.cells.Store(&next)
}

// Drain returns what happened since the last Drain, by account and grant, and
// takes out lots that are void at now.
func (w *Wallet) Drain(now crid.Instant) []Usage {
	w.listMu.Lock()
	listed := w.listed
	w.listed = nil
	w.listMu.Unlock()
	var usage []Usage
	for _, c := range listed {
		usage = w.drain(usage, c, now)
	}
	slices.SortFunc(usage, compareUsage)
	return usage
}

// drain keeps a cell listed while it has tokens, since they will be void.
func (w *Wallet) drain(usage []Usage, c *cell, now crid.Instant) []Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	usage = c.drain(usage, now)
	c.listed = false
	if len(c.lots) > 0 {
		w.list(c)
	}
	return usage
}

func (c *cell) drain(usage []Usage, now crid.Instant) []Usage {
	if c.refused+c.cold+c.again > 0 {
		usage = append(usage, Usage{Account: c.name, Refused: c.refused, Cold: c.cold, Again: c.again})
		c.refused, c.cold, c.again = 0, 0, 0
	}
	kept := c.lots[:0]
	for _, l := range c.lots {
		if !now.Before(l.voidAt) {
			l.back += l.left
			l.left = 0
		}
		if l.taken+l.back > 0 {
			usage = append(usage, Usage{Account: c.name, Key: l.key, Taken: l.taken, Spent: l.spent, Back: l.back})
			l.taken, l.back = 0, 0
		}
		if l.left > 0 {
			kept = append(kept, l)
		}
	}
	c.lots = kept
	return usage
}

func compareUsage(a, b Usage) int {
	return cmp.Or(
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Key.Owner, b.Key.Owner),
		cmp.Compare(a.Key.Inc, b.Key.Inc),
		cmp.Compare(a.Key.ID, b.Key.ID),
	)
}
