package craccount

import (
	"math"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// handlePeers notes who can be asked, and stocks up from owners that are about
// to stop.
func (s *State) handlePeers(ev crmember.Peers) {
	var left []crid.Daemon
	for _, p := range ev.Peers {
		before, known := s.peers[p.Daemon]
		if known && p.Leaving && !before.Leaving && !p.Lost() {
			left = append(left, p.Daemon)
		}
	}
	clear(s.peers)
	for _, p := range ev.Peers {
		s.peers[p.Daemon] = p
	}
	for _, d := range left {
		s.prefetchFrom(d)
	}
}

// prefetchFrom asks an owner that is leaving for what its share will be missed for:
// one lifetime of this entry's demand on it. What it still has would be lost
// with it, and its successor starts empty and waits a lifetime before it mints.
// The owner stays until its requests are done, which is longer than one Ask takes.
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
