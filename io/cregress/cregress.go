// Package cregress is the exit: it runs requests on the target beside its daemon,
// and is the only one that ever sends the target anything.
//
// Since it sees all answers of its target, it judges the target, and it can say
// for certain what did not run.
//
// # Usage
//
//	exit := cregress.New(cregress.Options{Address: "10.0.0.1:8403", Dialect: dialect, Clock: crclock.Now})
//	exit.Use(record, connections)
//	reply := exit.Offer(now, offer)
//	result := exit.Run(ctx, reply.Ticket, request)
package cregress

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crregistry"
	"camphorroad/io/crdialect"
	"camphorroad/io/crlink"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

const (
	// claimTime is how long a taken offer waits for its request: the entry
	// sends it a round trip later.
	claimTime = 400 * time.Millisecond
	// trialEvery is the least time between two requests to a sick target that
	// are to find out whether it has recovered.
	trialEvery = 400 * time.Millisecond
	// connectTimeout is the time to connect to the target on the same machine.
	connectTimeout = 1000 * time.Millisecond
	// connectionIdle is how long a connection to the target may lie unused and
	// still carry a request. Targets close unused ones after seconds, at times
	// without a word; what is sent then is lost.
	connectionIdle = 1500 * time.Millisecond
	// margin is kept of the time left, for the answer's way back.
	margin = 12 * time.Millisecond
)

// Options are the settings of an exit.
type Options struct {
	Service crid.Service
	Address string // of the target
	Dialect crdialect.Dialect
	Clock   func() crid.Instant
	Log     *crlog.Logger
	Nudge   func()                 // tells that the target's state has changed
	Asked   func(from crid.Daemon) // tells that a daemon has offered a request
}

// Exit runs requests on one target. It is safe for concurrent use.
type Exit struct {
	opts     Options
	gate     *crgate.Gate
	pool     *crlink.Pool
	target   atomic.Pointer[crregistry.Record]
	stopping atomic.Bool
	end      atomic.Int64 // instant by which all work must have ended; zero: none
	calls    calls
	lines    lines
	running  atomic.Int64 // idempotent requests at the target
	repeats  atomic.Int64 // of these, those that were sent elsewhere before

	mu      sync.Mutex
	judge   *crjudge.Estimator
	held    bool // to be sick, as last told to peers
	trial   crid.Instant
	next    uint64
	tickets map[uint64]*claim
}

// claim is a taken offer.
type claim struct {
	offer  croffer.Offer
	ticket *crgate.Ticket
	at     crid.Instant
	timer  *time.Timer
}

var _ croffer.Exit = (*Exit)(nil)

// New returns an exit that takes nothing before Use.
func New(opts Options) *Exit {
	return &Exit{
		opts: opts,
		gate: crgate.New(1),
		pool: crlink.NewPool(opts.Address, crlink.Options{
			Connect: connectTimeout, Idle: connectionIdle, Keep: 64,
		}),
		judge:   crjudge.New(opts.Clock()),
		tickets: make(map[uint64]*claim),
	}
}

// Use takes the target's record; nil says that there is none.
func (x *Exit) Use(r *crregistry.Record) {
	now := x.opts.Clock()
	old := x.target.Swap(r)
	if r == nil || r.Leaving || x.stopping.Load() {
		x.gate.Close()
		if old != nil && !old.Leaving {
			x.opts.Nudge()
		}
		return
	}
	if old == nil || old.Target != r.Target || old.StartedMillis != r.StartedMillis {
		x.renew(now)
	}
	x.gate.Open()
	x.gate.SetSlots(now, r.Slots)
}

// renew forgets what was known of a former target at this address.
func (x *Exit) renew(now crid.Instant) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.judge = crjudge.New(now)
	x.held = false
}

// Finish has the exit take only what ends before an instant in any case: its daemon
// was told to stop.
func (x *Exit) Finish(end crid.Instant) { x.end.Store(int64(end)) }

