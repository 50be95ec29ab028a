package crconfig

import (
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

func (s *State) myHave() Have {
	return Have{Conf: s.conf.rev, Manifest: s.conf.digest, List: s.list.Revision(), PlatformUnavailable: s.watch.away}
}

// spread tells a few random peers what this daemon has.
func (s *State) spread() {
	if len(s.peers) <= s.params.Fanout {
		for _, p := range s.peers {
			s.send(p.Daemon, s.myHave())
		}
		return
	}
	for range s.params.Fanout {
		p := s.peers[s.rng.IntN(len(s.peers))]
		s.send(p.Daemon, s.myHave())
	}
}

func (s *State) tell(daemons []crid.Daemon) {
	for _, d := range daemons {
		s.send(d, s.myHave())
	}
}

// have takes a peer's word. A peer that lacks something is told at once, so
// that news travels both ways along each telling.
func (s *State) have(now crid.Instant, from crid.Daemon, msg Have) {
	if from == s.self {
		return
	}
	s.haves[from] = msg
	if _, ok := s.watch.fellows[from]; ok {
		s.watch.fellows[from] = now
	}
	if msg.Echo != 0 && msg.Echo == s.ask {
		s.told[from] = true
	}
	s.learn(now, msg.Conf, msg.Manifest, from)
	s.offeredList(msg.List)
	lacks := msg.Conf < s.conf.rev || msg.List < s.list.Revision()
	if msg.Reply || (!lacks && msg.Nonce == 0) {
		return
	}
	reply := s.myHave()
	reply.Echo = msg.Nonce
	reply.Reply = true
	s.send(from, reply)
}

// askPeers asks, at start, peers spread over the domains.
func (s *State) askPeers() {
	if s.heard {
		return
	}
	s.asked = s.chooseAsked()
	msg := s.myHave()
	msg.Nonce = s.ask
	for _, d := range s.asked {
		if !s.told[d] {
			s.send(d, msg)
		}
	}
}

// chooseAsked keeps the asked peers that are still reachable, and fills up with
// others, one domain after the other.
func (s *State) chooseAsked() []crid.Daemon {
	chosen := make(map[crid.Daemon]bool, s.params.QueryFanout)
	perDomain := make(map[crid.Domain]int)
	var asked []crid.Daemon
	add := func(p crmember.Peer) {
		chosen[p.Daemon] = true
		perDomain[p.Domain]++
		asked = append(asked, p.Daemon)
	}
	for _, d := range s.asked {
		if p, ok := s.peer(d); ok {
			add(p)
		}
	}
	first := 0
	if len(s.peers) > 0 {
		first = s.rng.IntN(len(s.peers))
	}
	for level := 0; level < s.params.QueryFanout && len(asked) < s.params.QueryFanout; level++ {
		for i := range s.peers {
			p := s.peers[(first+i)%len(s.peers)]
			if len(asked) < s.params.QueryFanout && !chosen[p.Daemon] && perDomain[p.Domain] <= level {
				add(p)
			}
		}
	}
	return asked
}

// checkHeard decides whether enough sources were asked for the newest of them
// to be taken. Before that nothing is fetched: a platform that is stale, or one
// lagging peer, would bring a withdrawn key back at every restart.
func (s *State) checkHeard(now crid.Instant) {
	if s.heard {
		return
	}
	if len(s.peers) == 0 {
		s.heard = s.watch.answered && now.Sub(s.startedAt) >= s.params.PeerGrace
		return
	}
	answered := 0
	all := make(map[crid.Domain]bool)
	told := make(map[crid.Domain]bool)
	for _, d := range s.asked {
		p, ok := s.peer(d)
		if !ok {
			continue
		}
		all[p.Domain] = true
		if s.told[d] {
			answered++
			told[p.Domain] = true
		}
	}
	s.heard = answered >= s.quorum() && len(told) >= min(2, len(all))
}

// quorum is the number of answers that share a daemon with every majority of
// the peers. Of a small fleet it is half of the peers and no more: with three
// daemons, one of them dead and the platform away, the two others must go on.
func (s *State) quorum() int {
	peers := max(len(s.asked), s.members-1, 1)
	if peers < s.params.QueryFanout {
		return (peers + 1) / 2
	}
	return s.params.QueryFanout/2 + 1
}

// forget turns this daemon's knowledge of what is newest into old fact: it was
// cut off, or has just been woken. A key may have been withdrawn meanwhile, so
// trust waits until enough peers answered a question asked after now; answers
// that lay in a queue echo an older one.
func (s *State) forget(now crid.Instant) {
	s.heard = false
	s.caught = false
	s.ask = s.rng.Uint64() | 1
	s.told = make(map[crid.Daemon]bool)
	s.asked = nil
	s.startedAt = now
	s.watch.answered = false
	s.spreadAt = now
}

// checkCaught notices that this daemon has the newest of what its sources told.
func (s *State) checkCaught() {
	if s.caught || !s.heard || s.conf.rev == 0 || (s.nextConf != nil && s.nextConf.atPeer) {
		return
	}
	s.caught = true
}

func (s *State) checkReady() {
	if s.ready || !s.caught || s.list.Revision() == 0 {
		return
	}
	s.ready = true
	s.report(EventReady, "inforce", rev(s.conf.rev), "list", rev(s.list.Revision()))
}
