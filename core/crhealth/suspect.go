package crhealth

import (
	"slices"
	"time"

	"camphorroad/core/crid"
)

// survey holds the evidence on the targets of a service that take work, over
// each span; it is worked out when first asked for.
type evaluation struct {
	state    *State
	detector *detector
	targets  []crid.Target
	bySpan   [len(judgedSpans)]map[crid.Target]Evidence
	limit    time.Duration // of a wait; zero: not worked out
}

func (s *State) evaluate(d *detector) *evaluation {
	v := &evaluation{state: s, detector: d}
	for _, target := range d.targets() {
		if s.placements[target] != nil && !d.records[target].ejected {
			v.targets = append(v.targets, target)
		}
	}
	return v
}

func (v *evaluation) evidenceOver(span int) map[crid.Target]Evidence {
	if v.bySpan[span] == nil {
		v.bySpan[span] = make(map[crid.Target]Evidence, len(v.targets))
		for _, target := range v.targets {
			cold := v.state.isCold(v.state.placements[target])
			v.bySpan[span][target] = v.detector.records[target].evidence(v.state, judgedSpans[span], cold)
		}
	}
	return v.bySpan[span]
}

// compare returns a target's evidence over the shortest span that is enough for
// it, or over the longest where that shows it wrong, and that of its peers over
// the same span.
//
// If each target had a span of its own, then in the moment when all grow slow
// those with a short span would look sick beside those whose longer span still
// is full of the time before.
func (v *evaluation) comparison(target crid.Target) (Evidence, []Evidence) {
	span := 0
	for span < len(judgedSpans)-1 && v.evidenceOver(span)[target].N < minAttempts {
		span++
	}
	if long := len(judgedSpans) - 1; v.wrongStandsOut(target, long) {
		span = long
	}
	return v.evidenceOver(span)[target], v.peers(target, span)
}

// wrongOver reports whether the target's wrong answers stand out over a span.
// A healthy target gives none at all, so that those of a long time may be added
// up: few wrong ones among many would else come too seldom for a short span.
func (v *evaluation) wrongStandsOut(target crid.Target, span int) bool {
	own := v.evidenceOver(span)[target]
	return own.Wrong >= minWrong && judgeWrong(own, v.peers(target, span)).Cause != CauseNone
}

// peers returns the evidence on all other targets.
func (v *evaluation) peers(target crid.Target, span int) []Evidence {
	peers := make([]Evidence, 0, len(v.targets))
	for _, name := range v.targets {
		if name != target {
			peers = append(peers, v.evidenceOver(span)[name])
		}
	}
	return peers
}

// sharedOfLate reports whether the peers failed as much a short while ago.
//
// When what all targets depend on comes back, they recover one after another. A
// daemon that still avoids one has nothing but its failures of the common outage,
// beside peers that answer again, and would take it out just then.
func (v *evaluation) peersFailedRecently(target crid.Target, e Evidence) bool {
	for span := range judgedSpans {
		if typical, ok := medianBadRate(v.peers(target, span)); ok && !failsMoreThan(e, typical) {
			return true
		}
	}
	return false
}

// suspects judges each target against its peers and returns those confirmed
// sick, worst first.
func (s *State) unhealthyTargets(d *detector) []crid.Target {
	v := s.evaluate(d)
	var unhealthy []crid.Target
	for _, target := range v.targets {
		if s.confirmUnhealthy(v, target) {
			unhealthy = append(unhealthy, target)
		}
	}
	slices.SortStableFunc(unhealthy, d.byScore)
	return unhealthy
}

// confirm counts the judgements in a row that found the target sick. Wrong
// answers need one only; a bad report of the target itself saves one.
func (s *State) confirmUnhealthy(v *evaluation, target crid.Target) bool {
	r := v.detector.records[target]
	if !r.updated {
		return r.suspicion >= s.params.Confirm
	}
	r.updated = false
	e, peers := v.comparison(target)
	r.finding = s.params.Judge.Judge(e, peers)
	if r.finding.Cause == CauseFailing && !s.params.LocalOnly && v.peersFailedRecently(target, e) {
		r.finding = Finding{}
	}
	if r.finding.Cause == CauseNone && s.params.Stalls {
		r.finding = v.judgeStall(target)
	}
	if r.finding.Cause == CauseNone {
		r.suspicion = 0
		r.keptForFloor = false
		return false
	}
	r.suspicion++
	if r.finding.Cause == CauseWrong {
		r.suspicion = max(r.suspicion, s.params.Confirm)
	}
	if e.ReportedUnhealthy && r.suspicion == s.params.Confirm-1 {
		r.suspicion++
	}
	return r.suspicion >= s.params.Confirm
}