// before returns the instant by which an offer's request has to start so that it ends
// before a daemon that was told to stop; zero: it was not told.
//
// It goes by the time that even slow requests of its kind take. Callers wait several
// times as long; by their time nearly nothing would fit, and the target would lie
// idle from the order to stop until the next daemon has started.
func (x *Exit) before(o croffer.Offer) crid.Instant {
	end := x.end.Load()
	if end == 0 {
		return 0
	}
	longest := o.Left
	if slow := x.gate.SlowThreshold(o.Kind()); slow > 0 {
		longest = min(longest, slow)
	}
	return crid.Instant(end).Add(-longest)
}

// Stop refuses all that has not been started yet.
func (x *Exit) Stop() {
	x.stopping.Store(true)
	x.gate.Close()
}

// Idle reports whether nothing runs and nothing waits.
func (x *Exit) Idle() bool { return x.gate.Idle() }

// Tick refuses what has waited in vain.
func (x *Exit) Tick() { x.gate.Sweep(x.opts.Clock()) }

// Target returns the target's name, or none.
func (x *Exit) Target() crid.Target {
	if r := x.target.Load(); r != nil {
		return r.Target
	}
	return ""
}

// Told returns what peers are told of the target.
func (x *Exit) Told() crplace.LoadReport {
	x.mu.Lock()
	sick := x.judge.UnhealthyProb(x.opts.Clock())
	x.mu.Unlock()
	return x.told(sick)
}

func (x *Exit) told(sick float64) crplace.LoadReport {
	l := x.gate.Load()
	r := x.target.Load()
	return crplace.LoadReport{
		Load: l.Running + l.Waiting, Slots: l.Slots, UnhealthyProb: sick, Typical: l.MeanTime,
		Closed: r == nil || r.Leaving || x.stopping.Load(),
	}
}

// Offer implements croffer.Exit.
func (x *Exit) Offer(now crid.Instant, o croffer.Offer) croffer.Reply {
	x.opts.Asked(o.From)
	r := x.target.Load()
	if r == nil || r.Target != o.Target || r.Service != o.Service {
		return x.refuse(now, o, refusal{reason: "no such target here"})
	}
	before := x.before(o)
	if before != 0 && now > before {
		return x.refuse(now, o, refusal{reason: "stopping"})
	}
	if !x.fit(now, o) {
		return x.refuse(now, o, refusal{reason: "sick"})
	}
	latest := x.gate.LatestStart(now, crgate.Timing{Kind: o.Kind(), Nested: o.Call, Objective: o.Objective, TimeLeft: o.Left})
	if before != 0 {
		latest = min(latest, before)
	}
	ticket, full := x.gate.Admit(now, crgate.Request{Kind: o.Kind(), Nested: o.Call, Priority: o.Priority, LatestStart: latest})
	if full != nil {
		return x.refuse(now, o, refusal{
			reason: full.Reason().String(), after: full.RetryAfter(), wait: full.Wait(), patience: full.MaxWait(),
		})
	}
	return croffer.Reply{Taken: true, Ticket: x.claim(now, o, ticket), Told: x.Told()}
}

// refusal is why an offer is not taken.
type refusal struct {
	reason   string
	after    time.Duration // when there may be room; zero: not known
	wait     time.Duration // that a request would have
	patience time.Duration // that it has
}

func (x *Exit) refuse(now crid.Instant, o croffer.Offer, r refusal) croffer.Reply {
	told := x.Told()
	if x.lines.allow(now) {
		x.opts.Log.Event(crlog.OfferRefused, crlog.Fields{
			"request": o.ID, "target": string(o.Target), "entry": string(o.From), "reason": r.reason, "class": o.Class.String(),
			"load": strconv.Itoa(told.Load), "slots": strconv.Itoa(told.Slots), "sick": crlog.Percent(told.UnhealthyProb),
			"wait": r.wait.Round(time.Millisecond).String(), "patience": r.patience.Round(time.Millisecond).String(),
			"typical": told.Typical.Round(time.Millisecond).String(),
		})
	}
	return croffer.Reply{Reason: r.reason, RetryAfter: r.after, Told: told}
}

// fit reports whether the target is well enough for an offer. A sick one gets
// what may run again, now and then, and what has no other target left.
func (x *Exit) fit(now crid.Instant, o croffer.Offer) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.judge.UnhealthyProb(now) < crjudge.Threshold || o.Last {
		return true
	}
	if o.Class != crpolicy.ClassRepeat || now.Sub(x.trial) < trialEvery {
		return false
	}
	x.trial = now
	return true
}

