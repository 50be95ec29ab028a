package crhealth

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// standing is what this daemon may do as an arbiter, and since when.
type standing struct {
	tenure crmember.Lease
	bridge crid.Instant          // up to which it may go on during a handover
	over   []crmember.Membership // the lists of the handover, while bridge holds
	since  crid.Instant          // when the tenure under its list was first heard
	kept   map[crid.Service]crid.Instant
	ranked map[crid.Service]crid.Daemon // arbiters already worked out
}

func newStanding() standing {
	return standing{
		kept:   make(map[crid.Service]crid.Instant),
		ranked: make(map[crid.Service]crid.Daemon),
	}
}

// takeTenure notes the standing. Under another list another daemon may have
// been arbiter in between, so the wait for its silence starts anew; except for a
// service that was this daemon's all through the handover.
func (s *State) takeTenure(t crmember.Lease) {
	st := &s.standing
	unbroken := s.mayAct()
	if t.Active != 0 {
		if t.Active != st.tenure.Active {
			s.keepServices(unbroken)
			st.since = s.now
			clear(st.ranked)
		}
		st.tenure = t
		st.tenure.JointLists = nil
	}
	if t.Active != 0 && s.now.Before(t.Until) {
		s.setBridge(0, nil)
		return
	}
	st.tenure.Until = 0
	if unbroken && s.now.Before(t.JointUntil) {
		s.setBridge(t.JointUntil, t.JointLists)
		return
	}
	s.setBridge(0, nil)
}

// setBridge goes on through a handover with the services whose arbiter is this
// daemon under every list of it: no other daemon can take itself for theirs.
// Without it each change of the list would end all ejections for the time of
// the handover and the silence after it, and callers would meet every sick
// target again.
func (s *State) setBridge(until crid.Instant, over []crmember.Membership) {
	st := &s.standing
	st.bridge = until
	same := slices.EqualFunc(st.over, over, func(a, b crmember.Membership) bool { return a.Rev == b.Rev })
	if !same {
		st.over = over
		clear(st.ranked)
	}
}

// keepServices notes, at the end of an unbroken handover, which services were
// this daemon's under all of its lists, and since when.
func (s *State) keepServices(unbroken bool) {
	st := &s.standing
	kept := make(map[crid.Service]crid.Instant)
	if unbroken && len(st.over) > 0 {
		for service := range s.dockets {
			if s.arbiter(service) == s.self {
				kept[service] = s.arbiterSince(service)
			}
		}
	}
	st.kept = kept
}

// arbiterSince is when this daemon became the service's arbiter.
func (s *State) arbiterSince(service crid.Service) crid.Instant {
	if since, ok := s.standing.kept[service]; ok {
		return since
	}
	return s.standing.since
}

// arbiter is the daemon that decides for a service, empty if none is known.
// It follows from the list alone: two daemons with standing under one list
// can not both take themselves for it. During a handover it is the one that all
// lists agree on.
func (s *State) arbiter(service crid.Service) crid.Daemon {
	if s.params.Alone {
		return s.self
	}
	st := &s.standing
	if best, ok := st.ranked[service]; ok {
		return best
	}
	best := ranked(service, st.tenure.Members)
	for i, m := range st.over {
		next := ranked(service, m.Members)
		if i > 0 && next != best {
			best = ""
			break
		}
		best = next
	}
	st.ranked[service] = best
	return best
}

// ranked returns the member with the highest rank for a service.
func ranked(service crid.Service, members []crid.Daemon) crid.Daemon {
	var best crid.Daemon
	var most uint64
	for _, d := range members {
		if rank := rankOf(service, d); best == "" || rank > most {
			best = d
			most = rank
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
func (s *State) mayAct() bool {
	if s.params.Alone || !s.params.has(guardTenure) {
		return true
	}
	return s.now.Before(s.standing.tenure.Until) || s.now.Before(s.standing.bridge)
}

// deciding reports whether this daemon may send verdicts for the service. A new
// arbiter waits until no verdict of a former one, or of its own former life,
// can be in force any more.
func (s *State) deciding(service crid.Service) bool {
	if s.params.Alone {
		return true
	}
	if s.params.has(guardSilence) && s.now.Sub(s.arbiterSince(service)) < s.params.Silence() {
		return false
	}
	return s.mayAct()
}
