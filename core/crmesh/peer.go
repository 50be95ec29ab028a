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
	lastHeard       crid.Instant // zero: never
	heartbeat       Heartbeat
	known           bool         // a record or a seed names it
	hasRecord       bool         // a record names it
	domain          crid.Domain  // empty: not known
	lastSent        crid.Instant // the last beat to it
	lastOffer       crid.Instant // its last offer; zero: none
	aheadSince      crid.Instant // since when it is known to hold what this daemon lacks; zero: it does not
	version         uint64       // that it held then
	revision        crid.Revision
	silent          bool
	unansweredSince crid.Instant // since when questions to it go unanswered; zero: they do not
	knownSince      crid.Instant // when it was first known of
	unresponsive    bool         // silent since it answers no questions
	overdue         bool         // not heard for as long since then as makes others silent
}

// noteAhead remembers what a peer holds that this daemon lacks. What the store
// brings in the meantime settles it.
func (s *State) trackNewer(now crid.Instant, p *peer) {
	if p.aheadSince != 0 && s.lacks(p.version, p.revision) {
		return
	}
	p.aheadSince = 0
	if s.lacks(p.heartbeat.PlanVersion, p.heartbeat.RecordRevision) {
		p.aheadSince, p.version, p.revision = now, p.heartbeat.PlanVersion, p.heartbeat.RecordRevision
	}
}

func (s *State) lacks(version uint64, revision crid.Revision) bool {
	return (version > 0 && (s.plan == nil || version > s.plan.Version())) ||
		(revision > 0 && (!s.hasRecords || revision > s.registry.Revision()))
}

// pull fetches from a peer that holds what this daemon has lacked for a while:
// one of the same domain if there is one, as bytes between domains are dear. Of
// these each daemon has its own order, and another one at each try. If all took
// the same peer, its link would be full and most of them get nothing in time.
func (s *State) pull(now crid.Instant) []crevent.Effect {
	if s.stopping || (s.lastPull != 0 && now.Sub(s.lastPull) < pullInterval) {
		return nil
	}
	var best crid.Daemon
	for d, p := range s.peers {
		if p.silent || p.aheadSince == 0 || now.Sub(p.aheadSince) < pullDelay || !s.lacks(p.version, p.revision) {
			continue
		}
		if best == "" || s.pullsBefore(d, best) {
			best = d
		}
	}
	if best == "" {
		return nil
	}
	s.lastPull = now
	s.pullCount++
	return append(s.renewWatches(now), Pull{From: best})
}

// renew sends this daemon's own watches anew when there is reason to hold them for
// deaf: a peer finds that the store is silent, or knows what they should have told.
// Each of them would else find out by itself, when its wait is over.
func (s *State) renewWatches(now crid.Instant) []crevent.Effect {
	if s.lastRenewal != 0 && now.Sub(s.lastRenewal) < renewInterval {
		return nil
	}
	s.lastRenewal = now
	return []crevent.Effect{RenewWatches{}}
}

// sooner reports whether a peer is fetched from before another one.
func (s *State) pullsBefore(a, b crid.Daemon) bool {
	if same := s.sameDomain(s.peers[a]); same != s.sameDomain(s.peers[b]) {
		return same
	}
	salt := strconv.Itoa(s.pullCount) + string(s.params.Self)
	return cmp.Or(cmp.Compare(rank(a, salt), rank(b, salt)), cmp.Compare(a, b)) < 0
}

// silent reports whether a peer that was heard before is not heard any more. One
// never heard may just have started; its exit will tell.
func (s *State) missesHeartbeats(now crid.Instant, p *peer) bool {
	if p.lastHeard == 0 {
		return false
	}
	return now.Sub(p.lastHeard) > missedUntilSilent*s.idleInterval(p)
}

// unansweredFor is how long a peer may leave questions unanswered, and send no
// beat, before it counts as silent. Peers of other domains send one each two
// seconds in a fleet of a hundred, and three missing ones are six seconds in which
// each of its accounts' requests would wait in vain and be held to a part.
const unansweredTimeout = time.Second

