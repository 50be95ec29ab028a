package crgate

import (
	"cmp"
	"slices"
	"time"

	"camphorroad/core/crid"
)

// minRemainingShare is the share of its kind's mean service time that a running
// request is assumed to need at least, however long it has been running.
const minRemainingShare = 0.3

// precedes reports whether a request goes before another one that arrived
// earlier.
//
// A nested request goes before all others: its parent holds a slot while it
// waits, and the parent's work is wasted if the nested request is late. Behind
// the longer requests of a full target, nested requests would start too late,
// and their parents would fail with them.
//
// Within a priority, requests that can still meet their objective go before late ones, and
// those of a kind with a shorter objective before others. When there are too few slots, the
// requests that can wait for seconds wait, rather than those that cannot. A kind without an
// objective goes last: compared by the latest start with some kinds, and by the objective with
// others, its requests would make the order circular. Within a kind, requests of accounts above
// their shares go after the others.
func (a *Request) precedes(b *Request) bool { return a.compare(b) < 0 }

// compare returns a negative number if a request precedes another one, a positive one if the other
// one precedes it, and zero if the earlier arrival goes first.
func (a *Request) compare(b *Request) int {
	if rank := a.compareRank(b); rank != 0 {
		return rank
	}
	if a.shareLevel != b.shareLevel {
		return cmp.Compare(a.shareLevel, b.shareLevel)
	}
	return cmp.Compare(a.LatestStart, b.LatestStart)
}

// compareRank compares as compare does, by what decides before the shares of accounts.
func (a *Request) compareRank(b *Request) int {
	switch {
	case a.Nested != b.Nested:
		return before(a.Nested)
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case a.Late != b.Late:
		return before(b.Late)
	case (a.Kind.Objective > 0) != (b.Kind.Objective > 0):
		return before(a.Kind.Objective > 0)
	}
	return cmp.Compare(a.Kind.Objective, b.Kind.Objective)
}

// before is negative if the first of two requests goes before the other one.
func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// overtakes reports whether a request goes before a waiting nested one when it would
// start too late otherwise: if it is more urgent than the caller of the nested one.
func (a *Request) overtakes(b *Request) bool {
	return !a.Nested && b.Nested && a.Priority < b.Priority
}

// next returns the index of the waiting request that gets the next slot.
func (g *Gate) next(now crid.Instant) int {
	head := &g.waiting[0].request
	i := slices.IndexFunc(g.waiting, func(t *Ticket) bool { return t.request.overtakes(head) })
	if i < 0 || g.waiting[i].request.LatestStart.Sub(now) > g.serviceTimes.Expected(head.Kind) {
		return 0
	}
	return i
}

// insertPosition is the index at which a request joins the queue.
func (g *Gate) insertPosition(req Request) int {
	i := len(g.waiting)
	for i > 0 && req.precedes(&g.waiting[i-1].request) {
		i--
	}
	return i
}

// estimateWait estimates the wait of a request that has the given number of
// waiting requests before it: the work before it, divided by the number of
// slots. Requests that it overtakes do not count.
func (g *Gate) estimateWait(now crid.Instant, req Request, position int) time.Duration {
	if position == 0 && len(g.running) < g.slots {
		return g.limitedWait(now, 0)
	}
	work := g.waitingWork(position)
	return g.waitBehind(now, &req, position, work, g.runningWork(now))
}

// waitBehind estimates the wait of a request, given the work of the waiting requests before its
// position and that of the running ones.
func (g *Gate) waitBehind(now crid.Instant, req *Request, position int, waiting, running time.Duration) time.Duration {
	ahead := position
	for _, t := range g.waiting[:position] {
		if !t.request.Nested {
			break // nested requests are the first, and only they are overtaken
		}
		if req.overtakes(&t.request) {
			waiting -= g.serviceTimes.Expected(t.request.Kind)
			ahead--
		}
	}
	limited := g.limitedWait(now, ahead)
	if ahead == 0 && len(g.running) < g.slots {
		return limited
	}
	return max((waiting+running)/time.Duration(g.slots), limited)
}

// waitingWork is the expected work of the waiting requests before a position.
func (g *Gate) waitingWork(position int) time.Duration {
	work := time.Duration(0)
	for _, t := range g.waiting[:position] {
		work += g.serviceTimes.Expected(t.request.Kind)
	}
	return work
}

// runningWork is the expected remaining work of the running requests.
func (g *Gate) runningWork(now crid.Instant) time.Duration {
	work := time.Duration(0)
	for t := range g.running {
		mean := g.serviceTimes.Expected(t.request.Kind)
		work += max(mean-now.Sub(t.startedAt), time.Duration(minRemainingShare*float64(mean)))
	}
	return work
}

// dispatch assigns free slots to waiting requests.
func (g *Gate) dispatch(now crid.Instant) {
	for len(g.running) < g.slots && len(g.waiting) > 0 && g.limitedWait(now, 0) == 0 {
		g.reorder(now)
		i := g.next(now)
		t := g.waiting[i]
		g.waiting = slices.Delete(g.waiting, i, i+1)
		if now > t.request.LatestStart {
			g.refuse(t, ReasonFull, g.estimateWait(now, t.request, len(g.waiting)))
			continue
		}
		t.granted, t.startedAt = true, now
		g.startShare(now, t)
		g.running[t] = true
		g.warmup.Reserve(now)
		g.limit.Reserve(now)
		close(t.decided)
	}
}

// displace refuses waiting requests that would start too late even after half of
// their estimated wait, because more urgent ones have arrived. As they are
// refused at once, there is time to send them to another target.
func (g *Gate) displace(now crid.Instant) {
	if len(g.waiting) == 0 {
		return
	}
	work, running := g.waitingWork(len(g.waiting)), g.runningWork(now)
	for i := len(g.waiting) - 1; i >= 0; i-- {
		t := g.waiting[i]
		work -= g.serviceTimes.Expected(t.request.Kind)
		if now.Add(g.waitBehind(now, &t.request, i, work, running)/2) <= t.request.LatestStart {
			continue
		}
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.refuse(t, ReasonDisplaced, g.estimateWait(now, t.request, len(g.waiting)))
	}
}

// sweep refuses waiting requests whose latest start has passed.
func (g *Gate) sweep(now crid.Instant) {
	g.waiting = slices.DeleteFunc(g.waiting, func(t *Ticket) bool {
		if now <= t.request.LatestStart {
			return false
		}
		g.refuse(t, ReasonFull, g.serviceTimes.Expected(t.request.Kind))
		return true
	})
}

// release frees a request's slot.
func (g *Gate) release(now crid.Instant, t *Ticket) {
	t.ended = true
	delete(g.running, t)
	g.endShare(now, t)
	if !t.sent {
		g.warmup.Cancel()
		g.limit.Cancel()
	}
}

// refuse refuses a waiting request.
func (g *Gate) refuse(t *Ticket, r Reason, retryAfter time.Duration) {
	t.ended = true
	g.leaveShares(t)
	t.refusal = &Refusal{reason: r, retryAfter: retryAfter}
	close(t.decided)
}
