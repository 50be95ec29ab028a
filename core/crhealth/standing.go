package crhealth

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// standing is what this daemon may do as an arbiter, and since when.
type leaseState struct {
	tenure        crmember.Tenure
	handoverUntil crid.Instant          // up to which it may go on during a handover
	handoverLists []crmember.Membership // the lists of the handover, while bridge holds
	since         crid.Instant          // when the tenure under its list was first heard
	carriedOver   map[crid.Service]crid.Instant
	arbiters      map[crid.Service]crid.Daemon // arbiters already worked out
}

func newLeaseState() leaseState {
	return leaseState{
		carriedOver: make(map[crid.Service]crid.Instant),
		arbiters:    make(map[crid.Service]crid.Daemon),
	}
}

// takeTenure notes the standing. Under another list another daemon may have
// been arbiter in between, so the wait for its silence starts anew; except for a
// service that was this daemon's all through the handover.
func (s *State) applyLease(t crmember.Tenure) {
	st := &s.lease
	unbroken := s.holdsLease()
	if t.Active != 0 {
		if t.Active != st.tenure.Active {
			s.carryOverServices(unbroken)
			st.since = s.now
			clear(st.arbiters)
		}
		st.tenure = t
		st.tenure.Over = nil
	}
	if t.Active != 0 && s.now.Before(t.Until) {
		s.setHandover(0, nil)
		return
	}
	st.tenure.Until = 0
	if unbroken && s.now.Before(t.Bridge) {
		s.setHandover(t.Bridge, t.Over)
		return
	}
	s.setHandover(0, nil)
}

// setBridge goes on through a handover with the services whose arbiter is this
// daemon under every list of it: no other daemon can take itself for theirs.
// Without it each change of the list would end all ejections for the time of
// the handover and the silence after it, and callers would meet every sick
// target again.
func (s *State) setHandover(until crid.Instant, lists []crmember.Membership) {
	st := &s.lease
	st.handoverUntil = until
	same := slices.EqualFunc(st.handoverLists, lists, func(a, b crmember.Membership) bool { return a.Rev == b.Rev })
	if !same {
		st.handoverLists = lists
		clear(st.arbiters)
	}
}

// keepServices notes, at the end of an unbroken handover, which services were
// this daemon's under all of its lists, and since when.
func (s *State) carryOverServices(unbroken bool) {
	st := &s.lease
	carried := make(map[crid.Service]crid.Instant)
	if unbroken && len(st.handoverLists) > 0 {
		for service := range s.detectors {
			if s.arbiter(service) == s.self {
				carried[service] = s.arbiterSince(service)
			}
		}
	}
	st.carriedOver = carried
}

// arbiterSince is when this daemon became the service's arbiter.
func (s *State) arbiterSince(service crid.Service) crid.Instant {
	if since, ok := s.lease.carriedOver[service]; ok {
		return since
	}
	return s.lease.since
}

// arbiter is the daemon that decides for a service, empty if none is known.
// It follows from the list alone: two daemons with standing under one list
// can not both take themselves for it. During a handover it is the one that all
// lists agree on.
func (s *State) arbiter(service crid.Service) crid.Daemon {
	if s.params.LocalOnly {
		return s.self
	}
	st := &s.lease
	if best, ok := st.arbiters[service]; ok {
		return best
	}
	best := topRanked(service, st.tenure.Members)
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

// ranked returns the member with the highest rank for a service.
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

// mayAct reports whether this daemon has standing at the instant of the event.
// A process that was paused learns from its clock that it has lost it.
func (s *State) holdsLease() bool {
	if s.params.LocalOnly || !s.params.hasGuard(guardLease) {
		return true
	}
	return s.now.Before(s.lease.tenure.Until) || s.now.Before(s.lease.handoverUntil)
}

// deciding reports whether this daemon may send verdicts for the service. A new
// arbiter waits until no verdict of a former one, or of its own former life,
// can be in force any more.
func (s *State) deciding(service crid.Service) bool {
	if s.params.LocalOnly {
		return true
	}
	if s.params.hasGuard(guardExpiryWait) && s.now.Sub(s.arbiterSince(service)) < s.params.ExpiryWait() {
		return false
	}
	return s.holdsLease()
}
