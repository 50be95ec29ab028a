package crmember

import "camphorroad/core/crid"

// Tenure tells the sibling reducers under which list of instances this daemon
// may act, and until when. It is renewed as peers answer. Active stays while
// tenure is lost (Until zero), and is zero during a handover.
//
// At no true instant do two daemons act without a list in common: one acts under
// {Active} up to Until, and one that hands over under all lists of Over up to
// Bridge.
type Tenure struct {
	Now     crid.Instant
	Active  crid.Revision // revision of the active list; zero: none
	Members []crid.Daemon // all daemons of the active list, sorted
	Until   crid.Instant  // zero: no tenure
	Contact crid.Instant  // up to which a majority is heard both ways; what is known may be trusted
	Bridge  crid.Instant  // up to which what every list of Over gives this daemon is still its own
	Over    []Membership  // the lists from the last active one to the newest; not to be changed
}

// Membership is who belongs to a list of instances.
type Membership struct {
	Rev     crid.Revision
	Members []crid.Daemon // sorted
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
	Sampled     bool // gets a beat only now and then, so that not being reachable tells nothing
	Leaving     bool
}

// Lost reports whether the peer should have been heard and was not. In a fleet
// with more than MaxVoters daemons most peers are sampled, and hardly ever
// reachable for as long as a horizon; who took them for lost would send work
// to, and ask tokens of, a handful of daemons only.
func (p Peer) Lost() bool { return !p.Reachable && !p.Sampled }

// Peers tells the sibling reducers of a change among the peers.
type Peers struct {
	Now   crid.Instant
	Peers []Peer // sorted by daemon, without this daemon

	// Passing tells that since the last notice nothing has changed but which
	// sampled peers are reachable, or have been heard at all.
	Passing bool
}

// At implements crevent.Event.
func (e Peers) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (Peers) EffectName() string { return "peers" }
