// Package crmember tracks the membership of the fleet for one daemon: which peers
// are reachable both ways, which are leaving, which instance list is active, and
// whether this daemon holds a [Lease], under which it may act.
//
// Daemons exchange heartbeats ([Heartbeat]). A heartbeat echoes the receiver's latest
// one, and counts as a contact from the instant at which that one was sent. A daemon
// holds a lease under a list while a majority of the list's voters has made contact
// within the contact timeout and holds that list as its newest. The voters are all
// daemons of a list, or in a large fleet a limited number, taken from the domains in
// turn. At no time do two daemons hold leases under different lists;
// docs/design/02-lease.md gives the argument and its limits. A daemon that adopts a
// newer list has no lease during the handover to it. The handover ends when a majority
// of the voters of each older list has acknowledged the newer one for a whole
// [Params.ExpiryWait], or every daemon of the older lists has.
//
// core/crdaemon runs the reducer and passes its notices to core/crconfig,
// core/craccount and core/crhealth. core/crinstance defines the lists. core/crmesh
// tracks peers for a daemon that reads target records from the store; it gives no
// leases.
//
// # Usage
//
//	s := crmember.New(crmember.DefaultParams())
//	for ev := range events {
//		for _, effect := range s.Step(ev) {
//			// Send and Report go to the I/O layer. Lease, PeersChanged and
//			// crinstance.ListUpdated go to the sibling reducers.
//		}
//	}
package crmember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// State is the reducer. It is not safe for concurrent use.
type State struct {
	params Params

	started     bool
	startedAt   crid.Instant
	now         crid.Instant
	self        crid.Daemon
	incarnation crid.Incarnation
	seed        uint64

	lists            map[crid.Revision]heldList
	revs             []crid.Revision // revisions of lists, sorted
	newest           crid.Revision   // newest of revs
	lastActive       crid.Revision   // newest list known to have been active
	missingActive    crid.Revision   // a later active list that has not been received yet
	deferred         crinstance.List // latest list read during a handover
	recovering       bool
	coldStartRev     crid.Revision          // newest list at the start of a cold start
	recoveringQuorum map[crid.Revision]bool // lists of which a majority of the voters was recovering at one moment
	ackSince         crid.Instant           // since when this daemon has acknowledged newest

	peers      map[crid.Daemon]*peer
	peerNames  []crid.Daemon // keys of peers, sorted
	peerStates []*peer       // peers in the order of peerNames

	configRev      uint64
	leaving        bool
	seq            uint64
	sentHeartbeats [sentRingSize]sentHeartbeat
	lastRound      crid.Instant // start of the latest round of heartbeats
	nextRound      crid.Instant // when the next round is due if not idle
	nextIdleRound  crid.Instant // when it is due if idle
	sample         []crid.Daemon
	sampleUntil    crid.Instant  // until which the sample is kept
	roundNow       bool          // a round is due at once
	broadcast      bool          // the next round is due at once and goes to all peers
	fullReported   crid.Revision // newest list rejected because the table was full

	lease          Lease
	peersChanged   bool
	peersEmittedAt crid.Instant // latest PeersChanged
	sampledChanged bool         // sampled peers have become reachable or unreachable
	effects        []crevent.Effect

	requestedLists   bool
	listsRequestedAt crid.Instant
}

// New returns a reducer that ignores all events before [crevent.Started].
func New(params Params) *State {
	return &State{
		params:     params,
		lists:      make(map[crid.Revision]heldList),
		peers:      make(map[crid.Daemon]*peer),
		recovering: true,

		recoveringQuorum: make(map[crid.Revision]bool),
	}
}

// Step handles an event and returns the effects. An instant before the latest one
// seen counts as the latest.
func (s *State) Step(ev crevent.Event) []crevent.Effect {
	if start, ok := ev.(crevent.Started); ok {
		s.start(start)
	}
	if !s.started {
		return nil
	}
	s.now = max(s.now, ev.At())
	switch ev := ev.(type) {
	case crevent.Tick:
		s.updatePeers()
	case crevent.Received:
		s.receive(ev)
	case crinstance.ListUpdated:
		s.handleListUpdate(ev.List)
	case AdvertiseConfig:
		s.configRev = ev.ConfigRevision
	case crevent.Stopping:
		s.broadcast = s.broadcast || !s.leaving
		s.leaving = true
	}
	s.afterEvent()
	s.replyTo(ev)
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) start(ev crevent.Started) {
	if s.started {
		return
	}
	s.started = true
	s.startedAt = ev.Now
	s.self = ev.Self
	s.incarnation = ev.Incarnation
	s.seed = ev.Seed
}

