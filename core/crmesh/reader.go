package crmesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// readersADomain is the number of daemons of a domain that read the store, for
// themselves and for the others there. The store counts each call and its rate
// does not grow with the fleet, while bytes within a domain cost nothing. With
// one, its loss would be noticed only by the next beat that fails to come.
const readersADomain = 2

// readerTurn is the order of the readers, the same for all daemons.
const readerTurn = "reader"

// readers returns the daemons of the own domain that read the store: the first by
// rank that the store answers, or the first of all in an outage for all. All
// daemons of a domain choose the same ones as long as they hear the same peers;
// where they differ for a moment, one that is asked and does not read says so.
func (s *State) readers() []crid.Daemon {
	var able, lost []crid.Daemon
	sort := func(d crid.Daemon, isLost bool) {
		if isLost {
			lost = append(lost, d)
			return
		}
		able = append(able, d)
	}
	if s.listed && !s.stopping {
		sort(s.params.Self, s.lost)
	}
	for d, p := range s.peers {
		if s.near(p) && p.listed && p.heard != 0 && !p.isSilent && !p.beat.Stopping && p.beat.Revision > 0 {
			sort(d, p.beat.Lost)
		}
	}
	if len(able) == 0 {
		able = lost
	}
	slices.SortFunc(able, func(a, b crid.Daemon) int {
		return cmp.Or(cmp.Compare(rank(a, readerTurn), rank(b, readerTurn)), cmp.Compare(a, b))
	})
	return able[:min(len(able), readersADomain)]
}

// setLost notes whether the store answers this daemon, and tells peers at once:
// they read through others then.
func (s *State) setLost(now crid.Instant, lost bool) []crevent.Effect {
	if s.lost == lost {
		return nil
	}
	s.lost, s.nudged = lost, true
	return append(s.beats(now), s.view(now))
}

// alike reports whether two beats of a peer say the same of its place in the
// fleet.
func alike(a, b Beat) bool {
	return a.Stopping == b.Stopping && a.Lost == b.Lost && (a.Revision > 0) == (b.Revision > 0)
}

// rank spreads work over daemons, whatever their addresses are; each turn has an
// order of its own.
func rank(d crid.Daemon, turn string) uint64 { return xxhash.Sum64String(string(d) + "\x00" + turn) }

// lookers is the number of daemons of the whole fleet that read the store.
func (s *State) lookers() int {
	members := map[crid.Domain]int{s.params.Domain: 1}
	for _, p := range s.peers {
		if p.listed && p.domain != "" {
			members[p.domain]++
		}
	}
	n := 0
	for _, m := range members {
		n += min(m, readersADomain)
	}
	return n
}

// coming reports whether peers of the own domain, which may read the store for this
// daemon, are to be heard for the first time. Without any record they may be, too: the
// targets of a fleet that starts register a moment after its daemons.
func (s *State) coming() bool {
	if len(s.registry.Records()) == 0 {
		return true
	}
	for _, p := range s.peers {
		if s.near(p) && p.listed && p.heard == 0 && !p.missing {
			return true
		}
	}
	return false
}
