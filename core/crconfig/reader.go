package crconfig

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// minWatchInterval limits the rate of watches if the platform responds to each of
// them at once.
const minWatchInterval = 200 * time.Millisecond

// maxBackoffShift keeps the doubling of a backoff from overflowing.
const maxBackoffShift = 10

// watch is this daemon's role in reading the platform.
type watch struct {
	ranked                []crid.Daemon                // readers and standbys of the domain, by rank
	visible               int                          // daemons of the domain not known to be lost, including this one
	lastHaveAt            map[crid.Daemon]crid.Instant // last Have, or first ranking, of each ranked daemon that membership only samples
	isolated              bool                         // no majority was reachable for PeerGrace
	majorityAt            crid.Instant                 // when a majority was last reachable, or when this daemon started
	selectedAt            crid.Instant                 // since when selected is true
	selected              bool                         // this daemon is among its domain's readers
	reader                bool
	unconfirmedSettleTime time.Duration // SettleTime while unconfirmed
	inFlight              bool
	deadline              crid.Instant  // of the call in flight
	after                 crid.Revision // revision known when the call in flight began
	nextAt                crid.Instant
	failures              int
	unavailable           bool // the last watch failed
	succeeded             bool // some watch succeeded since the start or the last resync
	platformRev           crid.Revision
	reportedStale         Head // last stale head reported
	tickBudget            int  // platform calls left in this tick, for a confirmed reader
	unconfirmed           bool // result of isUnconfirmed at the last update of the role
	tokens                float64
	refilledAt            crid.Instant
}

// weight is a daemon's rendezvous hash for the ranking of its domain's readers.
func weight(d crid.Daemon) uint64 { return xxhash.Sum64String("reader/" + string(d)) }

// refill resets the tick budget and refills the token bucket.
func (s *State) refill(now crid.Instant) {
	w := &s.watch
	w.tickBudget = s.params.ReadsPerTick
	w.tokens += now.Sub(w.refilledAt).Seconds() * s.params.rateShare()
	w.tokens = min(w.tokens, 1)
	w.refilledAt = now
}

// takeCall consumes one platform call other than for a list. A list that waits
// for the rate has priority, since peers become known through it.
func (s *State) takeCall() bool {
	if s.nextList.fromPlatform && (s.watch.unconfirmed || !s.watch.reader) {
		return false
	}
	return s.takeCalls(1)
}

// takeCalls consumes platform calls. A confirmed reader has a budget per tick;
// there are only a few of them in a domain. Every other daemon has a token bucket
// filled with its share of the platform rate, whose balance may become negative.
// After a power failure all daemons are without peers and read the platform
// themselves. Without the bucket they would exceed the platform's rate limit, and
// all their calls would fail.
func (s *State) takeCalls(cost float64) bool {
	w := &s.watch
	if s.isConfirmedReader() {
		if w.tickBudget <= 0 {
			return false
		}
		w.tickBudget--
		return true
	}
	if w.tokens < 1 {
		return false
	}
	w.tokens -= cost
	return true
}

