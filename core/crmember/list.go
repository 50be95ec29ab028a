package crmember

import (
	"maps"
	"slices"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// maxRecoveringLists bounds the lists that a recovering daemon adds from the platform.
const maxRecoveringLists = 4

// heldList is a list that this daemon holds, with the values derived from it.
type heldList struct {
	list    crinstance.List
	voters  []crid.Daemon
	daemons []crid.Daemon
}

func (l heldList) hasVoter(d crid.Daemon) bool {
	_, ok := slices.BinarySearch(l.voters, d)
	return ok
}

// handleListUpdate adds a list from the platform, or defers it until the handover
// of the lists held is complete.
//
// Each list held has to hand over before the newest can become active, so that adding
// a newer one would only prolong a handover. If lists that follow each other quickly
// were added at once, each would restart the wait and the daemons would hold
// different sets of lists; no daemon would get a lease again.
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

// mustDefer reports whether a list received now has to wait. A recovering daemon adds
// up to maxRecoveringLists, as it cannot complete a handover before it has recovered.
func (s *State) mustDefer() bool {
	if s.recovering {
		return len(s.lists) >= maxRecoveringLists
	}
	return s.lastActive < s.newest
}

// applyDeferred adds the deferred list once the handover is complete.
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

// addList adds a list from the platform or a peer.
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
	s.emit(crinstance.ListUpdated{Now: s.now, List: list})
	s.indexLists()
	if rev == s.newest {
		s.startHandover()
	}
	s.advanceActive(s.missingActive)
}

// reportFull reports, once for each list, that MaxLists lists are held. None of them can
// be dropped instead: some daemon may act under it.
func (s *State) reportFull(rev crid.Revision) {
	if rev > s.fullReported {
		s.fullReported = rev
		s.reportList(EventListsFull, rev)
	}
}

// startHandover starts to collect acknowledgements for a new newest list.
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

// advanceActive drops the lists older than one that is known to have been active. The
// handover from each of them was complete before it became active.
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

// indexLists recomputes what is derived from the set of lists: the newest
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

// isVoter reports whether the daemon is a voter of a list held.
func (s *State) isVoter(d crid.Daemon) bool {
	return slices.ContainsFunc(s.revs, func(rev crid.Revision) bool { return s.lists[rev].hasVoter(d) })
}

// applyListing sets the peer's domain and leaving state from the newest list that names it.
func (s *State) applyListing(d crid.Daemon, p *peer) {
	for _, rev := range slices.Backward(s.revs) {
		if in, ok := s.lists[rev].list.Find(d); ok {
			p.domain = in.Domain
			p.listedLeaving = in.Leaving()
			return
		}
	}
}

// olderLists returns the lists that have to hand over before the newest can
// become active.
//
// A list that this daemon skips could have become active elsewhere. Suppose list 1
// is {a b c d e}, list 2 is {a b x y z} and list 3 is {x y z v w}. A majority of
// list 1 lets list 2 become active, and later x, y and z move on to list 3. A daemon
// that queries only the voters of list 1, its last active one, finds a majority c, d, e
// that never received list 2, and would let list 3 become active while a, b and z
// still acknowledge list 2. An account would then get twice its rate. Therefore
// every list that an answering peer holds is fetched first (see holdsAll) and has to
// hand over too.
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

// intermediateRevs returns the revisions between the last active and the newest list.
func (s *State) intermediateRevs() []crid.Revision {
	var revs []crid.Revision
	for _, rev := range s.revs {
		if rev > s.lastActive && rev < s.newest {
			revs = append(revs, rev)
		}
	}
	return revs
}

// holdsAll reports whether this daemon holds each list that the peer named and
// that can still matter.
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

// holds reports whether a list is held or need not be held.
func (s *State) holds(rev crid.Revision) bool {
	_, ok := s.lists[rev]
	return ok || rev < s.lastActive || rev == 0
}

// handleListRequest answers with the lists that the peer lacks. Lists are by far the
// largest messages. If each request of a peer that sends them without pause were answered,
// the allowance of control traffic would be used up. Correct peers send at most one an
// interval.
func (s *State) handleListRequest(from crid.Daemon, p *peer, m ListRequest) {
	if p.listsSent && s.now.Sub(p.listsSentAt) < s.params.Interval/2 {
		return
	}
	var lists []ListData
	for _, rev := range s.revs {
		if rev >= m.From && !slices.Contains(m.Have, rev) {
			lists = append(lists, ListData{Rev: rev, Instances: s.lists[rev].list.Instances()})
		}
	}
	if len(lists) > 0 {
		p.listsSent = true
		p.listsSentAt = s.now
		s.emit(crevent.Send{To: from, Msg: ListResponse{Lists: lists}})
	}
}

// handleListResponse adds the lists in order. If they exceed MaxLists, the oldest ones,
// which have to hand over, are held.
func (s *State) handleListResponse(m ListResponse) {
	if len(m.Lists) > s.params.MaxLists {
		return
	}
	for _, data := range m.Lists {
		s.addList(crinstance.NewList(data.Rev, data.Instances))
	}
}
