package crmesh

import (
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crplace"
	"camphorroad/core/crplan"
	"camphorroad/core/crquota"
	"camphorroad/core/crregistry"
)

// Heartbeat is what a daemon tells its peers.
type Heartbeat struct {
	_                struct{} `cbor:",toarray"`
	Incarnation      uint64
	Target           crid.Target // empty: its target is not known
	Load             int         // requests running and waiting
	Slots            int
	Sick             uint8         // probability, of 255
	TypicalMillis    int64         // milliseconds of a request; zero: not known
	Closed           bool          // its target takes nothing now
	Stopping         bool          // the daemon is about to end
	StoreUnavailable bool          // the store does not answer it
	PlanVersion      uint64        // of the plan in force
	RecordRevision   crid.Revision // of the latest change of the list; zero: no list
}

// TargetStatus is the beat as the board wants it.
func (b Heartbeat) TargetStatus() crplace.Told {
	return crplace.Told{
		Load:    b.Load,
		Slots:   b.Slots,
		Sick:    float64(b.Sick) / 255,
		Typical: time.Duration(b.TypicalMillis) * time.Millisecond,
		Closed:  b.Closed,
	}
}

// Events.
type (
	// PlanReceived is a plan read from the store or fetched from a peer.
	PlanReceived struct {
		Now  crid.Instant
		Plan *crplan.Plan
	}
	// RecordsListed is the whole list of records, read at a revision.
	RecordsListed struct {
		Now      crid.Instant
		Changes  []crregistry.Change
		Revision crid.Revision
		FromPeer bool // fetched from a peer
	}
	// RecordsChanged are changes of the list that follow on the last revision.
	RecordsChanged struct {
		Now      crid.Instant
		Changes  []crregistry.Change
		Revision crid.Revision
	}
	// StoreUnavailable tells that the store cannot be read.
	StoreUnavailable struct {
		Now             crid.Instant
		ReportedByPeers bool // as peers say that read it; this daemon has not tried itself
	}
	// StoreAvailable tells that the store can be read again.
	StoreAvailable struct{ Now crid.Instant }
	// HeartbeatReceived is a beat of a peer.
	HeartbeatReceived struct {
		Now       crid.Instant
		From      crid.Daemon
		Heartbeat Heartbeat
	}
	// OfferReceived tells that a peer has offered a request.
	OfferReceived struct {
		Now  crid.Instant
		From crid.Daemon
	}
	// TokenRequestUnanswered tells that a peer did not answer a question and its repetition.
	TokenRequestUnanswered struct {
		Now  crid.Instant
		Peer crid.Daemon
	}
	// TargetChanged asks for a beat to all peers now: the target's state has changed.
	TargetChanged struct{ Now crid.Instant }
)

// At implements crevent.Event.
func (e PlanReceived) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e RecordsListed) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e RecordsChanged) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e StoreUnavailable) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e StoreAvailable) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e HeartbeatReceived) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e OfferReceived) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e TokenRequestUnanswered) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e TargetChanged) At() crid.Instant { return e.Now }

// Effects.
type (
	// PublishView gives traffic a new view.
	PublishView struct{ View *View }
	// SendHeartbeats sends a beat to peers; the shell fills in the target's state.
	SendHeartbeats struct {
		To               []crid.Daemon
		Stopping         bool
		StoreUnavailable bool
		PlanVersion      uint64
		RecordRevision   crid.Revision
	}
	// UpdateTarget passes a peer's word on its target to the board.
	UpdateTarget struct {
		Target crid.Target
		Status crplace.Told
	}
	// Pull fetches plan and list from a peer.
	Pull struct{ From crid.Daemon }
	// RenewWatches sends the watches anew that wait for changes: they may be deaf.
	RenewWatches struct{}
)

// EffectName implements crevent.Effect.
func (PublishView) EffectName() string { return "view" }

// EffectName implements crevent.Effect.
func (SendHeartbeats) EffectName() string { return "beat" }

// EffectName implements crevent.Effect.
func (UpdateTarget) EffectName() string { return "tell" }

// EffectName implements crevent.Effect.
func (Pull) EffectName() string { return "pull" }

// EffectName implements crevent.Effect.
func (RenewWatches) EffectName() string { return "renew" }

// View is what traffic reads. It is immutable.
type View struct {
	Plan           *crplan.Plan // nil: none yet
	HasRecords     bool         `cbor:"Listed" json:"Listed"` // a list of targets is known
	Targets        map[crid.Service][]crplace.Candidate
	OwnRecord      *crregistry.Record `cbor:"Own" json:"Own"`         // the record of this daemon's target; nil: none
	Live           []crid.Daemon      `cbor:"Daemons" json:"Daemons"` // this one and the peers that are alive, but for those that stop
	Owners         []crid.Daemon      // as Daemons, and those whose first beat may still come
	Members        []crid.Daemon      // as Owners, and those that a record names and that are not heard
	Size           int                // daemons of the fleet, alive or not, and seeds
	Confirmed      int                `cbor:"Known" json:"Known"` // of these, without seeds that no record names and nobody hears
	Reachable      int                `cbor:"Heard" json:"Heard"` // of these, without those that are silent or were never heard in time
	Readers        []crid.Daemon      // of the own domain, that read the store for it
	ReadersPending bool               `cbor:"Coming" json:"Coming"`   // peers of the own domain are to be heard for the first time, or none is listed at all
	StoreReaders   int                `cbor:"Lookers" json:"Lookers"` // daemons of the fleet that read the store
	Silent         map[crid.Daemon]bool
	Stopping       bool
}

// TokenStep is what a daemon with this view does about a token of an account.
func (v *View) TokenStep(a crid.Account, self crid.Daemon, by crquota.Asked) crquota.Step {
	return crquota.Decide(a, v.Members, v.Owners, self, by)
}

// RateShare is the part of an account's rate that this daemon hands out as its owner. While
// it hears nobody it may be one of many that have just started, and each would hand out
// the whole rate to its own callers.
func (v *View) RateShare() float64 {
	if len(v.Live) <= 1 {
		return crquota.Share(1, v.Confirmed)
	}
	return crquota.Share(v.Reachable, v.Confirmed)
}