func (x *Exit) claim(now crid.Instant, o croffer.Offer, t *crgate.Ticket) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.next++
	n := x.next
	x.tickets[n] = &claim{offer: o, ticket: t, at: now, timer: time.AfterFunc(claimTime, func() { x.Release(n) })}
	return n
}

func (x *Exit) take(ticket uint64) *claim {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.tickets[ticket]
	if c == nil {
		return nil
	}
	delete(x.tickets, ticket)
	c.timer.Stop()
	return c
}

// Release implements croffer.Exit.
func (x *Exit) Release(ticket uint64) {
	if c := x.take(ticket); c != nil {
		x.gate.Cancel(x.opts.Clock(), c.ticket)
	}
}

// Run implements croffer.Exit.
func (x *Exit) Run(ctx context.Context, ticket uint64, r croffer.Request) croffer.Result {
	c := x.take(ticket)
	if c == nil {
		return x.notSent("the offer has expired", 0)
	}
	select {
	case <-c.ticket.Decided():
	case <-ctx.Done():
		x.gate.Cancel(x.opts.Clock(), c.ticket)
		return x.notSent("the caller left", 0)
	}
	if refusal := c.ticket.Refusal(); refusal != nil {
		return x.notSent(refusal.Reason().String(), refusal.RetryAfter())
	}
	target := x.target.Load()
	if target == nil || target.Target != c.offer.Target {
		x.gate.Cancel(x.opts.Clock(), c.ticket)
		return x.notSent("the target has left", 0)
	}
	run := &run{exit: x, claim: c, request: r, target: *target}
	return run.do(ctx)
}

func (x *Exit) notSent(reason string, after time.Duration) croffer.Result {
	return croffer.Result{Outcome: croffer.NotSent, Reason: reason, RetryAfter: after, Told: x.Told()}
}

// note takes an answer as evidence, and tells peers when the verdict changes.
func (x *Exit) note(now crid.Instant, s crjudge.Observation, id string) {
	x.mu.Lock()
	before := x.judge.UnhealthyProb(now)
	x.judge.Observe(now, s)
	after := x.judge.UnhealthyProb(now)
	changed := (after >= crjudge.Threshold) != x.held
	x.held = after >= crjudge.Threshold
	x.mu.Unlock()
	if !changed {
		return
	}
	x.opts.Log.Event(crlog.TargetSuspicionChanged, crlog.Fields{
		"target": string(x.Target()), "before": crlog.Percent(before), "sick": crlog.Percent(after), "request": id,
	})
	x.opts.Nudge()
}

// CallFailed notes that a call which the target made itself has failed. What the
// target then answers is not its own fault.
func (x *Exit) CallFailed() { x.calls.fail(x.opts.Clock()) }

// RepeatShare is the part of the idempotent requests at the target that are
// repeats, and so the chance that a call of the target is one. Requests that may
// run only once are left out: if they make no calls, they would hide the repeats
// among those that do.
func (x *Exit) RepeatShare() float64 {
	running := x.running.Load()
	if running <= 0 {
		return 0
	}
	return min(float64(x.repeats.Load())/float64(running), 1)
}

// count notes that a request is at the target until the returned function is
// called.
func (x *Exit) count(o croffer.Offer) func() {
	if o.Class != crpolicy.ClassRepeat {
		return func() {}
	}
	x.running.Add(1)
	if !o.Repeat {
		return func() { x.running.Add(-1) }
	}
	x.repeats.Add(1)
	return func() {
		x.running.Add(-1)
		x.repeats.Add(-1)
	}
}

// calls remembers when a call of the target failed last.
type calls struct{ at atomic.Int64 }

func (c *calls) fail(now crid.Instant) { c.at.Store(int64(now)) }

func (c *calls) failedSince(at crid.Instant) bool {
	last := c.at.Load()
	return last != 0 && crid.Instant(last) >= at
}

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Expect", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripConnection removes headers that concern one connection only.
func StripConnection(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range crlink.SplitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