// unanswered counts a peer as silent that has answered no question for a while
// and sent no beat meanwhile.
func (s *State) handleUnanswered(ev TokenRequestUnanswered) []crevent.Effect {
	p := s.peers[ev.Peer]
	if p == nil || p.silent || p.lastHeard == 0 {
		return nil
	}
	if p.unansweredSince == 0 || p.lastHeard > p.unansweredSince {
		p.unansweredSince = ev.Now
		return nil
	}
	if ev.Now.Sub(p.unansweredSince) < unansweredTimeout {
		return nil
	}
	p.silent, p.unresponsive = true, true
	return []crevent.Effect{s.publishView(ev.Now)}
}

// counts reports whether a peer is known to be of the fleet. A seed without a record may be
// a machine that is long gone, unless it is heard.
func (s *State) isMember(p *peer) bool {
	return p.known && (p.hasRecord || !s.hasRecords || (p.lastHeard != 0 && !p.silent))
}

// mayBeUp reports whether a peer is heard, or a record names it and its first beat may
// still come. A daemon that has just started would else take itself for the owner of
// accounts whose owner it has not heard yet.
func (p *peer) mayBeUp() bool {
	if p.lastHeard == 0 {
		return p.hasRecord && !p.overdue
	}
	return !p.silent
}

// overdue reports whether a peer should have been heard by now and never was.
func (s *State) isOverdue(now crid.Instant, p *peer) bool {
	return p.lastHeard == 0 && now.Sub(p.knownSince) > missedUntilSilent*s.idleInterval(p)
}

func (s *State) sameDomain(p *peer) bool { return p.domain == s.params.Domain }

// interested reports whether a peer wants to know of this daemon's target.
func (s *State) interested(now crid.Instant, p *peer) bool {
	return s.sameDomain(p) || (p.lastOffer != 0 && now.Sub(p.lastOffer) < interestDuration)
}

// interval is the time between beats to a peer.
func (s *State) interval(now crid.Instant, p *peer) time.Duration {
	if !s.sameDomain(p) && s.interested(now, p) {
		return max(s.params.RemoteInterval, s.minInterval())
	}
	return s.idleInterval(p)
}

// idle is the time between beats to a peer that offered nothing lately, and so
// the longest between those that it sends.
func (s *State) idleInterval(p *peer) time.Duration {
	if s.sameDomain(p) {
		return max(s.params.LocalInterval, s.minInterval())
	}
	n := time.Duration(len(s.peers))
	return max(s.params.RemoteInterval, s.minInterval(), idleIntervalPerPeer*n, min(shortIdleIntervalPerPeer*n, maxShortIdleInterval))
}

// least keeps a daemon of a large fleet from spending its processor on beats.
func (s *State) minInterval() time.Duration { return minIntervalPerPeer * time.Duration(len(s.peers)) }

// beats returns the beats that are due, or all of them after a nudge.
func (s *State) dueHeartbeats(now crid.Instant) []crevent.Effect {
	urgent := s.urgentPending && now.Sub(s.lastUrgent) >= urgentInterval
	if urgent {
		s.urgentPending, s.lastUrgent = false, now
	}
	due := make([]crid.Daemon, 0, len(s.peers))
	for d, p := range s.peers {
		send := urgent && (len(s.peers) <= maxUrgentToAll || s.interested(now, p))
		if send || p.lastSent == 0 || now.Sub(p.lastSent) >= s.interval(now, p) {
			due = append(due, d)
		}
	}
	slices.Sort(due)
	return s.heartbeatsTo(due, now)
}

func (s *State) heartbeatsTo(to []crid.Daemon, now crid.Instant) []crevent.Effect {
	if len(to) == 0 {
		return nil
	}
	for _, d := range to {
		s.peers[d].lastSent = now
	}
	b := SendHeartbeats{To: to, Stopping: s.stopping, StoreUnavailable: s.storeUnavailable, RecordRevision: s.registry.LatestChange()}
	if s.plan != nil {
		b.PlanVersion = s.plan.Version()
	}
	return []crevent.Effect{b}
}
