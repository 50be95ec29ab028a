// Package crmesh tracks the fleet for the daemon of `camphorroad join`, which reads
// its configuration and the target records from the store of the users' platform:
// which routing plan (core/crplan) is in force, which targets exist, which peers
// are up, which daemons read the store, and from which peer to pull what the store
// does not deliver.
//
// [State] is a reducer that io/crmesh runs. It reads no clock and does no I/O, and
// one goroutine owns it. The code that handles requests reads an immutable [View].
// Unlike core/crmember, it needs no quorum: it gives no lease, and peers may hold
// different views for a while.
//
// # Usage
//
//	s := crmesh.New(crmesh.Params{Self: "10.0.0.1", LocalInterval: time.Second, RemoteInterval: 2 * time.Second})
//	for _, eff := range s.Step(crmesh.PlanReceived{Now: now, Plan: plan}) { ... }
package crmesh

import (
	"slices"
	"strings"
	"time"

	"camphorroad/core/crevacuation"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crplan"
	"camphorroad/core/crregistry"
)

const (
	// maxMissedHeartbeats is the number of missed heartbeats after which a peer counts
	// as unresponsive. One may be lost, and two in a row rarely are.
	maxMissedHeartbeats = 3
	// doubtfulHeartbeats is the number of heartbeat intervals without a heartbeat after which
	// a peer does not count for the fraction of the rates that this daemon grants.
	doubtfulHeartbeats = 1.5
	// peerRetention is how long a peer that no record and no seed names is kept without a
	// heartbeat, if it left with notice.
	peerRetention = 20 * time.Second
	// lostPeerRetention is the same for a peer that fell silent without notice. It may be cut
	// off from this daemon and from the store, and grant its part of the accounts' rates.
	lostPeerRetention = 2 * time.Minute
	// pullDelay is how long a daemon waits after a peer has named a newer plan or
	// record before it pulls it. The store batches changes over half a second, so that it
	// usually delivers them before the end of the delay and no pull is needed.
	pullDelay = 600 * time.Millisecond
	// pullInterval is the minimum time between two pulls.
	pullInterval = 400 * time.Millisecond
	// renewInterval is the minimum time between two renewals of the watches. Each renewal
	// costs a reader two calls to the store.
	renewInterval = time.Second
	// urgentInterval is the minimum time between two urgent heartbeats. Otherwise a
	// target whose health flaps would cost a heartbeat to every peer for each response.
	urgentInterval = 50 * time.Millisecond
	// idleIntervalPerPeer, multiplied by the number of peers, is the minimum time between
	// heartbeats to a peer of another domain that is no partner and has made no recent
	// offer. So a daemon sends ten of them a second, however large the fleet is. Otherwise
	// they would be nine tenths of all bytes between domains. Such a peer gets the state of
	// the target with its next offer, and detects a failure when an offer or a token request
	// gets no answer.
	idleIntervalPerPeer = 100 * time.Millisecond
	// smallIdleIntervalPerPeer is used in a fleet without partners.
	smallIdleIntervalPerPeer = 60 * time.Millisecond
	// interestDuration is how long a peer that made an offer counts as interested in the
	// state of this daemon's target.
	interestDuration = 10 * time.Second
	// maxUrgentToAll is the number of peers above which urgent heartbeats go only to the
	// own domain and to interested peers. Target states change 20 times a second in a
	// fleet of 300.
	maxUrgentToAll = 40
	// endRepeats is the number of heartbeats to all peers after the target's process has ended
	// under requests. A request that ends processes is repeated through daemons that may not
	// have made an offer here. The second one replaces a lost first.
	endRepeats = 2
	// minIntervalPerPeer, multiplied by the number of peers, is the minimum time between
	// heartbeats to one peer, and between those to all after an end. So a daemon of a large fleet sends no more than 250 a second.
	minIntervalPerPeer = 4 * time.Millisecond
	// startupTime is how long records that appear may belong to daemons that started
	// together with this one.
	startupTime = 6 * time.Second
	// viewIntervalPerPeer, multiplied by the number of peers, is the minimum time between
	// two views that differ only in the state of peers. When all daemons of a fleet of
	// hundreds start, or a third of them lose the store, such changes arrive faster than
	// views can be built. maxViewInterval bounds the product. With up to
	// maxPeersWithoutViewInterval peers each change is published at once.
	viewIntervalPerPeer         = 300 * time.Microsecond
	maxViewInterval             = 500 * time.Millisecond
	maxPeersWithoutViewInterval = 40
)

