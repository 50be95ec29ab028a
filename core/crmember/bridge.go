package crmember

import "camphorroad/core/crid"

// contactUntil is the end of the newest horizon in which a majority of the newest
// list's voters was heard both ways, whatever list they answer for.
//
// A daemon that hands over from one list to the next has no tenure, but it is
// not cut off: what it knows of keys and policy is as new as what the others
// know. Were trust to hang on tenure, each change of the list would have every
// caller of every service refused for as long as the handover takes.
func (s *State) contactUntil() crid.Instant {
	if s.newest == 0 {
		return 0
	}
	return s.quorumContact(s.lists[s.newest].voters, func(*peer) bool { return true })
}

// jointUntil is the instant up to which no list beyond those held here can become
// active anywhere. Until then a daemon may go on with whatever each of the lists
// held gives to it, since whichever of them is the active one gives it the same.
//
// A list beyond those held becomes active a silence after a majority of the
// voters of one of them has answered for it. A voter in that majority and in
// ours answered us before that, so that its evidence here has run out by then.
// Where the silence is skipped, since every daemon of the lists before has moved
// on, this one has too; but only if each of them names it. One that some list
// does not name is given nothing by that list anyway.
func (s *State) jointUntil() crid.Instant {
	if s.newest == 0 || s.lastActive == 0 || s.recovering {
		return 0
	}
	var end crid.Instant
	for i, rev := range s.revs {
		if _, ok := s.lists[rev].list.Find(s.self); !ok {
			return 0
		}
		until := s.quorumContact(s.lists[rev].voters, s.upToDate)
		if i == 0 || until < end {
			end = until
		}
	}
	return end
}

// quorumContact is the horizon that a majority of the voters gives, of those that
// count.
func (s *State) quorumContact(voters []crid.Daemon, counts func(*peer) bool) crid.Instant {
	var evidence []crid.Instant
	for _, d := range voters {
		if d == s.self {
			evidence = append(evidence, s.lastRound)
			continue
		}
		if p := s.peers[d]; p != nil && p.contacted && counts(p) {
			evidence = append(evidence, p.lastContact)
		}
	}
	return s.quorumUntil(evidence, len(voters))
}

func (s *State) memberships() []Membership {
	over := make([]Membership, 0, len(s.revs))
	for _, rev := range s.revs {
		over = append(over, Membership{Rev: rev, Members: s.lists[rev].daemons})
	}
	return over
}
