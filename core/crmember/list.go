package crmember

import (
	"maps"
	"slices"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// maxRecoveringLists bounds the lists that a fresh daemon takes from the platform.
const maxRecoveringLists = 4

// heldList is a list this daemon holds, with what follows from it.
type heldList struct {
	list    crinstance.List
	voters  []crid.Daemon
	daemons []crid.Daemon
}

func (k heldList) hasVoter(d crid.Daemon) bool {
	_, ok := slices.BinarySearch(k.voters, d)
	return ok
}

// handleListUpdate takes a list from the platform, or keeps it until the lists held
// have been handed over.
//
// Each list held has to hand over before the newest can become active, so that a
// newer one never helps while that is under way. Taken at once, lists that come
// fast would start the wait anew each time and fill the tables of the daemons
// with different lists; nobody would get standing again.
func (s *State) handleListUpdate(list crinstance.List) {
	rev := list.Revision()
	switch {
	case rev < s.newest:
		s.reportList(EventListIgnored, rev)
	case s.mustDefer():
		if rev > s.deferred.Revision() {
			s.deferred = list
		}
	default:
		s.addList(list)
	}
}

// mustDefer reports whether a list read now has to wait. A fresh daemon takes
// a few, as it can not hand over before it has found peers.
func (s *State) mustDefer() bool {
	if s.recovering {
		return len(s.lists) >= maxRecoveringLists
	}
	return s.lastActive < s.newest
}

// applyDeferred goes on to the list that waited.
func (s *State) applyDeferred() {
	rev := s.deferred.Revision()
	if rev == 0 || s.mustDefer() {
		return
	}
	if rev > s.newest {
		s.addList(s.deferred)
	}
	s.deferred = crinstance.List{}
}

// addList takes a list from the platform or a peer.
func (s *State) addList(list crinstance.List) {
	rev := list.Revision()
	if _, ok := s.lists[rev]; ok || rev == 0 {
		return
	}
	if rev < s.lastActive {
		s.reportList(EventListIgnored, rev)
		return
	}
	if len(s.lists) >= s.params.MaxLists && rev != s.missingActive {
		s.reportFull(rev)
		return
	}
	s.lists[rev] = heldList{
		list:    list,
		voters:  Voters(list, 0, s.params.MaxVoters),
		daemons: list.Daemons(),
	}
	s.emit(crinstance.Listed{Now: s.now, List: list})
	s.indexLists()
	if rev == s.newest {
		s.startHandover()
	}
	s.advanceActive(s.missingActive)
}

// reportFull reports, once for each list, that there is no room. The lists held
// can not be dropped for it: each may be the one under which somebody acts.
func (s *State) reportFull(rev crid.Revision) {
	if rev > s.fullReported {
		s.fullReported = rev
		s.reportList(EventListsFull, rev)
	}
}

// startHandover begins to gather acknowledgements for a new newest list.
func (s *State) startHandover() {
	s.reportList(EventListAdopted, s.newest)
	s.ackSince = s.now
	for _, p := range s.peers {
		p.acked = false
	}
	if _, ok := s.lists[s.newest].list.Find(s.self); !ok {
		s.reportList(EventNotListed, s.newest)
	}
	s.roundNow = true
}

// advanceActive drops the lists before one that is known to have been active. All
// of them had handed over before it became active, for good.
func (s *State) advanceActive(rev crid.Revision) {
	if rev <= s.lastActive {
		return
	}
	if _, ok := s.lists[rev]; !ok {
		s.missingActive = max(s.missingActive, rev)
		return
	}
	s.lastActive = rev
	maps.DeleteFunc(s.lists, func(r crid.Revision, _ heldList) bool { return r < rev })
	s.indexLists()
}

// indexLists recomputes what follows from the set of lists: the newest
// revision, the revisions in order and the peers.
func (s *State) indexLists() {
	s.revs = slices.Sorted(maps.Keys(s.lists))
	s.newest = s.revs[len(s.revs)-1]
	wanted := make(map[crid.Daemon]bool)
	for _, rev := range s.revs {
		for _, d := range s.lists[rev].daemons {
			wanted[d] = true
		}
	}
	delete(wanted, s.self)
	maps.DeleteFunc(s.peers, func(d crid.Daemon, _ *peer) bool { return !wanted[d] })
	for d := range wanted {
		if s.peers[d] == nil {
			s.peers[d] = &peer{}
		}
	}
	s.peerNames = slices.Sorted(maps.Keys(s.peers))
	s.peerStates = s.peerStates[:0]
	for _, d := range s.peerNames {
		p := s.peers[d]
		s.peerStates = append(s.peerStates, p)
		p.sampled = len(s.peerNames) > s.params.MaxVoters && !s.isVoter(d)
		s.applyListing(d, p)
	}
	s.peersChanged = true
}

// isVoter reports whether a list held has the daemon as a voter.
func (s *State) isVoter(d crid.Daemon) bool {
	return slices.ContainsFunc(s.revs, func(rev crid.Revision) bool { return s.lists[rev].hasVoter(d) })
}

// applyListing sets what the newest list that names the peer says of it.
func (s *State) applyListing(d crid.Daemon, p *peer) {
	for _, rev := range slices.Backward(s.revs) {
		if in, ok := s.lists[rev].list.Find(d); ok {
			p.domain = in.Domain
			p.listedLeaving = in.Leaving()
			return
		}
	}
}

// olderLists returns the lists that have to hand over before the newest can become
// active.
//
// A list that this daemon skips could have become active elsewhere. Suppose 1
// is {a b c d e}, 2 is {a b x y z} and 3 is {x y z v w}. A majority of 1 lets 2
// become active, and later x, y and z move on to 3. A daemon that asks only the
// floor, list 1, finds a majority c, d, e that never heard of 2, and would let
// 3 become active while a, b and z still answer for 2. One would notice it as
// an account that gets twice its rate. Therefore every list that an answering
// peer holds is fetched first (see holdsAll) and has to hand over too.
func (s *State) olderLists() []heldList {
	var older []heldList
	for _, rev := range s.revs[:len(s.revs)-1] {
		if !s.params.enforces(guardIntermediateLists) && rev != s.revs[0] {
			continue
		}
		older = append(older, s.lists[rev])
	}
	return older
}

// intermediateRevs lists the revisions strictly between floor and newest.
func (s *State) intermediateRevs() []crid.Revision {
	var held []crid.Revision
	for _, rev := range s.revs {
		if rev > s.lastActive && rev < s.newest {
			held = append(held, rev)
		}
	}
	return held
}

// holdsAll reports whether this daemon holds each list the peer named that can
// still matter.
func (s *State) holdsAll(p *peer) bool {
	if !s.params.enforces(guardIntermediateLists) {
		return s.holds(p.newest)
	}
	for _, rev := range p.intermediate {
		if !s.holds(rev) {
			return false
		}
	}
	return s.holds(p.newest) && s.holds(p.lastActive)
}

// holds reports whether a list is held or need not be.
func (s *State) holds(rev crid.Revision) bool {
	_, ok := s.lists[rev]
	return ok || rev < s.lastActive || rev == 0
}

// handleListRequest answers with the lists the peer lacks. Lists are the largest messages
// by far, so that a peer which asks without pause would take the whole allowance
// of control traffic; peers ask once an interval.
func (s *State) handleListRequest(from crid.Daemon, p *peer, m Fetch) {
	if p.listsSent && s.now.Sub(p.listsSentAt) < s.params.Interval/2 {
		return
	}
	var rolls []Roll
	for _, rev := range s.revs {
		if rev >= m.From && !slices.Contains(m.Have, rev) {
			rolls = append(rolls, Roll{Rev: rev, Instances: s.lists[rev].list.Instances()})
		}
	}
	if len(rolls) > 0 {
		p.listsSent = true
		p.listsSentAt = s.now
		s.emit(crevent.Send{To: from, Msg: Lists{Rolls: rolls}})
	}
}

// handleListResponse takes the lists in order, so that a full table keeps the oldest,
// which are the ones that have to hand over.
func (s *State) handleListResponse(m Lists) {
	if len(m.Rolls) > s.params.MaxLists {
		return
	}
	for _, roll := range m.Rolls {
		s.addList(crinstance.NewList(roll.Rev, roll.Instances))
	}
}
