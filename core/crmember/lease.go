package crmember

import (
	"slices"

	"camphorroad/core/crid"
)

// updateLease recomputes the lease and emits it.
func (s *State) updateLease() {
	next := Lease{Now: s.now, ContactUntil: s.contactUntil(), JointUntil: s.jointUntil()}
	if s.mayActivate() {
		next.Active = s.newest
		next.Until = s.leaseUntil()
		next.Members = s.lists[s.newest].daemons
	}
	if next.Until != 0 && s.lastActive < s.newest {
		s.advanceActive(s.newest)
		s.roundNow = true
	}
	s.emitLease(next)
}

func (s *State) emitLease(next Lease) {
	last := s.lease
	if next.Until == last.Until && next.Active == last.Active && next.ContactUntil == last.ContactUntil && next.JointUntil == last.JointUntil {
		return
	}
	s.lease = next
	if last.Until == 0 && next.Until != 0 {
		s.reportList(EventLeaseAcquired, next.Active)
	}
	if last.Until != 0 && next.Until == 0 {
		s.reportList(EventLeaseLost, last.Active)
	}
	next.Members = slices.Clone(next.Members)
	next.JointLists = s.memberships()
	s.emit(next)
}

// mayActivate reports whether the newest list is active or may become active now,
// and names this daemon.
func (s *State) mayActivate() bool {
	if s.newest == 0 || (s.recovering && s.params.enforces(guardRecovery)) {
		return false
	}
	if _, ok := s.lists[s.newest].list.Find(s.self); !ok {
		return false
	}
	if s.lastActive == s.newest {
		return true
	}
	older := s.olderLists()
	if s.allConfirmed(older) {
		return true
	}
	return !slices.ContainsFunc(older, func(l heldList) bool { return !s.handoverDone(l) })
}

// handoverDone reports whether a majority of an older list's voters has acknowledged
// the newest one for a whole expiry wait, without a break.
//
// A daemon that acts under the older list counts its last contact with a voter, just
// before the voter acknowledged the newest list, until the contact timeout. If a lease
// under the newest list began with the acknowledgement, two daemons would act under
// different lists.
func (s *State) handoverDone(older heldList) bool {
	wait := s.params.ExpiryWait()
	if !s.params.enforces(guardExpiryWait) {
		wait = 0
	}
	acked := 0
	for _, d := range older.voters {
		since, ok := s.ackedSince(d)
		if ok && s.now.Sub(since) >= wait {
			acked++
		}
	}
	return acked >= quorum(len(older.voters))
}

// ackedSince returns since when a daemon has acknowledged the newest list; false if it
// does not.
func (s *State) ackedSince(d crid.Daemon) (crid.Instant, bool) {
	if d == s.self {
		return s.ackSince, true
	}
	p := s.peers[d]
	if p == nil || !p.acked || !s.inContact(p) {
		return 0, false
	}
	return p.ackSince, true
}

// allConfirmed reports whether the wait can end early: every daemon that could act
// under an older list has acknowledged the newest one.
//
// Each has to confirm it by answering a heartbeat that was sent after the last of
// them had acknowledged. Otherwise a daemon that acknowledged, restarted, and
// recovered from peers that had not yet acknowledged could act under the older list
// again.
func (s *State) allConfirmed(older []heldList) bool {
	last := s.ackSince
	var daemons []crid.Daemon
	for _, list := range older {
		daemons = append(daemons, list.daemons...)
	}
	for _, d := range daemons {
		since, ok := s.ackedSince(d)
		if !ok {
			return false
		}
		last = max(last, since)
	}
	if !s.params.enforces(guardReconfirm) {
		return true
	}
	return !slices.ContainsFunc(daemons, func(d crid.Daemon) bool {
		return d != s.self && s.peers[d].lastContact <= last
	})
}

// leaseUntil returns until when this daemon is in contact with a majority of the newest
// list's voters that acknowledge it; zero if it is not, or if a reachable peer names a
// newer list that has not been received yet.
func (s *State) leaseUntil() crid.Instant {
	held := s.lists[s.newest]
	var contacts []crid.Instant
	for _, d := range held.voters {
		p := s.peers[d]
		switch {
		case d == s.self:
			contacts = append(contacts, s.lastRound)
		case p.contacted && s.acknowledges(p):
			contacts = append(contacts, p.lastContact)
		case p.newest > s.newest && s.inContact(p):
			return 0
		}
	}
	return s.quorumUntil(contacts, len(held.voters))
}

// quorumUntil returns until when this daemon is in contact with a majority of the given
// number of voters, from the latest contact with each: the oldest of the newest contacts
// that form a majority, plus the contact timeout. It returns zero if there are too few
// contacts or that time has passed.
func (s *State) quorumUntil(contacts []crid.Instant, voters int) crid.Instant {
	need := quorum(voters)
	if len(contacts) < need {
		return 0
	}
	slices.Sort(contacts)
	until := contacts[len(contacts)-need].Add(s.params.ContactTimeout)
	if until <= s.now {
		return 0
	}
	return until
}
