package crhealth

import (
	"slices"
	"time"

	"camphorroad/core/crid"
)

// evaluation holds the evidence on the targets of a service that are not ejected, for
// each span. It is computed on demand.
type evaluation struct {
	state    *State
	detector *detector
	targets  []crid.Target
	bySpan   [len(judgedSpans)]map[crid.Target]Evidence
	limit    time.Duration // cache of overdueLimit; zero: not computed
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

// comparison returns the evidence on a target and on its peers over one span: the
// shortest one with minAttempts on the target, or the longest one if the target is an
// outlier for wrong responses there.
//
// All targets are compared over the same span. If each had its own, then at the moment
// when all become slow, those with a short span would look unhealthy beside those
// whose longer span still contains the time before.
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

// wrongStandsOut reports whether the target is an outlier for wrong responses over a
// span. A healthy target gives none at all, so those of a long span may be added up: a
// small share of wrong responses would be too rare in a short span.
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

// peersFailedRecently reports whether, in any span, the peers failed as often as the
// target does in e.
//
// When a shared dependency recovers, the targets recover one after another. A daemon
// that still avoids one of them locally has only its failures from the common outage,
// beside peers that respond again, and the target would be ejected.
func (v *evaluation) peersFailedRecently(target crid.Target, e Evidence) bool {
	for span := range judgedSpans {
		if typical, ok := medianBadRate(v.peers(target, span)); ok && !failsMoreThan(e, typical) {
			return true
		}
	}
	return false
}

// unhealthyTargets judges each target against its peers and returns those confirmed
// unhealthy, in descending order of score.
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

// confirmUnhealthy counts the consecutive judgements that found the target unhealthy
// and reports whether they suffice. Wrong responses need only one judgement. A bad
// report of the target itself saves one.
func (s *State) confirmUnhealthy(v *evaluation, target crid.Target) bool {
	r := v.detector.records[target]
	if !r.updated {
		return r.suspicion >= s.params.Confirmations
	}
	r.updated = false
	e, peers := v.comparison(target)
	r.finding = s.params.Judge.Judge(e, peers)
	if r.finding.Cause == CauseFailing && !s.params.LocalOnly && v.peersFailedRecently(target, e) {
		r.finding = Finding{}
	}
	if r.finding.Cause == CauseNone && s.params.DetectStalls {
		r.finding = v.judgeStall(target)
	}
	if r.finding.Cause == CauseNone {
		r.suspicion = 0
		r.keptForFloor = false
		return false
	}
	r.suspicion++
	if r.finding.Cause == CauseWrong {
		r.suspicion = max(r.suspicion, s.params.Confirmations)
	}
	if e.ReportedUnhealthy && r.suspicion == s.params.Confirmations-1 {
		r.suspicion++
	}
	return r.suspicion >= s.params.Confirmations
}
