package crmesh

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// peer is what a daemon knows of another one.
type peer struct {
	heard    crid.Instant // zero: never
	beat     Beat
	listed   bool         // a record or a seed names it
	recorded bool         // a record names it
	domain   crid.Domain  // empty: not known
	sent     crid.Instant // the last beat to it
	asked    crid.Instant // its last offer; zero: none
	ahead    crid.Instant // since when it is known to hold what this daemon lacks; zero: it does not
	version  uint64       // that it held then
	revision crid.Revision
	isSilent bool
	asking   crid.Instant // since when questions to it go unanswered; zero: they do not
	since    crid.Instant // when it was first known of
	dumb     bool         // silent since it answers no questions
	missing  bool         // not heard for as long since then as makes others silent
}

// noteAhead remembers what a peer holds that this daemon lacks. What the store
// brings in the meantime settles it.
func (s *State) noteAhead(now crid.Instant, p *peer) {
	if p.ahead != 0 && s.lacks(p.version, p.revision) {
		return
	}
	p.ahead = 0
	if s.lacks(p.beat.Version, p.beat.Revision) {
		p.ahead, p.version, p.revision = now, p.beat.Version, p.beat.Revision
	}
}

func (s *State) lacks(version uint64, revision crid.Revision) bool {
	return (version > 0 && (s.plan == nil || version > s.plan.Version())) ||
		(revision > 0 && (!s.listed || revision > s.registry.Revision()))
}

// pull fetches from a peer that holds what this daemon has lacked for a while:
// one of the same domain if there is one, as bytes between domains are dear. Of
// these each daemon has its own order, and another one at each try. If all took
// the same peer, its link would be full and most of them get nothing in time.
func (s *State) pull(now crid.Instant) []crevent.Effect {
	if s.stopping || (s.pulled != 0 && now.Sub(s.pulled) < pullEvery) {
		return nil
	}
	var best crid.Daemon
	for d, p := range s.peers {
		if p.isSilent || p.ahead == 0 || now.Sub(p.ahead) < pullAfter || !s.lacks(p.version, p.revision) {
			continue
		}
		if best == "" || s.sooner(d, best) {
			best = d
		}
	}
	if best == "" {
		return nil
	}
	s.pulled = now
	s.pulls++
	return append(s.renew(now), Pull{From: best})
}

// renew sends this daemon's own watches anew when there is reason to hold them for
// deaf: a peer finds that the store is silent, or knows what they should have told.
// Each of them would else find out by itself, when its wait is over.
func (s *State) renew(now crid.Instant) []crevent.Effect {
	if s.renewed != 0 && now.Sub(s.renewed) < renewEvery {
		return nil
	}
	s.renewed = now
	return []crevent.Effect{Renew{}}
}

// sooner reports whether a peer is fetched from before another one.
func (s *State) sooner(a, b crid.Daemon) bool {
	if near := s.near(s.peers[a]); near != s.near(s.peers[b]) {
		return near
	}
	turn := strconv.Itoa(s.pulls) + string(s.params.Self)
	return cmp.Or(cmp.Compare(rank(a, turn), rank(b, turn)), cmp.Compare(a, b)) < 0
}

// silent reports whether a peer that was heard before is not heard any more. One
// never heard may just have started; its exit will tell.
func (s *State) silent(now crid.Instant, p *peer) bool {
	if p.heard == 0 {
		return false
	}
	return now.Sub(p.heard) > silentBeats*s.idle(p)
}

// unansweredFor is how long a peer may leave questions unanswered, and send no
// beat, before it counts as silent. Peers of other domains send one each two
// seconds in a fleet of a hundred, and three missing ones are six seconds in which
// each of its accounts' requests would wait in vain and be held to a part.
const unansweredFor = time.Second

// unanswered counts a peer as silent that has answered no question for a while
// and sent no beat meanwhile.
func (s *State) unanswered(ev Unanswered) []crevent.Effect {
	p := s.peers[ev.By]
	if p == nil || p.isSilent || p.heard == 0 {
		return nil
	}
	if p.asking == 0 || p.heard > p.asking {
		p.asking = ev.Now
		return nil
	}
	if ev.Now.Sub(p.asking) < unansweredFor {
		return nil
	}
	p.isSilent, p.dumb = true, true
	return []crevent.Effect{s.view(ev.Now)}
}

// counts reports whether a peer is known to be of the fleet. A seed without a record may be
// a machine that is long gone, unless it is heard.
func (s *State) counts(p *peer) bool {
	return p.listed && (p.recorded || !s.listed || (p.heard != 0 && !p.isSilent))
}

// mayBeUp reports whether a peer is heard, or a record names it and its first beat may
// still come. A daemon that has just started would else take itself for the owner of
// accounts whose owner it has not heard yet.
func (p *peer) mayBeUp() bool {
	if p.heard == 0 {
		return p.recorded && !p.missing
	}
	return !p.isSilent
}

// overdue reports whether a peer should have been heard by now and never was.
func (s *State) overdue(now crid.Instant, p *peer) bool {
	return p.heard == 0 && now.Sub(p.since) > silentBeats*s.idle(p)
}

func (s *State) near(p *peer) bool { return p.domain == s.params.Domain }

// interested reports whether a peer wants to know of this daemon's target.
func (s *State) interested(now crid.Instant, p *peer) bool {
	return s.near(p) || (p.asked != 0 && now.Sub(p.asked) < askedFor)
}

// interval is the time between beats to a peer.
func (s *State) interval(now crid.Instant, p *peer) time.Duration {
	if !s.near(p) && s.interested(now, p) {
		return max(s.params.Far, s.least())
	}
	return s.idle(p)
}

// idle is the time between beats to a peer that offered nothing lately, and so
// the longest between those that it sends.
func (s *State) idle(p *peer) time.Duration {
	if s.near(p) {
		return max(s.params.Beat, s.least())
	}
	n := time.Duration(len(s.peers))
	return max(s.params.Far, s.least(), idlePerPeer*n, min(idleShort*n, idlePause))
}

// least keeps a daemon of a large fleet from spending its processor on beats.
func (s *State) least() time.Duration { return perPeer * time.Duration(len(s.peers)) }

// beats returns the beats that are due, or all of them after a nudge.
func (s *State) beats(now crid.Instant) []crevent.Effect {
	urgent := s.nudged && now.Sub(s.urged) >= urgentEvery
	if urgent {
		s.nudged, s.urged = false, now
	}
	due := make([]crid.Daemon, 0, len(s.peers))
	for d, p := range s.peers {
		told := urgent && (len(s.peers) <= crowd || s.interested(now, p))
		if told || p.sent == 0 || now.Sub(p.sent) >= s.interval(now, p) {
			due = append(due, d)
		}
	}
	slices.Sort(due)
	return s.beatsTo(due, now)
}

func (s *State) beatsTo(to []crid.Daemon, now crid.Instant) []crevent.Effect {
	if len(to) == 0 {
		return nil
	}
	for _, d := range to {
		s.peers[d].sent = now
	}
	b := SendBeat{To: to, Stopping: s.stopping, Lost: s.lost, Revision: s.registry.Newest()}
	if s.plan != nil {
		b.Version = s.plan.Version()
	}
	return []crevent.Effect{b}
}
