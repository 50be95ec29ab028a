package crmesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// readersPerDomain is the number of daemons of a domain that read the store, for
// themselves and for the others there. The store counts each call and its rate limit
// does not grow with the fleet, while bytes within a domain cost nothing. With a single
// reader, its failure would be detected only by missing heartbeats.
const readersPerDomain = 2

// readerSalt fixes the order of the readers, which is the same at all daemons.
const readerSalt = "reader"

// readers returns the daemons of the own domain that read the store: the first by rank
// among those that can reach it, or among all of them if none can. The daemons of a
// domain that receive heartbeats of the same peers agree on the readers. While they
// differ, a daemon that is queried though it is no reader answers that it is none.
func (s *State) readers() []crid.Daemon {
	var available, unavailable []*peer
	add := func(p *peer, storeUnavailable bool) {
		if storeUnavailable {
			unavailable = append(unavailable, p)
			return
		}
		available = append(available, p)
	}
	if s.hasRecords && !s.stopping {
		add(newPeer(s.params.Self), s.storeUnavailable)
	}
	for _, p := range s.sortedPeers() {
		if s.sameDomain(p) && s.canRead(p) {
			add(p, p.heartbeat.StoreUnavailable)
		}
	}
	if len(available) == 0 {
		available = unavailable
	}
	slices.SortFunc(available, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.readerRank, b.readerRank), cmp.Compare(a.name, b.name))
	})
	out := make([]crid.Daemon, 0, readersPerDomain)
	for _, p := range available[:min(len(available), readersPerDomain)] {
		out = append(out, p.name)
	}
	return out
}

// readsFirst reports whether this daemon is the first of all that can read the store, in
// the order of the readers. Daemons that receive each other's heartbeats agree on it.
func (s *State) readsFirst() bool {
	if !s.hasRecords || s.stopping || s.storeUnavailable {
		return false
	}
	own := rank(s.params.Self, readerSalt)
	return !slices.ContainsFunc(s.sortedPeers(), func(p *peer) bool {
		return p.readerRank < own && s.canRead(p) && !p.heartbeat.StoreUnavailable
	})
}

// canRead reports whether a peer is up and has read the store.
func (s *State) canRead(p *peer) bool {
	return p.known && p.lastReceived != 0 && !p.unresponsive && !p.heartbeat.Stopping && p.heartbeat.RecordRevision > 0
}

// setStoreUnavailable records whether this daemon's own calls to the store fail. A change
// is sent to the peers at once, which then use other readers.
func (s *State) setStoreUnavailable(now crid.Instant, unavailable bool) []crevent.Effect {
	if s.storeUnavailable == unavailable {
		return nil
	}
	s.storeUnavailable, s.urgentPending, s.viewOutdated = unavailable, true, true
	return s.dueHeartbeats(now)
}

// sameRole reports whether two heartbeats of a peer agree on what determines its role in
// the view: whether it is stopping, can reach the store, and has records.
func sameRole(a, b Heartbeat) bool {
	return a.Stopping == b.Stopping && a.StoreUnavailable == b.StoreUnavailable && (a.RecordRevision > 0) == (b.RecordRevision > 0)
}

// sameReach reports whether two heartbeats of a peer agree on what determines the fraction of
// the rates that this daemon grants.
func sameReach(a, b Heartbeat) bool {
	return a.SilentMembers == b.SilentMembers && a.Unheard == b.Unheard
}

// rank orders daemons by a hash, so that work is spread independently of their addresses.
// Each salt gives another order.
func rank(d crid.Daemon, salt string) uint64 { return xxhash.Sum64String(string(d) + "\x00" + salt) }

// storeReaders returns the number of daemons of the whole fleet that read the store.
func (s *State) storeReaders() int {
	members := map[crid.Domain]int{s.params.Domain: 1}
	for _, p := range s.sortedPeers() {
		if p.known && p.domain != "" {
			members[p.domain]++
		}
	}
	n := 0
	for _, m := range members {
		n += min(m, readersPerDomain)
	}
	return n
}

// readersPending reports whether the first heartbeat of a peer of the own domain, which
// may read the store for this daemon, is still expected. It also reports true
// while there are no records: the targets of a starting fleet register shortly after its
// daemons.
func (s *State) readersPending() bool {
	if len(s.registry.Records()) == 0 {
		return true
	}
	for _, p := range s.sortedPeers() {
		if s.sameDomain(p) && p.known && p.lastReceived == 0 && !p.overdue {
			return true
		}
	}
	return false
}
