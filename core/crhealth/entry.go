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
	// sentDigestSlots is the number of sent digests that are remembered. Far fewer are
	// sent within ValidFor.
	sentDigestSlots = 16
	// weightSteps is the number of steps of a rising weight. It bounds the number of
	// RoutingUpdates.
	weightSteps = 10
	// Estimated size of a digest when encoded, in bytes.
	digestBytes = 60
	sampleBytes = 55
	// burstTime is the time for which an idle daemon accumulates digest tokens.
	burstTime = 2 * time.Second
)

type sentDigest struct {
	seq uint64
	at  crid.Instant
	to  crid.Daemon
}

// entry is this daemon's state as an entry of one service.
type entry struct {
	unsent        map[crid.Target]*counts        // since the last digest
	pending       map[crid.Target][]PendingCount // from the newest samples
	lastTrafficAt crid.Instant
	lastDigestAt  crid.Instant
	sent          [sentDigestSlots]sentDigest

	verdict      Verdict
	verdictFrom  crid.Daemon
	verdictUntil crid.Instant
	routing      RoutingUpdate
}

func (s *State) entry(service crid.Service) *entry {
	e := s.entries[service]
	if e == nil {
		e = &entry{unsent: make(map[crid.Target]*counts), pending: make(map[crid.Target][]PendingCount)}
		s.entries[service] = e
	}
	return e
}

func (s *State) observe(samples []Sample) {
	for _, sample := range samples {
		p := s.placements[sample.Target]
		if p == nil {
			continue
		}
		e := s.entry(p.service)
		e.lastTrafficAt = s.now
		c := e.unsent[sample.Target]
		if c == nil {
			c = &counts{}
			e.unsent[sample.Target] = c
		}
		c.addSample(s.self, sample)
		e.setPending(sample)
	}
}

func (e *entry) setPending(s Sample) {
	if len(s.Pending) == 0 {
		delete(e.pending, s.Target)
		return
	}
	e.pending[s.Target] = s.Pending
}

