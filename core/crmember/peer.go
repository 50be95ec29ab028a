package crmember

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// peer is what this daemon knows of another.
type peer struct {
	domain        crid.Domain
	sampled       bool // no voter of a list held, in a fleet where others get beats by chance
	listedLeaving bool

	// What the latest beat said.
	inc     crid.Incarnation
	seq     uint64
	cur     crid.Revision
	floor   crid.Revision
	held    []crid.Revision
	fresh   bool
	leaving bool

	heard      bool         // a beat has echoed one of ours
	evidence   crid.Instant // sending of the newest beat of ours that it echoed
	echoSeq    uint64
	acked      bool         // it answers for our newest list since ackSince
	ackSince   crid.Instant // arrival of the first such beat
	fetchedAt  crid.Instant
	fetched    bool
	answeredAt crid.Instant // our latest Lists to it
	answered   bool
	owed       bool // it sent a beat that has not been answered
	sentSeq    uint64
	sentAt     crid.Instant // our latest beat to it
	repliedAt  crid.Instant // our latest answer outside of a round
	reachable  bool         // as last told in Peers
}

// sentSlots bounds the sendings remembered. Numbers are used up no faster than
// sentSpan and the answers to one peer allow, so that a horizon holds less than
// a hundred; a beat whose slot was reused is no evidence, as if it were late.
const sentSlots = 256

type sending struct {
	seq uint64
	at  crid.Instant
}

// alive reports two-way reachability: the peer has echoed a beat that was sent
// less than a horizon ago.
func (s *State) alive(p *peer) bool {
	return p.heard && s.now.Sub(p.evidence) < s.params.Horizon
}

// vouches reports whether the peer answers for our newest list. A peer that
// knows a newer list has moved on; one that has not recovered may have
// forgotten that it had.
func (s *State) vouches(p *peer) bool {
	if p.fresh && s.params.has(guardFresh) {
		return false
	}
	return p.cur == s.cur && s.holdsAll(p)
}

func (s *State) onBeat(from crid.Daemon, p *peer, b Beat) {
	if len(b.Held) > s.params.MaxLists {
		return
	}
	echoed := s.echoedAt(b.Echo)
	if !s.admitBeat(from, p, b, echoed != nil) {
		return
	}
	s.peersChanged = s.peersChanged || p.leaving != b.Leaving
	if b.Leaving && !p.leaving {
		s.reportPeer(EventPeerLeaving, from)
	}
	p.seq = b.Seq
	p.cur = b.Cur
	p.floor = b.Floor
	p.held = b.Held
	p.fresh = b.Fresh
	p.leaving = b.Leaving
	p.owed = !b.Reply
	if echoed != nil {
		s.noteEvidence(p, b.Echo.Seq, *echoed)
	}
	if !b.Fresh {
		s.raiseFloor(b.Floor)
	}
	s.noteAck(p)
	s.fetchMissing(from, p)
}

// admitBeat refuses beats that are older than one already heard. Incarnations
// have no order, so that a beat of another incarnation counts as a new life
// only if it echoes a later beat of ours: a late beat of the former life, which
// would bring back its leaving mark or its lists, can not.
func (s *State) admitBeat(from crid.Daemon, p *peer, b Beat, echoed bool) bool {
	if p.inc == b.Inc {
		return b.Seq > p.seq
	}
	if p.inc == 0 {
		p.inc = b.Inc
		s.noteComing(p)
		return true
	}
	if !echoed || b.Echo.Seq <= p.echoSeq {
		p.owed = p.owed || !b.Reply // a new life has to hear of us before it can echo anything
		return false
	}
	p.inc = b.Inc
	p.acked = false
	s.peersChanged = true
	s.reportPeer(EventPeerRestarted, from)
	return true
}

// echoedAt returns when the echoed beat was sent; nil if it is none of this
// incarnation, or forgotten.
func (s *State) echoedAt(e Echo) *crid.Instant {
	slot := s.sent[e.Seq%sentSlots]
	if e.Inc != s.inc || slot.seq != e.Seq || e.Seq == 0 {
		return nil
	}
	return &slot.at
}

// noteEvidence counts from the sending of our beat. A beat that lay in a queue,
// or in a process that was suspended, arrives as if new; counted from arrival
// it would renew standing with an old fact, and two daemons would act under
// two lists.
func (s *State) noteEvidence(p *peer, seq uint64, sentAt crid.Instant) {
	p.heard = true
	p.echoSeq = max(p.echoSeq, seq)
	if !s.params.has(guardSent) {
		sentAt = s.now
	}
	p.evidence = max(p.evidence, sentAt)
}

// noteAck records since when the peer has answered for our newest list without
// a break. A restart starts it anew: what the former life said may be forgotten.
func (s *State) noteAck(p *peer) {
	if !s.alive(p) || !s.vouches(p) {
		p.acked = false
		return
	}
	if !p.acked {
		p.acked = true
		p.ackSince = s.now
	}
}

// fetchMissing asks the peer for lists it has and we lack, at most once an
// interval.
func (s *State) fetchMissing(from crid.Daemon, p *peer) {
	if s.holdsAll(p) {
		return
	}
	if p.fetched && s.now.Sub(p.fetchedAt) < s.params.Interval {
		return
	}
	p.fetched = true
	p.fetchedAt = s.now
	s.emit(crevent.Send{To: from, Msg: Fetch{From: s.floor, Have: s.revs}})
}
