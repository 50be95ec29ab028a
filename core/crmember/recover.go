package crmember

import "camphorroad/core/crid"

// recoverState ends the time in which a new incarnation vouches for nobody.
//
// A daemon that restarts has forgotten which lists it had acknowledged. If it
// read a stale list and vouched for it, it could complete a majority under
// which somebody acts, though it had already let a newer list become active.
func (s *State) recoverState() {
	if !s.fresh || s.cur == 0 {
		return
	}
	s.noteForgotten()
	switch {
	case s.recoveredFromPeers():
		s.reportList(EventRecovered, s.cur)
	case s.coldStarted():
		s.reportList(EventColdStart, s.cur)
		s.raiseFloor(s.coldRev)
	default:
		return
	}
	s.fresh = false
	clear(s.forgotten)
	s.ackSince = s.now
	s.beatNow = true
}

// recoveredFromPeers reports whether, for each list held, so many other voters
// have answered that every majority that could have counted this daemon's
// forgotten acknowledgement contains one of them. A list whose voters are new
// in their majority has nobody to ask.
func (s *State) recoveredFromPeers() bool {
	if s.floor == 0 || s.wantFloor > s.floor {
		return false
	}
	for _, rev := range s.revs {
		voters := s.lists[rev].voters
		need := max(1, len(voters)-majority(len(voters))+1)
		if !s.forgotten[rev] && s.count(voters, s.knowsNoMore) < need {
			return false
		}
	}
	return true
}

// knowsNoMore reports whether a recovered peer answers and everything it holds
// has been fetched.
func (s *State) knowsNoMore(p *peer) bool {
	return s.alive(p) && !p.fresh && p.cur <= s.cur && s.holdsAll(p)
}

// noteForgotten remembers each list of which, at one moment, a majority of the
// voters had not recovered, so that nobody can recover from the others. It is
// kept, because the first of them to go on would spoil the count for the rest.
func (s *State) noteForgotten() {
	for _, rev := range s.revs {
		k := s.lists[rev]
		n := s.count(k.voters, func(p *peer) bool {
			return s.alive(p) && p.fresh && p.cur == s.cur
		})
		if k.hasVoter(s.self) {
			n++
		}
		if n < majority(len(k.voters)) {
			continue
		}
		s.forgotten[rev] = true
		if rev == s.cur && s.floor == 0 && s.coldRev == 0 {
			s.coldRev = rev
		}
	}
}

// coldStarted reports whether a cold start is over. The wait lets standing of
// the former lives run out, and peers that do remember show up.
func (s *State) coldStarted() bool {
	if s.coldRev == 0 || s.now.Sub(s.startedAt) < s.params.Silence() {
		return false
	}
	for _, p := range s.peers {
		if s.alive(p) && (p.cur > s.cur || !s.holdsAll(p)) {
			return false
		}
	}
	voters := s.lists[s.cur].voters
	n := s.count(voters, s.alive)
	if s.lists[s.cur].hasVoter(s.self) {
		n++
	}
	return n >= majority(len(voters))
}

// count counts the other daemons of a list of voters that satisfy ok.
func (s *State) count(voters []crid.Daemon, ok func(*peer) bool) int {
	n := 0
	for _, d := range voters {
		if p := s.peers[d]; p != nil && ok(p) {
			n++
		}
	}
	return n
}
