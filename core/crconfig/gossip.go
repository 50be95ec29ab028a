package crconfig

import (
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

func (s *State) localHave() Have {
	return Have{Conf: s.conf.rev, Manifest: s.conf.digest, List: s.list.Revision(), PlatformUnavailable: s.watch.unavailable}
}

// gossip sends this daemon's Have to a few random peers.
func (s *State) gossip() {
	if len(s.peers) <= s.params.Fanout {
		for _, p := range s.peers {
			s.send(p.Daemon, s.localHave())
		}
		return
	}
	for range s.params.Fanout {
		p := s.peers[s.rng.IntN(len(s.peers))]
		s.send(p.Daemon, s.localHave())
	}
}

func (s *State) sendHave(daemons []crid.Daemon) {
	for _, d := range daemons {
		s.send(d, s.localHave())
	}
}

// handleHave handles a peer's Have. A query is replied to at once, and so is a
// peer with an older configuration or list, so that it can pull the newer one.
func (s *State) handleHave(now crid.Instant, from crid.Daemon, msg Have) {
	if from == s.self {
		return
	}
	s.haves[from] = msg
	if _, ok := s.watch.lastHaveAt[from]; ok {
		s.watch.lastHaveAt[from] = now
	}
	if msg.Echo != 0 && msg.Echo == s.nonce {
		s.answered[from] = true
	}
	s.observe(now, msg.Conf, msg.Manifest, from)
	s.observeList(msg.List)
	outdated := msg.Conf < s.conf.rev || msg.List < s.list.Revision()
	if msg.Reply || (!outdated && msg.Nonce == 0) {
		return
	}
	reply := s.localHave()
	reply.Echo = msg.Nonce
	reply.Reply = true
	s.send(from, reply)
}

// queryPeers queries peers of several domains until the quorum is reached.
func (s *State) queryPeers() {
	if s.quorumReached {
		return
	}
	s.queried = s.pickQueried()
	msg := s.localHave()
	msg.Nonce = s.nonce
	for _, d := range s.queried {
		if !s.answered[d] {
			s.send(d, msg)
		}
	}
}

// pickQueried keeps the queried peers that are still reachable, and adds others
// evenly over the domains.
func (s *State) pickQueried() []crid.Daemon {
	picked := make(map[crid.Daemon]bool, s.params.QueryFanout)
	perDomain := make(map[crid.Domain]int)
	var queried []crid.Daemon
	add := func(p crmember.Peer) {
		picked[p.Daemon] = true
		perDomain[p.Domain]++
		queried = append(queried, p.Daemon)
	}
	for _, d := range s.queried {
		if p, ok := s.peer(d); ok {
			add(p)
		}
	}
	first := 0
	if len(s.peers) > 0 {
		first = s.rng.IntN(len(s.peers))
	}
	for level := 0; level < s.params.QueryFanout && len(queried) < s.params.QueryFanout; level++ {
		for i := range s.peers {
			p := s.peers[(first+i)%len(s.peers)]
			if len(queried) < s.params.QueryFanout && !picked[p.Daemon] && perDomain[p.Domain] <= level {
				add(p)
			}
		}
	}
	return queried
}

// checkQuorum decides whether enough sources replied to fetch the newest
// configuration among them. Nothing is fetched before: a stale platform, or one
// lagging peer, would bring a withdrawn key back at every restart.
func (s *State) checkQuorum(now crid.Instant) {
	if s.quorumReached {
		return
	}
	if len(s.peers) == 0 {
		s.quorumReached = s.watch.succeeded && now.Sub(s.startedAt) >= s.params.PeerGrace
		return
	}
	replies := 0
	domains := make(map[crid.Domain]bool)
	answeredDomains := make(map[crid.Domain]bool)
	for _, d := range s.queried {
		p, ok := s.peer(d)
		if !ok {
			continue
		}
		domains[p.Domain] = true
		if s.answered[d] {
			replies++
			answeredDomains[p.Domain] = true
		}
	}
	s.quorumReached = replies >= s.quorum() && len(answeredDomains) >= min(2, len(domains))
}

// quorum is the number of replies that must overlap every majority of the peers.
// In a small fleet it is half of the peers: with three daemons, of which one is
// lost, and the platform unavailable, the other two must continue.
func (s *State) quorum() int {
	peers := max(len(s.queried), s.members-1, 1)
	if peers < s.params.QueryFanout {
		return (peers + 1) / 2
	}
	return s.params.QueryFanout/2 + 1
}

// resync begins to query the peers anew, at the start and after this daemon was
// partitioned or suspended. A key may have been withdrawn meanwhile, so trust is
// only regained when enough peers reply to a query with a new nonce. Replies that
// were queued meanwhile echo an older nonce.
func (s *State) resync(now crid.Instant) {
	s.quorumReached = false
	s.caughtUp = false
	s.nonce = s.rng.Uint64() | 1
	s.answered = make(map[crid.Daemon]bool)
	s.queried = nil
	s.startedAt = now
	s.watch.succeeded = false
	s.gossipAt = now
}

// checkCaughtUp detects that this daemon has applied the newest configuration
// that its peers announced, once the quorum is reached.
func (s *State) checkCaughtUp() {
	if s.caughtUp || !s.quorumReached || s.conf.rev == 0 || (s.nextConf != nil && s.nextConf.heldByPeer) {
		return
	}
	s.caughtUp = true
}

func (s *State) checkReady() {
	if s.ready || !s.caughtUp || s.list.Revision() == 0 {
		return
	}
	s.ready = true
	s.report(EventReady, "inforce", rev(s.conf.rev), "list", rev(s.list.Revision()))
}
