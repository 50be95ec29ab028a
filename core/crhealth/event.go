package crhealth

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// The numbered events of this package; docs/events.md describes each.
const (
	EventEjected        = 400 // a target was found sick and gets no new work
	EventUnejected       = 401 // an ejected target gets work again
	EventKeptForFloor     = 402 // a sick target keeps its work, for the floor
	EventArbiterStarted = 403 // this daemon has begun to decide for a service
	EventArbiterStopped = 404 // this daemon has ceased to decide for a service
	EventVerdictExpired = 405 // the arbiter is silent; its ejections have ended here
	EventEjectionExtended   = 406 // an ejected target still fails its probes
	EventDigestsLate    = 407 // the budget does not allow all digests in time
)

// FullWeight is the weight of a target that is not in slow start.
const FullWeight = 1000

// Observed hands the recorder's samples to the reducer, at each tick.
type Observed struct {
	Now     crid.Instant
	Samples []Sample
}

// At implements crevent.Event.
func (e Observed) At() crid.Instant { return e.Now }

// TargetState is what the traffic side must know of a target.
type TargetState struct {
	Target  crid.Target
	Ejected bool
	Weight  int // 1 to FullWeight
}

// RoutingUpdate tells the traffic side which targets of a service are ejected or in
// slow start; it replaces the former RoutingUpdate of that service. Targets not named
// take work at full weight. Ejections end at Until, also when no further RoutingUpdate
// comes: a stalled control goroutine must not prolong them.
type RoutingUpdate struct {
	Service crid.Service
	Until   crid.Instant
	Targets []TargetState // sorted
}

// EffectName implements crevent.Effect.
func (RoutingUpdate) EffectName() string { return "steer" }

var (
	_ crevent.Event  = Observed{}
	_ crevent.Effect = RoutingUpdate{}
)
