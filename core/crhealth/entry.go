package crhealth

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
)

const (
	// sentKept is the number of digests whose sending is remembered, far more
	// than are sent within ValidFor.
	sentKept = 16
	// weightSteps bounds how often a rising weight makes a new Steer.
	weightSteps = 10
	// The estimated size of a digest on the wire, in bytes.
	digestBytes = 60
	sampleBytes = 55
	// burstTime is for how long of its budget an idle daemon may send at once.
	burstTime = 2 * time.Second
)

type sentDigest struct {
	seq uint64
	at  crid.Instant
	to  crid.Daemon
}

// entry is this daemon's part, as an entry, in one service.
type entry struct {
	pending   map[crid.Target]*counts // since the last digest
	waits     map[crid.Target][]Wait  // at present
	trafficAt crid.Instant
	sentAt    crid.Instant
	sent      [sentKept]sentDigest

	verdict Verdict
	from    crid.Daemon
	until   crid.Instant
	steered Steer
}

func (s *State) entry(service crid.Service) *entry {
	e := s.entries[service]
	if e == nil {
		e = &entry{pending: make(map[crid.Target]*counts), waits: make(map[crid.Target][]Wait)}
		s.entries[service] = e
	}
	return e
}

func (s *State) observe(samples []Sample) {
	for _, sample := range samples {
		p := s.places[sample.Target]
		if p == nil {
			continue
		}
		e := s.entry(p.service)
		e.trafficAt = s.now
		c := e.pending[sample.Target]
		if c == nil {
			c = &counts{}
			e.pending[sample.Target] = c
		}
		c.addSample(s.self, sample)
		e.setWaits(sample)
	}
}

func (e *entry) setWaits(s Sample) {
	if len(s.Waits) == 0 {
		delete(e.waits, s.Target)
		return
	}
	e.waits[s.Target] = s.Waits
}

