package crexperiment

import (
	"slices"
	"time"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crpace"
	"camphorroad/core/crplace"
)

const (
	offersMost = 8                      // of one request
	trialEvery = 400 * time.Millisecond // between trials of a sick target
)

// request is one request on its way over targets.
type request struct {
	entry    *entry
	kind     *Kind
	call     bool
	started  crid.Instant
	deadline crid.Instant
	tried    []crid.Target
	sent     int
	ran      bool
	done     func(ok bool)
}

// send is one request at one exit.
type send struct {
	*request
	exit   *exit
	last   bool
	ticket *crgate.Ticket
	ended  bool
}

func (k *Kind) pace() crpace.Kind {
	return crpace.Kind{Class: k.class(), Objective: time.Duration(k.Objective)}
}

func (e *entry) start(k *Kind, deadline crid.Instant, call bool, done func(bool)) {
	r := &request{entry: e, kind: k, call: call, started: e.world.now, deadline: deadline, done: done}
	e.world.result.Kinds[k.Name].Asked++
	e.budget.RecordRequest(e.world.now, k.Service)
	r.next()
}

// again reports whether the request could be sent to one more target after the next.
func (r *request) again() bool {
	e := r.entry
	return !r.kind.Once && r.sent+1 < targetsOf && e.budget.Affords(e.world.now, r.kind.Service, len(e.world.entries), 1)
}

func (r *request) next() {
	e, w := r.entry, r.entry.world
	if w.now >= r.deadline || len(r.tried) >= offersMost {
		r.finish(false)
		return
	}
	e.refresh(r.kind.Service)
	choice, ok := e.board.Choose(w.now, w.list[r.kind.Service], crplace.Request{
		Class: r.kind.class(), Domain: e.domain, Tried: r.tried, Rand: w.rng.Float64, NoRetry: !r.again(), Nested: r.call,
	})
	if !ok || (r.sent > 0 && !e.budget.Spend(w.now, r.kind.Service, len(w.entries), 1)) {
		r.finish(false)
		return
	}
	x := w.services[r.kind.Service][slices.IndexFunc(w.services[r.kind.Service], func(x *exit) bool { return x.target == choice.Target })]
	r.tried = append(r.tried, choice.Target)
	s := &send{request: r, exit: x, last: choice.LastResort}
	w.after(w.hop(e, x), s.offer)
}

// fit reports whether the exit takes requests for its target now.
func (s *send) fit() bool {
	x, now := s.exit, s.exit.world.now
	if !x.world.policy.judged || x.judge.UnhealthyProb(now) < crjudge.Threshold || s.last {
		return true
	}
	if s.kind.Once || now.Sub(x.trial) < trialEvery {
		return false
	}
	x.trial = now
	return true
}

func (s *send) offer() {
	x, w := s.exit, s.exit.world
	terms := crgate.Timing{
		Kind: s.kind.pace(), Nested: s.call, Objective: time.Duration(s.kind.Objective) - w.now.Sub(s.started), TimeLeft: s.deadline.Sub(w.now),
	}
	if s.fit() {
		ticket, refusal := x.gate.Admit(w.now, crgate.Request{
			Kind: terms.Kind, Nested: s.call, Priority: s.kind.Priority, LatestStart: x.gate.LatestStart(w.now, terms),
		})
		if refusal == nil {
			s.ticket = ticket
			x.waiting = append(x.waiting, s)
			x.grant()
			return
		}
	}
	s.back(s.next)
}

// back brings an answer to the entry, with what the exit tells of its target.
func (s *send) back(then func()) {
	told := s.exit.told()
	s.exit.world.after(s.exit.world.hop(s.entry, s.exit), func() {
		s.entry.hear(s.exit, told)
		then()
	})
}

// grant begins what has got its slot, and sends on what has lost its place.
func (x *exit) grant() {
	waiting := x.waiting
	x.waiting = nil
	for _, s := range waiting {
		select {
		case <-s.ticket.Decided():
			if s.ticket.Refusal() == nil {
				s.run()
				continue
			}
			s.back(s.next)
		default:
			x.waiting = append(x.waiting, s)
		}
	}
}

// run has the target work on the request, and make its call meanwhile.
func (s *send) run() {
	x, w := s.exit, s.exit.world
	s.sent++
	began := w.now
	if x.sick && w.rng.Float64() < w.x.Sick.Fails {
		if s.kind.Once {
			w.result.OnceToSick++
		}
		w.after(breakTime, func() { s.end(began, false, true) })
		return
	}
	ok := w.rng.Float64() >= w.x.Sick.Error
	parts := 1
	part := func(well bool) {
		parts--
		switch {
		case s.ended:
		case !well:
			s.end(began, false, false)
		case parts == 0:
			s.end(began, ok, !ok)
		}
	}
	if s.kind.Call != "" && w.rng.Float64() < s.kind.Share {
		parts++
		x.beside.start(w.kinds[s.kind.Call], s.deadline, true, part)
	}
	w.after(w.work(s.kind), func() { part(true) })
	w.after(s.deadline.Sub(w.now), func() {
		if !s.ended {
			s.end(began, false, false)
		}
	})
}

// end frees the slot and tells the entry; fault says that a failure is the target's own.
func (s *send) end(began crid.Instant, ok, fault bool) {
	x, w := s.exit, s.exit.world
	s.ended = true
	took := time.Duration(0)
	if ok {
		took = w.now.Sub(began)
	}
	x.gate.Release(w.now, s.ticket, took)
	if ok || fault {
		x.note(sign(ok))
	}
	s.back(func() {
		if ok || fault {
			w.policy.learn(s.entry, x, ok)
		}
		s.answered(ok)
	})
	x.grant()
}

func (x *exit) note(sign crjudge.Observation) {
	x.judge.Observe(x.world.now, sign)
	if sick := x.judge.UnhealthyProb(x.world.now) >= crjudge.Threshold; sick != x.held {
		x.held = sick
		x.tell()
	}
}

func (r *request) answered(ok bool) {
	r.ran = true
	if !ok && !r.kind.Once && r.sent < targetsOf {
		r.next()
		return
	}
	r.finish(ok)
}

func (r *request) finish(ok bool) {
	w := r.entry.world
	c := w.result.Kinds[r.kind.Name]
	switch {
	case ok && w.now.Sub(r.started) <= time.Duration(r.kind.Objective):
		c.InTime++
	case ok:
		c.Late++
	case r.ran:
		c.Failed++
	default:
		c.Refused++
	}
	r.done(ok)
}
