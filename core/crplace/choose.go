package crplace

import (
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crpace"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crtrial"
)

const (
	// lowUtilization is the utilization up to which a target counts as idle. Above it,
	// the requests that other daemons send at the same moment may have to wait.
	lowUtilization = 0.85
	// smallUtilization is the limit for small requests, in their own domain, at a service that
	// also gets large ones. The rest of the slots is left to large requests, whose bytes make
	// it expensive to send them to another domain.
	smallUtilization = 0.5
	// sampleSize is the number of targets compared. With two or more the load stays
	// even although all daemons use the same reports; with fewer than all, the daemons
	// do not choose the same target at once.
	sampleSize = 3
	// serviceTimeWeight is the utilization added to a target's score per unit of the
	// relative excess of its typical service time over the median of the service. A
	// target five times as slow then scores worse than a full one.
	serviceTimeWeight = 0.6
	// coldWeight is the utilization added to the score of a cold target. For some
	// seconds its requests take twice as long, which is as if half of its slots were
	// taken.
	coldWeight = 0.5
	// unhealthyWeight is the utilization added to the score per unit of the probability
	// of being unhealthy: a probability of 0.1 counts as three tenths of the slots. It
	// applies to a request that may run only once, was refused before or has no retry
	// left. Such a request prefers a target with a recent success to one without
	// responses for seconds. Other requests test the latter.
	unhealthyWeight = 3.0
	// trialInterval is the minimum time between two trials of one target by this
	// daemon.
	trialInterval = 700 * time.Millisecond
	// maxTrialOffers is the number of unhealthy targets that a trial is offered to, where trials are
	// scarce.
	maxTrialOffers = 3
	// minTrialIdle is the time for which a target must not have got a trial to get a scarce one.
	minTrialIdle = crtrial.Interval
	// maxBusyRefusals is the number of targets that may refuse one request because all of
	// their slots are taken. After that it waits in the queue of a target.
	maxBusyRefusals = 6
	// maxLocalBusyRefusals is the number of such refusals after which the request is offered
	// to all domains alike: its own domain is probably full, and others often are not.
	maxLocalBusyRefusals = 4
)

// FreeSlotOnly reports whether the exit should refuse the request if no slot is free,
// rather than queue it. In a large fleet an entry sends one target a request a minute, and
// its load reports are seconds old: a target that it takes for idle may have a queue, while
// another one has free slots. An offer takes milliseconds, and a place in a queue hundreds
// of them.
func (c Choice) FreeSlotOnly() bool {
	return !c.LastResort && !c.Trial && c.Utilization < 1 && c.busy < maxBusyRefusals
}

// scoredCandidate is a candidate with its state and score.
type scoredCandidate struct {
	Candidate
	state         *targetState
	utilization   float64 // share of the slots taken
	unhealthyProb float64
	avoided       bool
	score         float64
	trialIdle     time.Duration // see Choice.TrialIdle
	busy          int           // see Request.Busy
}

func (v scoredCandidate) choice(trial, lastResort bool) Choice {
	return Choice{
		Candidate: v.Candidate, Trial: trial, TrialIdle: v.trialIdle, LastResort: lastResort, UnhealthyProb: v.unhealthyProb, Utilization: v.utilization,
		Limit: v.state.limit, busy: v.busy,
	}
}

// expectedWait is the expected wait at the target. A target with a free slot has none.
func (v scoredCandidate) expectedWait() time.Duration {
	if v.utilization < 1 {
		return 0
	}
	typical := v.state.report.Typical
	if typical <= 0 {
		typical = crpace.DefaultServiceTime
	}
	return time.Duration(v.utilization * float64(typical))
}