// updateRole decides whether this daemon is a reader. A reader that cannot read
// is replaced by a standby, but keeps trying.
func (s *State) updateRole(now crid.Instant) {
	s.checkIsolated(now)
	selected := s.watch.isolated || slices.Contains(s.readers(now), s.self)
	if selected && !s.watch.selected {
		s.watch.selectedAt = now
	}
	s.watch.selected = selected
	settle := s.params.SettleTime
	s.watch.unconfirmed = s.isUnconfirmed()
	if s.watch.unconfirmed {
		settle = s.watch.unconfirmedSettleTime
	}
	reader := selected && now.Sub(s.watch.selectedAt) >= settle
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

// checkIsolated detects, in a sampled fleet, that no majority was reachable for
// PeerGrace. All daemons that the list ranks may be lost then, so every remaining
// daemon reads the platform itself, within its share of the rate.
func (s *State) checkIsolated(now crid.Instant) {
	if now.Before(s.contactUntil) {
		s.watch.majorityAt = now
	}
	s.watch.isolated = s.sampled && now.Sub(s.watch.majorityAt) >= s.params.PeerGrace
}

// isUnconfirmed reports whether many daemons may select themselves as readers:
// there is no list, less than half of the domain is visible, or this daemon is
// isolated.
func (s *State) isUnconfirmed() bool {
	return s.list.Revision() == 0 || 2*s.watch.visible < s.domainSize || s.watch.isolated
}

// candidate is a daemon of the domain that may be a reader.
type candidate struct {
	daemon  crid.Daemon
	sampled bool // membership may not detect its loss
	weight  uint64
}

// rankDomain counts and ranks the domain's daemons. In a large fleet, membership
// always detects the loss of the list's voters, and only samples the other
// daemons. A ranking of the daemons that sent messages recently would differ
// between daemons, and most of them would rank themselves first. So all daemons
// not known to be lost are ranked, voters first.
func (s *State) rankDomain(now crid.Instant) {
	sampled := s.sampled && !s.voter && s.list.Revision() > 0
	all := []candidate{{daemon: s.self, sampled: sampled, weight: weight(s.self)}}
	s.watch.visible = 1 + len(s.domainPeers)
	for _, p := range s.domainPeers {
		if !p.Leaving {
			all = append(all, candidate{daemon: p.Daemon, sampled: p.Sampled, weight: weight(p.Daemon)})
		}
	}
	slices.SortFunc(all, compareCandidates)
	previous := s.watch.lastHaveAt
	s.watch.ranked = nil
	s.watch.lastHaveAt = make(map[crid.Daemon]crid.Instant)
	for _, c := range all[:min(s.params.Readers+s.params.Standbys, len(all))] {
		s.watch.ranked = append(s.watch.ranked, c.daemon)
		if c.sampled && c.daemon != s.self {
			s.watch.lastHaveAt[c.daemon] = cmp.Or(previous[c.daemon], now)
		}
	}
}

func compareCandidates(a, b candidate) int {
	if a.sampled != b.sampled {
		if a.sampled {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.daemon, b.daemon))
}

// readers returns the first of the ranking, and a standby for each of them that
// is unavailable.
func (s *State) readers(now crid.Instant) []crid.Daemon {
	n := min(s.params.Readers, len(s.watch.ranked))
	readers := slices.Clone(s.watch.ranked[:n])
	unavailable := 0
	for _, d := range readers {
		if s.isUnavailable(now, d) {
			unavailable++
		}
	}
	for _, d := range s.watch.ranked[n:] {
		if unavailable == 0 {
			break
		}
		readers = append(readers, d)
		if !s.isUnavailable(now, d) {
			unavailable--
		}
	}
	return readers
}

// isUnavailable reports whether a ranked daemon announces that it cannot read
// the platform, or is only sampled by membership and sent no Have for
// PeerTimeout.
func (s *State) isUnavailable(now crid.Instant, d crid.Daemon) bool {
	if d == s.self {
		return s.watch.unavailable
	}
	lastHaveAt, sampled := s.watch.lastHaveAt[d]
	return s.haves[d].PlatformUnavailable || (sampled && now.Sub(lastHaveAt) > s.params.PeerTimeout)
}

// otherRanked returns the other ranked daemons of the domain. Ranked daemons
// regularly send each other whether they can read the platform.
func (s *State) otherRanked() []crid.Daemon {
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

// startWatch starts a call: a reader's watch, or the one read of a starting
// daemon that has no quorum of peers yet.
func (s *State) startWatch(now crid.Instant) {
	w := &s.watch
	if w.inFlight && !now.Before(w.deadline) {
		s.handleWatchResult(now, WatchResult{Now: now, Fault: FaultUnavailable})
	}
	startupRead := !s.quorumReached && !w.succeeded
	if w.inFlight || now.Before(w.nextAt) || (!w.reader && !startupRead) || !s.takeCall() {
		return
	}
	wait := s.watchDuration()
	timeout := wait + s.params.ResponseTimeout
	w.inFlight = true
	w.deadline = now.Add(timeout)
	w.after = max(s.conf.rev, s.list.Revision(), w.platformRev)
	s.emit(WatchPlatform{After: w.after, Wait: wait, Timeout: timeout})
}

// watchDuration is how long the next watch waits. An unconfirmed reader spends at
// most half of its share of the platform rate on watches, since it reads values
// within the same share.
func (s *State) watchDuration() time.Duration {
	switch {
	case s.isConfirmedReader():
		return s.params.WatchWait
	case s.watch.reader:
		half := time.Duration(2 / s.params.rateShare() * float64(time.Second))
		return max(half, s.params.WatchWait)
	}
	return 0
}

// isConfirmedReader reports whether this daemon is one of the few readers of its
// domain: it is selected, and so much of the domain is visible that few others can
// be selected too.
func (s *State) isConfirmedReader() bool { return s.watch.reader && !s.watch.unconfirmed }

// handleWatchResult handles the result of a watch.
func (s *State) handleWatchResult(now crid.Instant, ev WatchResult) {
	w := &s.watch
	w.inFlight = false
	// The head is compared with the revision known when the call began. A newer
	// revision that a peer announced during the call does not make it stale.
	if ev.Fault == FaultNone && ev.Head.Rev < w.after {
		ev.Fault = FaultStale
	}
	if ev.Fault != FaultNone {
		s.watchFailed(now, ev)
		return
	}
	if w.unavailable {
		s.report(EventPlatformRecovered, "revision", rev(ev.Head.Rev))
	}
	w.unavailable = false
	w.succeeded = true
	w.failures = 0
	w.platformRev = ev.Head.Rev
	w.nextAt = now.Add(minWatchInterval)
	s.observe(now, ev.Head.Conf, ev.Head.Manifest, "")
	if ev.Head.List > s.list.Revision() {
		s.nextList.observe(s.list.Revision(), ev.Head.List)
		s.scheduleListRead(now)
	}
}

func (s *State) watchFailed(now crid.Instant, ev WatchResult) {
	w := &s.watch
	switch {
	case ev.Fault == FaultStale && ev.Head != w.reportedStale:
		w.reportedStale = ev.Head
		s.report(EventStalePlatform, "platform", rev(ev.Head.Rev), "known", rev(w.after))
	case ev.Fault != FaultStale && !w.unavailable:
		s.report(EventPlatformUnavailable, "inforce", rev(s.conf.rev))
	}
	w.unavailable = true
	pause := s.backoff(w.failures)
	if s.isConfirmedReader() {
		pause = min(pause, s.params.ReaderBackoffMax)
	}
	w.nextAt = now.Add(pause)
	w.failures++
}

// backoff returns an exponential backoff with jitter: from half to one and a half
// times the nominal duration.
func (s *State) backoff(failures int) time.Duration {
	d := min(s.params.Backoff<<min(failures, maxBackoffShift), s.params.BackoffMax)
	return d/2 + s.jitter(d)
}
