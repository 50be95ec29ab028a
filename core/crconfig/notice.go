// Package crconfig decides which configuration is in force at a daemon, who
// reads the platform, and from which peer a newer configuration or list of
// instances is pulled.
//
// The platform numbers what it publishes with one growing revision. In every
// failure domain a few daemons, ranked by rendezvous hashing over the reachable
// ones, hold a watch on the platform. All daemons tell a few random peers twice
// a second what they have; who hears of a newer revision pulls the missing
// pieces, which are addressed by digest, from one peer at a time. A revision in
// force is replaced by a larger one only, and a configuration that fails
// validation is refused whole while the former stays.
//
// # Usage
//
//	s := crconfig.New(crconfig.DefaultParams(), crpolicyfile.ParseManifest, crpolicyfile.Load)
//	effects := s.Step(crevent.Started{Now: now, Self: "booking-1", Domain: "north", Seed: seed})
//	if s.Ready() && s.Trusted(now) { ... }
//
// The shell answers every [WatchPlatform], [ReadPlatform] and [ReadList] effect
// with one [WatchResult], [ReadResult] and [ListResult] event.
package crconfig

import (
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// Applied tells the sibling reducers and the shell of a new configuration.
type Applied struct {
	Now      crid.Instant
	Snapshot *crpolicy.Snapshot
}

// At implements crevent.Event.
func (e Applied) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (Applied) EffectName() string { return "inforce" }
