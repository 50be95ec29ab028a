// Package crconfig decides which configuration is in force at a daemon, who
// reads the platform, and from which peer a newer configuration is pulled.
package crconfig

import (
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// InForce tells the sibling reducers and the shell of a new configuration.
type InForce struct {
	Now      crid.Instant
	Snapshot *crpolicy.Snapshot
}

// At implements crevent.Event.
func (e InForce) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (InForce) EffectName() string { return "inforce" }
