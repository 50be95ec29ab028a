package crmesh

import (
	"cmp"
	"strconv"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// reach is what the silence of a peer says of it.
type reach struct {
	unresponsive bool // its heartbeats have stopped, or it answers no token requests
	overdue      bool // its first heartbeat has not arrived within the time after which other peers count as unresponsive
	doubtful     bool // its heartbeat is overdue, and it may be unresponsive soon
	granting     bool // unresponsive, and may not have noticed yet that it is cut off
}

// peer is the state that a daemon holds for another one.
type peer struct {
	reach
	name               crid.Daemon
	readerRank         uint64       // its rank in the order of the readers
	lastReceived       crid.Instant // when its latest heartbeat arrived; zero: none yet
	heartbeat          Heartbeat
	known              bool         // named by a record or as a seed
	hasRecord          bool         // named by a record
	leaving            bool         // its latest record says that its target is leaving
	domain             crid.Domain  // empty: not known
	lastSent           crid.Instant // when the latest heartbeat was sent to it
	lastOffer          crid.Instant // when its latest offer arrived; zero: none
	newerSince         crid.Instant // when it reported a plan or records that this daemon lacks; zero: it did not
	newerPlanVersion   uint64       // plan version that it reported at newerSince
	newerRevision      crid.Revision
	newerEvacuation    crid.Revision
	unansweredSince    crid.Instant // when it first left a token request unanswered after its latest heartbeat; zero: never
	knownSince         crid.Instant // when it became known
	requestsUnanswered bool         // unresponsive because it answers no token requests
	partner            bool         // see arePartners
	joined             bool         // its record appeared while this daemon was running
}

// trackNewer records that a peer has a plan, records or evacuations that this daemon lacks, until the
// store or a pull delivers them.
func (s *State) trackNewer(now crid.Instant, p *peer) {
	if p.newerSince != 0 && s.lacks(p.newerPlanVersion, p.newerRevision, p.newerEvacuation) {
		return
	}
	p.newerSince = 0
	delete(s.ahead, p.name)
	hb := p.heartbeat
	if s.lacks(hb.PlanVersion, hb.RecordRevision, hb.EvacuationRevision) {
		p.newerSince, p.newerPlanVersion, p.newerRevision, p.newerEvacuation = now, hb.PlanVersion, hb.RecordRevision, hb.EvacuationRevision
		s.ahead[p.name] = p
	}
}

// lacks reports whether this daemon lacks a plan version, a revision of the records or one
// of the evacuations.
func (s *State) lacks(version uint64, revision, evacuation crid.Revision) bool {
	return (version > 0 && (s.plan == nil || version > s.plan.Version())) ||
		(revision > 0 && (!s.hasRecords || revision > s.registry.Revision())) || evacuation > s.evacuations.Revision()
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
	for d, p := range s.ahead {
		if !s.lacks(p.newerPlanVersion, p.newerRevision, p.newerEvacuation) {
			p.newerSince = 0
			delete(s.ahead, d)
			continue
		}
		if p.unresponsive || now.Sub(p.newerSince) < pullDelay {
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
	return append(s.renewWatches(now, true), Pull{From: best})
}

// renewWatches renews this daemon's watches when they probably no longer deliver changes:
// a peer reports the store as unavailable, or has a change that they should have
// delivered. Otherwise each watch would detect that only at the end of its wait.
func (s *State) renewWatches(now crid.Instant, missed bool) []crevent.Effect {
	if s.lastRenewal != 0 && now.Sub(s.lastRenewal) < renewInterval {
		return nil
	}
	s.lastRenewal = now
	return []crevent.Effect{RenewWatches{Missed: missed}}
}

// pullsBefore reports whether peer a is pulled from in preference to b.
func (s *State) pullsBefore(a, b crid.Daemon) bool {
	if same := s.sameDomain(s.peers[a]); same != s.sameDomain(s.peers[b]) {
		return same
	}
	salt := strconv.Itoa(s.pullCount) + string(s.params.Self)
	return cmp.Or(cmp.Compare(rank(a, salt), rank(b, salt)), cmp.Compare(a, b)) < 0
}

// updateReach updates what a peer's silence says of it, and reports whether that changed.
// A peer without any heartbeat so far may just have started; a request to it shows whether
// it is up.
func (s *State) updateReach(now crid.Instant, p *peer) bool {
	before := p.reach
	interval := s.idleInterval(p)
	heard, silence := p.lastReceived != 0, now.Sub(p.lastReceived)
	p.unresponsive = p.requestsUnanswered || heard && silence > maxMissedHeartbeats*interval
	p.overdue = !heard && now.Sub(p.knownSince) > maxMissedHeartbeats*interval
	p.doubtful = heard && silence > doubtfulAfter(interval)
	p.granting = p.unresponsive && p.mayServe() && now.Sub(s.contactLost(p)) < doubtfulAfter(s.noticeInterval(p))
	return p.reach != before
}

// doubtfulAfter returns the silence after which a peer becomes doubtful that sends heartbeats
// in the given interval.
func doubtfulAfter(interval time.Duration) time.Duration {
	return time.Duration(doubtfulHeartbeats * float64(interval))
}

// contactLost returns the time since which an unresponsive peer may have been cut off, at the
// latest.
func (s *State) contactLost(p *peer) crid.Instant {
	if p.unansweredSince > p.lastReceived {
		return p.unansweredSince
	}
	return p.lastReceived.Add(s.idleInterval(p))
}

// unansweredTimeout is how long a peer may leave token requests unanswered, without a
// heartbeat, before it counts as unresponsive. Peers of other domains send a heartbeat
// every two seconds in a fleet of a hundred. Three missed ones take six seconds, in which
// each request of its accounts would wait without an answer and then use a fallback bucket,
// which has only a fraction of the rate.
const unansweredTimeout = time.Second

// handleUnanswered marks a peer as unresponsive that has answered no token request and
// sent no heartbeat for unansweredTimeout.
func (s *State) handleUnanswered(ev TokenRequestUnanswered) []crevent.Effect {
	p := s.peers[ev.Peer]
	if p == nil || p.unresponsive {
		return nil
	}
	if p.unansweredSince == 0 || p.lastReceived > p.unansweredSince {
		p.unansweredSince = ev.Now
		return nil
	}
	if ev.Now.Sub(p.unansweredSince) < unansweredTimeout {
		return nil
	}
	p.requestsUnanswered = true
	s.updateReach(ev.Now, p)
	s.viewOutdated = true
	return nil
}

// isMember reports whether a peer is known to be part of the fleet. A seed without a
// record may be a machine that no longer exists, unless its heartbeats arrive.
func (s *State) isMember(p *peer) bool {
	return p.hasRecord || p.mayServe() || p.known && (!s.hasRecords || p.isHeard())
}

// mayServe reports whether a peer has sent heartbeats, and not announced that it leaves. If it
// is silent and has no record, it may be cut off from this daemon and from the store.
func (p *peer) mayServe() bool { return p.lastReceived != 0 && !p.leftWithNotice() }

// isSilentMember reports whether a peer counts as a member only because it may serve.
func (p *peer) isSilentMember() bool { return !p.hasRecord && p.unresponsive && p.mayServe() }

func (p *peer) leftWithNotice() bool { return p.leaving || p.heartbeat.Stopping }

// isForgotten reports whether a peer without a record has sent no heartbeat for so long that
// nothing of it counts any more.
func (p *peer) isForgotten(now crid.Instant) bool {
	if p.hasRecord {
		return false
	}
	if p.lastReceived == 0 {
		return !p.known
	}
	retention := lostPeerRetention
	if p.leftWithNotice() {
		retention = peerRetention
	}
	return now.Sub(p.lastReceived) > retention
}

// forget removes a peer. A seed is kept as one that was never heard.
func (s *State) forget(p *peer) {
	if !p.known {
		s.removePeer(p.name)
		return
	}
	delete(s.ahead, p.name)
	p.lastReceived, p.heartbeat, p.newerSince = 0, Heartbeat{}, 0
}

// isHeard reports whether a peer's heartbeats arrive.
func (p *peer) isHeard() bool { return p.lastReceived != 0 && !p.unresponsive }

// mayBeUp reports whether a peer's heartbeats arrive, or a record names it and its first
// heartbeat is not overdue. Without the latter, a daemon that has just started would act
// as the owner of accounts whose owner has not sent it a heartbeat yet. A peer whose
// record is new to a fleet that runs has just started itself: it may not serve yet, and
// becomes the owner of its accounts with its first heartbeat.
func (p *peer) mayBeUp() bool {
	if p.lastReceived == 0 {
		return p.hasRecord && !p.overdue && !p.joined && !p.unresponsive
	}
	return !p.unresponsive
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
	return s.remoteInterval(p)
}

// minInterval bounds the processor time that heartbeats take in a large fleet.
func (s *State) minInterval() time.Duration { return minIntervalPerPeer * time.Duration(len(s.peers)) }

// dueHeartbeats returns the heartbeats that are due. After a change of the target's or
// the store's state these include the urgent ones.
func (s *State) dueHeartbeats(now crid.Instant) []crevent.Effect {
	urgent := s.urgentPending && now.Sub(s.lastUrgent) >= urgentInterval
	if urgent {
		s.urgentPending, s.lastUrgent = false, now
	}
	ended := s.endHeartbeats > 0 && (s.lastEndHeartbeat == 0 || now.Sub(s.lastEndHeartbeat) >= s.minInterval())
	if ended {
		s.endHeartbeats, s.lastEndHeartbeat = s.endHeartbeats-1, now
	}
	var due []*peer
	for _, p := range s.sortedPeers() {
		send := ended || urgent && (len(s.peers) <= maxUrgentToAll || s.interested(now, p))
		if send || p.lastSent == 0 || now.Sub(p.lastSent) >= s.interval(now, p) {
			due = append(due, p)
		}
	}
	return s.heartbeatsTo(due, now)
}

func (s *State) heartbeatsTo(peers []*peer, now crid.Instant) []crevent.Effect {
	var heard, unheard []crid.Daemon
	for _, p := range peers {
		p.lastSent = now
		if p.unresponsive || p.doubtful {
			unheard = append(unheard, p.name)
		} else {
			heard = append(heard, p.name)
		}
	}
	effects := make([]crevent.Effect, 0, 2)
	if len(heard) > 0 {
		effects = append(effects, s.heartbeat(heard, false))
	}
	if len(unheard) > 0 {
		effects = append(effects, s.heartbeat(unheard, true))
	}
	return effects
}

func (s *State) heartbeat(to []crid.Daemon, unheard bool) SendHeartbeats {
	hb := SendHeartbeats{
		To: to, Stopping: s.stopping, StoreUnavailable: s.storeUnavailable, RecordRevision: s.registry.LatestChange(),
		EvacuationRevision: s.evacuations.Revision(), SilentMembers: s.silentMembers, Unheard: unheard,
	}
	if s.plan != nil {
		hb.PlanVersion = s.plan.Version()
	}
	return hb
}
