package craccount

import (
	"math"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// handlePeers records to which peers requests can be sent, and prefetches from owners that begin
// to leave.
func (s *State) handlePeers(ev crmember.PeersChanged) {
	var leaving []crid.Daemon
	for _, p := range ev.Peers {
		before, known := s.peers[p.Daemon]
		if known && p.Leaving && !before.Leaving && !p.Down() {
			leaving = append(leaving, p.Daemon)
		}
	}
	clear(s.peers)
	for _, p := range ev.Peers {
		s.peers[p.Daemon] = p
	}
	for _, d := range leaving {
		s.prefetchFrom(d)
	}
}

// prefetchFrom requests tokens from an owner that is leaving, for one lifetime of this entry
// daemon's demand on its share. The owner's balance is lost with it, and its successor starts
// empty and waits a lifetime before it refills. The owner runs until its requests are done,
// which takes longer than the answer.
func (s *State) prefetchFrom(leaving crid.Daemon) {
	if s.stopping {
		return
	}
	for _, name := range s.entry.accountOrder {
		a := s.entry.accounts[name]
		s.resolveSources(a)
		for i := range a.sources {
			src := &a.sources[i]
			if src.owner != leaving || src.requested > 0 {
				continue
			}
			part := a.demand * s.params.Lifetime.Seconds() / float64(len(a.sources))
			if want := int(math.Round(part)); want > 0 {
				s.requestFromShare(a, i, want, true)
			}
		}
	}
}
