package crmember

import "camphorroad/core/crid"

// updateRecovery ends the period in which a new incarnation acknowledges no list.
//
// A restarted daemon has no record of the lists that it had acknowledged. If it read a
// stale list and acknowledged that, it could complete a majority for a lease under
// the stale list, although its earlier acknowledgement had let a newer list become active.
func (s *State) updateRecovery() {
	if !s.recovering || s.newest == 0 {
		return
	}
	s.noteRecoveringQuorums()
	switch {
	case s.recoveredFromPeers():
		s.reportList(EventRecovered, s.newest)
	case s.coldStartDone():
		s.reportList(EventColdStart, s.newest)
		s.advanceActive(s.coldStartRev)
	default:
		return
	}
	s.recovering = false
	clear(s.recoveringQuorum)
	s.ackSince = s.now
	s.roundNow = true
}

// recoveredFromPeers reports whether enough other voters of each list held have
// answered: every majority that could include an acknowledgement from before this
// daemon's restart contains one of them. A list of which a majority of the voters is
// recovering is exempt, since none of them could recover from the others.
func (s *State) recoveredFromPeers() bool {
	if s.lastActive == 0 || s.missingActive > s.lastActive {
		return false
	}
	for _, rev := range s.revs {
		voters := s.lists[rev].voters
		need := max(1, len(voters)-quorum(len(voters))+1)
		if !s.recoveringQuorum[rev] && s.countVoters(voters, s.upToDate) < need {
			return false
		}
	}
	return true
}

// upToDate reports whether a recovered peer is in contact and this daemon holds
// every list that the peer holds.
func (s *State) upToDate(p *peer) bool {
	return s.inContact(p) && !p.recovering && p.newest <= s.newest && s.holdsAll(p)
}

// noteRecoveringQuorums records each list of which, at one moment, a majority of the
// voters was recovering. The record stays, because the first of them to recover
// would lower the count for the others.
func (s *State) noteRecoveringQuorums() {
	for _, rev := range s.revs {
		held := s.lists[rev]
		n := s.countVoters(held.voters, func(p *peer) bool {
			return s.inContact(p) && p.recovering && p.newest == s.newest
		})
		if held.hasVoter(s.self) {
			n++
		}
		if n < quorum(len(held.voters)) {
			continue
		}
		s.recoveringQuorum[rev] = true
		if rev == s.newest && s.lastActive == 0 && s.coldStartRev == 0 {
			s.coldStartRev = rev
		}
	}
}

// coldStartDone reports whether a cold start is complete. By the end of the wait all
// leases of former incarnations have expired, and the heartbeats of peers that did not
// restart have arrived.
func (s *State) coldStartDone() bool {
	if s.coldStartRev == 0 || s.now.Sub(s.startedAt) < s.params.ExpiryWait() {
		return false
	}
	for _, p := range s.peers {
		if s.inContact(p) && (p.newest > s.newest || !s.holdsAll(p)) {
			return false
		}
	}
	voters := s.lists[s.newest].voters
	n := s.countVoters(voters, s.inContact)
	if s.lists[s.newest].hasVoter(s.self) {
		n++
	}
	return n >= quorum(len(voters))
}

// countVoters counts the voters that satisfy ok, this daemon excluded.
func (s *State) countVoters(voters []crid.Daemon, ok func(*peer) bool) int {
	n := 0
	for _, d := range voters {
		if p := s.peers[d]; p != nil && ok(p) {
			n++
		}
	}
	return n
}
