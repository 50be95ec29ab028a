package crmember

import (
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// seqReuseWindow is how long one sequence number is used for heartbeats to different
// peers. A contact counts from the first of them. That is too early for the others, so
// it never makes a lease too long.
const seqReuseWindow = 50 * time.Millisecond

// sendRound sends a heartbeat to each recipient of this round, and to each peer whose
// heartbeat has not been answered. A reply is not answered. Otherwise each sampled pair
// would exchange replies for ever, and in the end all daemons would exchange heartbeats
// with all others.
func (s *State) sendRound() {
	skip := s.idle() && !s.roundNow && !s.broadcast
	s.lastRound = s.now
	s.nextSeq()
	s.nextRound = s.now.Add(s.jitter(s.params.Interval))
	s.nextIdleRound = s.now.Add(s.jitter(s.params.idleInterval()))
	recipients := s.recipients()
	s.roundNow = false
	s.broadcast = false
	for i, d := range s.peerNames {
		p := s.peerStates[i]
		due := recipients[d] && (!skip || !s.skippable(p))
		if due || p.replyDue {
			s.sendHeartbeat(d, p, !due)
		}
	}
}

// roundDue reports whether it is time for a round.
func (s *State) roundDue() bool {
	if s.roundNow || s.broadcast || !s.now.Before(s.nextIdleRound) {
		return true
	}
	return !s.now.Before(s.nextRound) && !s.idle()
}

// sendHeartbeat sends one heartbeat with the current state. It uses a new sequence number
// if the current one was already sent to this peer or is older than seqReuseWindow.
func (s *State) sendHeartbeat(d crid.Daemon, p *peer, reply bool) {
	if p.sentSeq == s.seq || s.now.Sub(s.sentHeartbeats[s.seq%sentRingSize].at) > seqReuseWindow {
		s.nextSeq()
	}
	p.replyDue = false
	p.sentSeq = s.seq
	p.sentAt = s.now
	s.emit(crevent.Send{To: d, Msg: Heartbeat{
		Seq:            s.seq,
		Incarnation:    s.incarnation,
		Newest:         s.newest,
		LastActive:     s.lastActive,
		Intermediate:   s.intermediateRevs(),
		ConfigRevision: s.configRev,
		Leaving:        s.leaving,
		Recovering:     s.recovering && s.params.enforces(guardRecovery),
		Reply:          reply,
		Echo:           Echo{Incarnation: p.incarnation, Seq: p.seq},
	}})
}

// nextSeq starts a new sequence number for the heartbeats that follow.
func (s *State) nextSeq() {
	s.seq++
	s.sentHeartbeats[s.seq%sentRingSize] = sentHeartbeat{seq: s.seq, at: s.now}
}

// replyTo answers a received heartbeat at once unless the round has answered it. If
// replies waited for the next round of an idle daemon, they would be so late that after
// two lost packets in a row a peer would count as unreachable. A peer that sends
// heartbeats without pause is answered at most twice an interval.
func (s *State) replyTo(ev crevent.Event) {
	in, ok := ev.(crevent.Received)
	if !ok || s.params.IdleInterval == 0 || s.newest == 0 {
		return
	}
	p := s.peers[in.From]
	if p == nil || !p.replyDue || s.now.Sub(p.repliedAt) < s.params.Interval/2 {
		return
	}
	p.repliedAt = s.now
	s.sendHeartbeat(in.From, p, true)
}

// idle reports whether heartbeats may be sent at IdleInterval: this daemon holds a
// lease, no handover is in progress here or at a voter, no voter is recovering, and
// none is suspected. Voters out of contact do not count, or one failed voter would
// keep the whole fleet at the shorter interval.
func (s *State) idle() bool {
	if s.params.IdleInterval == 0 || s.lease.Until == 0 || s.leaving || s.lastActive != s.newest || s.missingActive > s.lastActive {
		return false
	}
	for _, d := range s.lists[s.newest].voters {
		p := s.peers[d]
		if p == nil || !s.inContact(p) {
			continue
		}
		if p.recovering || p.newest != s.newest || p.lastActive != s.lastActive || s.suspected(p) {
			return false
		}
	}
	return true
}

// suspected reports that the last contact with a peer is older than it becomes without
// packet loss: one idle interval until the peer's next heartbeat, and another since
// the heartbeat that it echoes may be that old. The rest of the contact timeout is for
// heartbeats at the shorter interval.
func (s *State) suspected(p *peer) bool {
	const halfIntervals = 5
	return s.now.Sub(p.lastContact) > halfIntervals*s.params.idleInterval()/2
}

// skippable reports that a peer needs no heartbeat in this round of an idle daemon:
// it has just been sent one, usually a reply to its own. So one daemon of each pair
// sends heartbeats and the other replies.
func (s *State) skippable(p *peer) bool {
	const parts = 5
	return s.inContact(p) && !s.suspected(p) && s.now.Sub(p.sentAt) < s.params.idleInterval()*(parts-1)/parts
}

// jitter varies a mean interval at random by up to the fraction Jitter. Without it,
// daemons that start at the same time would always send their heartbeats at the same time.
func (s *State) jitter(mean time.Duration) time.Duration {
	const steps = 1 << 20
	offset := float64(s.hash(s.seq, 0)%steps)/steps*2 - 1
	return time.Duration(float64(mean) * (1 + s.params.Jitter*offset))
}

// recipients returns the daemons that are sent a heartbeat in this round that is not a
// reply: all in a small fleet and once when leaving; otherwise the voters of each list
// held, and a sample.
func (s *State) recipients() map[crid.Daemon]bool {
	to := make(map[crid.Daemon]bool)
	if len(s.peerNames) <= s.params.MaxVoters || s.broadcast {
		for _, d := range s.peerNames {
			to[d] = true
		}
		return to
	}
	for _, rev := range s.revs {
		for _, d := range s.lists[rev].voters {
			to[d] = true
		}
	}
	for _, d := range s.currentSample() {
		to[d] = true
	}
	return to
}

// currentSample returns the daemons that are sent heartbeats besides the voters. The
// sample is kept for SampleDuration: each peer that is new to it costs a handshake, and
// a new sample in every round would cost a sixth of a processor core.
func (s *State) currentSample() []crid.Daemon {
	if s.now.Before(s.sampleUntil) {
		return s.sample
	}
	s.sampleUntil = s.now.Add(s.jitter(s.params.SampleDuration))
	s.sample = s.sample[:0]
	for i := range s.params.SampleSize {
		pick := s.hash(s.seq, uint64(i)+1) % uint64(len(s.peerNames))
		s.sample = append(s.sample, s.peerNames[pick])
	}
	return s.sample
}
