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
	incarnation  crid.Incarnation
	seq          uint64
	newest       crid.Revision
	lastActive   crid.Revision
	intermediate []crid.Revision
	recovering   bool
	leaving      bool

	contacted   bool         // a beat has echoed one of ours
	lastContact crid.Instant // sending of the newest beat of ours that it echoed
	echoSeq     uint64
	acked       bool         // it answers for our newest list since ackSince
	ackSince    crid.Instant // arrival of the first such beat
	requestedAt crid.Instant
	requested   bool
	listsSentAt crid.Instant // our latest Lists to it
	listsSent   bool
	replyDue    bool // it sent a beat that has not been answered
	sentSeq     uint64
	sentAt      crid.Instant // our latest beat to it
	repliedAt   crid.Instant // our latest answer outside of a round
	reachable   bool         // as last told in Peers
}

// sentRingSize bounds the sendings remembered. Numbers are used up no faster than
// sentSpan and the answers to one peer allow, so that a horizon holds less than
// a hundred; a beat whose slot was reused is no evidence, as if it were late.
const sentRingSize = 256

type sentBeat struct {
	seq uint64
	at  crid.Instant
}

// inContact reports two-way reachability: the peer has echoed a beat that was sent
// less than a horizon ago.
func (s *State) inContact(p *peer) bool {
	return p.contacted && s.now.Sub(p.lastContact) < s.params.Horizon
}

// acknowledges reports whether the peer answers for our newest list. A peer that
// knows a newer list has moved on; one that has not recovered may have
// forgotten that it had.
func (s *State) acknowledges(p *peer) bool {
	if p.recovering && s.params.enforces(guardRecovery) {
		return false
	}
	return p.newest == s.newest && s.holdsAll(p)
}

func (s *State) handleHeartbeat(from crid.Daemon, p *peer, b Beat) {
	if len(b.Held) > s.params.MaxLists {
		return
	}
	echoed := s.echoSentAt(b.Echo)
	if !s.acceptHeartbeat(from, p, b, echoed != nil) {
		return
	}
	s.peersChanged = s.peersChanged || p.leaving != b.Leaving
	if b.Leaving && !p.leaving {
		s.reportPeer(EventPeerLeaving, from)
	}
	p.seq = b.Seq
	p.newest = b.Cur
	p.lastActive = b.Floor
	p.intermediate = b.Held
	p.recovering = b.Fresh
	p.leaving = b.Leaving
	p.replyDue = !b.Reply
	if echoed != nil {
		s.recordContact(p, b.Echo.Seq, *echoed)
	}
	if !b.Fresh {
		s.advanceActive(b.Floor)
	}
	s.updateAck(p)
	s.requestMissing(from, p)
}

// acceptHeartbeat refuses beats that are older than one already heard. Incarnations
// have no order, so that a beat of another incarnation counts as a new life
// only if it echoes a later beat of ours: a late beat of the former life, which
// would bring back its leaving mark or its lists, can not.
func (s *State) acceptHeartbeat(from crid.Daemon, p *peer, b Beat, echoed bool) bool {
	if p.incarnation == b.Inc {
		return b.Seq > p.seq
	}
	if p.incarnation == 0 {
		p.incarnation = b.Inc
		s.markPeerChanged(p)
		return true
	}
	if !echoed || b.Echo.Seq <= p.echoSeq {
		p.replyDue = p.replyDue || !b.Reply // a new life has to hear of us before it can echo anything
		return false
	}
	p.incarnation = b.Inc
	p.acked = false
	s.peersChanged = true
	s.reportPeer(EventPeerRestarted, from)
	return true
}

// echoSentAt returns when the echoed beat was sent; nil if it is none of this
// incarnation, or forgotten.
func (s *State) echoSentAt(e Echo) *crid.Instant {
	slot := s.sentBeats[e.Seq%sentRingSize]
	if e.Inc != s.incarnation || slot.seq != e.Seq || e.Seq == 0 {
		return nil
	}
	return &slot.at
}

// recordContact counts from the sending of our beat. A beat that lay in a queue,
// or in a process that was suspended, arrives as if new; counted from arrival
// it would renew standing with an old fact, and two daemons would act under
// two lists.
func (s *State) recordContact(p *peer, seq uint64, sentAt crid.Instant) {
	p.contacted = true
	p.echoSeq = max(p.echoSeq, seq)
	if !s.params.enforces(guardSendTime) {
		sentAt = s.now
	}
	p.lastContact = max(p.lastContact, sentAt)
}

// updateAck records since when the peer has answered for our newest list without
// a break. A restart starts it anew: what the former life said may be forgotten.
func (s *State) updateAck(p *peer) {
	if !s.inContact(p) || !s.acknowledges(p) {
		p.acked = false
		return
	}
	if !p.acked {
		p.acked = true
		p.ackSince = s.now
	}
}

// requestMissing asks the peer for lists it has and we lack, at most once an
// interval.
func (s *State) requestMissing(from crid.Daemon, p *peer) {
	if s.holdsAll(p) {
		return
	}
	if p.requested && s.now.Sub(p.requestedAt) < s.params.Interval {
		return
	}
	p.requested = true
	p.requestedAt = s.now
	s.emit(crevent.Send{To: from, Msg: Fetch{From: s.lastActive, Have: s.revs}})
}
