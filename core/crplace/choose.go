package crplace

import (
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crpolicy"
)

const (
	// roomy is the part of a target's slots up to which it is as good as idle.
	// Above it, what others send at the same moment would make requests wait.
	roomy = 0.85
	// draws is the number of targets compared: two or more keep the load even
	// although all daemons see the same board, and fewer than all keep them from
	// choosing the same target at once.
	draws = 3
	// speedWeight is what one more usual time of the service counts, in slots'
	// share. A target five times as slow loses against a full one.
	speedWeight = 0.6
	// coldWeight is what a target counts that has just started, in slots' share:
	// it takes twice as long for some seconds, so that half of its slots are as
	// good as taken.
	coldWeight = 0.5
	// sickWeight is what the probability of sickness counts, in slots' share, for
	// a request that cannot be sent again: one in ten is as bad as three tenths
	// of the slots taken. A target that has just done well then goes before one
	// of which nothing was heard for seconds; idempotent requests, which can be
	// sent again, find out about the latter.
	sickWeight = 3.0
	// trialShare is the part of the idempotent requests that may try a target
	// held to be sick, at most; the exits pace the trials of each.
	trialShare = 0.25
	// trialEvery is the least time between two trials of one target from here.
	trialEvery = 700 * time.Millisecond
)

// view is a candidate with what is known of it.
type view struct {
	Candidate
	state   *state
	use     float64 // share of the slots taken
	sick    float64
	avoided bool
	score   float64
}

func (v view) choice(trial, last bool) Choice {
	return Choice{Candidate: v.Candidate, Trial: trial, Last: last, Sick: v.sick, Use: v.use}
}

// Choose picks the target to offer a request to, or reports that none is left.
func (b *Board) Choose(now crid.Instant, all []Candidate, ask Ask) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	views := b.views(now, all, ask)
	if len(views) == 0 {
		return Choice{}, false
	}
	if v, ok := trial(now, views, ask); ok {
		v.state.trial = now
		return v.choice(true, false), true
	}
	well := filter(views, func(v view) bool { return v.sick < crjudge.Limit && !v.avoided })
	if v, ok := spared(views, well, ask); ok {
		return v.choice(false, true), true
	}
	near := filter(well, func(v view) bool { return v.Domain == ask.Domain && v.use < roomy })
	if len(near) > 0 {
		return best(near, ask).choice(false, false), true
	}
	free := filter(well, func(v view) bool { return v.use < 1 })
	if len(free) > 0 {
		return best(free, ask).choice(false, false), true
	}
	if len(well) > 0 {
		return best(well, ask).choice(false, false), true
	}
	return lastResort(views), true
}

func (b *Board) views(now crid.Instant, all []Candidate, ask Ask) []view {
	out := make([]view, 0, len(all))
	usual := b.usual(all)
	for _, c := range all {
		if slices.Contains(ask.Tried, c.Target) {
			continue
		}
		s := b.state(c.Target)
		if s.heard && s.told.Closed {
			continue
		}
		v := view{Candidate: c, state: s, sick: s.told.Sick}
		slots := c.Slots
		if s.heard && s.told.Slots > 0 {
			slots = s.told.Slots
		}
		v.use = float64(s.load) / float64(max(slots, 1))
		v.avoided = now.Before(s.avoid) || (ask.Silent != nil && ask.Silent(c.Daemon))
		v.score = v.use
		if c.Cold {
			v.score += coldWeight
		}
		if ask.Class == crpolicy.ClassOnce || len(ask.Tried) > 0 || ask.Bound {
			v.score += sickWeight * v.sick
		}
		if usual > 0 && s.told.Typical > 0 {
			v.score += speedWeight * (float64(s.told.Typical)/float64(usual) - 1)
		}
		out = append(out, v)
	}
	return out
}

// usual is the median time of the targets' requests.
func (b *Board) usual(all []Candidate) time.Duration {
	times := make([]time.Duration, 0, len(all))
	for _, c := range all {
		if s := b.states[c.Target]; s != nil && s.told.Typical > 0 {
			times = append(times, s.told.Typical)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// trial picks a target held to be sick for an idempotent request now and then:
// only a request can tell that it has recovered, and one that can be sent again
// loses nothing. One that could not, the budget for repeats being used up, would be
// lost where the target is still sick.
func trial(now crid.Instant, views []view, ask Ask) (view, bool) {
	if !ask.first() || ask.Bound || ask.Float() >= trialShare {
		return view{}, false
	}
	sick := filter(views, func(v view) bool {
		return v.sick >= crjudge.Limit && !v.avoided && v.use < roomy && now.Sub(v.state.trial) > trialEvery
	})
	if len(sick) == 0 || len(sick) == len(views) {
		return view{}, false
	}
	return sick[int(ask.Float()*float64(len(sick)))], true
}

// spared picks a sick target with room for an idempotent request while all well
// ones are busy. It may succeed there, and can still go to a well one if not; the
// slot that it leaves to a request which may run only once is worth more.
//
// Two kinds of request spare nothing. One that could not be sent again, its budget
// being used up, would as a rule be lost. And a call takes little of a well target's
// time, but lost it takes its parent with it, which may run only once and has done
// most of its work.
func spared(views, well []view, ask Ask) (view, bool) {
	if !ask.first() || ask.Bound || ask.Call {
		return view{}, false
	}
	if slices.ContainsFunc(well, func(v view) bool { return v.use < roomy }) {
		return view{}, false
	}
	sick := filter(views, func(v view) bool { return v.sick >= crjudge.Limit && !v.avoided && v.use < roomy })
	if len(sick) == 0 {
		return view{}, false
	}
	return best(sick, ask), true
}

// best draws a few and takes the one with the lowest score.
func best(views []view, ask Ask) view {
	chosen := views[int(ask.Float()*float64(len(views)))]
	for range draws - 1 {
		v := views[int(ask.Float()*float64(len(views)))]
		if v.score < chosen.score {
			chosen = v
		}
	}
	return chosen
}

func lastResort(views []view) Choice {
	chosen := slices.MinFunc(views, func(a, b view) int {
		switch {
		case a.avoided != b.avoided:
			if b.avoided {
				return -1
			}
			return 1
		case a.sick+a.use < b.sick+b.use:
			return -1
		case a.sick+a.use > b.sick+b.use:
			return 1
		}
		return 0
	})
	return chosen.choice(false, true)
}

func filter(views []view, keep func(view) bool) []view {
	out := make([]view, 0, len(views))
	for _, v := range views {
		if keep(v) {
			out = append(out, v)
		}
	}
	return out
}
