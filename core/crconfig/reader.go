package crconfig

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// minWatch keeps a platform that answers every watch at once from being asked
// without pause.
const minWatch = 200 * time.Millisecond

// maxShift keeps the doubling of a backoff from overflowing.
const maxShift = 10

// watch is this daemon's part in reading the platform.
type watch struct {
	ranked     []crid.Daemon                // first ones of the domain, with the spares
	sight      int                          // daemons of the domain not known to be lost, with this one
	fellows    map[crid.Daemon]crid.Instant // ranked ones that only their tellings show to be there, last heard
	alone      bool                         // for long no majority was heard
	heardAt    crid.Instant                 // when a majority was heard last, or this life began
	rankedAt   crid.Instant                 // since when this daemon would be a reader
	mine       bool                         // this daemon would be a reader
	reader     bool
	aloneAfter time.Duration // for which to wait for peers before watching without any
	busy       bool
	due        crid.Instant // by which the call must have ended
	after      crid.Revision
	notBefore  crid.Instant
	fails      int
	away       bool // the last call failed
	answered   bool // some call succeeded in this life
	seen       crid.Revision
	told       Head // last stale head that was reported
	budget     int  // calls left until the next tick, of a settled reader
	limited    bool // this daemon sees too little of its domain to be a settled reader
	credit     float64
	refilledAt crid.Instant
}

// weight ranks a daemon among its domain's readers by rendezvous hashing.
func weight(d crid.Daemon) uint64 { return xxhash.Sum64String("reader/" + string(d)) }

// refill renews what this daemon may call until the next tick.
func (s *State) refill(now crid.Instant) {
	w := &s.watch
	w.budget = s.params.ReadsPerTick
	w.credit += now.Sub(w.refilledAt).Seconds() * s.params.share()
	w.credit = min(w.credit, 1)
	w.refilledAt = now
}

// spend asks for one platform call, other than for a list that waits: the list
// goes first, since peers become known by it.
func (s *State) spend() bool {
	if s.nextList.direct && (s.watch.limited || !s.watch.reader) {
		return false
	}
	return s.spendOn(1)
}

// spendOn asks for platform calls of some cost. A settled reader has a budget a
// tick; there are a few of them a domain. Everybody else has a share of the
// platform's rate, and may owe it: after a power cut all daemons of the fleet
// are without peers and read by themselves, and would otherwise fail together
// on the platform's limit.
func (s *State) spendOn(cost float64) bool {
	w := &s.watch
	if s.isSettled() {
		if w.budget <= 0 {
			return false
		}
		w.budget--
		return true
	}
	if w.credit < 1 {
		return false
	}
	w.credit -= cost
	return true
}

// rank finds the domain's readers. A reader that can not read is passed over
// for a spare, but keeps trying.
func (s *State) rank(now crid.Instant) {
	s.checkAlone(now)
	mine := s.watch.alone || slices.Contains(s.readers(now), s.self)
	if mine && !s.watch.mine {
		s.watch.rankedAt = now
	}
	s.watch.mine = mine
	settle := s.params.SettleTime
	s.watch.limited = s.isLimited()
	if s.watch.limited {
		settle = s.watch.aloneAfter
	}
	reader := mine && now.Sub(s.watch.rankedAt) >= settle
	if reader == s.watch.reader {
		return
	}
	s.watch.reader = reader
	number := EventReaderStopped
	if reader {
		number = EventReaderStarted
	}
	s.report(number, "domain", string(s.domain))
}

// checkAlone notices, in a large fleet, that no majority was heard for long. The
// list may still rank daemons that are all gone, so each that is left reads by
// itself then, within its share of the rate.
func (s *State) checkAlone(now crid.Instant) {
	if now.Before(s.until) {
		s.watch.heardAt = now
	}
	s.watch.alone = s.sampled && now.Sub(s.watch.heardAt) >= s.params.PeerGrace
}

// isLimited reports whether many daemons may believe themselves ranked first:
// less than half of the domain is in sight, or no majority is heard.
func (s *State) isLimited() bool {
	return s.list.Revision() == 0 || 2*s.watch.sight < s.listed || s.watch.alone
}

// candidate is a daemon of the domain that may be a reader.
type candidate struct {
	daemon crid.Daemon
	unsure bool // membership does not tell when it is gone
	weight uint64
}

// survey counts and ranks the domain's daemons anew. In a large fleet membership
// hears the voters of the list for certain, and the others now and then. A rank
// by who is heard just now would be another at each daemon, and most of them
// would come out first; so who is not known to be lost is ranked, voters first.
func (s *State) survey(now crid.Instant) {
	unsure := s.sampled && !s.voter && s.list.Revision() > 0
	all := []candidate{{daemon: s.self, unsure: unsure, weight: weight(s.self)}}
	s.watch.sight = 1 + len(s.domains)
	for _, p := range s.domains {
		if !p.Leaving {
			all = append(all, candidate{daemon: p.Daemon, unsure: p.Sampled, weight: weight(p.Daemon)})
		}
	}
	slices.SortFunc(all, compareCandidates)
	former := s.watch.fellows
	s.watch.ranked = nil
	s.watch.fellows = make(map[crid.Daemon]crid.Instant)
	for _, c := range all[:min(s.params.Readers+s.params.Standbys, len(all))] {
		s.watch.ranked = append(s.watch.ranked, c.daemon)
		if c.unsure && c.daemon != s.self {
			s.watch.fellows[c.daemon] = cmp.Or(former[c.daemon], now)
		}
	}
}

