package crhealth

import (
	"slices"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// senderKept is how long a silent sender is remembered.
const senderKept = 10 * time.Second

// sender is an entry that sends digests to this arbiter.
type sender struct {
	life crid.Incarnation
	seq  uint64
	at   crid.Instant
	last bool // it has no traffic, and sends no digests for that reason
	// waits are those of its newest digest.
	waits map[crid.Target][]Wait
}

// record is what the arbiter knows of one target.
type record struct {
	window     window
	fresh      bool // evidence has come since the last judgement
	finding    Finding
	suspicion  int
	ejected    bool
	kept       bool // sick, but kept for the floor
	holdUntil  crid.Instant
	strikes    int
	returned   bool
	returnedAt crid.Instant
	sent       bool
	sentAt     crid.Instant // of the last verdict that named it ejected
}

// docket is the arbiter's state of one service.
type docket struct {
	judgedAt crid.Instant
	heardAt  crid.Instant
	acting   bool
	records  map[crid.Target]*record
	senders  map[crid.Daemon]*sender
}

func (d *docket) record(target crid.Target) *record {
	r := d.records[target]
	if r == nil {
		r = &record{}
		d.records[target] = r
	}
	return r
}

// takeDigest adds an entry's evidence and answers with a verdict.
func (s *State) takeDigest(from crid.Daemon, msg Digest) {
	if s.arbiter(msg.Service) != s.self {
		return
	}
	d := s.dockets[msg.Service]
	if d == nil {
		d = &docket{records: make(map[crid.Target]*record), senders: make(map[crid.Daemon]*sender)}
		s.dockets[msg.Service] = d
	}
	known := d.senders[from]
	if known == nil || known.life != msg.Life {
		known = &sender{life: msg.Life}
		d.senders[from] = known
	}
	if msg.Seq <= known.seq {
		return
	}
	known.seq = msg.Seq
	known.at = s.now
	known.last = msg.Last
	d.heardAt = s.now
	known.waits = make(map[crid.Target][]Wait)
	for _, sample := range msg.Samples {
		if p := s.places[sample.Target]; p != nil && p.service == msg.Service {
			r := d.record(sample.Target)
			r.window.add(s.now, from, sample)
			r.fresh = true
			if len(sample.Waits) > 0 {
				known.waits[sample.Target] = sample.Waits
			}
		}
	}
	s.answer(msg.Service, d, from)
}

// answer sends the present verdict to an entry, on its newest digest.
func (s *State) answer(service crid.Service, d *docket, to crid.Daemon) {
	if !s.deciding(service) {
		return
	}
	known := d.senders[to]
	s.number++
	v := Verdict{Service: service, Life: known.life, Seq: known.seq, Arbiter: s.life, Number: s.number}
	for _, target := range d.ejected() {
		r := d.records[target]
		r.sent = true
		r.sentAt = s.now
		v.Ejected = append(v.Ejected, target)
	}
	v.Weights = s.weights(service, d)
	if to == s.self {
		s.takeVerdict(s.self, v)
		return
	}
	s.emit(crevent.Send{To: to, Msg: v})
}

func (s *State) weights(service crid.Service, d *docket) []Weight {
	var weights []Weight
	for _, target := range s.targets[service] {
		r := d.records[target]
		if r == nil || !r.returned || r.ejected {
			continue
		}
		if w := ramp(s.now.Sub(r.returnedAt), s.params.SlowStart); w < FullWeight {
			weights = append(weights, Weight{Target: target, Weight: w})
		}
	}
	return weights
}

// ejected returns the ejected targets, worst first.
func (d *docket) ejected() []crid.Target {
	var targets []crid.Target
	for _, target := range d.targets() {
		if d.records[target].ejected {
			targets = append(targets, target)
		}
	}
	slices.SortStableFunc(targets, d.worse)
	return targets
}

func (d *docket) targets() []crid.Target {
	targets := make([]crid.Target, 0, len(d.records))
	for target := range d.records {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	return targets
}

func (d *docket) worse(a, b crid.Target) int {
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
	for _, service := range sortedServices(s.dockets) {
		d := s.dockets[service]
		if s.arbiter(service) != s.self || s.now.Sub(d.heardAt) > s.params.HoldMost {
			delete(s.dockets, service)
			s.tellActing(service, d, false)
			continue
		}
		s.tellActing(service, d, s.deciding(service))
		if s.now.Sub(d.judgedAt) >= s.params.JudgeEvery {
			d.judgedAt = s.now
			s.judge(service, d)
		}
	}
}

func (s *State) tellActing(service crid.Service, d *docket, acting bool) {
	if acting == d.acting {
		return
	}
	d.acting = acting
	number := EventArbiterStopped
	if acting {
		number = EventArbiterStarted
	}
	s.report(number, service, "", "")
}

// judge looks at all targets of a service once.
func (s *State) judge(service crid.Service, d *docket) {
	s.prune(service, d)
	sick := s.suspects(d)
	changed := s.endHolds(service, d)
	if !s.deciding(service) {
		return
	}
	changed = s.restoreFloor(service, d) || changed
	changed = s.ejectWorst(service, d, sick) || changed
	if changed {
		s.pushVerdicts(service, d)
	}
}

// prune forgets targets that are gone and entries that are silent. A target
// whose ejection may still be in force somewhere is kept.
func (s *State) prune(service crid.Service, d *docket) {
	for target, r := range d.records {
		if p := s.places[target]; (p == nil || p.service != service) && !s.lingers(r) {
			delete(d.records, target)
		}
	}
	for name, known := range d.senders {
		if s.now.Sub(known.at) > senderKept {
			delete(d.senders, name)
		}
	}
}

// lingers reports whether some entry may still hold the target ejected.
func (s *State) lingers(r *record) bool {
	return r.sent && s.now.Sub(r.sentAt) < s.params.Silence()
}

// probesKept is how far back probes speak against a return.
const probesKept = 3 * time.Second

// endHolds takes back targets whose hold-off has passed.
func (s *State) endHolds(service crid.Service, d *docket) bool {
	changed := false
	for _, target := range d.targets() {
		r := d.records[target]
		if !r.ejected || s.now.Before(r.holdUntil) {
			continue
		}
		if probes := r.window.sum(s.now, probesKept).groups[0]; probes.n > 0 && probes.badRate() >= 0.5 {
			r.holdUntil = s.now.Add(s.params.HoldBase)
			s.report(EventHoldExtended, service, target, "")
			continue
		}
		s.takeBack(service, target, r, "hold-off over")
		changed = true
	}
	return changed
}

func (s *State) takeBack(service crid.Service, target crid.Target, r *record, why string) {
	r.ejected = false
	r.returned = true
	r.returnedAt = s.now
	r.suspicion = 0
	r.finding = Finding{}
	r.window = window{}
	s.report(EventReturned, service, target, why)
}

// restoreFloor takes back the least sick when capacity has left.
func (s *State) restoreFloor(service crid.Service, d *docket) bool {
	if !s.params.has(guardFloor) {
		return false
	}
	room := s.allowance(service)
	changed := false
	for _, target := range d.ejected() {
		if !s.isCapacity(target) {
			continue
		}
		if room == 0 {
			s.takeBack(service, target, d.records[target], "floor")
			changed = true
			continue
		}
		room--
	}
	return changed
}

// burden counts the capacity that is ejected, or may still be ejected at some
// entry that has not heard of its return.
func (s *State) burden(d *docket) int {
	n := 0
	for target, r := range d.records {
		lingers := s.params.has(guardLinger) && s.lingers(r)
		if (r.ejected || lingers) && s.isCapacity(target) {
			n++
		}
	}
	return n
}

// ejectWorst ejects the sick as far as the floor allows.
func (s *State) ejectWorst(service crid.Service, d *docket, sick []crid.Target) bool {
	room := s.allowance(service)
	changed := false
	for _, target := range sick {
		r := d.records[target]
		counted := s.params.has(guardLinger) && s.lingers(r)
		free := !s.isCapacity(target) || counted
		if s.params.has(guardFloor) && !free && s.burden(d) >= room {
			if !r.kept {
				s.report(EventFloorHolds, service, target, r.finding.Cause.String())
			}
			r.kept = true
			continue
		}
		s.eject(service, target, r)
		changed = true
	}
	return changed
}

func (s *State) eject(service crid.Service, target crid.Target, r *record) {
	if r.returned {
		well := s.now.Sub(r.returnedAt)
		r.strikes = max(r.strikes-int(well/s.params.Forgive), 0)
	}
	hold := holdFor(s.params.HoldBase, s.params.HoldMost, r.strikes)
	r.strikes++
	r.ejected = true
	r.kept = false
	r.holdUntil = s.now.Add(hold)
	s.report(EventEjected, service, target, r.finding.Cause.String()+" for "+hold.String())
}

// pushVerdicts tells all entries heard of late, without waiting for their next
// digest.
func (s *State) pushVerdicts(service crid.Service, d *docket) {
	for _, name := range sortedDaemons(d.senders) {
		if s.now.Sub(d.senders[name].at) < s.params.ValidFor {
			s.answer(service, d, name)
		}
	}
}
