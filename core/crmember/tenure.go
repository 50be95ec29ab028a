package crmember

import (
	"slices"

	"camphorroad/core/crid"
)

// settleTenure recomputes until when this daemon may act, and tells it.
func (s *State) settleTenure() {
	next := Tenure{Now: s.now, Contact: s.contact(), Bridge: s.bridge()}
	if s.settledCurrent() {
		next.Active = s.cur
		next.Until = s.until()
		next.Members = s.lists[s.cur].daemons
	}
	if next.Until != 0 && s.floor < s.cur {
		s.raiseFloor(s.cur)
		s.beatNow = true
	}
	s.tellTenure(next)
}

func (s *State) tellTenure(next Tenure) {
	last := s.tenure
	if next.Until == last.Until && next.Active == last.Active && next.Contact == last.Contact && next.Bridge == last.Bridge {
		return
	}
	s.tenure = next
	if last.Until == 0 && next.Until != 0 {
		s.reportList(EventStandingGained, next.Active)
	}
	if last.Until != 0 && next.Until == 0 {
		s.reportList(EventStandingLost, last.Active)
	}
	next.Members = slices.Clone(next.Members)
	next.Over = s.memberships()
	s.emit(next)
}

// settledCurrent reports whether the newest list is, or may now become, active,
// and names this daemon.
func (s *State) settledCurrent() bool {
	if s.cur == 0 || (s.fresh && s.params.has(guardFresh)) {
		return false
	}
	if _, ok := s.lists[s.cur].list.Find(s.self); !ok {
		return false
	}
	if s.floor == s.cur {
		return true
	}
	older := s.older()
	if s.confirmedByAll(older) {
		return true
	}
	return !slices.ContainsFunc(older, func(k known) bool { return !s.handedOver(k) })
}

// handedOver reports whether a majority of an older list's voters has answered
// for the newest one for a whole silence, without a break.
//
// The daemon that acted under the older list may hold evidence that a voter
// gave just before it moved on, and that evidence runs a horizon. Starting at
// the acknowledgement would let both act at once.
func (s *State) handedOver(k known) bool {
	wait := s.params.Silence()
	if !s.params.has(guardSilence) {
		wait = 0
	}
	settled := 0
	for _, d := range k.voters {
		since, ok := s.ackOf(d)
		if ok && s.now.Sub(since) >= wait {
			settled++
		}
	}
	return settled >= majority(len(k.voters))
}

// ackOf returns since when a daemon has answered for the newest list.
func (s *State) ackOf(d crid.Daemon) (crid.Instant, bool) {
	if d == s.self {
		return s.ackSince, true
	}
	p := s.peers[d]
	if p == nil || !p.acked || !s.alive(p) {
		return 0, false
	}
	return p.ackSince, true
}

// confirmedByAll reports whether the wait can end early: every daemon that could
// act under an older list has moved on, so that there is nobody to wait for.
//
// Each has to confirm it by answering a beat sent after the last of them had
// acknowledged. Otherwise one that acknowledged, restarted, and recovered from
// peers that had not yet moved on could act under the older list again.
func (s *State) confirmedByAll(older []known) bool {
	last := s.ackSince
	var daemons []crid.Daemon
	for _, k := range older {
		daemons = append(daemons, k.daemons...)
	}
	for _, d := range daemons {
		since, ok := s.ackOf(d)
		if !ok {
			return false
		}
		last = max(last, since)
	}
	if !s.params.has(guardConfirm) {
		return true
	}
	return !slices.ContainsFunc(daemons, func(d crid.Daemon) bool {
		return d != s.self && s.peers[d].evidence <= last
	})
}

// until is the end of the newest horizon for which a majority of the newest
// list's voters vouch; zero if it has passed, or if a reachable peer knows a
// newer list that has not come yet.
func (s *State) until() crid.Instant {
	k := s.lists[s.cur]
	var evidence []crid.Instant
	for _, d := range k.voters {
		p := s.peers[d]
		switch {
		case d == s.self:
			evidence = append(evidence, s.roundAt)
		case p.heard && s.vouches(p):
			evidence = append(evidence, p.evidence)
		case p.cur > s.cur && s.alive(p):
			return 0
		}
	}
	return s.horizonOf(evidence, len(k.voters))
}

// horizonOf is the end of the horizon of the newest evidence that a majority of
// so many voters gives; zero if it has passed or there is none.
func (s *State) horizonOf(evidence []crid.Instant, voters int) crid.Instant {
	need := majority(voters)
	if len(evidence) < need {
		return 0
	}
	slices.Sort(evidence)
	until := evidence[len(evidence)-need].Add(s.params.Horizon)
	if until <= s.now {
		return 0
	}
	return until
}
