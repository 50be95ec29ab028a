package crmember

import (
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// round sends one beat to each peer that is due one: those chosen, and those
// that have sent one since the last round and want an answer. An answer wants
// none, or each sampled pair would go on for ever and the sample would grow
// into beats among all daemons.
func (s *State) round() {
	s.beatNow = false
	s.seq++
	s.roundAt = s.now
	s.sent[s.seq%sentSlots] = sending{seq: s.seq, at: s.now}
	s.nextRound = s.now.Add(s.jittered())
	beat := Beat{
		Seq:     s.seq,
		Inc:     s.inc,
		Cur:     s.cur,
		Floor:   s.floor,
		Held:    s.held(),
		Conf:    s.conf,
		Leaving: s.leaving,
		Fresh:   s.fresh && s.params.has(guardFresh),
	}
	chosen := s.chosen()
	s.tellAll = false
	for i, d := range s.order {
		p := s.known[i]
		if !chosen[d] && !p.owed {
			continue
		}
		p.owed = false
		beat.Reply = !chosen[d]
		beat.Echo = Echo{Inc: p.inc, Seq: p.seq}
		s.emit(crevent.Send{To: d, Msg: beat})
	}
}

// jittered is the time to the next round. Daemons that start at once would
// otherwise beat at once for ever.
func (s *State) jittered() time.Duration {
	const steps = 1 << 20
	share := float64(s.draw(s.seq, 0)%steps)/steps*2 - 1
	return time.Duration(float64(s.params.Interval) * (1 + s.params.Jitter*share))
}

// chosen returns who gets a beat in this round unasked: everybody in a small
// fleet, and once when leaving; else the voters of each held list, and a sample
// that changes with each round.
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
	for i := range s.params.Sample {
		pick := s.draw(s.seq, uint64(i)+1) % uint64(len(s.order))
		chosen[s.order[pick]] = true
	}
	return chosen
}
