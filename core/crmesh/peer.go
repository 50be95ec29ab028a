package crmesh

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// peer is the state that a daemon keeps for another one.
type peer struct {
	lastHeard       crid.Instant // zero: never
	heartbeat       Heartbeat
	known           bool         // a record or a seed names it
	hasRecord       bool         // a record names it
	domain          crid.Domain  // empty: not known
	lastSent        crid.Instant // the last heartbeat to it
	lastOffer       crid.Instant // its last offer; zero: none
	aheadSince      crid.Instant // since when it is known to be newer; zero: it is not
	version         uint64       // newest plan that it named at aheadSince
	revision        crid.Revision
	silent          bool
	unansweredSince crid.Instant // since when it answers no token requests; zero: it answers
	knownSince      crid.Instant // when it became known
	unresponsive    bool         // silent because it answers no token requests
	overdue         bool         // no heartbeat received, for as long as makes other peers silent
}

// trackNewer notes a plan or records of a peer that this daemon lacks, until the store
// or a pull delivers them.
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

// pull pulls from a peer that has held for a while what this daemon lacks, of the same
// domain if possible, as bytes between domains are expensive. The order of the peers
// differs for each daemon and each attempt. If all daemons pulled from one peer, its
// link would be saturated and most of them would get nothing in time.
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

// renewWatches renews this daemon's watches when they seem to have stopped delivering:
// a peer reports the store as unavailable, or knows a change that they should have
// delivered. Otherwise each watch would detect that only at the end of its wait.
func (s *State) renewWatches(now crid.Instant) []crevent.Effect {
	if s.lastRenewal != 0 && now.Sub(s.lastRenewal) < renewInterval {
		return nil
	}
	s.lastRenewal = now
	return []crevent.Effect{RenewWatches{}}
}

// pullsBefore reports whether peer a is pulled from in preference to b.
func (s *State) pullsBefore(a, b crid.Daemon) bool {
	if same := s.sameDomain(s.peers[a]); same != s.sameDomain(s.peers[b]) {
		return same
	}
	salt := strconv.Itoa(s.pullCount) + string(s.params.Self)
	return cmp.Or(cmp.Compare(rank(a, salt), rank(b, salt)), cmp.Compare(a, b)) < 0
}

// missesHeartbeats reports whether the heartbeats of a peer have stopped.
// A peer without any heartbeat so far may just have started; a request to it shows
// whether it is up.
func (s *State) missesHeartbeats(now crid.Instant, p *peer) bool {
	if p.lastHeard == 0 {
		return false
	}
	return now.Sub(p.lastHeard) > missedUntilSilent*s.idleInterval(p)
}

// unansweredTimeout is how long a peer may leave token requests unanswered, without a
// heartbeat, before it counts as silent. Peers of other domains send a heartbeat every
// two seconds in a fleet of a hundred. Three missed ones are six seconds in which each
// request of its accounts would wait in vain and get a part of the rate only.
const unansweredTimeout = time.Second

// handleUnanswered marks a peer as silent that has answered no token request and sent no
// heartbeat for a while.
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

// isMember reports whether a peer is known to be part of the fleet. A seed without a
// record may be a machine that is gone, unless its heartbeats arrive.
func (s *State) isMember(p *peer) bool {
	return p.known && (p.hasRecord || !s.hasRecords || (p.lastHeard != 0 && !p.silent))
}

// mayBeUp reports whether a peer is heard, or a record names it and its first heartbeat
// may still come. Otherwise a daemon that has just started would consider itself the
// owner of accounts whose owner it has not heard yet.
func (p *peer) mayBeUp() bool {
	if p.lastHeard == 0 {
		return p.hasRecord && !p.overdue
	}
	return !p.silent
}

// isOverdue reports whether the first heartbeat of a peer is overdue.
func (s *State) isOverdue(now crid.Instant, p *peer) bool {
	return p.lastHeard == 0 && now.Sub(p.knownSince) > missedUntilSilent*s.idleInterval(p)
}

func (s *State) sameDomain(p *peer) bool { return p.domain == s.params.Domain }

// interested reports whether a peer needs the state of this daemon's target.
func (s *State) interested(now crid.Instant, p *peer) bool {
	return s.sameDomain(p) || (p.lastOffer != 0 && now.Sub(p.lastOffer) < interestDuration)
}

// interval returns the time between heartbeats to a peer.
func (s *State) interval(now crid.Instant, p *peer) time.Duration {
	if !s.sameDomain(p) && s.interested(now, p) {
		return max(s.params.RemoteInterval, s.minInterval())
	}
	return s.idleInterval(p)
}

// idleInterval returns the time between heartbeats to a peer without a recent offer,
// which is the longest between those that the peer sends.
func (s *State) idleInterval(p *peer) time.Duration {
	if s.sameDomain(p) {
		return max(s.params.LocalInterval, s.minInterval())
	}
	n := time.Duration(len(s.peers))
	return max(s.params.RemoteInterval, s.minInterval(), idleIntervalPerPeer*n, min(shortIdleIntervalPerPeer*n, maxShortIdleInterval))
}

// minInterval bounds the processor time that heartbeats take in a large fleet.
func (s *State) minInterval() time.Duration { return minIntervalPerPeer * time.Duration(len(s.peers)) }

// dueHeartbeats returns the heartbeats that are due, and all urgent ones after a change
// of the target.
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