// sendDigests sends the digests that are due as far as the token bucket allows. The
// services whose last digests are the oldest come first.
func (s *State) sendDigests() {
	s.refillTokens()
	var due []crid.Service
	for service, e := range s.entries {
		if s.now.Sub(e.lastTrafficAt) < s.params.IdleAfter && s.now.Sub(e.lastDigestAt) >= s.params.DigestEvery {
			due = append(due, service)
		}
	}
	slices.SortFunc(due, func(a, b crid.Service) int {
		if c := cmp.Compare(s.entries[a].lastDigestAt, s.entries[b].lastDigestAt); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	for i, service := range due {
		if s.digestTokens < 0 {
			s.reportLate(len(due) - i)
			return
		}
		s.sendDigest(service)
	}
	s.digestsLate = false
}

func (s *State) refillTokens() {
	rate := float64(s.params.DigestByteRate)
	s.digestTokens = min(s.digestTokens+s.now.Sub(s.refilledAt).Seconds()*rate, rate*burstTime.Seconds())
	s.refilledAt = s.now
}

func (s *State) reportLate(n int) {
	if !s.digestsLate {
		s.digestsLate = true
		s.emit(crevent.Report{Number: EventDigestsLate, Fields: map[string]string{"services": fmt.Sprint(n)}})
	}
}

func (s *State) sendDigest(service crid.Service) {
	to := s.arbiter(service)
	if to == "" {
		return
	}
	e := s.entries[service]
	s.digestSeq++
	d := Digest{Service: service, Incarnation: s.incarnation, Seq: s.digestSeq, Samples: e.samples()}
	d.Last = s.now.Add(2*s.params.DigestEvery).Sub(e.lastTrafficAt) >= s.params.IdleAfter // 2*DigestEvery, as a tick may come late
	clear(e.unsent)
	e.lastDigestAt = s.now
	e.sent[s.digestSeq%sentDigestSlots] = sentDigest{seq: s.digestSeq, at: s.now, to: to}
	if to == s.self {
		s.handleDigest(s.self, d)
		return
	}
	s.digestTokens -= float64(digestBytes + sampleBytes*len(d.Samples))
	s.emit(crevent.Send{To: to, Msg: d})
}

// samples returns the samples since the last digest. Each drain reports a target with
// pending attempts, so such a target is always among them.
func (e *entry) samples() []Sample {
	samples := make([]Sample, 0, len(e.unsent))
	for _, target := range slices.Sorted(maps.Keys(e.unsent)) {
		sample := e.unsent[target].sample(target)
		sample.Pending = e.pending[target]
		samples = append(samples, sample)
	}
	return samples
}

func (c *counts) sample(target crid.Target) Sample {
	out := Sample{Target: target, ReportedUnhealthy: c.reportedUnhealthy}
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

// handleVerdict puts a verdict in force until ValidFor after the digest that it
// answers was sent.
//
// If the validity started at the arrival, a verdict delayed in a queue or by a
// suspended process would still be in force after a new arbiter has taken over. The
// ejections of both would add up, and the service would fall below its floor.
func (s *State) handleVerdict(from crid.Daemon, v Verdict) {
	e := s.entries[v.Service]
	if e == nil || v.Incarnation != s.incarnation {
		return
	}
	sent := e.sent[v.Seq%sentDigestSlots]
	if sent.seq != v.Seq || sent.to != from || e.hasNewer(from, v) {
		return
	}
	validFrom := sent.at
	if !s.params.hasGuard(guardSentTime) {
		validFrom = s.now
	}
	until := validFrom.Add(s.params.ValidFor)
	if until <= s.now {
		return
	}
	e.verdict = v
	e.verdictFrom = from
	e.verdictUntil = until
	s.timeVarying[v.Service] = true
}

// hasNewer reports whether the current verdict is newer than v. Messages may arrive
// out of order.
func (e *entry) hasNewer(from crid.Daemon, v Verdict) bool {
	if e.verdictUntil == 0 {
		return false
	}
	if e.verdictFrom == from && e.verdict.ArbiterIncarnation == v.ArbiterIncarnation {
		return v.Number <= e.verdict.Number
	}
	return v.Seq < e.verdict.Seq
}

// updateRoutingAfter emits the RoutingUpdates that an event causes. Weights and
// verdicts change with time, and reachability limits what a verdict may eject. Each
// Tick and each PeersChanged event therefore visits the services with weights or
// verdicts in force. It skips the others, which are nearly all services of a large
// fleet.
func (s *State) updateRoutingAfter(ev crevent.Event) {
	switch ev := ev.(type) {
	case crevent.Tick, crmember.PeersChanged:
		for _, service := range sortedServices(s.timeVarying) {
			s.updateRouting(service)
		}
	case crevent.Received:
		if v, ok := ev.Msg.(Verdict); ok && s.entries[v.Service] != nil {
			s.updateRouting(v.Service)
		}
	case crinstance.ListUpdated, crconfig.Applied, crevent.Stopping:
		for _, service := range sortedServices(s.targets) {
			s.updateRouting(service)
		}
	}
}

func (s *State) updateRouting(service crid.Service) {
	e := s.entries[service]
	if e == nil {
		e = &entry{}
	}
	if e.verdictUntil != 0 && e.verdictUntil <= s.now {
		if len(e.verdict.Ejected) > 0 {
			s.report(EventVerdictExpired, service, "", "")
		}
		e.verdict = Verdict{}
		e.verdictUntil = 0
	}
	next := RoutingUpdate{Service: service, Targets: s.targetStates(service, e)}
	if slices.ContainsFunc(next.Targets, func(t TargetState) bool { return t.Ejected }) {
		next.Until = e.verdictUntil
	}
	delete(s.timeVarying, service)
	if len(next.Targets) > 0 || e.verdictUntil != 0 {
		s.timeVarying[service] = true
	}
	if next.Until == e.routing.Until && slices.Equal(next.Targets, e.routing.Targets) {
		return
	}
	s.entry(service).routing = next
	s.emit(next)
}

// targetStates returns the targets that are ejected or below full weight.
func (s *State) targetStates(service crid.Service, e *entry) []TargetState {
	ejected := s.enforcedEjections(service, e)
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
		if p := s.placements[target]; s.isCold(p) {
			weight = min(weight, ramp(s.now.Sub(p.coldSince), s.params.ColdStart))
		}
		if ejected[target] || weight < FullWeight {
			states = append(states, TargetState{Target: target, Ejected: ejected[target], Weight: weight})
		}
	}
	return states
}

// enforcedEjections returns the ejections of the verdict that the floor allows in this
// daemon's view, in descending order of score. The arbiter may not yet have received
// the list in which a target is leaving.
func (s *State) enforcedEjections(service crid.Service, e *entry) map[crid.Target]bool {
	if len(e.verdict.Ejected) == 0 {
		return nil
	}
	remaining := s.allowance(service)
	ejected := make(map[crid.Target]bool, len(e.verdict.Ejected))
	for _, target := range e.verdict.Ejected {
		if s.isCapacity(target) && s.params.hasGuard(guardFloor) {
			if remaining == 0 {
				continue
			}
			remaining--
		}
		ejected[target] = true
	}
	return ejected
}

// ramp returns a weight that rises in steps from a tenth of FullWeight to FullWeight.
func ramp(age, length time.Duration) int {
	if age >= length {
		return FullWeight
	}
	step := int(weightSteps * age / length)
	return max(step, 1) * FullWeight / weightSteps
}
