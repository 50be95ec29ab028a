package crmember

import (
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// sentSpan is how long one number serves for beats to different peers. Its
// evidence counts from the first of them, which is too early for the others and
// so never too long.
const sentSpan = 50 * time.Millisecond

// round sends one beat to each peer that is due one: those chosen, and those
// that have sent one that waits for its answer. An answer wants none, or each
// sampled pair would go on for ever and the sample would grow into beats among
// all daemons.
func (s *State) round() {
	spare := s.resting() && !s.beatNow && !s.tellAll
	s.roundAt = s.now
	s.number()
	s.nextRound = s.now.Add(s.jittered(s.params.Interval))
	s.nextRest = s.now.Add(s.jittered(s.params.rest()))
	chosen := s.chosen()
	s.beatNow = false
	s.tellAll = false
	for i, d := range s.order {
		p := s.known[i]
		due := chosen[d] && (!spare || !s.spared(p))
		if due || p.owed {
			s.beat(d, p, !due)
		}
	}
}

// roundDue reports whether it is time for a round.
func (s *State) roundDue() bool {
	if s.beatNow || s.tellAll || !s.now.Before(s.nextRest) {
		return true
	}
	return !s.now.Before(s.nextRound) && !s.resting()
}

// beat sends one beat, with what is true now.
func (s *State) beat(d crid.Daemon, p *peer, reply bool) {
	if p.sentSeq == s.seq || s.now.Sub(s.sent[s.seq%sentSlots].at) > sentSpan {
		s.number()
	}
	p.owed = false
	p.sentSeq = s.seq
	p.sentAt = s.now
	s.emit(crevent.Send{To: d, Msg: Beat{
		Seq:     s.seq,
		Inc:     s.inc,
		Cur:     s.cur,
		Floor:   s.floor,
		Held:    s.held(),
		Conf:    s.conf,
		Leaving: s.leaving,
		Fresh:   s.fresh && s.params.has(guardFresh),
		Reply:   reply,
		Echo:    Echo{Inc: p.inc, Seq: p.seq},
	}})
}

// number begins a new number for the beats that follow.
func (s *State) number() {
	s.seq++
	s.sent[s.seq%sentSlots] = sending{seq: s.seq, at: s.now}
}

// answer answers the beat that was received at once, where the round has not.
// Left to the next round of a daemon that rests, answers would come so late that
// two lost packets in a row made a peer look lost. A peer that beats without
// pause is answered no faster than twice an interval.
func (s *State) answer(ev crevent.Event) {
	in, ok := ev.(crevent.Received)
	if !ok || s.params.Rest == 0 || s.cur == 0 {
		return
	}
	p := s.peers[in.From]
	if p == nil || !p.owed || s.now.Sub(p.repliedAt) < s.params.Interval/2 {
		return
	}
	p.repliedAt = s.now
	s.beat(in.From, p, true)
}

// resting reports whether nothing is under way: this daemon has standing, no list
// is being handed over here or at a voter, nobody recovers, and no voter is
// suspected. Voters that are lost do not count, or one that stays dead would
// keep the fleet busy.
func (s *State) resting() bool {
	if s.params.Rest == 0 || s.tenure.Until == 0 || s.leaving || s.floor != s.cur || s.wantFloor > s.floor {
		return false
	}
	for _, d := range s.lists[s.cur].voters {
		p := s.peers[d]
		if p == nil || !s.alive(p) {
			continue
		}
		if p.fresh || p.cur != s.cur || p.floor != s.floor || s.suspected(p) {
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
	return s.now.Sub(p.evidence) > rests*s.params.rest()/2
}

// spared reports that a peer needs no beat in this round of a daemon at rest: it
// has just been answered, and goes on beating by itself. So each pair
// has one end that beats and one that answers.
func (s *State) spared(p *peer) bool {
	const part = 5
	return s.alive(p) && !s.suspected(p) && s.now.Sub(p.sentAt) < s.params.rest()*(part-1)/part
}

// jittered is the time to the next round. Daemons that start at once would
// otherwise beat at once for ever.
func (s *State) jittered(mean time.Duration) time.Duration {
	const steps = 1 << 20
	share := float64(s.draw(s.seq, 0)%steps)/steps*2 - 1
	return time.Duration(float64(mean) * (1 + s.params.Jitter*share))
}

// chosen returns who gets a beat in this round unasked: everybody in a small
// fleet, and once when leaving; else the voters of each held list, and a sample.
func (s *State) chosen() map[crid.Daemon]bool {
	chosen := make(map[crid.Daemon]bool)
	if len(s.order) <= s.params.MaxVoters || s.tellAll {
		for _, d := range s.order {
			chosen[d] = true
		}
		return chosen
	}
	for _, rev := range s.revs {
		for _, d := range s.lists[rev].voters {
			chosen[d] = true
		}
	}
	for _, d := range s.sample() {
		chosen[d] = true
	}
	return chosen
}

// sample returns the other daemons that get beats besides the voters. They stay
// for a while: each peer that is new to the sample costs a handshake, and a new
// sample in every round took a sixth of a core for them.
func (s *State) sample() []crid.Daemon {
	if s.now.Before(s.sampledTo) {
		return s.sampled
	}
	s.sampledTo = s.now.Add(s.jittered(s.params.SampleFor))
	s.sampled = s.sampled[:0]
	for i := range s.params.Sample {
		pick := s.draw(s.seq, uint64(i)+1) % uint64(len(s.order))
		s.sampled = append(s.sampled, s.order[pick])
	}
	return s.sampled
}
