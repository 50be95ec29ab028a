package crexperiment

import (
	"maps"
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crplace"
)

// policy determines how the entries detect unhealthy targets.
type policy struct {
	// view returns the load report that an entry uses, given the last one from the exit.
	view func(e *entry, x *exit, report crplace.LoadReport) crplace.LoadReport
	// observe records a response that an entry received.
	observe func(e *entry, x *exit, ok bool)
	// rejectUnhealthy makes an exit refuse requests while its target is probably unhealthy.
	rejectUnhealthy bool
	// currentState gives entries the current state of all targets at each choice.
	currentState bool
}

const (
	// A target is ejected for ejectionTime after maxFailures consecutive failures.
	maxFailures  = 3
	ejectionTime = 5 * time.Second
)

var policies = map[string]policy{
	// The product: the exit estimates health from all responses and reports it to all entries.
	"product": {view: reported, observe: ignoreResponse, rejectUnhealthy: true},
	// Each entry estimates health from the responses that it received itself.
	"own": {view: ownEstimate, observe: func(e *entry, x *exit, ok bool) { e.estimator(x).Observe(e.world.now, observation(ok)) }},
	// Each entry ejects a target after consecutive failures.
	"threshold": {view: ejectionState, observe: func(e *entry, x *exit, ok bool) { e.countFailure(x, ok) }},
	// All targets count as healthy.
	"none": {view: func(_ *entry, _ *exit, report crplace.LoadReport) crplace.LoadReport {
		return withUnhealthyProb(report, 0)
	}, observe: ignoreResponse},
	// All entries have the state and load of all targets without delay.
	"oracle": {view: actualHealth, observe: ignoreResponse, currentState: true},
}

// PolicyNames returns the names of the policies.
func PolicyNames() []string { return slices.Sorted(maps.Keys(policies)) }

func ignoreResponse(*entry, *exit, bool) {}

func observation(ok bool) crjudge.Observation {
	if ok {
		return crjudge.Success
	}
	return crjudge.Failure
}

func withUnhealthyProb(t crplace.LoadReport, unhealthy float64) crplace.LoadReport {
	t.UnhealthyProb = unhealthy
	return t
}

func reported(_ *entry, _ *exit, report crplace.LoadReport) crplace.LoadReport { return report }

func ownEstimate(e *entry, x *exit, report crplace.LoadReport) crplace.LoadReport {
	return withUnhealthyProb(report, e.estimator(x).UnhealthyProb(e.world.now))
}

func ejectionState(e *entry, x *exit, report crplace.LoadReport) crplace.LoadReport {
	if e.world.now < e.ejectedUntil[x.target] {
		return withUnhealthyProb(report, 1)
	}
	return withUnhealthyProb(report, 0)
}

func actualHealth(_ *entry, x *exit, report crplace.LoadReport) crplace.LoadReport {
	if x.unhealthy {
		return withUnhealthyProb(report, 1)
	}
	return withUnhealthyProb(report, 0)
}

func (e *entry) estimator(x *exit) *crjudge.Estimator {
	j := e.estimators[x.target]
	if j == nil {
		j = crjudge.New(e.world.now)
		e.estimators[x.target] = j
	}
	return j
}

func (e *entry) countFailure(x *exit, ok bool) {
	if ok {
		e.failures[x.target] = 0
		return
	}
	e.failures[x.target]++
	if e.failures[x.target] >= maxFailures {
		e.failures[x.target] = 0
		e.ejectedUntil[x.target] = e.world.now.Add(ejectionTime)
	}
}

// refresh recomputes the load reports of a service's targets before a choice. A policy
// with currentState reads them from the exits without a message.
func (e *entry) refresh(s crid.Service) {
	p := e.world.policy
	for _, x := range e.world.services[s] {
		report := e.reports[x.target]
		if p.currentState {
			report = x.loadReport()
		}
		e.balancer.Report(x.target, p.view(e, x, report))
	}
}
