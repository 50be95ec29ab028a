package crhealth

import (
	"slices"
	"time"

	"camphorroad/core/crid"
)

// survey holds the evidence on the targets of a service that take work, over
// each span; it is worked out when first asked for.
type survey struct {
	state   *State
	docket  *docket
	targets []crid.Target
	spans   [len(spans)]map[crid.Target]Evidence
	limit   time.Duration // of a wait; zero: not worked out
}

func (s *State) survey(d *docket) *survey {
	v := &survey{state: s, docket: d}
	for _, target := range d.targets() {
		if s.places[target] != nil && !d.records[target].ejected {
			v.targets = append(v.targets, target)
		}
	}
	return v
}

func (v *survey) over(span int) map[crid.Target]Evidence {
	if v.spans[span] == nil {
		v.spans[span] = make(map[crid.Target]Evidence, len(v.targets))
		for _, target := range v.targets {
			cold := v.state.coldNow(v.state.places[target])
			v.spans[span][target] = v.docket.records[target].evidence(v.state, spans[span], cold)
		}
	}
	return v.spans[span]
}

// compare returns a target's evidence over the shortest span that is enough for
// it, or over the longest where that shows it wrong, and that of its peers over
// the same span.
//
// If each target had a span of its own, then in the moment when all grow slow
// those with a short span would look sick beside those whose longer span still
// is full of the time before.
func (v *survey) compare(target crid.Target) (Evidence, []Evidence) {
	span := 0
	for span < len(spans)-1 && v.over(span)[target].N < enough {
		span++
	}
	if long := len(spans) - 1; v.wrongOver(target, long) {
		span = long
	}
	return v.over(span)[target], v.peers(target, span)
}

// wrongOver reports whether the target's wrong answers stand out over a span.
// A healthy target gives none at all, so that those of a long time may be added
// up: few wrong ones among many would else come too seldom for a short span.
func (v *survey) wrongOver(target crid.Target, span int) bool {
	own := v.over(span)[target]
	return own.Wrong >= minWrong && judgeWrong(own, v.peers(target, span)).Cause != CauseNone
}

// peers returns the evidence on all other targets.
func (v *survey) peers(target crid.Target, span int) []Evidence {
	peers := make([]Evidence, 0, len(v.targets))
	for _, name := range v.targets {
		if name != target {
			peers = append(peers, v.over(span)[name])
		}
	}
	return peers
}

// sharedOfLate reports whether the peers failed as much a short while ago.
//
// When what all targets depend on comes back, they recover one after another. A
// daemon that still avoids one has nothing but its failures of the common outage,
// beside peers that answer again, and would take it out just then.
func (v *survey) sharedOfLate(target crid.Target, e Evidence) bool {
	for span := range spans {
		if usual, ok := usualRate(v.peers(target, span)); ok && !failsMore(e, usual) {
			return true
		}
	}
	return false
}

// suspects judges each target against its peers and returns those confirmed
// sick, worst first.
func (s *State) suspects(d *docket) []crid.Target {
	v := s.survey(d)
	var sick []crid.Target
	for _, target := range v.targets {
		if s.confirm(v, target) {
			sick = append(sick, target)
		}
	}
	slices.SortStableFunc(sick, d.worse)
	return sick
}

// confirm counts the judgements in a row that found the target sick. Wrong
// answers need one only; a bad report of the target itself saves one.
func (s *State) confirm(v *survey, target crid.Target) bool {
	r := v.docket.records[target]
	if !r.fresh {
		return r.suspicion >= s.params.Confirm
	}
	r.fresh = false
	e, peers := v.compare(target)
	r.finding = s.params.Judge.Judge(e, peers)
	if r.finding.Cause == CauseFailing && !s.params.Alone && v.sharedOfLate(target, e) {
		r.finding = Finding{}
	}
	if r.finding.Cause == CauseNone && s.params.Stalls {
		r.finding = v.judgeStall(target)
	}
	if r.finding.Cause == CauseNone {
		r.suspicion = 0
		r.kept = false
		return false
	}
	r.suspicion++
	if r.finding.Cause == CauseWrong {
		r.suspicion = max(r.suspicion, s.params.Confirm)
	}
	if e.Hint && r.suspicion == s.params.Confirm-1 {
		r.suspicion++
	}
	return r.suspicion >= s.params.Confirm
}