// receive handles a message. The messages of a daemon that no held list names have no
// effect, unless this daemon holds no list yet.
func (s *State) receive(ev crevent.Received) {
	p := s.peers[ev.From]
	if p == nil {
		s.handleUnlisted(ev.From, ev.Msg)
		return
	}
	switch m := ev.Msg.(type) {
	case Heartbeat:
		s.handleHeartbeat(ev.From, p, m)
		if p := s.peers[ev.From]; p != nil {
			s.updatePeer(ev.From, p)
		}
	case ListRequest:
		s.handleListRequest(ev.From, p, m)
	case ListResponse:
		s.handleListResponse(m)
	}
}

// afterEvent recomputes the derived state, and sends what is due.
func (s *State) afterEvent() {
	s.applyDeferred()
	s.updateRecovery()
	s.updateLease()
	if s.newest != 0 && s.roundDue() {
		s.sendRound()
	}
	if s.peersChanged || s.sampledChanged && s.now.Sub(s.peersEmittedAt) >= s.params.Interval {
		s.emitPeers()
	}
}

func (s *State) emit(effect crevent.Effect) {
	s.effects = append(s.effects, effect)
}

// hash returns a number that depends only on the seed and the arguments.
func (s *State) hash(a, b uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], s.seed)
	binary.LittleEndian.PutUint64(buf[8:], a)
	binary.LittleEndian.PutUint64(buf[16:], b)
	return xxhash.Sum64(buf[:])
}

func (s *State) updatePeers() {
	for i, d := range s.peerNames {
		s.updatePeer(d, s.peerStates[i])
	}
}

// updatePeer records that a peer became reachable or unreachable. Sampled peers change
// with every heartbeat. PeersChanged reports their changes at most once an interval,
// since in a large fleet each notice costs its receivers a pass over all peers.
func (s *State) updatePeer(d crid.Daemon, p *peer) {
	reachable := s.inContact(p)
	if reachable == p.reachable {
		return
	}
	p.reachable = reachable
	s.markPeerChanged(p)
	if p.sampled || !s.lists[s.newest].hasVoter(d) {
		return
	}
	if reachable {
		s.reportPeer(EventPeerReachable, d)
		return
	}
	s.reportPeer(EventPeerUnreachable, d)
}

// markPeerChanged schedules PeersChanged: at once, or within an interval for a
// sampled peer.
func (s *State) markPeerChanged(p *peer) {
	s.sampledChanged = s.sampledChanged || p.sampled
	s.peersChanged = s.peersChanged || !p.sampled
}

func (s *State) emitPeers() {
	s.emit(PeersChanged{Now: s.now, Peers: s.peerList(), SampledOnly: !s.peersChanged})
	s.peersChanged = false
	s.sampledChanged = false
	s.peersEmittedAt = s.now
}

// peerList returns the content of PeersChanged.
func (s *State) peerList() []Peer {
	peers := make([]Peer, 0, len(s.peerNames))
	for i, d := range s.peerNames {
		p := s.peerStates[i]
		peers = append(peers, Peer{
			Daemon:      d,
			Domain:      p.domain,
			Incarnation: p.incarnation,
			Reachable:   p.reachable,
			Sampled:     p.sampled,
			Leaving:     p.leaving || p.listedLeaving,
		})
	}
	return peers
}

// Dump is the reducer's part of the state dump.
type Dump struct {
	Incarnation crid.Incarnation `json:"incarnation"`
	Newest      crid.Revision    `json:"current"`
	LastActive  crid.Revision    `json:"floor"`
	Lists       []crid.Revision  `json:"lists"`
	Recovering  bool             `json:"fresh"`
	Leaving     bool             `json:"leaving"`
	Active      crid.Revision    `json:"active"`
	Until       crid.Instant     `json:"until"`
	Now         crid.Instant     `json:"now"`
	Peers       []PeerDump       `json:"peers"`
}

// PeerDump is one peer in Dump.
type PeerDump struct {
	Daemon      crid.Daemon   `json:"daemon"`
	Newest      crid.Revision `json:"current"`
	LastActive  crid.Revision `json:"floor"`
	Recovering  bool          `json:"fresh"`
	Leaving     bool          `json:"leaving"`
	Reachable   bool          `json:"reachable"`
	LastContact crid.Instant  `json:"evidence"`
}

// Dump returns a [Dump].
func (s *State) Dump() any {
	dump := Dump{
		Incarnation: s.incarnation,
		Newest:      s.newest,
		LastActive:  s.lastActive,
		Lists:       slices.Clone(s.revs),
		Recovering:  s.recovering,
		Leaving:     s.leaving,
		Active:      s.lease.Active,
		Until:       s.lease.Until,
		Now:         s.now,
	}
	for _, d := range s.peerNames {
		p := s.peers[d]
		dump.Peers = append(dump.Peers, PeerDump{
			Daemon:      d,
			Newest:      p.newest,
			LastActive:  p.lastActive,
			Recovering:  p.recovering,
			Leaving:     p.leaving || p.listedLeaving,
			Reachable:   p.reachable,
			LastContact: p.lastContact,
		})
	}
	return dump
}
