package crconfig

import (
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
)

// listFetch is a newer list of instances on its way.
type listFetch struct {
	want      crid.Revision // zero: none
	direct    bool
	busy      bool        // a platform read or a pull runs
	peer      crid.Daemon // asked now; empty: the platform
	due       crid.Instant
	rev       crid.Revision // of the instances gathered so far
	got       []crinstance.Instance
	tries     int
	notBefore crid.Instant
	selfAt    crid.Instant
	told      bool // that the platform's list can not be used
}

func (l *listFetch) learn(have, r crid.Revision) {
	if r > have && r > l.want {
		l.want = r
		l.told = false
	}
}

// offeredList takes word of a list from a peer. Who waits for its share of the
// platform's rate turns to the peer instead.
func (s *State) offeredList(r crid.Revision) {
	l := &s.listing
	l.learn(s.list.Revision(), r)
	if l.direct && !l.busy && s.watch.limited && r >= l.want {
		l.direct = false
		l.notBefore = 0
	}
}

// readListFrom settles whether, after a watch that named a newer list, this
// daemon reads it. The moment of the first read is drawn at random: a share of
// the rate holds on average only, and fresh daemons begin together.
func (s *State) readListFrom(now crid.Instant) {
	l := &s.listing
	if l.busy || l.direct || (!s.watch.reader && len(s.peers) > 0) {
		return
	}
	l.direct = true
	if s.watch.limited {
		call := time.Duration(float64(time.Second) / s.params.share())
		l.notBefore = now.Add(call + s.jitter(time.Duration(s.params.pages())*call))
	}
}

// advanceList takes the next step towards a newer list.
func (s *State) advanceList(now crid.Instant) {
	l := &s.listing
	if l.want <= s.list.Revision() {
		s.listing = listFetch{}
		return
	}
	if l.busy && now.Before(l.due) {
		return
	}
	if l.busy {
		s.listFailed(now)
	}
	if now.Before(l.notBefore) {
		return
	}
	if l.selfAt != 0 && !now.Before(l.selfAt) {
		l.direct = true
		l.selfAt = 0
	}
	if l.direct && !s.spendOn(s.params.pages()) {
		return
	}
	if l.direct {
		l.busy = true
		l.peer = ""
		l.due = now.Add(s.params.ReadTimeout)
		s.emit(ReadList{})
		return
	}
	s.pullList(now)
}

func (s *State) pullList(now crid.Instant) {
	l := &s.listing
	holder, ok := s.listHolder()
	if !ok {
		s.listFailed(now)
		return
	}
	l.busy = true
	l.peer = holder
	l.due = now.Add(s.params.PullTimeout)
	l.rev = 0
	l.got = nil
	s.send(holder, ListPull{Have: s.list.Revision()})
}

func (s *State) listHolder() (crid.Daemon, bool) {
	if len(s.peers) == 0 {
		return "", false
	}
	first := s.rng.IntN(len(s.peers))
	for i := range s.peers {
		d := s.peers[(first+i)%len(s.peers)].Daemon
		if s.haves[d].List >= s.listing.want {
			return d, true
		}
	}
	return "", false
}

// listFailed tries another peer after a pause, and in the end the platform.
func (s *State) listFailed(now crid.Instant) {
	l := &s.listing
	l.busy = false
	l.direct = false
	l.tries++
	l.notBefore = now.Add(s.backoff(0))
	if l.selfAt == 0 {
		l.selfAt = now.Add(s.selfDelay())
	}
}

func (s *State) serveList(to crid.Daemon, msg ListPull) {
	if s.list.Revision() == 0 || msg.Off < 0 {
		return
	}
	if changed, gone, ok := s.changes.after(msg.Have, s.list, s.params.PushItems); ok {
		s.send(to, ListPush{Rev: s.list.Revision(), Since: msg.Have, Gone: gone, Total: len(changed), Instances: changed})
		return
	}
	off := msg.Off
	if msg.Rev != 0 && msg.Rev != s.list.Revision() {
		off = 0 // the list has changed under the asker; begin anew
	}
	all := s.list.Instances()
	if off > len(all) {
		return
	}
	end := min(off+s.params.PushItems, len(all))
	s.send(to, ListPush{Rev: s.list.Revision(), Off: off, Total: len(all), Instances: all[off:end]})
}

func (s *State) listPush(now crid.Instant, from crid.Daemon, msg ListPush) {
	l := &s.listing
	if !l.busy || l.peer != from || msg.Rev <= s.list.Revision() {
		return
	}
	if msg.Since != 0 {
		// The list may have been replaced since the asking; a difference to
		// another list would leave out what changed in between.
		if msg.Since == s.list.Revision() {
			s.setList(now, patch(s.list, msg.Rev, msg.Instances, msg.Gone))
		}
		return
	}
	if msg.Off == 0 {
		l.rev = msg.Rev
		l.got = nil
	}
	if msg.Rev != l.rev || msg.Off != len(l.got) || (len(msg.Instances) == 0 && msg.Total > msg.Off) {
		return
	}
	l.got = append(l.got, msg.Instances...)
	if len(l.got) < msg.Total {
		l.due = now.Add(s.params.PullTimeout)
		s.send(from, ListPull{Rev: l.rev, Off: len(l.got)})
		return
	}
	s.setList(now, crinstance.NewList(l.rev, slices.Clone(l.got)))
}

// listUnread tells once for each list that the platform answers, but not with a
// list that can be used: it serves an older one, or too much at once. The platform
// does not look away then, and nothing else would tell of instances that are
// missing here.
func (s *State) listUnread(fault Fault) {
	if fault == FaultAway || s.listing.told {
		return
	}
	s.listing.told = true
	s.report(NumberListUnread, "want", rev(s.listing.want), "held", rev(s.list.Revision()))
}

func (s *State) listRead(now crid.Instant, ev ListRead) {
	if ev.Fault != FaultNone {
		s.listUnread(ev.Fault)
		if s.listing.busy && s.listing.peer == "" {
			s.listFailed(now)
		}
		return
	}
	if ev.List.Revision() > s.list.Revision() {
		s.setList(now, ev.List)
	} else if s.listing.busy && s.listing.peer == "" {
		s.listFailed(now)
	}
}

func (s *State) setList(now crid.Instant, list crinstance.List) {
	s.adopt(list)
	want := s.listing.want
	s.listing = listFetch{want: want}
	s.emit(crinstance.ListUpdated{Now: now, List: list})
	s.spread()
}

func (s *State) adopt(list crinstance.List) {
	s.changes.record(s.list, list)
	s.list = list
	s.voter = slices.Contains(crmember.Voters(list, 0, s.params.Voters), s.self)
	s.listed = 0
	for _, in := range list.Instances() {
		if in.Domain == s.domain && !in.Leaving() {
			s.listed++
		}
	}
}
