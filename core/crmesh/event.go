package crmesh

import (
	"slices"
	"time"

	"camphorroad/core/crcrash"
	"camphorroad/core/crevacuation"
	"camphorroad/core/crid"
	"camphorroad/core/crplace"
	"camphorroad/core/crplan"
	"camphorroad/core/crquota"
	"camphorroad/core/crregistry"
)

// Heartbeat is the state that a daemon sends its peers.
type Heartbeat struct {
	_                struct{} `cbor:",toarray"`
	Incarnation      uint64
	Target           crid.Target // empty: not known
	Load             int         // running and waiting requests
	Slots            int
	UnhealthyProb255 uint8         // probability that a request fails, in units of 1/255
	TypicalMillis    int64         // typical duration of a request; zero: not known
	Closed           bool          // the target accepts no requests now
	Stopping         bool          // the daemon is shutting down
	StoreUnavailable bool          // the daemon's own calls to the store fail
	PlanVersion      uint64        // plan in force
	RecordRevision   crid.Revision // latest change of the records; zero: none read

	// EvacuationRevision is the latest change of an evacuation; zero: none. It is sent
	// beside the other fields, so that daemons of a version without it accept them.
	EvacuationRevision crid.Revision `cbor:"-"`
	// SilentMembers is the number of members that the sender knows only by heartbeats that have
	// stopped. It is sent beside the other fields, too.
	SilentMembers int `cbor:"-"`
	// Unheard reports that the sender has received no heartbeat from the receiver for a while.
	// It is sent beside the other fields, too.
	Unheard bool `cbor:"-"`
	// Crashes are the requests under which the process of the sender's target has ended lately.
	// They are sent beside the other fields, too.
	Crashes []crcrash.Report `cbor:"-"`
}

// LoadReport returns the state of the target in the heartbeat.
func (h Heartbeat) LoadReport() crplace.LoadReport {
	return crplace.LoadReport{
		Load:          h.Load,
		Slots:         h.Slots,
		UnhealthyProb: float64(h.UnhealthyProb255) / 255,
		Typical:       time.Duration(h.TypicalMillis) * time.Millisecond,
		Closed:        h.Closed,
	}
}

// Events.
type (
	// PlanReceived is a plan read from the store or pulled from a peer.
	PlanReceived struct {
		Now  crid.Instant
		Plan *crplan.Plan
	}
	// EvacuationsChanged are evacuations that were read from the store or pulled from a
	// peer.
	EvacuationsChanged struct {
		Now     crid.Instant
		Changes []crevacuation.Change
	}
	// RecordsListed is the complete list of records at a revision.
	RecordsListed struct {
		Now      crid.Instant
		Changes  []crregistry.Change
		Revision crid.Revision
		FromPeer bool // pulled from a peer
	}
	// RecordsChanged are the changes of the records since the last revision.
	RecordsChanged struct {
		Now      crid.Instant
		Changes  []crregistry.Change
		Revision crid.Revision
	}
	// StoreUnavailable reports that the store cannot be read.
	StoreUnavailable struct {
		Now             crid.Instant
		ReportedByPeers bool // peers that read the store report it; this daemon has not tried itself
	}
	// StoreAvailable reports that the store can be read again.
	StoreAvailable struct{ Now crid.Instant }
	// HeartbeatReceived is a heartbeat of a peer.
	HeartbeatReceived struct {
		Now       crid.Instant
		From      crid.Daemon
		Heartbeat Heartbeat
	}
	// OfferReceived reports that a peer has offered a request to this daemon's target.
	OfferReceived struct {
		Now  crid.Instant
		From crid.Daemon
	}
	// TokenRequestUnanswered reports that a peer did not answer a token request and its retry.
	TokenRequestUnanswered struct {
		Now  crid.Instant
		Peer crid.Daemon
	}
	// TargetChanged reports that the state of this daemon's target has changed. It causes
	// urgent heartbeats.
	TargetChanged struct {
		Now   crid.Instant
		Ended bool // its process has ended under requests that the heartbeats name
	}
)

// At implements crevent.Event.
func (e PlanReceived) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e EvacuationsChanged) At() crid.Instant { return e.Now }

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
	// PublishView replaces the view that the code handling requests reads.
	PublishView struct{ View *View }
	// SendHeartbeats sends a heartbeat to peers. The I/O layer fills in the target's state.
	SendHeartbeats struct {
		To                 []crid.Daemon
		Stopping           bool
		StoreUnavailable   bool          `cbor:"Lost" json:"Lost"`
		PlanVersion        uint64        `cbor:"Version" json:"Version"`
		RecordRevision     crid.Revision `cbor:"Revision" json:"Revision"`
		EvacuationRevision crid.Revision `cbor:"Evacuated" json:"Evacuated"`
		SilentMembers      int           `cbor:"-" json:"-"`
		Unheard            bool          `cbor:"-" json:"-"` // the receivers' own heartbeats are overdue
	}
	// UpdateTarget passes the state of a peer's target to target selection.
	UpdateTarget struct {
		Target crid.Target
		Report crplace.LoadReport `cbor:"Told" json:"Told"`
	}
	// RecordCrashes passes on the requests under which a peer's target has ended.
	RecordCrashes struct {
		From    crid.Daemon
		Reports []crcrash.Report
	}
	// Pull fetches plan and records from a peer.
	Pull struct{ From crid.Daemon }
	// RenewWatches replaces the watches on the store, which may no longer deliver changes.
	RenewWatches struct {
		Missed bool `json:",omitempty"` // a peer has a change that this daemon lacks
	}
)

