package crmember

import "camphorroad/core/crid"

// Lease notifies the sibling reducers under which instance list this daemon may act,
// and until when. Contacts with peers renew it. Active keeps its value while the
// lease is lost (Until is zero), and is zero during a handover.
//
// At no true instant do two daemons act without a list in common. A daemon acts
// either under {Active} up to Until, or, during a handover, under all lists of
// JointLists up to JointUntil.
type Lease struct {
	Now          crid.Instant
	Active       crid.Revision // revision of the active list; zero: none
	Members      []crid.Daemon // all daemons of the active list, sorted
	Until        crid.Instant  // zero: no lease
	ContactUntil crid.Instant  `cbor:"Contact" json:"Contact"` // until which a majority is reachable both ways, so that known keys and policy may be relied on
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

// Peer is another daemon as this one sees it.
type Peer struct {
	Daemon      crid.Daemon
	Domain      crid.Domain
	Incarnation crid.Incarnation
	Reachable   bool // two-way contact within the contact timeout
	Sampled     bool // gets a heartbeat only occasionally, so that being unreachable is no sign of a failure
	Leaving     bool
}

// Down reports whether the peer is unreachable though it gets a heartbeat each
// round. In a fleet with more than MaxVoters daemons most peers are sampled and
// reachable only for short times. If they counted as down, this daemon would send
// requests to, and request tokens from, a handful of daemons only.
func (p Peer) Down() bool { return !p.Reachable && !p.Sampled }

// PeersChanged notifies the sibling reducers of a change among the peers.
type PeersChanged struct {
	Now   crid.Instant
	Peers []Peer // sorted by daemon, without this daemon

	// SampledOnly means that since the last notice only sampled peers have changed:
	// whether they are reachable, or have been heard at all.
	SampledOnly bool `cbor:"Passing" json:"Passing"`
}

// At implements crevent.Event.
func (e PeersChanged) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (PeersChanged) EffectName() string { return "peers" }
