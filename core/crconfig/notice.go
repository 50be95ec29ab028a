// Package crconfig decides which configuration a daemon of `camphorroad serve`
// applies. It elects the daemons that read the users' platform (io/crplatform)
// and fetches newer configurations and lists of instances from peers. The root
// reducer of core/crdaemon runs it beside the other reducers. The validated
// content of a configuration is a [crpolicy.Snapshot], which crconfig only
// distributes.
//
// The platform assigns one growing revision to everything it publishes. In every
// failure domain a few readers, ranked by rendezvous hashing over the reachable
// daemons, watch the platform. Standbys replace readers that fail. All daemons
// gossip the revisions they have applied to a few random peers twice a second. A
// daemon that receives a newer revision pulls the missing values, which are
// addressed by digest, from one peer at a time. The active configuration is only
// ever replaced by one with a larger revision. A configuration that fails
// validation is rejected as a whole, and the active one is kept.
//
// # Usage
//
//	s := crconfig.New(crconfig.DefaultParams(), crpolicyfile.ParseManifest, crpolicyfile.Load)
//	effects := s.Step(crevent.Started{Now: now, Self: "booking-1", Domain: "north", Seed: seed})
//	if s.Ready() && s.Trusted(now) { ... }
//
// The I/O layer responds to every [WatchPlatform], [ReadPlatform] and [ReadList]
// effect with one [WatchResult], [ReadResult] and [ListResult] event.
package crconfig

import (
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// Applied notifies the other reducers and the I/O layer of a newly applied configuration.
type Applied struct {
	Now      crid.Instant
	Snapshot *crpolicy.Snapshot
}

// At implements crevent.Event.
func (e Applied) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (Applied) EffectName() string { return "inforce" }