// EffectName implements crevent.Effect.
func (PublishView) EffectName() string { return "view" }

// EffectName implements crevent.Effect.
func (SendHeartbeats) EffectName() string { return "beat" }

// EffectName implements crevent.Effect.
func (UpdateTarget) EffectName() string { return "tell" }

// EffectName implements crevent.Effect.
func (RecordCrashes) EffectName() string { return "crash" }

// EffectName implements crevent.Effect.
func (Pull) EffectName() string { return "pull" }

// EffectName implements crevent.Effect.
func (RenewWatches) EffectName() string { return "renew" }

// View is an immutable snapshot of the state for the code that handles requests.
type View struct {
	Plan           *crplan.Plan                         // nil: none yet
	HasRecords     bool                                 `cbor:"Listed" json:"Listed"` // the records have been read
	Targets        map[crid.Service][]crplace.Candidate // without those of evacuated domains
	TargetsVersion uint64                               // changes with Targets
	OwnRecord      *crregistry.Record                   `cbor:"Own" json:"Own"`         // record of this daemon's target; nil: none
	Live           []crid.Daemon                        `cbor:"Daemons" json:"Daemons"` // this daemon and the peers that are up, without stopping ones
	Owners         []crid.Daemon                        // Live, and recorded peers whose first heartbeat may still come
	OwnersSince    crid.Instant                         `cbor:"-" json:"-"` // when Owners last changed
	Members        []crid.Daemon                        // Owners, recorded peers without heartbeats, and peers that fell silent without notice
	Silent         []crid.Daemon                        // Members whose heartbeats have stopped
	Granting       []crid.Daemon                        // those of Silent that may not have noticed yet that they are cut off
	NoticeTime     time.Duration                        // in which an owner of accounts notices that a part of the fleet is cut off
	Size           int                                  // daemons that a record or a seed names, up or not, and others whose heartbeats arrive
	Confirmed      int                                  `cbor:"Known" json:"Known"` // daemons that a record names, and those that have sent heartbeats and not announced that they leave
	Reachable      int                                  `cbor:"Heard" json:"Heard"` // Confirmed without peers whose heartbeats are overdue here, or this daemon's there
	Readers        []crid.Daemon                        // daemons of the own domain that read the store for it
	ReadsFirst     bool                                 // this daemon is the first reader of the whole fleet
	ReadersPending bool                                 `cbor:"Coming" json:"Coming"`   // the first heartbeat of a peer of the own domain is still expected, or there are no records
	StoreReaders   int                                  `cbor:"Lookers" json:"Lookers"` // daemons of the whole fleet that read the store
	Unresponsive   map[crid.Daemon]bool                 `cbor:"Silent" json:"Silent"`
	Evacuations    []crevacuation.Evacuation            // evacuated domains
	OwnEvacuated   bool                                 // this daemon's own domain is evacuated
	EvacuationEnd  crid.Revision                        // at which its last evacuation ended; zero: none has
	Stopping       bool
}

// TokenAction returns how a daemon with this view handles a token request for an account.
func (v *View) TokenAction(a crid.Account, self crid.Daemon, origin crquota.Origin) crquota.Action {
	return crquota.Decide(a, crquota.Fleet{Members: v.Members, Reachable: v.Owners, Granting: v.Granting}, self, origin)
}

// ReplacesOwner reports whether an account that a daemon owns belongs to one of the members
// whose heartbeats have stopped.
func (v *View) ReplacesOwner(a crid.Account, d crid.Daemon) bool {
	return crquota.Owner(a, append(slices.Clone(v.Silent), d)) != d
}

// FleetSize returns the number of daemons among which the fallback buckets divide a rate, and
// retry budgets their slack.
func (v *View) FleetSize() int { return max(v.Size, v.Confirmed) }

// RateFraction returns the fraction of an account's rate that this daemon grants as its
// owner. A daemon that receives no heartbeats may be one of many that have just started,
// each of which would grant the whole rate to its own callers. If a peer requests the
// token, that peer has selected this daemon as the owner.
func (v *View) RateFraction(forPeer bool) float64 {
	if len(v.Live) <= 1 && !forPeer {
		return crquota.RateFraction(1, v.Confirmed)
	}
	return crquota.RateFraction(v.Reachable, v.Confirmed)
}