// Params are a daemon's settings.
type Params struct {
	Self           crid.Daemon // its address without a port
	Domain         crid.Domain
	Service        crid.Service
	Address        string // of its own target
	Seeds          []crid.Daemon
	LocalInterval  time.Duration // between heartbeats to peers of the same domain
	RemoteInterval time.Duration // between heartbeats to peers of other domains
	RecordGrace    time.Duration // how long a record that is missing after an outage is kept
}

// State is the reducer. It is not safe for concurrent use.
type State struct {
	params           Params
	plan             *crplan.Plan
	registry         *crregistry.Registry
	evacuations      *crevacuation.Set
	hasRecords       bool
	listedAt         crid.Instant // when the records were first listed
	storeUnavailable bool         // this daemon's own calls to the store fail
	peers            map[crid.Daemon]*peer
	sorted           []*peer               // the peers by name; nil: to be sorted again
	ahead            map[crid.Daemon]*peer // peers that have reported a plan or records that this daemon lacks
	targets          targetIndex
	viewOutdated     bool          // the state of a peer has changed since the last view
	lastView         crid.Instant  // when the last view was published
	owners           []crid.Daemon // of the last view
	ownersSince      crid.Instant  // when they last changed
	silentMembers    int           // see Heartbeat.SilentMembers
	lastPull         crid.Instant
	pullCount        int
	lastRenewal      crid.Instant
	lastUrgent       crid.Instant
	urgentPending    bool
	lastEndHeartbeat crid.Instant
	endHeartbeats    int // to all peers, still to be sent after an end of the target
	stopping         bool
}

// New returns the state of a daemon whose only peers are its seeds.
func New(p Params) *State {
	s := &State{params: p, registry: crregistry.New(p.RecordGrace), evacuations: crevacuation.New(), peers: make(map[crid.Daemon]*peer), ahead: make(map[crid.Daemon]*peer)}
	for _, d := range p.Seeds {
		if d != p.Self {
			s.addPeer(d).known = true
		}
	}
	return s
}

// Step handles an event and returns the effects.
func (s *State) Step(ev crevent.Event) []crevent.Effect {
	effects := s.handle(ev)
	if s.viewOutdated && s.viewDue(ev.At()) {
		effects = append(effects, s.publishView(ev.At()))
	}
	return effects
}

// viewDue reports whether a view that differs only in the state of peers may be published.
func (s *State) viewDue(now crid.Instant) bool {
	if len(s.peers) <= maxPeersWithoutViewInterval {
		return true
	}
	return now.Sub(s.lastView) >= min(viewIntervalPerPeer*time.Duration(len(s.peers)), maxViewInterval)
}

func (s *State) handle(ev crevent.Event) []crevent.Effect {
	switch ev := ev.(type) {
	case PlanReceived:
		return s.updatePlan(ev)
	case EvacuationsChanged:
		if s.evacuations.Apply(ev.Now, ev.Changes) {
			return []crevent.Effect{s.publishView(ev.Now)}
		}
	case RecordsListed:
		return s.replaceRecords(ev)
	case RecordsChanged:
		s.registry.Apply(ev.Now, ev.Changes, ev.Revision)
		return s.syncPeers(ev.Now)
	case StoreUnavailable:
		s.registry.MarkStoreUnavailable()
		return s.setStoreUnavailable(ev.Now, !ev.ReportedByPeers)
	case StoreAvailable:
		s.registry.MarkStoreAvailable(ev.Now)
		return s.setStoreUnavailable(ev.Now, false)
	case HeartbeatReceived:
		return s.handleHeartbeat(ev)
	case OfferReceived:
		if p := s.peers[ev.From]; p != nil {
			p.lastOffer = ev.Now
		}
	case TokenRequestUnanswered:
		return s.handleUnanswered(ev)
	case TargetChanged:
		s.urgentPending = true
		if ev.Ended {
			s.endHeartbeats = endRepeats
		}
		return s.dueHeartbeats(ev.Now)
	case crevent.Tick:
		return s.tick(ev.Now)
	case crevent.Stopping:
		s.stopping = true
		return append(s.heartbeatsTo(s.sortedPeers(), ev.Now), s.publishView(ev.Now))
	}
	return nil
}

