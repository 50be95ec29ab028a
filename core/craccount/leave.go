package craccount

import (
	"math"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// takePeers notes who can be asked, and stocks up from owners that are about
// to stop.
func (s *State) takePeers(ev crmember.PeersChanged) {
	var left []crid.Daemon
	for _, p := range ev.Peers {
		before, known := s.peers[p.Daemon]
		if known && p.Leaving && !before.Leaving && !p.Down() {
			left = append(left, p.Daemon)
		}
	}
	clear(s.peers)
	for _, p := range ev.Peers {
		s.peers[p.Daemon] = p
	}
	for _, d := range left {
		s.stockUp(d)
	}
}

// stockUp asks an owner that is leaving for what its share will be missed for:
// one lifetime of this entry's demand on it. What it still has would be lost
// with it, and its successor starts empty and waits a lifetime before it mints.
// The owner stays until its requests are done, which is longer than one Ask takes.
func (s *State) stockUp(leaving crid.Daemon) {
	if s.stopping {
		return
	}
	for _, name := range s.entry.order {
		a := s.entry.accounts[name]
		s.route(a)
		for i := range a.sources {
			src := &a.sources[i]
			if src.owner != leaving || src.want > 0 {
				continue
			}
			part := a.demand * s.params.Lifetime.Seconds() / float64(len(a.sources))
			if want := int(math.Round(part)); want > 0 {
				s.askShare(a, i, want, true)
			}
		}
	}
}