// sendDigests sends what is due, the longest waiting service first, as far as
// the budget goes.
func (s *State) sendDigests() {
	s.earnCredit()
	var due []crid.Service
	for service, e := range s.entries {
		if s.now.Sub(e.trafficAt) < s.params.Quiet && s.now.Sub(e.sentAt) >= s.params.DigestEvery {
			due = append(due, service)
		}
	}
	slices.SortFunc(due, func(a, b crid.Service) int {
		if c := cmp.Compare(s.entries[a].sentAt, s.entries[b].sentAt); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	for i, service := range due {
		if s.credit < 0 {
			s.tellLate(len(due) - i)
			return
		}
		s.sendDigest(service)
	}
	s.late = false
}

func (s *State) earnCredit() {
	rate := float64(s.params.Budget)
	s.credit = min(s.credit+s.now.Sub(s.paidAt).Seconds()*rate, rate*burstTime.Seconds())
	s.paidAt = s.now
}

func (s *State) tellLate(n int) {
	if !s.late {
		s.late = true
		s.emit(crevent.Report{Number: EventDigestsLate, Fields: map[string]string{"services": fmt.Sprint(n)}})
	}
}

func (s *State) sendDigest(service crid.Service) {
	to := s.arbiter(service)
	if to == "" {
		return
	}
	e := s.entries[service]
	s.seq++
	d := Digest{Service: service, Life: s.life, Seq: s.seq, Samples: e.samples()}
	d.Last = s.now.Add(2*s.params.DigestEvery).Sub(e.trafficAt) >= s.params.Quiet // a tick may come late
	clear(e.pending)
	e.sentAt = s.now
	e.sent[s.seq%sentKept] = sentDigest{seq: s.seq, at: s.now, to: to}
	if to == s.self {
		s.takeDigest(s.self, d)
		return
	}
	s.credit -= float64(digestBytes + sampleBytes*len(d.Samples))
	s.emit(crevent.Send{To: to, Msg: d})
}

// samples are those since the last digest. A drain tells of a target with waits
// each time, so that its sample is among them.
func (e *entry) samples() []Sample {
	samples := make([]Sample, 0, len(e.pending))
	for _, target := range slices.Sorted(maps.Keys(e.pending)) {
		sample := e.pending[target].sample(target)
		sample.Waits = e.waits[target]
		samples = append(samples, sample)
	}
	return samples
}

func (c *counts) sample(target crid.Target) Sample {
	out := Sample{Target: target, Hint: c.hint}
	for i, t := range c.groups {
		if t.n > 0 {
			out.Groups = append(out.Groups, Group{Index: uint8(i), N: t.n, Bad: t.bad, Wrong: t.wrong})
		}
	}
	for i, n := range c.latency {
		if n > 0 {
			out.Latency = append(out.Latency, Bucket{Index: uint8(i), N: n})
		}
	}
	return out
}

// takeVerdict puts a verdict in force until ValidFor after the sending of the
// digest that it answers.
//
// Counting from its arrival instead, a verdict that lay in a queue or a paused
// process would hold long after its arbiter was replaced, and its ejections
// would add to the new arbiter's, below the floor.
func (s *State) takeVerdict(from crid.Daemon, v Verdict) {
	e := s.entries[v.Service]
	if e == nil || v.Life != s.life {
		return
	}
	sent := e.sent[v.Seq%sentKept]
	if sent.seq != v.Seq || sent.to != from || e.supersedes(from, v) {
		return
	}
	base := sent.at
	if !s.params.has(guardSent) {
		base = s.now
	}
	until := base.Add(s.params.ValidFor)
	if until <= s.now {
		return
	}
	e.verdict = v
	e.from = from
	e.until = until
	s.hot[v.Service] = true
}

// supersedes reports whether the verdict in hand is newer than v. Messages may
// overtake one another.
func (e *entry) supersedes(from crid.Daemon, v Verdict) bool {
	if e.until == 0 {
		return false
	}
	if e.from == from && e.verdict.Arbiter == v.Arbiter {
		return v.Number <= e.verdict.Number
	}
	return v.Seq < e.verdict.Seq
}

// steerAfter tells the traffic side what an event has changed. Weights rise and
// verdicts end with time, and who is reachable bounds a verdict, so each tick and
// each word on peers looks at the services that have any; the others, nearly all
// in a large fleet, cost nothing then.
func (s *State) steerAfter(ev crevent.Event) {
	switch ev := ev.(type) {
	case crevent.Tick, crmember.PeersChanged:
		for _, service := range sortedServices(s.hot) {
			s.steer(service)
		}
	case crevent.Received:
		if v, ok := ev.Msg.(Verdict); ok && s.entries[v.Service] != nil {
			s.steer(v.Service)
		}
	case crinstance.ListUpdated, crconfig.InForce, crevent.Stopping:
		for _, service := range sortedServices(s.targets) {
			s.steer(service)
		}
	}
}

func (s *State) steer(service crid.Service) {
	e := s.entries[service]
	if e == nil {
		e = &entry{}
	}
	if e.until != 0 && e.until <= s.now {
		if len(e.verdict.Ejected) > 0 {
			s.report(EventVerdictExpired, service, "", "")
		}
		e.verdict = Verdict{}
		e.until = 0
	}
	next := Steer{Service: service, Targets: s.states(service, e)}
	if slices.ContainsFunc(next.Targets, func(t TargetState) bool { return t.Ejected }) {
		next.Until = e.until
	}
	delete(s.hot, service)
	if len(next.Targets) > 0 || e.until != 0 {
		s.hot[service] = true
	}
	if next.Until == e.steered.Until && slices.Equal(next.Targets, e.steered.Targets) {
		return
	}
	s.entry(service).steered = next
	s.emit(next)
}

// states are the targets that are ejected or below full weight.
func (s *State) states(service crid.Service, e *entry) []TargetState {
	ejected := s.enforced(service, e)
	weights := make(map[crid.Target]int, len(e.verdict.Weights))
	for _, w := range e.verdict.Weights {
		weights[w.Target] = w.Weight
	}
	var states []TargetState
	for _, target := range s.targets[service] {
		weight := FullWeight
		if w, ok := weights[target]; ok {
			weight = min(max(w, 1), FullWeight)
		}
		if p := s.places[target]; s.coldNow(p) {
			weight = min(weight, ramp(s.now.Sub(p.coldSince), s.params.ColdStart))
		}
		if ejected[target] || weight < FullWeight {
			states = append(states, TargetState{Target: target, Ejected: ejected[target], Weight: weight})
		}
	}
	return states
}

// enforced is the part of the verdict that this daemon's own view of the floor
// allows, worst first. The arbiter may not yet know that a target is leaving.
func (s *State) enforced(service crid.Service, e *entry) map[crid.Target]bool {
	if len(e.verdict.Ejected) == 0 {
		return nil
	}
	room := s.allowance(service)
	ejected := make(map[crid.Target]bool, len(e.verdict.Ejected))
	for _, target := range e.verdict.Ejected {
		if s.isCapacity(target) && s.params.has(guardFloor) {
			if room == 0 {
				continue
			}
			room--
		}
		ejected[target] = true
	}
	return ejected
}

// ramp rises from a tenth of FullWeight to all of it, in steps.
func ramp(age, length time.Duration) int {
	if age >= length {
		return FullWeight
	}
	step := int(weightSteps * age / length)
	return max(step, 1) * FullWeight / weightSteps
}
