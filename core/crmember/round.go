package crmember

import (
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// seqReuseWindow is how long one number serves for beats to different peers. Its
// evidence counts from the first of them, which is too early for the others and
// so never too long.
const seqReuseWindow = 50 * time.Millisecond

// sendRound sends one beat to each peer that is due one: those chosen, and those
// that have sent one that waits for its answer. An answer wants none, or each
// sampled pair would go on for ever and the sample would grow into beats among
// all daemons.
func (s *State) sendRound() {
	spare := s.idle() && !s.roundNow && !s.broadcast
	s.lastRound = s.now
	s.nextSeq()
	s.nextRound = s.now.Add(s.jitter(s.params.Interval))
	s.nextIdleRound = s.now.Add(s.jitter(s.params.idleInterval()))
	chosen := s.recipients()
	s.roundNow = false
	s.broadcast = false
	for i, d := range s.peerNames {
		p := s.peerStates[i]
		due := chosen[d] && (!spare || !s.skippable(p))
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

// sendHeartbeat sends one sendHeartbeat, with what is true now.
func (s *State) sendHeartbeat(d crid.Daemon, p *peer, reply bool) {
	if p.sentSeq == s.seq || s.now.Sub(s.sentBeats[s.seq%sentRingSize].at) > seqReuseWindow {
		s.nextSeq()
	}
	p.replyDue = false
	p.sentSeq = s.seq
	p.sentAt = s.now
	s.emit(crevent.Send{To: d, Msg: Beat{
		Seq:     s.seq,
		Inc:     s.incarnation,
		Cur:     s.newest,
		Floor:   s.lastActive,
		Held:    s.intermediateRevs(),
		Conf:    s.configRev,
		Leaving: s.leaving,
		Fresh:   s.recovering && s.params.enforces(guardRecovery),
		Reply:   reply,
		Echo:    Echo{Inc: p.incarnation, Seq: p.seq},
	}})
}

// nextSeq begins a new nextSeq for the beats that follow.
func (s *State) nextSeq() {
	s.seq++
	s.sentBeats[s.seq%sentRingSize] = sentBeat{seq: s.seq, at: s.now}
}

// replyTo answers the beat that was received at once, where the round has not.
// Left to the next round of a daemon that rests, answers would come so late that
// two lost packets in a row made a peer look lost. A peer that beats without
// pause is answered no faster than twice an interval.
func (s *State) replyTo(ev crevent.Event) {
	in, ok := ev.(crevent.Received)
	if !ok || s.params.Rest == 0 || s.newest == 0 {
		return
	}
	p := s.peers[in.From]
	if p == nil || !p.replyDue || s.now.Sub(p.repliedAt) < s.params.Interval/2 {
		return
	}
	p.repliedAt = s.now
	s.sendHeartbeat(in.From, p, true)
}

// idle reports whether nothing is under way: this daemon has standing, no list
// is being handed over here or at a voter, nobody recovers, and no voter is
// suspected. Voters that are lost do not count, or one that stays dead would
// keep the fleet busy.
func (s *State) idle() bool {
	if s.params.Rest == 0 || s.lease.Until == 0 || s.leaving || s.lastActive != s.newest || s.missingActive > s.lastActive {
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

// suspected reports that a peer's evidence is older than it gets where no beat
// is lost: one Rest until the other end beats again, and one that its echo is
// old already. What is left of the horizon is for beats at the faster pace.
func (s *State) suspected(p *peer) bool {
	const rests = 5
	return s.now.Sub(p.lastContact) > rests*s.params.idleInterval()/2
}

// skippable reports that a peer needs no beat in this round of a daemon at rest: it
// has just been answered, and goes on beating by itself. So each pair
// has one end that beats and one that answers.
func (s *State) skippable(p *peer) bool {
	const part = 5
	return s.inContact(p) && !s.suspected(p) && s.now.Sub(p.sentAt) < s.params.idleInterval()*(part-1)/part
}

// jitter is the time to the next round. Daemons that start at once would
// otherwise beat at once for ever.
func (s *State) jitter(mean time.Duration) time.Duration {
	const steps = 1 << 20
	share := float64(s.hash(s.seq, 0)%steps)/steps*2 - 1
	return time.Duration(float64(mean) * (1 + s.params.Jitter*share))
}

// recipients returns who gets a beat in this round unasked: everybody in a small
// fleet, and once when leaving; else the voters of each held list, and a sample.
func (s *State) recipients() map[crid.Daemon]bool {
	chosen := make(map[crid.Daemon]bool)
	if len(s.peerNames) <= s.params.MaxVoters || s.broadcast {
		for _, d := range s.peerNames {
			chosen[d] = true
		}
		return chosen
	}
	for _, rev := range s.revs {
		for _, d := range s.lists[rev].voters {
			chosen[d] = true
		}
	}
	for _, d := range s.currentSample() {
		chosen[d] = true
	}
	return chosen
}

// currentSample returns the other daemons that get beats besides the voters. They stay
// for a while: each peer that is new to the currentSample costs a handshake, and a new
// currentSample in every round took a sixth of a core for them.
func (s *State) currentSample() []crid.Daemon {
	if s.now.Before(s.sampleUntil) {
		return s.sample
	}
	s.sampleUntil = s.now.Add(s.jitter(s.params.SampleFor))
	s.sample = s.sample[:0]
	for i := range s.params.Sample {
		pick := s.hash(s.seq, uint64(i)+1) % uint64(len(s.peerNames))
		s.sample = append(s.sample, s.peerNames[pick])
	}
	return s.sample
}
