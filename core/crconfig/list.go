package crconfig

import (
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
)

// listFetch is the state of fetching a newer list of instances.
type listFetch struct {
	want             crid.Revision // revision to fetch; zero: none
	fromPlatform     bool
	inFlight         bool        // a platform read or a pull is in flight
	peer             crid.Daemon // peer with a pull in flight; empty: the platform
	deadline         crid.Instant
	rev              crid.Revision         // revision of instances
	instances        []crinstance.Instance // received so far
	attempts         int
	retryAt          crid.Instant
	fallbackAt       crid.Instant
	unusableReported bool // reported that the platform's list cannot be used
}

func (l *listFetch) observe(have, r crid.Revision) {
	if r > have && r > l.want {
		l.want = r
		l.unusableReported = false
	}
}

// observeList handles the announcement of a list by a peer. A daemon that waits
// for its share of the platform rate pulls from the peer instead.
func (s *State) observeList(r crid.Revision) {
	l := &s.nextList
	l.observe(s.list.Revision(), r)
	if l.fromPlatform && !l.inFlight && s.watch.unconfirmed && r >= l.want {
		l.fromPlatform = false
		l.retryAt = 0
	}
}

// scheduleListRead decides whether this daemon reads a newer list that a watch
// announced. The time of the first read is random: the share of the rate holds
// on average only, and new daemons often start together.
func (s *State) scheduleListRead(now crid.Instant) {
	l := &s.nextList
	if l.inFlight || l.fromPlatform || (!s.watch.reader && len(s.peers) > 0) {
		return
	}
	l.fromPlatform = true
	if s.watch.unconfirmed {
		callInterval := time.Duration(float64(time.Second) / s.params.rateShare())
		l.retryAt = now.Add(callInterval + s.jitter(time.Duration(s.params.listCalls())*callInterval))
	}
}

// advanceListFetch takes the next step in fetching a newer list.
func (s *State) advanceListFetch(now crid.Instant) {
	l := &s.nextList
	if l.want <= s.list.Revision() {
		s.nextList = listFetch{}
		return
	}
	if l.inFlight && now.Before(l.deadline) {
		return
	}
	if l.inFlight {
		s.listFetchFailed(now)
	}
	if now.Before(l.retryAt) {
		return
	}
	if l.fallbackAt != 0 && !now.Before(l.fallbackAt) {
		l.fromPlatform = true
		l.fallbackAt = 0
	}
	if l.fromPlatform && !s.takeCalls(s.params.listCalls()) {
		return
	}
	if l.fromPlatform {
		l.inFlight = true
		l.peer = ""
		l.deadline = now.Add(s.params.ReadTimeout)
		s.emit(ReadList{})
		return
	}
	s.sendListPull(now)
}

func (s *State) sendListPull(now crid.Instant) {
	l := &s.nextList
	holder, ok := s.pickListHolder()
	if !ok {
		s.listFetchFailed(now)
		return
	}
	l.inFlight = true
	l.peer = holder
	l.deadline = now.Add(s.params.PullTimeout)
	l.rev = 0
	l.instances = nil
	s.send(holder, ListPull{Base: s.list.Revision()})
}

func (s *State) pickListHolder() (crid.Daemon, bool) {
	if len(s.peers) == 0 {
		return "", false
	}
	first := s.rng.IntN(len(s.peers))
	for i := range s.peers {
		d := s.peers[(first+i)%len(s.peers)].Daemon
		if s.haves[d].List >= s.nextList.want {
			return d, true
		}
	}
	return "", false
}

// listFetchFailed schedules a retry with another peer and the fallback to the platform.
func (s *State) listFetchFailed(now crid.Instant) {
	l := &s.nextList
	l.inFlight = false
	l.fromPlatform = false
	l.attempts++
	l.retryAt = now.Add(s.backoff(0))
	if l.fallbackAt == 0 {
		l.fallbackAt = now.Add(s.fallbackDelay())
	}
}

func (s *State) serveListPull(to crid.Daemon, msg ListPull) {
	if s.list.Revision() == 0 || msg.Offset < 0 {
		return
	}
	if changed, removed, ok := s.changes.diff(msg.Base, s.list, s.params.PushItems); ok {
		s.send(to, ListPush{Rev: s.list.Revision(), Base: msg.Base, Removed: removed, Total: len(changed), Instances: changed})
		return
	}
	offset := msg.Offset
	if msg.Rev != 0 && msg.Rev != s.list.Revision() {
		offset = 0 // the list changed between two pulls; start over
	}
	all := s.list.Instances()
	if offset > len(all) {
		return
	}
	end := min(offset+s.params.PushItems, len(all))
	s.send(to, ListPush{Rev: s.list.Revision(), Offset: offset, Total: len(all), Instances: all[offset:end]})
}

func (s *State) handleListPush(now crid.Instant, from crid.Daemon, msg ListPush) {
	l := &s.nextList
	if !l.inFlight || l.peer != from || msg.Rev <= s.list.Revision() {
		return
	}
	if msg.Base != 0 {
		// The local list may have been replaced since the pull. A diff against
		// another list would leave out the changes in between.
		if msg.Base == s.list.Revision() {
			s.applyList(now, applyDiff(s.list, msg.Rev, msg.Instances, msg.Removed))
		}
		return
	}
	if msg.Offset == 0 {
		l.rev = msg.Rev
		l.instances = nil
	}
	if msg.Rev != l.rev || msg.Offset != len(l.instances) || (len(msg.Instances) == 0 && msg.Total > msg.Offset) {
		return
	}
	l.instances = append(l.instances, msg.Instances...)
	if len(l.instances) < msg.Total {
		l.deadline = now.Add(s.params.PullTimeout)
		s.send(from, ListPull{Rev: l.rev, Offset: len(l.instances)})
		return
	}
	s.applyList(now, crinstance.NewList(l.rev, slices.Clone(l.instances)))
}

// reportUnusableList reports, once for each list, that the platform responds but
// serves an older list, or one that is too large. The platform does not count as
// unavailable then, and nothing else would report that instances are missing
// here.
func (s *State) reportUnusableList(fault Fault) {
	if fault == FaultUnavailable || s.nextList.unusableReported {
		return
	}
	s.nextList.unusableReported = true
	s.report(EventListUnusable, "want", rev(s.nextList.want), "held", rev(s.list.Revision()))
}

func (s *State) handleListResult(now crid.Instant, ev ListResult) {
	if ev.Fault != FaultNone {
		s.reportUnusableList(ev.Fault)
		if s.nextList.inFlight && s.nextList.peer == "" {
			s.listFetchFailed(now)
		}
		return
	}
	if ev.List.Revision() > s.list.Revision() {
		s.applyList(now, ev.List)
	} else if s.nextList.inFlight && s.nextList.peer == "" {
		s.listFetchFailed(now)
	}
}

func (s *State) applyList(now crid.Instant, list crinstance.List) {
	s.storeList(list)
	want := s.nextList.want
	s.nextList = listFetch{want: want}
	s.emit(crinstance.ListUpdated{Now: now, List: list})
	s.gossip()
}

func (s *State) storeList(list crinstance.List) {
	s.changes.record(s.list, list)
	s.list = list
	s.voter = slices.Contains(crmember.Voters(list, 0, s.params.Voters), s.self)
	s.domainSize = 0
	for _, in := range list.Instances() {
		if in.Domain == s.domain && !in.Leaving() {
			s.domainSize++
		}
	}
}
