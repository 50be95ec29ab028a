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
	ranked     []crid.Daemon // first ones of the domain, with the spares
	sight      int           // reachable daemons of the domain, with this one
	rankedAt   crid.Instant  // since when this daemon would be a reader
	mine       bool          // this daemon would be a reader
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
	if s.listing.direct && (s.watch.limited || !s.watch.reader) {
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
	if w.reader && !w.limited {
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
	mine := slices.Contains(s.readers(), s.self)
	if mine && !s.watch.mine {
		s.watch.rankedAt = now
	}
	s.watch.mine = mine
	settle := s.params.Settle
	s.watch.limited = s.isLimited()
	if s.watch.limited {
		settle = s.watch.aloneAfter
	}
	reader := mine && now.Sub(s.watch.rankedAt) >= settle
	if reader == s.watch.reader {
		return
	}
	s.watch.reader = reader
	number := NumberReaderStopped
	if reader {
		number = NumberReaderStarted
	}
	s.report(number, "domain", string(s.domain))
}

// isLimited reports whether less than half of the domain is in sight, so that
// many daemons may believe themselves ranked first.
func (s *State) isLimited() bool {
	return s.list.Revision() == 0 || 2*s.watch.sight < s.listed
}

// survey counts and ranks the domain's reachable daemons anew.
func (s *State) survey() {
	weights := map[crid.Daemon]uint64{s.self: weight(s.self)}
	domain := []crid.Daemon{s.self}
	s.watch.sight = 1
	for _, p := range s.peers {
		if p.Domain != s.domain {
			continue
		}
		s.watch.sight++
		if !p.Leaving {
			domain = append(domain, p.Daemon)
			weights[p.Daemon] = weight(p.Daemon)
		}
	}
	slices.SortFunc(domain, func(a, b crid.Daemon) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b))
	})
	s.watch.ranked = domain[:min(s.params.Readers+s.params.Spares, len(domain))]
}

// readers returns the ranked first, and a spare for each of them that is away.
func (s *State) readers() []crid.Daemon {
	n := min(s.params.Readers, len(s.watch.ranked))
	readers := slices.Clone(s.watch.ranked[:n])
	lost := 0
	for _, d := range readers {
		if s.isAway(d) {
			lost++
		}
	}
	for _, d := range s.watch.ranked[n:] {
		if lost == 0 {
			break
		}
		readers = append(readers, d)
		if !s.isAway(d) {
			lost--
		}
	}
	return readers
}

func (s *State) isAway(d crid.Daemon) bool {
	if d == s.self {
		return s.watch.away
	}
	return s.haves[d].Away
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
		s.watched(now, WatchResult{Now: now, Fault: FaultAway})
	}
	starting := !s.heard && !w.answered
	if w.busy || now.Before(w.notBefore) || (!w.reader && !starting) || !s.spend() {
		return
	}
	wait := time.Duration(0)
	if w.reader {
		wait = s.params.WatchWait
	}
	w.busy = true
	w.due = now.Add(wait + s.params.ReadTimeout)
	w.after = max(s.conf.rev, s.list.Revision(), w.seen)
	s.emit(WatchPlatform{After: w.after, Wait: wait})
}

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
		s.report(NumberPlatformBack, "revision", rev(ev.Head.Rev))
	}
	w.away = false
	w.answered = true
	w.fails = 0
	w.seen = ev.Head.Rev
	w.notBefore = now.Add(minWatch)
	s.learn(now, ev.Head.Conf, ev.Head.Manifest, "")
	if ev.Head.List > s.list.Revision() {
		s.listing.learn(s.list.Revision(), ev.Head.List)
		s.readListFrom(now)
	}
}

func (s *State) watchFailed(now crid.Instant, ev WatchResult) {
	w := &s.watch
	switch {
	case ev.Fault == FaultStale && ev.Head != w.told:
		w.told = ev.Head
		s.report(NumberStale, "platform", rev(ev.Head.Rev), "known", rev(w.after))
	case ev.Fault != FaultStale && !w.away:
		s.report(NumberPlatformAway, "inforce", rev(s.conf.rev))
	}
	w.away = true
	w.notBefore = now.Add(s.backoff(w.fails))
	w.fails++
}

// backoff doubles with every failure; half of it is jitter.
func (s *State) backoff(fails int) time.Duration {
	d := min(s.params.Backoff<<min(fails, maxShift), s.params.BackoffMax)
	return d/2 + s.jitter(d)
}
