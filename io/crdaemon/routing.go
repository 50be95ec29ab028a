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

// applyRouting stores the ejections and weights of the targets of one service.
func (s *shell) applyRouting(eff crhealth.RoutingUpdate) {
	s.routing[eff.Service] = eff
	s.viewDirty = true
}

// expireRouting removes expired ejections and weights. If the verdict of an arbiter
// were used after its expiry, the ejections of the next arbiter would be added to the
// expired ones, and the service could fall below its floor.
func (s *shell) expireRouting(now crid.Instant) {
	for service, eff := range s.routing {
		if !now.Before(eff.Until) {
			delete(s.routing, service)
			s.viewDirty = true
		}
	}
}

// targetHealth returns the unexpired ejections and weights by target.
func (s *shell) targetHealth() map[crid.Target]crview.TargetHealth {
	targets := make(map[crid.Target]crview.TargetHealth)
	for _, eff := range s.routing {
		for _, t := range eff.Targets {
			targets[t.Target] = crview.TargetHealth{Ejected: t.Ejected, Weight: t.Weight}
		}
	}
	return targets
}

// recordAttempt records the outcome of an attempt at a target. Request goroutines call
// it.
func (s *shell) recordAttempt(_ crid.Service, target crid.Target, account crid.Account, o crentry.AttemptOutcome, took time.Duration) {
	s.recorder.Record(target, attemptResult(o), took, account)
}

func attemptResult(o crentry.AttemptOutcome) crhealth.Result {
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

// probeResult returns the result of a health probe whose expected response is known.
func probeResult(ok bool) crhealth.Result {
	if ok {
		return crhealth.ResultOK
	}
	return crhealth.ResultWrong
}

// drainCounters returns the counters of the request path as events and resets them.
func (s *shell) drainCounters(now crid.Instant) []crevent.Event {
	var events []crevent.Event
	if usage := s.tokenPool.Drain(now); len(usage) > 0 {
		events = append(events, craccount.UsageDrained{Now: now, Usage: usage})
	}
	if samples := s.recorder.Drain(now); len(samples) > 0 {
		events = append(events, crhealth.Observed{Now: now, Samples: samples})
	}
	return events
}
