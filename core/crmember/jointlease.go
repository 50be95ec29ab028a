package crmember

import "camphorroad/core/crid"

// contactUntil returns until when this daemon is in contact with a majority of the
// newest list's voters, whichever list they acknowledge.
//
// A daemon has no lease during a handover, but it is not isolated: its keys and
// policy are as new as those of the others. If they were valid only under a lease,
// every request of every service would be refused during each handover.
func (s *State) contactUntil() crid.Instant {
	if s.newest == 0 {
		return 0
	}
	return s.quorumContactUntil(s.lists[s.newest].voters, func(*peer) bool { return true })
}

// jointUntil returns the instant until which no list beyond those held here can
// become active anywhere. Until then a daemon may act on what every list held assigns
// to it, since one of them is the active one.
//
// A list beyond those held becomes active an expiry wait after a majority of the
// voters of one of them has acknowledged it. That majority shares a voter with the
// majority that this daemon counts. This voter answered this daemon before it
// acknowledged the later list, so that its contact here has expired by the end of the
// wait. The wait is skipped once every daemon of the older lists has acknowledged the
// later one. That includes this daemon if each of the lists names it. A list that does
// not name this daemon assigns nothing to it, so jointUntil returns zero then.
func (s *State) jointUntil() crid.Instant {
	if s.newest == 0 || s.lastActive == 0 || s.recovering {
		return 0
	}
	var end crid.Instant
	for i, rev := range s.revs {
		if _, ok := s.lists[rev].list.Find(s.self); !ok {
			return 0
		}
		until := s.quorumContactUntil(s.lists[rev].voters, s.upToDate)
		if i == 0 || until < end {
			end = until
		}
	}
	return end
}

// quorumContactUntil returns until when this daemon is in contact with a majority of the
// voters. Only peers that satisfy counts are counted.
func (s *State) quorumContactUntil(voters []crid.Daemon, counts func(*peer) bool) crid.Instant {
	var contacts []crid.Instant
	for _, d := range voters {
		if d == s.self {
			contacts = append(contacts, s.lastRound)
			continue
		}
		if p := s.peers[d]; p != nil && p.contacted && counts(p) {
			contacts = append(contacts, p.lastContact)
		}
	}
	return s.quorumUntil(contacts, len(voters))
}

// memberships returns the daemons of each list held.
func (s *State) memberships() []Membership {
	lists := make([]Membership, 0, len(s.revs))
	for _, rev := range s.revs {
		lists = append(lists, Membership{Rev: rev, Members: s.lists[rev].daemons})
	}
	return lists
}