// updatePlan adopts a plan unless a newer one is in force. A lagging store or peer
// must never bring back a withdrawn key.
func (s *State) updatePlan(ev PlanReceived) []crevent.Effect {
	if s.plan != nil && ev.Plan.Version() <= s.plan.Version() {
		return nil
	}
	s.plan = ev.Plan
	return []crevent.Effect{s.publishView(ev.Now)}
}

func (s *State) replaceRecords(ev RecordsListed) []crevent.Effect {
	if ev.FromPeer && s.hasRecords && ev.Revision <= s.registry.Revision() {
		return nil
	}
	s.registry.Replace(ev.Now, ev.Changes, ev.Revision)
	if !s.hasRecords {
		s.hasRecords, s.listedAt = true, ev.Now
	}
	return s.syncPeers(ev.Now)
}

// syncPeers updates the peers from the records.
func (s *State) syncPeers(now crid.Instant) []crevent.Effect {
	for _, p := range s.peers {
		p.known, p.hasRecord = false, false
	}
	for _, d := range s.params.Seeds {
		if p := s.peers[d]; p != nil {
			p.known = true
		}
	}
	for _, r := range s.registry.Records() {
		d := DaemonOf(r.Address)
		if d == s.params.Self {
			continue
		}
		p := s.peers[d]
		if p == nil {
			p = s.addPeer(d)
			p.knownSince = now
			p.joined = now.Sub(s.listedAt) > startupTime
		}
		p.known, p.hasRecord, p.leaving = true, true, r.Leaving
		p.domain = r.Domain
	}
	s.syncPartners()
	return []crevent.Effect{s.publishView(now)}
}

// DaemonOf returns the daemon on the machine of the target with the given address. A
// daemon is named by the address of its machine.
func DaemonOf(address string) crid.Daemon {
	host, _, _ := strings.Cut(address, ":")
	return crid.Daemon(host)
}

func (s *State) handleHeartbeat(ev HeartbeatReceived) []crevent.Effect {
	p := s.peers[ev.From]
	if p == nil {
		p = s.addPeer(ev.From)
	}
	changed := p.lastReceived == 0 || p.unresponsive || p.doubtful || !sameRole(p.heartbeat, ev.Heartbeat) || !sameReach(p.heartbeat, ev.Heartbeat)
	newlyUnavailable := p.lastReceived != 0 && ev.Heartbeat.StoreUnavailable && !p.heartbeat.StoreUnavailable
	if p.heartbeat.Incarnation != ev.Heartbeat.Incarnation && s.sameDomain(p) && slices.Contains(s.readers(), s.params.Self) {
		p.lastSent = 0 // a new daemon reads the store directly until it knows a reader
	}
	p.lastReceived, p.heartbeat = ev.Now, ev.Heartbeat
	p.reach, p.requestsUnanswered = reach{}, false
	s.trackNewer(ev.Now, p)
	effects := make([]crevent.Effect, 0, 4)
	if ev.Heartbeat.Target != "" {
		effects = append(effects, UpdateTarget{Target: ev.Heartbeat.Target, Report: ev.Heartbeat.LoadReport()})
	}
	if len(ev.Heartbeat.Crashes) > 0 {
		effects = append(effects, RecordCrashes{From: ev.From, Reports: ev.Heartbeat.Crashes})
	}
	s.viewOutdated = s.viewOutdated || changed
	if newlyUnavailable {
		effects = append(effects, s.renewWatches(ev.Now, false)...)
	}
	return append(effects, s.pull(ev.Now)...)
}

func (s *State) tick(now crid.Instant) []crevent.Effect {
	changed, silent := s.registry.Sweep(now), 0
	for _, p := range s.sortedPeers() {
		if p.isForgotten(now) {
			s.forget(p)
			changed = true
		}
		if s.peers[p.name] == nil {
			continue
		}
		if p.knownSince == 0 {
			p.knownSince = now // a seed
		}
		changed = s.updateReach(now, p) || changed
		if p.isSilentMember() {
			silent++
		}
	}
	s.silentMembers = silent
	s.viewOutdated = s.viewOutdated || changed
	return append(s.dueHeartbeats(now), s.pull(now)...)
}
