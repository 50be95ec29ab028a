package crhealth

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// Numbers of this package's events, which docs/events.md describes.
const (
	EventEjected          = 400 // an unhealthy target was ejected
	EventUnejected        = 401 // an ejection ended
	EventKeptForFloor     = 402 // an unhealthy target was not ejected, because of the floor
	EventArbiterStarted   = 403 // this daemon became the arbiter of a service
	EventArbiterStopped   = 404 // this daemon is no longer the arbiter of a service
	EventVerdictExpired   = 405 // the arbiter's last verdict expired; its ejections ended at this daemon
	EventEjectionExtended = 406 // an ejected target still fails its probes
	EventDigestsLate      = 407 // the byte budget does not allow all digests in time
)

// FullWeight is the weight of a target that is not in slow start.
const FullWeight = 1000

// Observed carries the samples of one drain of the recorder, at each tick.
type Observed struct {
	Now     crid.Instant
	Samples []Sample
}

// At implements crevent.Event.
func (e Observed) At() crid.Instant { return e.Now }

// TargetState is the routing state of one target.
type TargetState struct {
	Target  crid.Target
	Ejected bool
	Weight  int // 1 to FullWeight
}

// RoutingUpdate lists the targets of a service that are ejected or in slow start. It
// replaces the previous RoutingUpdate of the service. Targets that are not listed are
// routed to with full weight. Ejections end at Until even if no other RoutingUpdate
// follows, so that a stalled control goroutine does not prolong them.
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
