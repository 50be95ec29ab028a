package crroute

import (
	"slices"
	"sync/atomic"

	"camphorroad/core/crid"
)

// PickInfo is what a choice depends on besides the pool.
type PickInfo struct {
	Now   crid.Instant
	Tried []crid.Target   // targets that this request was already sent to
	IntN  func(n int) int // a random number in [0,n); safe for the caller's goroutine
}

// Picker picks a target of a pool. It must be safe for concurrent use.
// It reports false when no target is left that may take new work.
type Picker[C Candidate] interface {
	Pick(p *Pool[C], ask PickInfo) (C, bool)
}

// draws bounds the random probes before the pool is searched one by one.
const draws = 6

// localSlack is by how many requests a target of the own domain may be busier
// than a remote one and still be preferred.
const localSlack = 1

// TwoChoices picks the less loaded of two random targets, in the own domain
// unless another domain's are clearly less loaded.
type TwoChoices[C Candidate] struct{}

var _ Picker[*Target] = TwoChoices[*Target]{}

// Pick implements Chooser.
func (TwoChoices[C]) Pick(p *Pool[C], ask PickInfo) (C, bool) {
	near, okNear := twoOf(p.Local(), &ask)
	away, okAway := twoOf(p.Remote(), &ask)
	switch {
	case okNear && okAway:
		if near.Load().cost(ask.Now) <= away.Load().cost(ask.Now)+localSlack {
			return near, true
		}
		return away, true
	case okNear:
		return near, true
	case okAway:
		return away, true
	}
	return leastBad(p, &ask)
}

func twoOf[C Candidate](candidates []C, ask *PickInfo) (C, bool) {
	a, ok := draw(candidates, ask)
	if !ok {
		return a, false
	}
	b, _ := draw(candidates, ask)
	if b.Load().cost(ask.Now) < a.Load().cost(ask.Now) {
		return b, true
	}
	return a, true
}

// draw returns a random usable candidate. One in slow start is passed over in
// proportion to its weight: comparing its load alone would give it all work at
// once, since a target just back is the idlest of all.
func draw[C Candidate](candidates []C, ask *PickInfo) (C, bool) {
	var none C
	if len(candidates) == 0 {
		return none, false
	}
	for range draws {
		c := candidates[ask.IntN(len(candidates))]
		if ask.usable(c) && (c.Weight() >= FullWeight || ask.IntN(FullWeight) < c.Weight()) {
			return c, true
		}
	}
	return search(candidates, ask)
}

// search goes through all candidates and draws one by weight.
func search[C Candidate](candidates []C, ask *PickInfo) (C, bool) {
	var found C
	total := 0
	for _, c := range candidates {
		if !ask.usable(c) {
			continue
		}
		total += c.Weight()
		if ask.IntN(total) < c.Weight() {
			found = c
		}
	}
	return found, total > 0
}

func (a *PickInfo) usable(c Candidate) bool {
	return c.Status() == StatusReady && !c.Load().Avoided(a.Now) && !slices.Contains(a.Tried, c.Name())
}

// leastBad is for when every target is avoided or ejected: refusing all would
// turn a wrong verdict into an outage. It takes those only avoided first, and
// of them the one whose time of avoidance ends first. A leaving target is never
// taken, for its process is about to go.
func leastBad[C Candidate](p *Pool[C], ask *PickInfo) (C, bool) {
	var best C
	found := false
	for _, c := range p.all {
		if c.Status() == StatusLeaving || slices.Contains(ask.Tried, c.Name()) {
			continue
		}
		if !found || lessBad(c, best) {
			best = c
			found = true
		}
	}
	return best, found
}

func lessBad(a, b Candidate) bool {
	if a.Status() != b.Status() {
		return a.Status() < b.Status()
	}
	if a.Load().AvoidedUntil() != b.Load().AvoidedUntil() {
		return a.Load().AvoidedUntil().Before(b.Load().AvoidedUntil())
	}
	return a.Load().InFlight() < b.Load().InFlight()
}

// RoundRobin takes targets in turn, without regard to load, domain, weight or
// verdicts. It is the baseline in measurements.
type RoundRobin[C Candidate] struct {
	next atomic.Uint64
}

var _ Picker[*Target] = (*RoundRobin[*Target])(nil)

// Pick implements Chooser.
func (r *RoundRobin[C]) Pick(p *Pool[C], ask PickInfo) (C, bool) {
	var none C
	for range p.all {
		c := p.all[r.next.Add(1)%uint64(len(p.all))]
		if c.Status() != StatusLeaving && !slices.Contains(ask.Tried, c.Name()) {
			return c, true
		}
	}
	return none, false
}