func compareCandidates(a, b candidate) int {
	if a.unsure != b.unsure {
		if a.unsure {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.daemon, b.daemon))
}

// readers returns the ranked first, and a spare for each of them that is away.
func (s *State) readers(now crid.Instant) []crid.Daemon {
	n := min(s.params.Readers, len(s.watch.ranked))
	readers := slices.Clone(s.watch.ranked[:n])
	lost := 0
	for _, d := range readers {
		if s.isAway(now, d) {
			lost++
		}
	}
	for _, d := range s.watch.ranked[n:] {
		if lost == 0 {
			break
		}
		readers = append(readers, d)
		if !s.isAway(now, d) {
			lost--
		}
	}
	return readers
}

// isAway reports whether a ranked daemon says that it can not read, or where
// only its tellings show that it is there, that none came for long.
func (s *State) isAway(now crid.Instant, d crid.Daemon) bool {
	if d == s.self {
		return s.watch.away
	}
	heard, unsure := s.watch.fellows[d]
	return s.haves[d].PlatformUnavailable || (unsure && now.Sub(heard) > s.params.PeerTimeout)
}

// fellows are the other ranked daemons of the domain; they tell one another
// regularly whether they can read.
func (s *State) fellows() []crid.Daemon {
	if !slices.Contains(s.watch.ranked, s.self) {
		return nil
	}
	var others []crid.Daemon
	for _, d := range s.watch.ranked {
		if d != s.self {
			others = append(others, d)
		}
	}
	return others
}

func (s *State) peer(d crid.Daemon) (crmember.Peer, bool) {
	i, ok := slices.BinarySearchFunc(s.peers, d, func(p crmember.Peer, d crid.Daemon) int {
		return cmp.Compare(p.Daemon, d)
	})
	if !ok {
		return crmember.Peer{}, false
	}
	return s.peers[i], true
}

// startWatch begins a call: a reader's watch, or the one read of a start that
// peers did not answer in time.
func (s *State) startWatch(now crid.Instant) {
	w := &s.watch
	if w.busy && !now.Before(w.due) {
		s.watched(now, WatchResult{Now: now, Fault: FaultUnavailable})
	}
	starting := !s.heard && !w.answered
	if w.busy || now.Before(w.notBefore) || (!w.reader && !starting) || !s.spend() {
		return
	}
	wait := s.watchWait()
	timeout := wait + s.params.ResponseTimeout
	w.busy = true
	w.due = now.Add(timeout)
	w.after = max(s.conf.rev, s.list.Revision(), w.seen)
	s.emit(WatchPlatform{After: w.after, Wait: wait, Timeout: timeout})
}

// watchWait is how long the next watch waits. A daemon that has only a share of the
// platform's rate spends no more than half of it on watches, since it reads values
// within the same share.
func (s *State) watchWait() time.Duration {
	switch {
	case s.isSettled():
		return s.params.WatchWait
	case s.watch.reader:
		half := time.Duration(2 / s.params.share() * float64(time.Second))
		return max(half, s.params.WatchWait)
	}
	return 0
}

// isSettled reports whether this daemon is one of the few that read for a domain.
func (s *State) isSettled() bool { return s.watch.reader && !s.watch.limited }

// watched takes the end of a watch.
func (s *State) watched(now crid.Instant, ev WatchResult) {
	w := &s.watch
	w.busy = false
	// What the platform shows is measured against what was known when the call
	// began: news that came from a peer meanwhile does not make it stale.
	if ev.Fault == FaultNone && ev.Head.Rev < w.after {
		ev.Fault = FaultStale
	}
	if ev.Fault != FaultNone {
		s.watchFailed(now, ev)
		return
	}
	if w.away {
		s.report(EventPlatformRecovered, "revision", rev(ev.Head.Rev))
	}
	w.away = false
	w.answered = true
	w.fails = 0
	w.seen = ev.Head.Rev
	w.notBefore = now.Add(minWatch)
	s.learn(now, ev.Head.Conf, ev.Head.Manifest, "")
	if ev.Head.List > s.list.Revision() {
		s.nextList.learn(s.list.Revision(), ev.Head.List)
		s.readListFrom(now)
	}
}

func (s *State) watchFailed(now crid.Instant, ev WatchResult) {
	w := &s.watch
	switch {
	case ev.Fault == FaultStale && ev.Head != w.told:
		w.told = ev.Head
		s.report(EventStalePlatform, "platform", rev(ev.Head.Rev), "known", rev(w.after))
	case ev.Fault != FaultStale && !w.away:
		s.report(EventPlatformUnavailable, "inforce", rev(s.conf.rev))
	}
	w.away = true
	pause := s.backoff(w.fails)
	if s.isSettled() {
		pause = min(pause, s.params.ReaderBackoffMax)
	}
	w.notBefore = now.Add(pause)
	w.fails++
}

// backoff doubles with every failure; half of it is jitter.
func (s *State) backoff(fails int) time.Duration {
	d := min(s.params.Backoff<<min(fails, maxShift), s.params.BackoffMax)
	return d/2 + s.jitter(d)
}
