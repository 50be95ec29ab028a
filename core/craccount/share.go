package craccount

import (
	"math"
	"slices"
	"time"

	"camphorroad/core/crid"
)

// outstandingGrant is an owner's record of one grant.
type outstandingGrant struct {
	id        uint64
	to        crid.Daemon
	tokens    int
	taken     int
	returned  int
	expiresAt crid.Instant
}

func (g *outstandingGrant) unspent() int { return g.tokens - g.taken - g.returned }

// waiter is a TokenRequest that was not met in full.
type waiter struct {
	from        crid.Daemon
	inc         crid.Incarnation
	seq         uint64
	want        int
	until       crid.Instant
	waitForRest bool // stays until the remaining tokens are refilled
	notified    bool // has been sent a grant that reports this owner as short
}

// share is one share of an account at its owner: a token bucket whose level is the balance
// plus all tokens that may still be spent elsewhere.
//
// Its invariant is balance + outstanding <= burst. The difference is its room, the tokens that may
// be refilled. Before any change that makes room, the bucket is refilled up to now with the room
// there was. Otherwise the time before a spend would be refilled into the room that the spend made,
// and burst + rate*(w + that time) requests could be admitted in a window of length w.
type share struct {
	rate        float64 // tokens per second
	burst       float64
	balance     float64
	outstanding int
	refilledTo  time.Duration      // on the refill clock
	grants      []outstandingGrant // by ascending id
	waiters     []waiter
	recalledAt  crid.Instant
	usedAt      crid.Instant
	nextWaiter  int
	overflows   overflows
}

// refill adds the tokens accrued up to a reading of the refill clock.
func (sh *share) refill(reading time.Duration) {
	if reading <= sh.refilledTo {
		return
	}
	accrued := sh.rate * (reading - sh.refilledTo).Seconds()
	from := sh.refilledTo
	sh.refilledTo = reading
	room := sh.burst - sh.balance - float64(sh.outstanding)
	added := math.Max(0, math.Min(accrued, room))
	sh.balance += added
	if added < accrued {
		sh.overflows.add(max(from, reading-time.Duration((accrued-added)/sh.rate*float64(time.Second))), reading)
	}
}

// resize applies a changed limit. A lower burst cuts the balance at once; a higher one is
// filled at the rate from now on.
func (sh *share) resize(rate, burst float64) {
	sh.rate, sh.burst = rate, burst
	sh.overflows = overflows{}
	room := math.Max(0, burst-float64(sh.outstanding))
	sh.balance = math.Min(sh.balance, room)
}

// grant subtracts n tokens from the balance and records them as outstanding.
func (sh *share) grant(id uint64, to crid.Daemon, n int, expiresAt crid.Instant) {
	sh.balance -= float64(n)
	sh.outstanding += n
	sh.grants = append(sh.grants, outstandingGrant{id: id, to: to, tokens: n, expiresAt: expiresAt})
}

// applyUsage applies a usage report of a grant. Reports are cumulative: a duplicate or a
// reordered one changes nothing. A report of an expired grant is ignored, since its room may
// have been granted again.
func (sh *share) applyUsage(from crid.Daemon, usage GrantUsage, credit func(spent []SpentTokens, reported int)) {
	i, ok := slices.BinarySearchFunc(sh.grants, usage.Grant, func(g outstandingGrant, id uint64) int {
		return compare(g.id, id)
	})
	if !ok || sh.grants[i].to != from {
		return
	}
	g := &sh.grants[i]
	taken, returned := max(g.taken, usage.Taken), max(g.returned, usage.Returned)
	if taken+returned > g.tokens {
		return
	}
	sh.balance += float64(returned - g.returned)
	credit(usage.Spent, taken-g.taken)
	sh.outstanding -= taken + returned - g.taken - g.returned
	g.taken, g.returned = taken, returned
	sh.balance = math.Min(sh.balance, math.Max(0, sh.burst-float64(sh.outstanding)))
}

// expire drops grants that no entry daemon can spend any more. Their tokens become room; they
// are not added to the balance.
func (sh *share) expire(now crid.Instant) {
	kept := sh.grants[:0]
	for _, g := range sh.grants {
		expired := !now.Before(g.expiresAt)
		if expired {
			sh.outstanding -= g.unspent()
		}
		if !expired && g.unspent() > 0 {
			kept = append(kept, g)
		}
	}
	sh.grants = kept
}

// enqueue queues a token request. A newer request of the same daemon replaces its older one;
// an older or repeated one is ignored.
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

// allocate divides the whole tokens of the balance among the waiters by max-min fairness. The
// remainder rotates.
func (sh *share) allocate() []int {
	free := int(math.Floor(sh.balance + 1e-9))
	granted := make([]int, len(sh.waiters))
	unsatisfied := len(sh.waiters)
	for free > 0 && unsatisfied > 0 {
		part := max(1, free/unsatisfied)
		unsatisfied = 0
		for k := range sh.waiters {
			i := (k + sh.nextWaiter) % len(sh.waiters)
			n := min(part, sh.waiters[i].want-granted[i], free)
			granted[i] += n
			free -= n
			if sh.waiters[i].want > granted[i] {
				unsatisfied++
			}
		}
		sh.nextWaiter++
	}
	return granted
}

// nextToken is the time until the balance holds a whole token, provided that there is room.
func (sh *share) nextToken() time.Duration {
	missing := math.Max(0, 1-sh.balance)
	if sh.rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(missing/sh.rate*float64(time.Second)))
}

// prune drops waiters that were served in full, that do not wait for the rest, or that have
// waited too long.
func (sh *share) prune(now crid.Instant) {
	sh.waiters = slices.DeleteFunc(sh.waiters, func(w waiter) bool {
		return w.want <= 0 || !now.Before(w.until) || (w.notified && !w.waitForRest)
	})
}

// idle reports whether the share may be dropped: one created again later holds no more than this
// one does now.
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
