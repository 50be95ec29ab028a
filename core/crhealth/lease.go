package crhealth

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// leaseState is this daemon's lease on the arbiter role and the time since which it
// holds it.
type leaseState struct {
	lastGranted   crmember.Lease
	handoverUntil crid.Instant          // end of the permission to continue during a handover
	handoverLists []crmember.Membership // the lists of the handover, until handoverUntil
	since         crid.Instant          // when the first lease under its list was received
	carriedOver   map[crid.Service]crid.Instant
	arbiters      map[crid.Service]crid.Daemon // cache of arbiter
}

func newLeaseState() leaseState {
	return leaseState{
		carriedOver: make(map[crid.Service]crid.Instant),
		arbiters:    make(map[crid.Service]crid.Daemon),
	}
}

// applyLease records the lease. Under a new list another daemon may have been the
// arbiter meanwhile, so the wait for the expiry of its verdicts starts again. Services
// of which this daemon was the arbiter during the whole handover are exempt.
func (s *State) applyLease(lease crmember.Lease) {
	st := &s.lease
	uninterrupted := s.holdsLease()
	if lease.Active != 0 {
		if lease.Active != st.lastGranted.Active {
			s.carryOverServices(uninterrupted)
			st.since = s.now
			clear(st.arbiters)
		}
		st.lastGranted = lease
		st.lastGranted.JointLists = nil
	}
	if lease.Active != 0 && s.now.Before(lease.Until) {
		s.setHandover(0, nil)
		return
	}
	st.lastGranted.Until = 0
	if uninterrupted && s.now.Before(lease.JointUntil) {
		s.setHandover(lease.JointUntil, lease.JointLists)
		return
	}
	s.setHandover(0, nil)
}

// setHandover records until when this daemon may continue during a handover, and the
// lists of the handover. It continues for the services whose arbiter it is under every
// one of these lists; no other daemon can be their arbiter. Otherwise each change of the
// list would end all ejections for the time of the handover and the ExpiryWait after it,
// and callers would reach every unhealthy target again.
func (s *State) setHandover(until crid.Instant, lists []crmember.Membership) {
	st := &s.lease
	st.handoverUntil = until
	same := slices.EqualFunc(st.handoverLists, lists, func(a, b crmember.Membership) bool { return a.Rev == b.Rev })
	if !same {
		st.handoverLists = lists
		clear(st.arbiters)
	}
}

// carryOverServices records, at the end of an uninterrupted handover, the services of
// which this daemon was the arbiter under all of its lists, and since when.
func (s *State) carryOverServices(uninterrupted bool) {
	st := &s.lease
	carried := make(map[crid.Service]crid.Instant)
	if uninterrupted && len(st.handoverLists) > 0 {
		for service := range s.detectors {
			if s.arbiter(service) == s.self {
				carried[service] = s.arbiterSince(service)
			}
		}
	}
	st.carriedOver = carried
}

// arbiterSince returns the time at which this daemon became the service's arbiter.
func (s *State) arbiterSince(service crid.Service) crid.Instant {
	if since, ok := s.lease.carriedOver[service]; ok {
		return since
	}
	return s.lease.since
}

// arbiter returns the daemon that is the arbiter of a service, or "" if none is known.
// It depends on the list alone, so two daemons with leases under one list agree on it.
// During a handover it is the daemon on which all lists agree.
func (s *State) arbiter(service crid.Service) crid.Daemon {
	if s.params.LocalOnly {
		return s.self
	}
	st := &s.lease
	if best, ok := st.arbiters[service]; ok {
		return best
	}
	best := topRanked(service, st.lastGranted.Members)
	for i, m := range st.handoverLists {
		next := topRanked(service, m.Members)
		if i > 0 && next != best {
			best = ""
			break
		}
		best = next
	}
	st.arbiters[service] = best
	return best
}

// topRanked returns the member with the highest rendezvous hash for a service.
func topRanked(service crid.Service, members []crid.Daemon) crid.Daemon {
	var best crid.Daemon
	var highest uint64
	for _, d := range members {
		if rank := rankOf(service, d); best == "" || rank > highest {
			best = d
			highest = rank
		}
	}
	return best
}

func rankOf(service crid.Service, d crid.Daemon) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(service))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(d))
	return h.Sum64()
}

// holdsLease reports whether this daemon holds the lease at the time of the event. A
// process that was suspended finds by its clock that the lease has expired.
func (s *State) holdsLease() bool {
	if s.params.LocalOnly || !s.params.hasGuard(guardLease) {
		return true
	}
	return s.now.Before(s.lease.lastGranted.Until) || s.now.Before(s.lease.handoverUntil)
}

// maySendVerdicts reports whether this daemon may send verdicts for the service. A new
// arbiter waits until all verdicts of its predecessor, and of its own previous
// incarnation, have expired.
func (s *State) maySendVerdicts(service crid.Service) bool {
	if s.params.LocalOnly {
		return true
	}
	if s.params.hasGuard(guardExpiryWait) && s.now.Sub(s.arbiterSince(service)) < s.params.ExpiryWait() {
		return false
	}
	return s.holdsLease()
}
