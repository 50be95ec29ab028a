package crhealth

import (
	"slices"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// senderTTL is the time after its last digest at which a sender is removed.
const senderTTL = 10 * time.Second

// sender is an entry that sends digests to this arbiter.
type sender struct {
	incarnation crid.Incarnation
	seq         uint64
	lastSeen    crid.Instant
	idle        bool // has no traffic and therefore sends no digests
	// pending holds the pending attempts of the sender's newest digest.
	pending map[crid.Target][]PendingCount
}

// targetRecord is the arbiter's state of one target.
type targetRecord struct {
	window       window
	updated      bool // evidence has arrived since the last judgement
	finding      Finding
	suspicion    int // consecutive judgements that found the target unhealthy
	ejected      bool
	keptForFloor bool // unhealthy, but not ejected because of the floor
	ejectedUntil crid.Instant
	ejections    int // reduced by one per EjectionDecay without an ejection
	unejected    bool
	unejectedAt  crid.Instant
	announced    bool
	announcedAt  crid.Instant // when the last verdict that lists it as ejected was sent
}

// detector is the arbiter's outlier detection state for one service.
type detector struct {
	judgedAt     crid.Instant
	lastDigestAt crid.Instant
	isArbiter    bool // this daemon sends verdicts, as last reported
	records      map[crid.Target]*targetRecord
	senders      map[crid.Daemon]*sender
}

func (d *detector) record(target crid.Target) *targetRecord {
	r := d.records[target]
	if r == nil {
		r = &targetRecord{}
		d.records[target] = r
	}
	return r
}

// handleDigest adds an entry's evidence and replies with a verdict.
func (s *State) handleDigest(from crid.Daemon, msg Digest) {
	if s.arbiter(msg.Service) != s.self {
		return
	}
	d := s.detectors[msg.Service]
	if d == nil {
		d = &detector{records: make(map[crid.Target]*targetRecord), senders: make(map[crid.Daemon]*sender)}
		s.detectors[msg.Service] = d
	}
	src := d.senders[from]
	if src == nil || src.incarnation != msg.Incarnation {
		src = &sender{incarnation: msg.Incarnation}
		d.senders[from] = src
	}
	if msg.Seq <= src.seq {
		return
	}
	src.seq = msg.Seq
	src.lastSeen = s.now
	src.idle = msg.Last
	d.lastDigestAt = s.now
	src.pending = make(map[crid.Target][]PendingCount)
	for _, sample := range msg.Samples {
		if p := s.placements[sample.Target]; p != nil && p.service == msg.Service {
			r := d.record(sample.Target)
			r.window.add(s.now, from, sample)
			r.updated = true
			if len(sample.Pending) > 0 {
				src.pending[sample.Target] = sample.Pending
			}
		}
	}
	s.sendVerdict(msg.Service, d, from)
}

// sendVerdict sends the current verdict to an entry, in reply to its newest digest.
func (s *State) sendVerdict(service crid.Service, d *detector, to crid.Daemon) {
	if !s.maySendVerdicts(service) {
		return
	}
	src := d.senders[to]
	s.verdictNumber++
	v := Verdict{Service: service, Incarnation: src.incarnation, Seq: src.seq, ArbiterIncarnation: s.incarnation, Number: s.verdictNumber}
	for _, target := range d.ejected() {
		r := d.records[target]
		r.announced = true
		r.announcedAt = s.now
		v.Ejected = append(v.Ejected, target)
	}
	v.Weights = s.weights(service, d)
	if to == s.self {
		s.handleVerdict(s.self, v)
		return
	}
	s.emit(crevent.Send{To: to, Msg: v})
}

func (s *State) weights(service crid.Service, d *detector) []Weight {
	var weights []Weight
	for _, target := range s.targets[service] {
		r := d.records[target]
		if r == nil || !r.unejected || r.ejected {
			continue
		}
		if w := ramp(s.now.Sub(r.unejectedAt), s.params.SlowStart); w < FullWeight {
			weights = append(weights, Weight{Target: target, Weight: w})
		}
	}
	return weights
}

// ejected returns the ejected targets in descending order of score.
func (d *detector) ejected() []crid.Target {
	var targets []crid.Target
	for _, target := range d.targets() {
		if d.records[target].ejected {
			targets = append(targets, target)
		}
	}
	slices.SortStableFunc(targets, d.byScore)
	return targets
}

func (d *detector) targets() []crid.Target {
	targets := make([]crid.Target, 0, len(d.records))
	for target := range d.records {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	return targets
}

func (d *detector) byScore(a, b crid.Target) int {
	scoreA, scoreB := d.records[a].finding.Score, d.records[b].finding.Score
	switch {
	case scoreA > scoreB:
		return -1
	case scoreA < scoreB:
		return 1
	}
	return 0
}

func (s *State) judgeAll() {
	for _, service := range sortedServices(s.detectors) {
		d := s.detectors[service]
		if s.arbiter(service) != s.self || s.now.Sub(d.lastDigestAt) > s.params.MaxEjectionTime {
			delete(s.detectors, service)
			s.reportArbiterRole(service, d, false)
			continue
		}
		s.reportArbiterRole(service, d, s.maySendVerdicts(service))
		if s.now.Sub(d.judgedAt) >= s.params.JudgeEvery {
			d.judgedAt = s.now
			s.judge(service, d)
		}
	}
}

func (s *State) reportArbiterRole(service crid.Service, d *detector, isArbiter bool) {
	if isArbiter == d.isArbiter {
		return
	}
	d.isArbiter = isArbiter
	number := EventArbiterStopped
	if isArbiter {
		number = EventArbiterStarted
	}
	s.report(number, service, "", "")
}

// judge evaluates all targets of a service once.
func (s *State) judge(service crid.Service, d *detector) {
	s.prune(service, d)
	unhealthy := s.unhealthyTargets(d)
	changed := s.endEjections(service, d)
	if !s.maySendVerdicts(service) {
		return
	}
	changed = s.unejectForFloor(service, d) || changed
	changed = s.ejectUnhealthy(service, d, unhealthy) || changed
	if changed {
		s.pushVerdicts(service, d)
	}
}

// prune removes targets that are no longer listed, and senders that have sent no digest
// for senderTTL. It keeps a target whose ejection may still be in force at some entry.
func (s *State) prune(service crid.Service, d *detector) {
	for target, r := range d.records {
		if p := s.placements[target]; (p == nil || p.service != service) && !s.maybeEjected(r) {
			delete(d.records, target)
		}
	}
	for name, src := range d.senders {
		if s.now.Sub(src.lastSeen) > senderTTL {
			delete(d.senders, name)
		}
	}
}

// maybeEjected reports whether some entry may still treat the target as ejected.
func (s *State) maybeEjected(r *targetRecord) bool {
	return r.announced && s.now.Sub(r.announcedAt) < s.params.ExpiryWait()
}

// probeWindow is the span in which failed probes prevent the end of an ejection.
const probeWindow = 3 * time.Second

// endEjections ends the ejections whose time is over, and extends those of targets
// that still fail their probes.
func (s *State) endEjections(service crid.Service, d *detector) bool {
	changed := false
	for _, target := range d.targets() {
		r := d.records[target]
		if !r.ejected || s.now.Before(r.ejectedUntil) {
			continue
		}
		if probes := r.window.sum(s.now, probeWindow).groups[probeGroup]; probes.n > 0 && probes.badRate() >= 0.5 {
			r.ejectedUntil = s.now.Add(s.params.BaseEjectionTime)
			s.report(EventEjectionExtended, service, target, "")
			continue
		}
		s.uneject(service, target, r, "hold-off over")
		changed = true
	}
	return changed
}

func (s *State) uneject(service crid.Service, target crid.Target, r *targetRecord, reason string) {
	r.ejected = false
	r.unejected = true
	r.unejectedAt = s.now
	r.suspicion = 0
	r.finding = Finding{}
	r.window = window{}
	s.report(EventUnejected, service, target, reason)
}

// unejectForFloor ends the ejections with the lowest scores when the remaining capacity
// does not allow all of them.
func (s *State) unejectForFloor(service crid.Service, d *detector) bool {
	if !s.params.hasGuard(guardFloor) {
		return false
	}
	remaining := s.allowance(service)
	changed := false
	for _, target := range d.ejected() {
		if !s.isCapacity(target) {
			continue
		}
		if remaining == 0 {
			s.uneject(service, target, d.records[target], "floor")
			changed = true
			continue
		}
		remaining--
	}
	return changed
}

// ejectedCapacity counts the capacity that is ejected, or that some entry may still
// treat as ejected because it has not received the newer verdict.
func (s *State) ejectedCapacity(d *detector) int {
	n := 0
	for target, r := range d.records {
		maybe := s.params.hasGuard(guardMaybeEjected) && s.maybeEjected(r)
		if (r.ejected || maybe) && s.isCapacity(target) {
			n++
		}
	}
	return n
}

// ejectUnhealthy ejects unhealthy targets as far as the floor allows.
func (s *State) ejectUnhealthy(service crid.Service, d *detector, unhealthy []crid.Target) bool {
	allowed := s.allowance(service)
	changed := false
	for _, target := range unhealthy {
		r := d.records[target]
		alreadyCounted := s.params.hasGuard(guardMaybeEjected) && s.maybeEjected(r)
		takesNoCapacity := !s.isCapacity(target) || alreadyCounted
		if s.params.hasGuard(guardFloor) && !takesNoCapacity && s.ejectedCapacity(d) >= allowed {
			if !r.keptForFloor {
				s.report(EventKeptForFloor, service, target, r.finding.Cause.String())
			}
			r.keptForFloor = true
			continue
		}
		s.eject(service, target, r)
		changed = true
	}
	return changed
}

func (s *State) eject(service crid.Service, target crid.Target, r *targetRecord) {
	if r.unejected {
		healthyFor := s.now.Sub(r.unejectedAt)
		r.ejections = max(r.ejections-int(healthyFor/s.params.EjectionDecay), 0)
	}
	duration := ejectionTime(s.params.BaseEjectionTime, s.params.MaxEjectionTime, r.ejections)
	r.ejections++
	r.ejected = true
	r.keptForFloor = false
	r.ejectedUntil = s.now.Add(duration)
	s.report(EventEjected, service, target, r.finding.Cause.String()+" for "+duration.String())
}

// pushVerdicts sends the verdict to all recent senders without waiting for their next
// digest.
func (s *State) pushVerdicts(service crid.Service, d *detector) {
	for _, name := range sortedDaemons(d.senders) {
		if s.now.Sub(d.senders[name].lastSeen) < s.params.ValidFor {
			s.sendVerdict(service, d, name)
		}
	}
}
