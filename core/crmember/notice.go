package crmember

import "camphorroad/core/crid"

// Lease notifies the sibling reducers under which instance list this daemon may act,
// and until when. Contacts with peers renew it. Active keeps its value while the
// lease is lost (Until is zero), and is zero during a handover.
//
// At no moment of real time do two daemons act without a list in common. A daemon acts
// either under the list Active up to Until, or, during a handover, under all lists of
// JointLists up to JointUntil.
type Lease struct {
	Now          crid.Instant
	Active       crid.Revision // revision of the active list; zero: none
	Members      []crid.Daemon // all daemons of the active list, sorted
	Until        crid.Instant  // zero: no lease
	ContactUntil crid.Instant  `cbor:"Contact" json:"Contact"` // until which a majority is reachable both ways, so that the keys and policy held may be relied on
	JointUntil   crid.Instant  `cbor:"Bridge" json:"Bridge"`   // until which this daemon keeps what every list of JointLists assigns to it
	JointLists   []Membership  `cbor:"Over" json:"Over"`       // the lists from the last active one to the newest; read-only
}

// Membership is the set of daemons in an instance list.
type Membership struct {
	Rev     crid.Revision
	Members []crid.Daemon // sorted
}

// At implements crevent.Event.
func (e Lease) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (Lease) EffectName() string { return "tenure" }

// Peer is the state of another daemon as observed by this one.
type Peer struct {
	Daemon      crid.Daemon
	Domain      crid.Domain
	Incarnation crid.Incarnation
	Reachable   bool // two-way contact within the contact timeout
	Sampled     bool // receives heartbeats only occasionally, so that being unreachable is no sign of a failure
	Leaving     bool
}

// Down reports whether the peer is unreachable although it is sent a heartbeat each
// round. In a fleet with more than MaxVoters daemons most peers are sampled and
// reachable only for short periods. If they counted as down, this daemon would send
// requests to, and request tokens from, only a handful of daemons.
func (p Peer) Down() bool { return !p.Reachable && !p.Sampled }

// PeersChanged notifies the sibling reducers of a change among the peers.
type PeersChanged struct {
	Now   crid.Instant
	Peers []Peer // sorted by daemon, without this daemon

	// SampledOnly means that since the last notice only sampled peers have changed: they
	// became reachable or unreachable, or sent their first heartbeat.
	SampledOnly bool `cbor:"Passing" json:"Passing"`
}

// At implements crevent.Event.
func (e PeersChanged) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (PeersChanged) EffectName() string { return "peers" }
