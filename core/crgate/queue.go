package crgate

import (
	"slices"
	"time"

	"camphorroad/core/crid"
)

// remaining is the share of its kind's time that a request is reckoned to take on at
// least, however long it runs already.
const remaining = 0.3

// before reports whether a request goes before another one that came earlier.
//
// A call goes before all else: its parent holds a slot while it waits, and if it
// comes too late, the parent has worked in vain. At targets that are full of longer
// requests calls would come last, and take their parents with them.
func (a Request) before(b Request) bool {
	if a.Nested != b.Nested {
		return a.Nested
	}
	return a.Priority < b.Priority
}

// place is where in the queue a request belongs.
func (g *Gate) place(ask Request) int {
	i := len(g.waiting)
	for i > 0 && ask.before(g.waiting[i-1].ask) {
		i--
	}
	return i
}

// wait estimates the time until a request with so many before it has a slot: the work
// that is before it, shared by the slots.
func (g *Gate) wait(now crid.Instant, ahead int) time.Duration {
	if ahead == 0 && len(g.running) < g.slots {
		return 0
	}
	work := time.Duration(0)
	for t := range g.running {
		usual := g.paces.Typical(t.ask.Kind)
		work += max(usual-now.Sub(t.began), time.Duration(remaining*float64(usual)))
	}
	for _, t := range g.waiting[:ahead] {
		work += g.paces.Typical(t.ask.Kind)
	}
	return work / time.Duration(g.slots)
}

// dispatch gives free slots to what waits.
func (g *Gate) dispatch(now crid.Instant) {
	for len(g.running) < g.slots && len(g.waiting) > 0 {
		t := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		if now > t.ask.LatestStart {
			g.refuse(t, ReasonFull, g.wait(now, len(g.waiting)))
			continue
		}
		t.granted, t.began = true, now
		g.running[t] = true
		close(t.decided)
	}
}

// displace refuses waiting requests whose start has moved out of reach, since
// more urgent ones came. Told at once, they can still go to another target.
func (g *Gate) displace(now crid.Instant) {
	for i := len(g.waiting) - 1; i >= 0; i-- {
		t := g.waiting[i]
		if now.Add(g.wait(now, i)/2) <= t.ask.LatestStart {
			continue
		}
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.refuse(t, ReasonDisplaced, g.wait(now, len(g.waiting)))
	}
}

// sweep refuses what has waited in vain.
func (g *Gate) sweep(now crid.Instant) {
	g.waiting = slices.DeleteFunc(g.waiting, func(t *Ticket) bool {
		if now <= t.ask.LatestStart {
			return false
		}
		g.refuse(t, ReasonFull, g.paces.Typical(t.ask.Kind))
		return true
	})
}

// free gives a request's slot back.
func (g *Gate) free(t *Ticket) {
	t.ended = true
	delete(g.running, t)
}

func (g *Gate) refuse(t *Ticket, r Reason, retry time.Duration) {
	t.ended = true
	t.refusal = &Refusal{reason: r, retryAfter: retry}
	close(t.decided)
}
