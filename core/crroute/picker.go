package crroute

import (
	"slices"
	"sync/atomic"

	"camphorroad/core/crid"
)

// PickInfo is the input of a pick besides the pool.
type PickInfo struct {
	Now   crid.Instant
	Tried []crid.Target   // targets that the request was already sent to
	IntN  func(n int) int // a random number in [0,n); safe for the caller's goroutine
}

// Picker picks a target from a pool. It must be safe for concurrent use. It
// reports false when no target may take new work.
type Picker[C Candidate] interface {
	Pick(p *Pool[C], info PickInfo) (C, bool)
}

// maxDraws bounds the random draws before all candidates are searched.
const maxDraws = 6

// localPreference is the amount by which the cost of a local target may exceed
// that of a remote one while the local one is still preferred.
const localPreference = 1

// TwoChoices picks the less loaded of two random targets (power of two choices),
// from the local domain unless a remote target has clearly less load.
type TwoChoices[C Candidate] struct{}

var _ Picker[*Target] = TwoChoices[*Target]{}

// Pick implements Picker.
func (TwoChoices[C]) Pick(p *Pool[C], info PickInfo) (C, bool) {
	local, okLocal := lessLoadedOfTwo(p.Local(), &info)
	remote, okRemote := lessLoadedOfTwo(p.Remote(), &info)
	switch {
	case okLocal && okRemote:
		if local.Load().cost(info.Now) <= remote.Load().cost(info.Now)+localPreference {
			return local, true
		}
		return remote, true
	case okLocal:
		return local, true
	case okRemote:
		return remote, true
	}
	return lastResort(p, &info)
}

func lessLoadedOfTwo[C Candidate](candidates []C, info *PickInfo) (C, bool) {
	a, ok := draw(candidates, info)
	if !ok {
		return a, false
	}
	b, _ := draw(candidates, info)
	if b.Load().cost(info.Now) < a.Load().cost(info.Now) {
		return b, true
	}
	return a, true
}

// draw returns a random usable candidate. A candidate in slow start is accepted
// with a probability proportional to its weight. Compared by load alone it would
// get all work at once, since a target that has just returned has the least load.
func draw[C Candidate](candidates []C, info *PickInfo) (C, bool) {
	var zero C
	if len(candidates) == 0 {
		return zero, false
	}
	for range maxDraws {
		c := candidates[info.IntN(len(candidates))]
		if info.usable(c) && (c.Weight() >= FullWeight || info.IntN(FullWeight) < c.Weight()) {
			return c, true
		}
	}
	return drawByWeight(candidates, info)
}

// drawByWeight draws one of all usable candidates, with probabilities proportional
// to their weights.
func drawByWeight[C Candidate](candidates []C, info *PickInfo) (C, bool) {
	var found C
	total := 0
	for _, c := range candidates {
		if !info.usable(c) {
			continue
		}
		total += c.Weight()
		if info.IntN(total) < c.Weight() {
			found = c
		}
	}
	return found, total > 0
}

func (i *PickInfo) usable(c Candidate) bool {
	return c.Status() == StatusReady && !c.Load().Avoided(i.Now) && !slices.Contains(i.Tried, c.Name())
}

// lastResort picks a target when every one is avoided or ejected. Refusing all
// requests would turn a wrong ejection into an outage. Avoided targets come before
// ejected ones; among the avoided, the one whose avoidance ends first is picked. A
// leaving target is never picked, since its process is about to exit.
func lastResort[C Candidate](p *Pool[C], info *PickInfo) (C, bool) {
	var best C
	found := false
	for _, c := range p.all {
		if c.Status() == StatusLeaving || slices.Contains(info.Tried, c.Name()) {
			continue
		}
		if !found || preferred(c, best) {
			best = c
			found = true
		}
	}
	return best, found
}

func preferred(a, b Candidate) bool {
	if a.Status() != b.Status() {
		return a.Status() < b.Status()
	}
	if a.Load().AvoidedUntil() != b.Load().AvoidedUntil() {
		return a.Load().AvoidedUntil().Before(b.Load().AvoidedUntil())
	}
	return a.Load().InFlight() < b.Load().InFlight()
}

// RoundRobin picks targets in turn, regardless of load, domain, weight, avoidance
// and ejection. It is the baseline that other pickers are compared with.
type RoundRobin[C Candidate] struct {
	next atomic.Uint64
}

var _ Picker[*Target] = (*RoundRobin[*Target])(nil)

// Pick implements Picker.
func (r *RoundRobin[C]) Pick(p *Pool[C], info PickInfo) (C, bool) {
	var zero C
	for range p.all {
		c := p.all[r.next.Add(1)%uint64(len(p.all))]
		if c.Status() != StatusLeaving && !slices.Contains(info.Tried, c.Name()) {
			return c, true
		}
	}
	return zero, false
}
