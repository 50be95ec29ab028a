package crexperiment

import (
	"maps"
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crplace"
)

// policy is how a fleet learns which targets are sick.
type policy struct {
	// believe returns what an entry holds of a target, of which its exit told.
	believe func(e *entry, x *exit, told crplace.LoadReport) crplace.LoadReport
	// learn takes an answer that an entry got as evidence.
	learn func(e *entry, x *exit, ok bool)
	// judged has the exit refuse what its target would probably fail.
	judged bool
	// fresh has entries know all targets as they are at each choice.
	fresh bool
}

const (
	// strikes and held are those of a fixed threshold: failures in a row, and how
	// long a target is left out after them.
	strikes = 3
	held    = 5 * time.Second
)

var policies = map[string]policy{
	// The product: the exit judges by all answers and tells peers.
	"product": {believe: asTold, learn: nothing, judged: true},
	// Each entry judges by the answers that it got itself.
	"own": {believe: byOwn, learn: func(e *entry, x *exit, ok bool) { e.judge(x).Observe(e.world.now, sign(ok)) }},
	// Each entry leaves a target out after failures in a row.
	"threshold": {believe: byStrikes, learn: func(e *entry, x *exit, ok bool) { e.strike(x, ok) }},
	// Nobody judges.
	"none": {believe: func(_ *entry, _ *exit, told crplace.LoadReport) crplace.LoadReport { return withSick(told, 0) }, learn: nothing},
	// All entries know the state and load of all targets at once, and no message is needed.
	"oracle": {believe: byTruth, learn: nothing, fresh: true},
}

// PolicyNames returns the names of the policies.
func PolicyNames() []string { return slices.Sorted(maps.Keys(policies)) }

func nothing(*entry, *exit, bool) {}

func sign(ok bool) crjudge.Observation {
	if ok {
		return crjudge.Success
	}
	return crjudge.Failure
}

func withSick(t crplace.LoadReport, sick float64) crplace.LoadReport {
	t.UnhealthyProb = sick
	return t
}

func asTold(_ *entry, _ *exit, told crplace.LoadReport) crplace.LoadReport { return told }

func byOwn(e *entry, x *exit, told crplace.LoadReport) crplace.LoadReport {
	return withSick(told, e.judge(x).UnhealthyProb(e.world.now))
}

func byStrikes(e *entry, x *exit, told crplace.LoadReport) crplace.LoadReport {
	if e.world.now < e.out[x.target] {
		return withSick(told, 1)
	}
	return withSick(told, 0)
}

func byTruth(_ *entry, x *exit, told crplace.LoadReport) crplace.LoadReport {
	if x.sick {
		return withSick(told, 1)
	}
	return withSick(told, 0)
}

func (e *entry) judge(x *exit) *crjudge.Estimator {
	j := e.judges[x.target]
	if j == nil {
		j = crjudge.New(e.world.now)
		e.judges[x.target] = j
	}
	return j
}

func (e *entry) strike(x *exit, ok bool) {
	if ok {
		e.strikes[x.target] = 0
		return
	}
	e.strikes[x.target]++
	if e.strikes[x.target] >= strikes {
		e.strikes[x.target] = 0
		e.out[x.target] = e.world.now.Add(held)
	}
}

// refresh brings what an entry holds of a service's targets up to date where its policy
// does not wait for messages.
func (e *entry) refresh(s crid.Service) {
	p := e.world.policy
	for _, x := range e.world.services[s] {
		told := e.told[x.target]
		if p.fresh {
			told = x.told()
		}
		e.board.Report(x.target, p.believe(e, x, told))
	}
}