// Choose returns the target to offer a request to, or false if none is left.
func (b *Balancer) Choose(now crid.Instant, all []Candidate, req Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.score(now, all, req)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if v, ok := b.trial(now, candidates, req); ok {
		v.state.lastTrial = now
		return v.choice(true, false), true
	}
	healthy := filter(candidates, func(v scoredCandidate) bool { return v.unhealthyProb < crjudge.Threshold && !v.avoided })
	if req.large() {
		if local := startingInTime(healthy, req.Domain, req.Slack); len(local) > 0 {
			return best(local, req).choice(false, false), true
		}
	}
	if v, ok := overflow(candidates, healthy, req); ok {
		return v.choice(false, true), true
	}
	limit := req.ownDomainLimit()
	local := filter(healthy, func(v scoredCandidate) bool { return v.Domain == req.Domain && v.utilization < limit })
	if len(local) > 0 && req.Busy < maxLocalBusyRefusals {
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

// startingInTime returns the healthy targets of the own domain that are expected to start a
// request with large bodies in time. The request may queue there although targets of other
// domains have free slots.
func startingInTime(healthy []scoredCandidate, own crid.Domain, slack time.Duration) []scoredCandidate {
	return filter(healthy, func(v scoredCandidate) bool { return v.Domain == own && v.expectedWait() <= max(slack, 0) })
}

func (b *Balancer) score(now crid.Instant, all []Candidate, req Request) []scoredCandidate {
	out := make([]scoredCandidate, 0, len(all))
	typical := b.medianTypical(all)
	for _, c := range all {
		if slices.Contains(req.Tried, c.Target) || (req.Allowed != nil && !req.Allowed(c.Domain)) {
			continue
		}
		s := b.state(c.Target)
		if (s.reported && s.report.Closed) || s.leaves(c) {
			continue
		}
		v := scoredCandidate{Candidate: c, state: s, unhealthyProb: s.report.UnhealthyProb, busy: req.Busy}
		slots := c.Slots
		if s.reported && s.report.Slots > 0 {
			slots = s.report.Slots
		}
		v.utilization = float64(s.load) / float64(max(slots, 1))
		v.avoided = now.Before(s.avoidUntil) || (req.Unresponsive != nil && req.Unresponsive(c.Daemon))
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

// medianTypical returns the median of the targets' typical service times.
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

// trial picks an unhealthy target for a share of the idempotent requests, since only a
// request can show that a target has recovered. The exits limit the rate of trials of each
// target. A request without retries left is not used: it would be lost if the target is
// still unhealthy. Where trials are scarce, a retry that the pool may grant suffices, since the
// part of a daemon in the budget covers one trial in many seconds. A request with large bodies tries targets of its own domain only.
func (b *Balancer) trial(now crid.Instant, candidates []scoredCandidate, req Request) (scoredCandidate, bool) {
	retrial := req.isRefusedTrial()
	if !req.firstTry() && !retrial {
		return scoredCandidate{}, false
	}
	if req.Busy == 0 && !retrial {
		b.trials.Record(now, req.Service)
	}
	large := req.large()
	unhealthy := filter(candidates, func(v scoredCandidate) bool {
		return v.unhealthyProb >= crjudge.Threshold && (!large || v.Domain == req.Domain)
	})
	share := b.trials.Share(now, req.Service, len(unhealthy), req.FleetSize)
	scarce := share > crtrial.MinShare
	canRetry := !req.NoRetry || (req.PooledRetry && scarce)
	if !canRetry || (!retrial && req.Rand() >= share) {
		return scoredCandidate{}, false
	}
	usable := filter(unhealthy, func(v scoredCandidate) bool {
		return !v.avoided && v.utilization < lowUtilization && now.Sub(v.state.lastTrial) > trialInterval
	})
	if len(usable) == 0 || len(usable) == len(candidates) {
		return scoredCandidate{}, false
	}
	v := usable[int(req.Rand()*float64(len(usable)))]
	if scarce && req.RefusedTrials < maxTrialOffers-1 {
		v.trialIdle = minTrialIdle
	}
	return v, true
}

// overflow picks an unhealthy target with free slots for an idempotent request while
// all healthy ones are busy. The request may succeed there, and can be retried on a
// healthy target otherwise. A slot of a healthy target stays free for a request that
// may run only once.
//
// Two kinds of request do not overflow. A request without retries left would usually be
// lost. A nested call takes little of a healthy target's time, but if it fails, so does
// its parent, which may run only once and has done most of its work.
func overflow(candidates, healthy []scoredCandidate, req Request) (scoredCandidate, bool) {
	if !req.firstTry() || req.NoRetry || req.Nested {
		return scoredCandidate{}, false
	}
	if slices.ContainsFunc(healthy, func(v scoredCandidate) bool { return v.utilization < lowUtilization }) {
		return scoredCandidate{}, false
	}
	unhealthy := filter(candidates, func(v scoredCandidate) bool {
		return v.unhealthyProb >= crjudge.Threshold && !v.avoided && v.utilization < lowUtilization
	})
	if len(unhealthy) == 0 {
		return scoredCandidate{}, false
	}
	return best(unhealthy, req), true
}

// best returns the candidate with the lowest score in a random sample.
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

// lastResort picks the target that is least unhealthy and busy, preferably one that is
// not avoided.
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
