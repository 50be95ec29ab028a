package crexperiment

import (
	"slices"
	"time"

	"camphorroad/core/crbudget"
	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crpace"
	"camphorroad/core/crplace"
)

const (
	maxOffers     = 8                      // exits that one request is offered to
	probeInterval = 400 * time.Millisecond // between probes of an unhealthy target
)

// request is a request from its arrival at an entry to its result.
type request struct {
	entry    *entry
	kind     *Kind
	nested   bool
	started  crid.Instant
	deadline crid.Instant
	tried    []crid.Target // without busy ones
	offers   int
	busy     int // exits that refused it because no slot was free
	attempts int
	executed bool
	done     func(ok bool)
}

// attempt is one attempt of a request, at one exit.
type attempt struct {
	*request
	exit       *exit
	lastResort bool
	freeSlot   bool
	ticket     *crgate.Ticket
	ended      bool
}

func (k *Kind) pacing() crpace.Kind {
	return crpace.Kind{Class: k.class(), Objective: time.Duration(k.Objective)}
}

func (e *entry) start(k *Kind, deadline crid.Instant, nested bool, done func(bool)) {
	r := &request{entry: e, kind: k, nested: nested, started: e.world.now, deadline: deadline, done: done}
	e.world.result.Kinds[k.Name].Requests++
	e.budget.RecordRequest(e.world.now, k.Service)
	r.next()
}

// retry is a retry of the request, as the budget counts it.
func (r *request) retry() crbudget.Retry {
	return crbudget.Retry{Service: r.kind.Service, Priority: r.kind.Priority, FleetSize: len(r.entry.world.entries), Cost: 1}
}

// canRetry reports whether the request may be retried after the next attempt.
func (r *request) canRetry() bool {
	e := r.entry
	return !r.kind.Once && r.attempts+1 < maxAttempts && e.budget.Affords(e.world.now, r.retry())
}

func (r *request) next() {
	e, w := r.entry, r.entry.world
	if w.now >= r.deadline || r.offers-r.busy >= maxOffers {
		r.finish(false)
		return
	}
	e.refresh(r.kind.Service)
	choice, ok := e.balancer.Choose(w.now, w.candidates[r.kind.Service], crplace.Request{
		Class: r.kind.class(), Domain: e.domain, Tried: r.tried, Rand: w.rng.Float64, NoRetry: !r.canRetry(), Nested: r.nested, Busy: r.busy,
	})
	if !ok || (r.attempts > 0 && !e.budget.Spend(w.now, r.retry()) && !w.pool.Take(w.now, r.kind.Service, crbudget.Ownership{Fraction: 1})) {
		r.finish(false)
		return
	}
	x := w.services[r.kind.Service][slices.IndexFunc(w.services[r.kind.Service], func(x *exit) bool { return x.target == choice.Target })]
	r.offers++
	s := &attempt{request: r, exit: x, lastResort: choice.LastResort, freeSlot: choice.FreeSlotOnly()}
	w.after(w.delay(e, x), s.offer)
}

// accepts reports whether the exit accepts the request, given the health of its target.
func (s *attempt) accepts() bool {
	x, now := s.exit, s.exit.world.now
	if !x.world.policy.rejectUnhealthy || x.estimator.UnhealthyProb(now) < crjudge.Threshold || s.lastResort {
		return true
	}
	if s.kind.Once || now.Sub(x.lastProbe) < probeInterval {
		return false
	}
	x.lastProbe = now
	return true
}

func (s *attempt) offer() {
	x, w := s.exit, s.exit.world
	timing := crgate.Timing{
		Kind: s.kind.pacing(), Nested: s.nested, Objective: time.Duration(s.kind.Objective) - w.now.Sub(s.started), TimeLeft: s.deadline.Sub(w.now),
	}
	if s.accepts() {
		ticket, refusal := x.gate.Admit(w.now, crgate.Request{
			Kind: timing.Kind, Nested: s.nested, Priority: s.kind.Priority, LatestStart: x.gate.LatestStart(w.now, timing), FreeSlot: s.freeSlot,
		})
		if refusal != nil && refusal.Reason() == crgate.ReasonBusy {
			s.busy++
			s.respond(s.next)
			return
		}
		s.tried = append(s.tried, x.target)
		if refusal == nil {
			s.ticket = ticket
			x.waiting = append(x.waiting, s)
			x.runAdmitted()
			return
		}
		s.respond(s.next)
		return
	}
	s.tried = append(s.tried, x.target)
	s.respond(s.next)
}

// respond sends a response to the entry, with the load report of the target.
func (s *attempt) respond(then func()) {
	report := s.exit.loadReport()
	s.exit.world.after(s.exit.world.delay(s.entry, s.exit), func() {
		s.entry.receive(s.exit, report)
		then()
	})
}

// runAdmitted runs the requests that were admitted, and returns refused ones to their entries.
func (x *exit) runAdmitted() {
	waiting := x.waiting
	x.waiting = nil
	for _, s := range waiting {
		select {
		case <-s.ticket.Decided():
			if s.ticket.Refusal() == nil {
				s.run()
				continue
			}
			s.respond(s.next)
		default:
			x.waiting = append(x.waiting, s)
		}
	}
}

// run executes the request at the target, with its nested request in parallel.
func (s *attempt) run() {
	x, w := s.exit, s.exit.world
	s.attempts++
	runStart := w.now
	if x.unhealthy && w.rng.Float64() < w.x.Faults.Fails {
		if s.kind.Once {
			w.result.OnceFailures++
		}
		w.after(failureDelay, func() { s.complete(runStart, false, true) })
		return
	}
	ok := w.rng.Float64() >= w.x.Faults.Error
	pending := 1
	partDone := func(success bool) {
		pending--
		switch {
		case s.ended:
		case !success:
			s.complete(runStart, false, false)
		case pending == 0:
			s.complete(runStart, ok, !ok)
		}
	}
	if s.kind.Call != "" && w.rng.Float64() < s.kind.Share {
		pending++
		x.localEntry.start(w.kinds[s.kind.Call], s.deadline, true, partDone)
	}
	w.after(w.workTime(s.kind), func() { partDone(true) })
	w.after(s.deadline.Sub(w.now), func() {
		if !s.ended {
			s.complete(runStart, false, false)
		}
	})
}

// complete frees the slot and responds to the entry. fault marks a failure of the target
// itself, as opposed to a failure of its nested request.
func (s *attempt) complete(runStart crid.Instant, ok, fault bool) {
	x, w := s.exit, s.exit.world
	s.ended = true
	took := time.Duration(0)
	if ok {
		took = w.now.Sub(runStart)
	}
	x.gate.Release(w.now, s.ticket, took)
	if ok || fault {
		x.observe(observation(ok))
	}
	s.respond(func() {
		if ok || fault {
			w.policy.observe(s.entry, x, ok)
		}
		s.handleResponse(ok)
	})
	x.runAdmitted()
}

func (x *exit) observe(observation crjudge.Observation) {
	x.estimator.Observe(x.world.now, observation)
	if unhealthy := x.estimator.UnhealthyProb(x.world.now) >= crjudge.Threshold; unhealthy != x.reportedUnhealthy {
		x.reportedUnhealthy = unhealthy
		x.broadcast()
	}
}

func (r *request) handleResponse(ok bool) {
	r.executed = true
	if !ok && !r.kind.Once && r.attempts < maxAttempts {
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
	case r.executed:
		c.Failed++
	default:
		c.Refused++
	}
	r.done(ok)
}
