package crdaemon

import (
	"time"

	"camphorroad/core/craccount"
	"camphorroad/core/crevent"
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crview"
	"camphorroad/io/crentry"
)

// steer takes the health side's word on one service's targets.
func (s *shell) steer(eff crhealth.RoutingUpdate) {
	s.steers[eff.Service] = eff
	s.dirty = true
}

// expireSteers drops what holds no more, also when no newer word comes: were a
// verdict to outlive its arbiter here, the next arbiter's ejections would come
// on top of it and push the service below its floor.
func (s *shell) expireSteers(now crid.Instant) {
	for service, eff := range s.steers {
		if !now.Before(eff.Until) {
			delete(s.steers, service)
			s.dirty = true
		}
	}
}

// steerTargets is the word on every target that has one.
func (s *shell) steerTargets() map[crid.Target]crview.TargetHealth {
	targets := make(map[crid.Target]crview.TargetHealth)
	for _, eff := range s.steers {
		for _, t := range eff.Targets {
			targets[t.Target] = crview.TargetHealth{Ejected: t.Ejected, Weight: t.Weight}
		}
	}
	return targets
}

// observe records what an attempt showed of a target; traffic goroutines call it.
func (s *shell) observe(_ crid.Service, target crid.Target, account crid.Account, o crentry.Outcome, took time.Duration) {
	s.recorder.Record(target, resultOf(o), took, account)
}

func resultOf(o crentry.Outcome) crhealth.Result {
	switch o {
	case crentry.OutcomeOK:
		return crhealth.ResultOK
	case crentry.OutcomeFailed:
		return crhealth.ResultFailed
	case crentry.OutcomeWrong:
		return crhealth.ResultWrong
	case crentry.OutcomeStalled:
		return crhealth.ResultStalled
	case crentry.OutcomeShed:
		return crhealth.ResultShed
	case crentry.OutcomeUnreachable:
		return crhealth.ResultUnreachable
	}
	return crhealth.ResultUnreachable
}

// probeResult is the evidence of a probe with a known answer.
func probeResult(ok bool) crhealth.Result {
	if ok {
		return crhealth.ResultOK
	}
	return crhealth.ResultWrong
}

// drained returns the traffic side's counters as events.
func (s *shell) drained(now crid.Instant) []crevent.Event {
	var events []crevent.Event
	if usage := s.wallet.Drain(now); len(usage) > 0 {
		events = append(events, craccount.UsageDrained{Now: now, Usage: usage})
	}
	if samples := s.recorder.Drain(now); len(samples) > 0 {
		events = append(events, crhealth.Observed{Now: now, Samples: samples})
	}
	return events
}
