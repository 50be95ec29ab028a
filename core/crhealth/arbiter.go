package crhealth

import (
	"slices"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// senderKept is how long a silent sender is remembered.
const senderTTL = 10 * time.Second

// sender is an entry that sends digests to this arbiter.
type sender struct {
	incarnation crid.Incarnation
	seq         uint64
	lastSeen    crid.Instant
	idle        bool // it has no traffic, and sends no digests for that reason
	// waits are those of its newest digest.
	pending map[crid.Target][]PendingCount
}

// record is what the arbiter knows of one target.
type targetRecord struct {
	window       window
	updated      bool // evidence has come since the last judgement
	finding      Finding
	suspicion    int
	ejected      bool
	keptForFloor bool // sick, but kept for the floor
	ejectedUntil crid.Instant
	ejections    int
	unejected    bool
	unejectedAt  crid.Instant
	announced    bool
	announcedAt  crid.Instant // of the last verdict that named it ejected
}

// docket is the arbiter's state of one service.
type detector struct {
	judgedAt crid.Instant
	heardAt  crid.Instant
	deciding bool
	records  map[crid.Target]*targetRecord
	senders  map[crid.Daemon]*sender
}

func (d *detector) record(target crid.Target) *targetRecord {
	r := d.records[target]
	if r == nil {
		r = &targetRecord{}
		d.records[target] = r
	}
	return r
}

// takeDigest adds an entry's evidence and answers with a verdict.
func (s *State) handleDigest(from crid.Daemon, msg Digest) {
	if s.arbiter(msg.Service) != s.self {
		return
	}
	d := s.detectors[msg.Service]
	if d == nil {
		d = &detector{records: make(map[crid.Target]*targetRecord), senders: make(map[crid.Daemon]*sender)}
		s.detectors[msg.Service] = d
	}
	known := d.senders[from]
	if known == nil || known.incarnation != msg.Incarnation {
		known = &sender{incarnation: msg.Incarnation}
		d.senders[from] = known
	}
	if msg.Seq <= known.seq {
		return
	}
	known.seq = msg.Seq
	known.lastSeen = s.now
	known.idle = msg.Last
	d.heardAt = s.now
	known.pending = make(map[crid.Target][]PendingCount)
	for _, sample := range msg.Samples {
		if p := s.placements[sample.Target]; p != nil && p.service == msg.Service {
			r := d.record(sample.Target)
			r.window.add(s.now, from, sample)
			r.updated = true
			if len(sample.Pending) > 0 {
				known.pending[sample.Target] = sample.Pending
			}
		}
	}
	s.sendVerdict(msg.Service, d, from)
}

// answer sends the present verdict to an entry, on its newest digest.
func (s *State) sendVerdict(service crid.Service, d *detector, to crid.Daemon) {
	if !s.deciding(service) {
		return
	}
	known := d.senders[to]
	s.number++
	v := Verdict{Service: service, Incarnation: known.incarnation, Seq: known.seq, ArbiterIncarnation: s.incarnation, Number: s.number}
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

// ejected returns the ejected targets, worst first.
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
		if s.arbiter(service) != s.self || s.now.Sub(d.heardAt) > s.params.MaxEjectionTime {
			delete(s.detectors, service)
			s.reportDeciding(service, d, false)
			continue
		}
		s.reportDeciding(service, d, s.deciding(service))
		if s.now.Sub(d.judgedAt) >= s.params.JudgeEvery {
			d.judgedAt = s.now
			s.judge(service, d)
		}
	}
}

func (s *State) reportDeciding(service crid.Service, d *detector, deciding bool) {
	if deciding == d.deciding {
		return
	}
	d.deciding = deciding
	number := EventArbiterStopped
	if deciding {
		number = EventArbiterStarted
	}
	s.report(number, service, "", "")
}

// judge looks at all targets of a service once.
func (s *State) judge(service crid.Service, d *detector) {
	s.prune(service, d)
	unhealthy := s.unhealthyTargets(d)
	changed := s.endEjections(service, d)
	if !s.deciding(service) {
		return
	}
	changed = s.unejectForFloor(service, d) || changed
	changed = s.ejectUnhealthy(service, d, unhealthy) || changed
	if changed {
		s.pushVerdicts(service, d)
	}
}

// prune forgets targets that are gone and entries that are silent. A target
// whose ejection may still be in force somewhere is kept.
func (s *State) prune(service crid.Service, d *detector) {
	for target, r := range d.records {
		if p := s.placements[target]; (p == nil || p.service != service) && !s.maybeEjected(r) {
			delete(d.records, target)
		}
	}
	for name, known := range d.senders {
		if s.now.Sub(known.lastSeen) > senderTTL {
			delete(d.senders, name)
		}
	}
}

// lingers reports whether some entry may still hold the target ejected.
func (s *State) maybeEjected(r *targetRecord) bool {
	return r.announced && s.now.Sub(r.announcedAt) < s.params.ExpiryWait()
}

// probesKept is how far back probes speak against a return.
const probeWindow = 3 * time.Second

// endHolds takes back targets whose hold-off has passed.
func (s *State) endEjections(service crid.Service, d *detector) bool {
	changed := false
	for _, target := range d.targets() {
		r := d.records[target]
		if !r.ejected || s.now.Before(r.ejectedUntil) {
			continue
		}
		if probes := r.window.sum(s.now, probeWindow).groups[0]; probes.n > 0 && probes.badRate() >= 0.5 {
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

// restoreFloor takes back the least sick when capacity has left.
func (s *State) unejectForFloor(service crid.Service, d *detector) bool {
	if !s.params.hasGuard(guardFloor) {
		return false
	}
	room := s.allowance(service)
	changed := false
	for _, target := range d.ejected() {
		if !s.isCapacity(target) {
			continue
		}
		if room == 0 {
			s.uneject(service, target, d.records[target], "floor")
			changed = true
			continue
		}
		room--
	}
	return changed
}

// burden counts the capacity that is ejected, or may still be ejected at some
// entry that has not heard of its return.
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

// ejectWorst ejects the sick as far as the floor allows.
func (s *State) ejectUnhealthy(service crid.Service, d *detector, unhealthy []crid.Target) bool {
	room := s.allowance(service)
	changed := false
	for _, target := range unhealthy {
		r := d.records[target]
		counted := s.params.hasGuard(guardMaybeEjected) && s.maybeEjected(r)
		free := !s.isCapacity(target) || counted
		if s.params.hasGuard(guardFloor) && !free && s.ejectedCapacity(d) >= room {
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

// pushVerdicts tells all entries heard of late, without waiting for their next
// digest.
func (s *State) pushVerdicts(service crid.Service, d *detector) {
	for _, name := range sortedDaemons(d.senders) {
		if s.now.Sub(d.senders[name].lastSeen) < s.params.ValidFor {
			s.sendVerdict(service, d, name)
		}
	}
}
