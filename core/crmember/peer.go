package crmember

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// peer is the state that this daemon holds for another one.
type peer struct {
	domain        crid.Domain
	sampled       bool // voter of no list held, with more than MaxVoters peers
	listedLeaving bool // the newest list that names it lists it as leaving

	// Content of its latest heartbeat.
	incarnation  crid.Incarnation
	seq          uint64
	newest       crid.Revision
	lastActive   crid.Revision
	intermediate []crid.Revision
	recovering   bool
	leaving      bool

	contacted   bool         // it has echoed a heartbeat of this daemon
	lastContact crid.Instant // when the newest heartbeat that it echoed was sent
	echoSeq     uint64
	acked       bool         // it has acknowledged this daemon's newest list since ackSince
	ackSince    crid.Instant // arrival of the first heartbeat that acknowledged it
	requestedAt crid.Instant // latest ListRequest to it
	requested   bool
	listsSentAt crid.Instant // latest ListResponse to it
	listsSent   bool
	replyDue    bool         // its latest heartbeat has not been answered
	sentSeq     uint64       // sequence number of the latest heartbeat to it
	sentAt      crid.Instant // latest heartbeat to it
	repliedAt   crid.Instant // latest reply to it outside a round
	reachable   bool         // as in the latest PeersChanged
}

// sentRingSize bounds the sequence numbers whose time of sending is recorded.
// seqReuseWindow and the rate of replies to one peer limit the sequence numbers, so that
// fewer than a hundred are used within a contact timeout. The echo of a heartbeat whose
// slot was reused counts as too late.
const sentRingSize = 256

// sentHeartbeat records when a sequence number was first used.
type sentHeartbeat struct {
	seq uint64
	at  crid.Instant
}

// inContact reports two-way reachability: the peer has echoed a heartbeat that was
// sent less than a contact timeout ago.
func (s *State) inContact(p *peer) bool {
	return p.contacted && s.now.Sub(p.lastContact) < s.params.ContactTimeout
}

// acknowledges reports whether the peer acknowledges this daemon's newest list. A
// peer with a newer list does not. Nor does a peer that is recovering: it may have
// acknowledged a newer list before its restart.
func (s *State) acknowledges(p *peer) bool {
	if p.recovering && s.params.enforces(guardRecovery) {
		return false
	}
	return p.newest == s.newest && s.holdsAll(p)
}

func (s *State) handleHeartbeat(from crid.Daemon, p *peer, b Heartbeat) {
	if len(b.Intermediate) > s.params.MaxLists {
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
	p.newest = b.Newest
	p.lastActive = b.LastActive
	p.intermediate = b.Intermediate
	p.recovering = b.Recovering
	p.leaving = b.Leaving
	p.replyDue = !b.Reply
	if echoed != nil {
		s.recordContact(p, b.Echo.Seq, *echoed)
	}
	if !b.Recovering {
		s.advanceActive(b.LastActive)
	}
	s.updateAck(p)
	s.requestMissing(from, p)
}

// acceptHeartbeat rejects heartbeats older than one already received. Incarnations
// have no order. A heartbeat of another incarnation therefore counts as a restart
// only if it echoes a later heartbeat of this daemon. A delayed one of the former
// incarnation cannot, and so does not restore its leaving state or its lists.
func (s *State) acceptHeartbeat(from crid.Daemon, p *peer, b Heartbeat, echoed bool) bool {
	if p.incarnation == b.Incarnation {
		return b.Seq > p.seq
	}
	if p.incarnation == 0 {
		p.incarnation = b.Incarnation
		s.markPeerChanged(p)
		return true
	}
	if !echoed || b.Echo.Seq <= p.echoSeq {
		p.replyDue = p.replyDue || !b.Reply // the new incarnation must be answered before it can echo anything
		return false
	}
	p.incarnation = b.Incarnation
	p.acked = false
	s.peersChanged = true
	s.reportPeer(EventPeerRestarted, from)
	return true
}

// echoSentAt returns when the echoed heartbeat was sent; nil if this incarnation
// did not send it, or its slot was reused.
func (s *State) echoSentAt(e Echo) *crid.Instant {
	slot := s.sentHeartbeats[e.Seq%sentRingSize]
	if e.Incarnation != s.incarnation || slot.seq != e.Seq || e.Seq == 0 {
		return nil
	}
	return &slot.at
}

// recordContact counts a contact from the sending of this daemon's heartbeat. The echo
// may have been delayed in a queue or in a suspended process. If the contact counted
// from its arrival, it would renew a lease after its true end, and two daemons would act
// under two lists.
func (s *State) recordContact(p *peer, seq uint64, sentAt crid.Instant) {
	p.contacted = true
	p.echoSeq = max(p.echoSeq, seq)
	if !s.params.enforces(guardSendTime) {
		sentAt = s.now
	}
	p.lastContact = max(p.lastContact, sentAt)
}

// updateAck records since when the peer has acknowledged the newest list without a
// break. A restart of the peer resets it, as the peer then has no record of it.
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

// requestMissing requests the lists that the peer has and this daemon lacks, at most
// once an interval.
func (s *State) requestMissing(from crid.Daemon, p *peer) {
	if s.holdsAll(p) {
		return
	}
	if p.requested && s.now.Sub(p.requestedAt) < s.params.Interval {
		return
	}
	p.requested = true
	p.requestedAt = s.now
	s.emit(crevent.Send{To: from, Msg: ListRequest{From: s.lastActive, Have: s.revs}})
}
