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

func (v *evaluation) evidenceOver(spanIndex int) map[crid.Target]Evidence {
	if v.bySpan[spanIndex] == nil {
		v.bySpan[spanIndex] = make(map[crid.Target]Evidence, len(v.targets))
		for _, target := range v.targets {
			cold := v.state.isCold(v.state.placements[target])
			v.bySpan[spanIndex][target] = v.detector.records[target].evidence(v.state, judgedSpans[spanIndex], cold)
		}
	}
	return v.bySpan[spanIndex]
}

// comparison returns the evidence on a target and on its peers over one span: the
// shortest one with minAttempts on the target, or the longest one if the target is an
// outlier by wrong responses there.
//
// The target and its peers are compared over the same span. If each had its own, then
// at the moment when all become slow, those with a short span would look unhealthy in
// comparison with those whose longer span still contains the time before.
func (v *evaluation) comparison(target crid.Target) (Evidence, []Evidence) {
	spanIndex := 0
	for spanIndex < len(judgedSpans)-1 && v.evidenceOver(spanIndex)[target].N < minAttempts {
		spanIndex++
	}
	if longest := len(judgedSpans) - 1; v.isOutlierByWrongResponses(target, longest) {
		spanIndex = longest
	}
	return v.evidenceOver(spanIndex)[target], v.peers(target, spanIndex)
}

// isOutlierByWrongResponses reports whether the target is an outlier by wrong responses
// over a span. A healthy target gives none at all, so those of a long span may be added
// up: a small share of wrong responses would be too rare in a short span.
func (v *evaluation) isOutlierByWrongResponses(target crid.Target, spanIndex int) bool {
	own := v.evidenceOver(spanIndex)[target]
	return own.Wrong >= minWrong && judgeWrong(own, v.peers(target, spanIndex)).Cause != CauseNone
}

// peers returns the evidence on all other targets.
func (v *evaluation) peers(target crid.Target, spanIndex int) []Evidence {
	peers := make([]Evidence, 0, len(v.targets))
	for _, name := range v.targets {
		if name != target {
			peers = append(peers, v.evidenceOver(spanIndex)[name])
		}
	}
	return peers
}

// peersFailedRecently reports whether, in any span, the peers failed as often as the
// target does in e.
//
// When a shared dependency recovers, the targets recover one after another. If daemons
// still avoid one of them locally, its only evidence is its failures from the common
// outage, while its peers respond again. Without this check it would be ejected.
func (v *evaluation) peersFailedRecently(target crid.Target, e Evidence) bool {
	for spanIndex := range judgedSpans {
		if typical, ok := medianBadRate(v.peers(target, spanIndex)); ok && !failsMoreThan(e, typical) {
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
// and reports whether they suffice. Wrong responses need only one judgement. If the
// target itself reports that it is unhealthy, one fewer is needed.
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
