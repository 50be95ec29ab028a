package crmember

import "camphorroad/core/crid"

// Tenure tells the sibling reducers under which list of instances this daemon
// may act, and until when. It is renewed as peers answer. Until holds for all
// that rests on facts which may be old: minting, ejecting, and trusting keys and
// configuration. Active stays while standing is lost and may come back under the
// same list; it is zero while a newer list is handed over.
type Tenure struct {
	Now     crid.Instant
	Active  crid.Revision // revision of the active list; zero: none
	Members []crid.Daemon // all daemons of the active list, sorted
	Until   crid.Instant  // zero: no standing
}

// At implements crevent.Event.
func (e Tenure) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (Tenure) EffectName() string { return "tenure" }

// Peer is another daemon as this one sees it.
type Peer struct {
	Daemon      crid.Daemon
	Domain      crid.Domain
	Incarnation crid.Incarnation
	Reachable   bool // heard both ways within the horizon
	Leaving     bool
}

// Peers tells the sibling reducers of a change among the peers.
type Peers struct {
	Now   crid.Instant
	Peers []Peer // sorted by daemon, without this daemon
}

// At implements crevent.Event.
func (e Peers) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (Peers) EffectName() string { return "peers" }
