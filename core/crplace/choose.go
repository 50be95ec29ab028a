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
	lowUtilization = 0.85
	// draws is the number of targets compared: two or more keep the load even
	// although all daemons see the same board, and fewer than all keep them from
	// choosing the same target at once.
	sampleSize = 3
	// speedWeight is what one more usual time of the service counts, in slots'
	// share. A target five times as slow loses against a full one.
	serviceTimeWeight = 0.6
	// coldWeight is what a target counts that has just started, in slots' share:
	// it takes twice as long for some seconds, so that half of its slots are as
	// good as taken.
	coldWeight = 0.5
	// sickWeight is what the probability of sickness counts, in slots' share, for
	// a request that cannot be sent again: one in ten is as bad as three tenths
	// of the slots taken. A target that has just done well then goes before one
	// of which nothing was heard for seconds; idempotent requests, which can be
	// sent again, find out about the latter.
	unhealthyWeight = 3.0
	// trialShare is the part of the idempotent requests that may try a target
	// held to be sick, at most; the exits pace the trials of each.
	trialShare = 0.25
	// trialEvery is the least time between two trials of one target from here.
	trialInterval = 700 * time.Millisecond
)

// view is a candidate with what is known of it.
type scoredCandidate struct {
	Candidate
	state         *targetState
	utilization   float64 // share of the slots taken
	unhealthyProb float64
	avoided       bool
	score         float64
}

func (v scoredCandidate) choice(trial, last bool) Choice {
	return Choice{Candidate: v.Candidate, Trial: trial, LastResort: last, UnhealthyProb: v.unhealthyProb, Utilization: v.utilization}
}

// Choose picks the target to offer a request to, or reports that none is left.
func (b *Balancer) Choose(now crid.Instant, all []Candidate, req Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.score(now, all, req)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if v, ok := trial(now, candidates, req); ok {
		v.state.lastTrial = now
		return v.choice(true, false), true
	}
	healthy := filter(candidates, func(v scoredCandidate) bool { return v.unhealthyProb < crjudge.Limit && !v.avoided })
	if v, ok := overflow(candidates, healthy, req); ok {
		return v.choice(false, true), true
	}
	local := filter(healthy, func(v scoredCandidate) bool { return v.Domain == req.Domain && v.utilization < lowUtilization })
	if len(local) > 0 {
		return best(local, req).choice(false, false), true
	}
	free := filter(healthy, func(v scoredCandidate) bool { return v.utilization < 1 })
	if len(free) > 0 {
		return best(free, req).choice(false, false), true
	}
	if len(healthy) > 0 {
		return best(healthy, req).choice(false, false), true
	}
	return lastResort(candidates), true
}

func (b *Balancer) score(now crid.Instant, all []Candidate, req Request) []scoredCandidate {
	out := make([]scoredCandidate, 0, len(all))
	typical := b.medianTypical(all)
	for _, c := range all {
		if slices.Contains(req.Tried, c.Target) {
			continue
		}
		s := b.state(c.Target)
		if s.reported && s.report.Closed {
			continue
		}
		v := scoredCandidate{Candidate: c, state: s, unhealthyProb: s.report.UnhealthyProb}
		slots := c.Slots
		if s.reported && s.report.Slots > 0 {
			slots = s.report.Slots
		}
		v.utilization = float64(s.load) / float64(max(slots, 1))
		v.avoided = now.Before(s.avoidUntil) || (req.Silent != nil && req.Silent(c.Daemon))
		v.score = v.utilization
		if c.Cold {
			v.score += coldWeight
		}
		if req.Class == crpolicy.ClassOnce || len(req.Tried) > 0 || req.NoRetry {
			v.score += unhealthyWeight * v.unhealthyProb
		}
		if typical > 0 && s.report.Typical > 0 {
			v.score += serviceTimeWeight * (float64(s.report.Typical)/float64(typical) - 1)
		}
		out = append(out, v)
	}
	return out
}

// usual is the median time of the targets' requests.
func (b *Balancer) medianTypical(all []Candidate) time.Duration {
	times := make([]time.Duration, 0, len(all))
	for _, c := range all {
		if s := b.states[c.Target]; s != nil && s.report.Typical > 0 {
			times = append(times, s.report.Typical)
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
func trial(now crid.Instant, candidates []scoredCandidate, req Request) (scoredCandidate, bool) {
	if !req.firstTry() || req.NoRetry || req.Rand() >= trialShare {
		return scoredCandidate{}, false
	}
	unhealthy := filter(candidates, func(v scoredCandidate) bool {
		return v.unhealthyProb >= crjudge.Limit && !v.avoided && v.utilization < lowUtilization && now.Sub(v.state.lastTrial) > trialInterval
	})
	if len(unhealthy) == 0 || len(unhealthy) == len(candidates) {
		return scoredCandidate{}, false
	}
	return unhealthy[int(req.Rand()*float64(len(unhealthy)))], true
}

// spared picks a sick target with room for an idempotent request while all well
// ones are busy. It may succeed there, and can still go to a well one if not; the
// slot that it leaves to a request which may run only once is worth more.
//
// Two kinds of request spare nothing. One that could not be sent again, its budget
// being used up, would as a rule be lost. And a call takes little of a well target's
// time, but lost it takes its parent with it, which may run only once and has done
// most of its work.
func overflow(candidates, healthy []scoredCandidate, req Request) (scoredCandidate, bool) {
	if !req.firstTry() || req.NoRetry || req.Nested {
		return scoredCandidate{}, false
	}
	if slices.ContainsFunc(healthy, func(v scoredCandidate) bool { return v.utilization < lowUtilization }) {
		return scoredCandidate{}, false
	}
	unhealthy := filter(candidates, func(v scoredCandidate) bool {
		return v.unhealthyProb >= crjudge.Limit && !v.avoided && v.utilization < lowUtilization
	})
	if len(unhealthy) == 0 {
		return scoredCandidate{}, false
	}
	return best(unhealthy, req), true
}

// best draws a few and takes the one with the lowest score.
func best(candidates []scoredCandidate, req Request) scoredCandidate {
	chosen := candidates[int(req.Rand()*float64(len(candidates)))]
	for range sampleSize - 1 {
		v := candidates[int(req.Rand()*float64(len(candidates)))]
		if v.score < chosen.score {
			chosen = v
		}
	}
	return chosen
}

func lastResort(candidates []scoredCandidate) Choice {
	chosen := slices.MinFunc(candidates, func(a, b scoredCandidate) int {
		switch {
		case a.avoided != b.avoided:
			if b.avoided {
				return -1
			}
			return 1
		case a.unhealthyProb+a.utilization < b.unhealthyProb+b.utilization:
			return -1
		case a.unhealthyProb+a.utilization > b.unhealthyProb+b.utilization:
			return 1
		}
		return 0
	})
	return chosen.choice(false, true)
}

func filter(candidates []scoredCandidate, keep func(scoredCandidate) bool) []scoredCandidate {
	out := make([]scoredCandidate, 0, len(candidates))
	for _, v := range candidates {
		if keep(v) {
			out = append(out, v)
		}
	}
	return out
}
