package craccount

import (
	"math"
	"slices"
	"time"

	"camphorroad/core/crid"
)

// outstandingGrant is what an owner knows of one grant.
type outstandingGrant struct {
	id        uint64
	to        crid.Daemon
	tokens    int
	taken     int
	returned  int
	expiresAt crid.Instant
}

func (g *outstandingGrant) unspent() int { return g.tokens - g.taken - g.returned }

// waiter is an Ask that was not met in full.
type waiter struct {
	from        crid.Daemon
	inc         crid.Incarnation
	seq         uint64
	want        int
	until       crid.Instant
	waitForRest bool // wants the rest when it is minted
	notified    bool // has been told that this owner is short
}

// share is one share of an account at its owner: a token bucket whose level is
// balance plus all tokens that may still be spent elsewhere.
//
// Its invariant is balance + outstanding <= burst. Minting first takes the time
// up to now into the room there was, and only then may a change make room:
// otherwise the time before a spend would be minted into the room the spend
// made, and a window could see burst + rate*(w + that time).
type share struct {
	rate        float64 // tokens a second
	burst       float64
	balance     float64
	outstanding int
	refilledTo  time.Duration      // reading of the minting clock up to which is minted
	grants      []outstandingGrant // by id, which grow
	waiters     []waiter
	recalledAt  crid.Instant
	usedAt      crid.Instant
	nextWaiter  int
	overflows   overflows
}

// refill accrues tokens up to the reading m of the minting clock.
func (sh *share) refill(m time.Duration) {
	if m <= sh.refilledTo {
		return
	}
	fresh := sh.rate * (m - sh.refilledTo).Seconds()
	from := sh.refilledTo
	sh.refilledTo = m
	room := sh.burst - sh.balance - float64(sh.outstanding)
	got := math.Max(0, math.Min(fresh, room))
	sh.balance += got
	if got < fresh {
		sh.overflows.add(max(from, m-time.Duration((fresh-got)/sh.rate*float64(time.Second))), m)
	}
}

// resize applies a new limit at once: a lower one cuts the balance, a higher
// one is filled at the rate from now on.
func (sh *share) resize(rate, burst float64) {
	sh.rate, sh.burst = rate, burst
	sh.overflows = overflows{}
	room := math.Max(0, burst-float64(sh.outstanding))
	sh.balance = math.Min(sh.balance, room)
}

// grant subtracts n tokens and records them as outstanding.
func (sh *share) grant(id uint64, to crid.Daemon, n int, voidAt crid.Instant) {
	sh.balance -= float64(n)
	sh.outstanding += n
	sh.grants = append(sh.grants, outstandingGrant{id: id, to: to, tokens: n, expiresAt: voidAt})
}

// applyUsage applies a report on a grant. Reports are cumulative: a duplicate or
// an overtaken one changes nothing. One on a grant already void is ignored,
// since its room has been given out again.
func (sh *share) applyUsage(from crid.Daemon, use GrantUsage, credit func(spent []SpentTokens, reported int)) {
	i, ok := slices.BinarySearchFunc(sh.grants, use.Grant, func(g outstandingGrant, id uint64) int {
		return compare(g.id, id)
	})
	if !ok || sh.grants[i].to != from {
		return
	}
	g := &sh.grants[i]
	taken, back := max(g.taken, use.Taken), max(g.returned, use.Returned)
	if taken+back > g.tokens {
		return
	}
	sh.balance += float64(back - g.returned)
	credit(use.Spent, taken-g.taken)
	sh.outstanding -= taken + back - g.taken - g.returned
	g.taken, g.returned = taken, back
	sh.balance = math.Min(sh.balance, math.Max(0, sh.burst-float64(sh.outstanding)))
}

// expire drops grants that no entry can spend any more; their tokens come back
// as room, not as tokens.
func (sh *share) expire(now crid.Instant) {
	kept := sh.grants[:0]
	for _, g := range sh.grants {
		void := !now.Before(g.expiresAt)
		if void {
			sh.outstanding -= g.unspent()
		}
		if !void && g.unspent() > 0 {
			kept = append(kept, g)
		}
	}
	sh.grants = kept
}

// enqueue remembers an Ask; a newer one of the same daemon replaces it, an older
// or repeated one is refused.
func (sh *share) enqueue(w waiter) {
	for i, old := range sh.waiters {
		if old.from != w.from {
			continue
		}
		if old.inc == w.inc && old.seq >= w.seq {
			return
		}
		sh.waiters[i] = w
		return
	}
	sh.waiters = append(sh.waiters, w)
}

// allocate divides the whole tokens of the balance among the waiters so that the
// worst-served gets as much as can be (max-min); the remainder rotates.
func (sh *share) allocate() []int {
	free := int(math.Floor(sh.balance + 1e-9))
	given := make([]int, len(sh.waiters))
	hungry := len(sh.waiters)
	for free > 0 && hungry > 0 {
		part := max(1, free/hungry)
		hungry = 0
		for k := range sh.waiters {
			i := (k + sh.nextWaiter) % len(sh.waiters)
			n := min(part, sh.waiters[i].want-given[i], free)
			given[i] += n
			free -= n
			if sh.waiters[i].want > given[i] {
				hungry++
			}
		}
		sh.nextWaiter++
	}
	return given
}

// nextToken is the time until the balance holds a whole token, if no room is
// missing.
func (sh *share) nextToken() time.Duration {
	missing := math.Max(0, 1-sh.balance)
	if sh.rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(missing/sh.rate*float64(time.Second)))
}

// prune drops waiters that were served in full, wanted an answer at once only,
// or have asked too long ago.
func (sh *share) prune(now crid.Instant) {
	sh.waiters = slices.DeleteFunc(sh.waiters, func(w waiter) bool {
		return w.want <= 0 || !now.Before(w.until) || (w.notified && !w.waitForRest)
	})
}

// idle reports whether the share may be dropped: recreated later it holds no
// more than it does now.
func (sh *share) idle() bool {
	full := sh.balance >= sh.burst
	return full && len(sh.grants) == 0 && len(sh.waiters) == 0
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
