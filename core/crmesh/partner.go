package crmesh

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
)

// partnersPerDomain is the mean number of partners of a daemon in another domain, at most.
const partnersPerDomain = 2

// arePartners reports whether two daemons of different domains send each other heartbeats
// often in a large fleet, in which all others do so seldom. Both come to the same result.
// size is the mean number of daemons of the two domains. It is rounded, so that daemons
// whose records differ for a while agree nevertheless.
func arePartners(a, b crid.Daemon, size int) bool {
	if a > b {
		a, b = b, a
	}
	rounded := uint64(1) << bits.Len(uint(max(size-1, 0)))
	if rounded <= partnersPerDomain {
		return true
	}
	return xxhash.Sum64String(string(a)+"\x00"+string(b)) < math.MaxUint64/rounded*partnersPerDomain
}

// isLarge reports whether the fleet is so large that not all daemons send each other
// heartbeats often.
func (s *State) isLarge() bool { return len(s.peers) > maxUrgentToAll }

// syncPartners determines the partners among the peers. Partners show within seconds that
// a domain cannot be reached, whose other daemons send heartbeats seldom.
func (s *State) syncPartners() {
	sizes := map[crid.Domain]int{s.params.Domain: 1}
	for _, p := range s.sortedPeers() {
		if p.hasRecord {
			sizes[p.domain]++
		}
	}
	own := sizes[s.params.Domain]
	for _, p := range s.sortedPeers() {
		p.partner = s.isLarge() && p.hasRecord && !s.sameDomain(p) && arePartners(p.name, s.params.Self, (own+sizes[p.domain])/2)
	}
}

// domainReach counts the members of a domain.
type domainReach struct {
	members, reachable          int
	partners, reachablePartners int
}

func (d *domainReach) add(p *peer) {
	up := !p.unresponsive && !p.overdue && !p.doubtful && !p.heartbeat.Unheard
	d.members++
	if up {
		d.reachable++
	}
	if p.partner {
		d.partners++
		if up {
			d.reachablePartners++
		}
	}
}

// estimate returns the number of members that can be reached. Those that are no partners
// count as reachable until three of their rare heartbeats are missing.
func (d *domainReach) estimate() int {
	if d.partners == 0 {
		return d.reachable
	}
	return min(d.reachable, int(math.Round(float64(d.members*d.reachablePartners)/float64(d.partners))))
}

// countReachable sets the numbers of known daemons and of those that can be reached.
func (s *State) countReachable(now crid.Instant, v *View) {
	domains := make(map[crid.Domain]*domainReach)
	for _, p := range s.sortedPeers() {
		if !s.isMember(p) {
			continue
		}
		d := domains[p.domain]
		if d == nil {
			d = &domainReach{}
			domains[p.domain] = d
		}
		d.add(p)
		v.Confirmed++
	}
	for _, d := range domains {
		v.Reachable += d.estimate()
	}
	v.Confirmed += s.unknownMembers(now)
}

// unknownMembers returns the number of members that fell silent and whose records expired
// before this daemon started, by the reports of its peers.
func (s *State) unknownMembers(now crid.Instant) int {
	if s.listedAt == 0 || now.Sub(s.listedAt) > lostPeerRetention {
		return 0
	}
	reported := 0
	for _, p := range s.peers {
		if p.isHeard() {
			reported = max(reported, p.heartbeat.SilentMembers)
		}
	}
	return max(reported-s.silentMembers, 0)
}

// noticeInterval returns the time between the heartbeats by which a peer, or this daemon,
// notices that the other is cut off. Partners notice it for the other members of their domain.
func (s *State) noticeInterval(p *peer) time.Duration {
	if s.isLarge() && !s.sameDomain(p) {
		return max(s.params.RemoteInterval, s.minInterval())
	}
	return s.idleInterval(p)
}

// noticeTime returns the time in which a daemon notices that a part of the fleet is cut off.
func (s *State) noticeTime() time.Duration {
	var longest time.Duration
	for _, p := range s.peers {
		longest = max(longest, s.noticeInterval(p))
	}
	return doubtfulAfter(longest)
}

// remoteInterval returns the time between heartbeats to a peer of another domain without a
// recent offer.
func (s *State) remoteInterval(p *peer) time.Duration {
	interval := max(s.params.RemoteInterval, s.minInterval())
	n := time.Duration(len(s.peers))
	switch {
	case p.partner:
		return interval
	case s.isLarge():
		return max(interval, idleIntervalPerPeer*n)
	}
	return max(interval, smallIdleIntervalPerPeer*n)
}
