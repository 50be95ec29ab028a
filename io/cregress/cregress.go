// Package cregress is the exit of the daemon of io/crmesh: it accepts offers of
// requests, from other daemons through io/croffer and from its own entry directly,
// and runs them on the daemon's target. io/crexit is the exit of the daemon of
// io/crdaemon.
//
// No other daemon sends requests to the target. The exit receives all responses of the
// target, so it can estimate the target's health and tell which requests did not run.
//
// # Usage
//
//	exit := cregress.New(cregress.Options{Address: "10.0.0.1:8403", Dialect: dialect, Clock: crclock.Now})
//	exit.SetWarmup(params, "/health")
//	exit.SetTarget(record)
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

	"camphorroad/core/crbudget"
	"camphorroad/core/crcaller"
	"camphorroad/core/crcrash"
	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crregistry"
	"camphorroad/core/crwarmup"
	"camphorroad/io/crdialect"
	"camphorroad/io/crlink"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

const (
	// reservationTimeout is how long an accepted offer waits for its request, which
	// the entry sends one round trip later.
	reservationTimeout = 400 * time.Millisecond
	// trialInterval is the least time between two trial requests, which test
	// whether an unhealthy target has recovered.
	trialInterval = 400 * time.Millisecond
	// connectTimeout is the time to connect to the target on the same machine.
	connectTimeout = 1000 * time.Millisecond
	// connIdleTimeout is how long an idle connection to the target may be reused.
	// Targets close idle connections after seconds, at times without notice, and a
	// request sent on a closed connection is lost.
	connIdleTimeout = 1500 * time.Millisecond
	// responseMargin is the part of the remaining time reserved for returning the
	// response to the entry.
	responseMargin = 12 * time.Millisecond
)

// Options are the settings of an exit.
type Options struct {
	Self           crid.Daemon
	Service        crid.Service
	Address        string // of the target
	Dialect        crdialect.Dialect
	Clock          func() crid.Instant
	Started        crid.Instant // when the daemon started; zero: long ago
	Log            *crlog.Logger
	Crashes        *crcrash.Tracker
	OnTargetChange func()                 // called when the target's state has changed
	OnTargetEnd    func()                 // called when its process has ended under a request
	OnOffer        func(from crid.Daemon) // called for each offer
}

// Exit runs requests on one target. It is safe for concurrent use.
type Exit struct {
	opts           Options
	gate           *crgate.Gate
	pool           *crlink.Pool
	target         atomic.Pointer[crregistry.Record]
	lifecycle      sync.Mutex // held while the target is replaced, evacuated or marked as leaving
	stopping       atomic.Bool
	evacuated      atomic.Bool
	leaving        atomic.Pointer[targetProcess] // process that has said that it leaves; nil: none
	limitRefusals  atomic.Int64                  // offers refused while the target named a limit
	healthPath     atomic.Pointer[string]
	coldParams     atomic.Pointer[crwarmup.Params] // nil: there is no plan yet
	opened         atomic.Bool                     // the target may get requests
	stopDeadline   atomic.Int64                    // instant by which all work must have ended; zero: none
	nestedFailures lastTime                        // of failed nested calls
	nestedRefusals lastTime                        // of nested calls that no target has run
	refusalLog     logLimiter
	idempotent     atomic.Int64 // idempotent requests running on the target
	retries        atomic.Int64 // of these, retries
	uncharged      atomic.Int64 // of these, retries whose calls were not spent by their entry
	callRates      *crbudget.CallRates
	callers        *crcaller.Tracker
	answers        *crcrash.Answers // of the target's process

	mu           sync.Mutex
	estimator    *crjudge.Estimator
	unhealthy    bool // the target's state, as last reported to peers
	lastTrial    crid.Instant
	lastEnd      processEnd
	lastTicket   uint64
	reservations map[uint64]*reservation
}

// reservation is an accepted offer that waits for its request.
type reservation struct {
	offer      croffer.Offer
	ticket     *crgate.Ticket
	acceptedAt crid.Instant
	timer      *time.Timer
}

var _ croffer.Exit = (*Exit)(nil)

// New returns an exit that refuses all offers until SetTarget is called.
func New(opts Options) *Exit {
	x := &Exit{
		opts: opts,
		gate: crgate.New(1),
		pool: crlink.NewPool(opts.Address, crlink.Options{
			ConnectTimeout: connectTimeout, IdleTimeout: connIdleTimeout, MaxIdle: 64,
			ID: func(h http.Header) string { return opts.Dialect.RequestID(h) },
		}),
		estimator:    crjudge.New(opts.Clock()),
		callRates:    crbudget.NewCallRates(),
		callers:      crcaller.NewTracker(),
		answers:      crcrash.NewAnswers(),
		reservations: make(map[uint64]*reservation),
	}
	x.gate.SetDaemonStart(opts.Started)
	return x
}

// SetTarget sets the target's record; nil means that there is none.
func (x *Exit) SetTarget(r *crregistry.Record) {
	x.lifecycle.Lock()
	defer x.lifecycle.Unlock()
	now := x.opts.Clock()
	old := x.target.Swap(r)
	if r == nil || r.Leaving {
		x.closeGate()
		if old != nil && !old.Leaving {
			x.opts.OnTargetChange()
		}
		return
	}
	if old == nil || old.Target != r.Target || old.StartedMillis != r.StartedMillis {
		x.reset(now)
	} else if r.Warmup > x.gate.ColdFor(now) {
		x.gate.ResetWarmup(now)
	}
	x.openGate(now)
}

// SetEvacuated sets whether the daemon's domain is evacuated. While it is, nothing is sent
// to the target, and requests that wait for it are refused. Afterwards it may be cold.
func (x *Exit) SetEvacuated(evacuated bool) {
	x.lifecycle.Lock()
	defer x.lifecycle.Unlock()
	if x.evacuated.Swap(evacuated) == evacuated {
		return
	}
	now := x.opts.Clock()
	if evacuated {
		x.closeGate()
	} else {
		x.gate.ResetWarmup(now)
		x.openGate(now)
	}
	x.opts.OnTargetChange()
}

// EndEvacuation records that an evacuation of the daemon's domain has ended, whether or not the daemon
// knew of it while it lasted. The target may be cold.
func (x *Exit) EndEvacuation() { x.gate.ResetWarmup(x.opts.Clock()) }

// openGate opens the gate if the target may get requests. Without a plan, the limit of a cold target
// is not known.
func (x *Exit) openGate(now crid.Instant) {
	r := x.target.Load()
	if x.coldParams.Load() == nil || r == nil || r.Leaving || x.stopping.Load() || x.evacuated.Load() || x.isLeaving(r) {
		return
	}
	x.gate.Open()
	x.gate.SetSlots(now, r.Slots)
	if !x.opened.Swap(true) {
		x.logOpened(r)
	}
}

// closeGate refuses all requests that have not been sent.
func (x *Exit) closeGate() {
	x.gate.Close()
	x.opened.Store(false)
}

func (x *Exit) logOpened(r *crregistry.Record) {
	x.opts.Log.Event(crlog.TargetOpened, crlog.Fields{
		"target": string(r.Target), "limit": strconv.Itoa(x.coldParams.Load().Limit), "started": strconv.FormatInt(r.StartedMillis, 10), "cold": r.Warmup.String(),
	})
}

// SetWarmup sets how a target of the service behaves while it is cold, and the path of its
// health check. Until it is called the first time, all offers are refused.
func (x *Exit) SetWarmup(p crwarmup.Params, healthPath string) {
	x.lifecycle.Lock()
	defer x.lifecycle.Unlock()
	x.healthPath.Store(&healthPath)
	x.gate.SetWarmup(p)
	if x.coldParams.Swap(&p) == nil {
		x.openGate(x.opts.Clock())
	}
}

// reset discards the health data of the previous target at this address.
func (x *Exit) reset(now crid.Instant) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.estimator = crjudge.New(now)
	x.unhealthy = false
	x.answers.EndProcess()
	x.gate.ResetWarmup(now)
	x.gate.ResetLimit()
}

// SetStopDeadline makes the exit accept only requests that are expected to end before the
// given instant. The daemon calls it when it begins to stop.
func (x *Exit) SetStopDeadline(end crid.Instant) { x.stopDeadline.Store(int64(end)) }

// latestStart returns the latest instant at which an offer's request may start and
// still end before the stop deadline; zero means that there is none.
//
// It uses the time that slow requests of the same kind take. The callers' timeouts are
// several times as long. If they were used, nearly no request would fit, and the target
// would be idle until the next daemon has started.
func (x *Exit) latestStart(o croffer.Offer) crid.Instant {
	end := x.stopDeadline.Load()
	if end == 0 {
		return 0
	}
	longest := o.TimeLeft
	if slow := x.gate.SlowThreshold(o.Kind()); slow > 0 {
		longest = min(longest, slow)
	}
	return crid.Instant(end).Add(-longest)
}

// ColdFor returns the time for which the target is known to stay cold.
func (x *Exit) ColdFor() time.Duration { return x.gate.ColdFor(x.opts.Clock()) }

// Stop refuses all requests that have not started.
func (x *Exit) Stop() {
	x.stopping.Store(true)
	x.closeGate()
}

// Idle reports whether no request is running or waiting.
func (x *Exit) Idle() bool { return x.gate.Idle() }

// Tick refuses waiting requests that can no longer start in time, and starts a health check
// if one is due.
func (x *Exit) Tick(ctx context.Context) {
	now := x.opts.Clock()
	x.gate.Sweep(now)
	if x.evacuated.Load() || x.target.Load() == nil || !x.gate.StartCheck(now) {
		return
	}
	go x.checkWarmup(ctx, now)
}

// Target returns the target's name, or an empty one without a target.
func (x *Exit) Target() crid.Target {
	if r := x.target.Load(); r != nil {
		return r.Target
	}
	return ""
}

// LoadReport returns the report on the target that is sent to peers.
func (x *Exit) LoadReport() crplace.LoadReport {
	x.mu.Lock()
	unhealthyProb := x.estimator.UnhealthyProb(x.opts.Clock())
	x.mu.Unlock()
	return x.loadReport(unhealthyProb)
}

func (x *Exit) loadReport(unhealthyProb float64) crplace.LoadReport {
	l := x.gate.Load(x.opts.Clock())
	r := x.target.Load()
	load := l.Running + l.Waiting
	if l.Delayed {
		load = max(load, l.Slots) // entries should prefer targets that can start a request now
	}
	return crplace.LoadReport{
		Load: load, Slots: l.Slots, UnhealthyProb: unhealthyProb, Typical: l.MeanTime,
		Closed: r == nil || x.coldParams.Load() == nil || r.Leaving || x.stopping.Load() || x.evacuated.Load() || x.isLeaving(r),
	}
}

// Offer implements croffer.Exit.
func (x *Exit) Offer(now crid.Instant, o croffer.Offer) croffer.Reply {
	x.opts.OnOffer(o.From)
	r := x.target.Load()
	if r == nil || r.Target != o.Target || r.Service != o.Service {
		return x.refuse(now, o, refusal{reason: "no such target here"})
	}
	if x.evacuated.Load() {
		return x.refuse(now, o, refusal{reason: reasonEvacuated})
	}
	if x.isLeaving(r) {
		return x.refuse(now, o, refusal{reason: reasonLeaving})
	}
	if x.coldParams.Load() == nil {
		return x.refuse(now, o, refusal{reason: reasonNoPlan})
	}
	if before := x.gate.Limit(); x.gate.SuggestLimit(now, o.Limit) {
		x.logLimit(before, "entry")
	}
	latestStart := x.latestStart(o)
	if latestStart != 0 && now > latestStart {
		return x.refuse(now, o, refusal{reason: "stopping"})
	}
	if !x.admits(now, o) {
		return x.refuse(now, o, refusal{reason: croffer.ReasonUnhealthy})
	}
	timing := crgate.Timing{Kind: o.Kind(), Nested: o.Nested, Objective: o.ObjectiveLeft, TimeLeft: o.TimeLeft}
	start := x.gate.LatestStart(now, timing)
	if latestStart != 0 {
		start = min(start, latestStart)
	}
	ticket, refused := x.gate.Admit(now, crgate.Request{
		Kind: o.Kind(), Nested: o.Nested, Priority: o.Priority, LatestStart: start, Late: x.gate.Late(timing), FreeSlot: o.FreeSlot, LastResort: o.LastResort,
		Account: o.Account, Rate: o.Rate,
	})
	if refused != nil {
		if x.gate.Limit() > 0 {
			x.limitRefusals.Add(1)
		}
		return x.refuse(now, o, refusal{
			reason: refused.Reason().String(), retryAfter: refused.RetryAfter(), wait: refused.EstimatedWait(), maxWait: refused.MaxWait(),
		})
	}
	return croffer.Reply{Accepted: true, Ticket: x.reserve(now, o, ticket), LoadReport: x.LoadReport()}
}

const (
	// reasonEvacuated is the reason of refusals while the domain is evacuated.
	reasonEvacuated = "evacuated"
	// reasonNoPlan is the reason of refusals before the first plan.
	reasonNoPlan = "no configuration yet"
)

// refusal is the reason why an offer is refused.
type refusal struct {
	reason     string
	retryAfter time.Duration // zero: not known
	wait       time.Duration // estimated wait for a slot
	maxWait    time.Duration // longest wait that lets the request end in time
}

func (x *Exit) refuse(now crid.Instant, o croffer.Offer, r refusal) croffer.Reply {
	report := x.LoadReport()
	if x.refusalLog.allow(now) {
		x.opts.Log.Event(crlog.OfferRefused, crlog.Fields{
			"request": o.ID, "target": string(o.Target), "entry": string(o.From), "reason": r.reason, "class": o.Class.String(),
			"load": strconv.Itoa(report.Load), "slots": strconv.Itoa(report.Slots), "sick": crlog.Percent(report.UnhealthyProb),
			"wait": r.wait.Round(time.Millisecond).String(), "patience": r.maxWait.Round(time.Millisecond).String(),
			"typical": report.Typical.Round(time.Millisecond).String(),
		})
	}
	return croffer.Reply{Reason: r.reason, RetryAfter: r.retryAfter, LoadReport: report}
}

// admits reports whether the target's health allows an offer. An unhealthy target gets
// an idempotent request each trialInterval, and the requests that have no better target.
func (x *Exit) admits(now crid.Instant, o croffer.Offer) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.estimator.UnhealthyProb(now) < crjudge.Threshold || o.LastResort {
		return true
	}
	if o.Class != crpolicy.ClassRepeat || now.Sub(x.lastTrial) < max(trialInterval, o.TrialIdle) {
		return false
	}
	x.lastTrial = now
	return true
}

func (x *Exit) reserve(now crid.Instant, o croffer.Offer, t *crgate.Ticket) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastTicket++
	n := x.lastTicket
	x.reservations[n] = &reservation{offer: o, ticket: t, acceptedAt: now, timer: time.AfterFunc(reservationTimeout, func() { x.Release(n) })}
	return n
}

func (x *Exit) takeReservation(ticket uint64) *reservation {
	x.mu.Lock()
	defer x.mu.Unlock()
	rv := x.reservations[ticket]
	if rv == nil {
		return nil
	}
	delete(x.reservations, ticket)
	rv.timer.Stop()
	return rv
}

// Release implements croffer.Exit.
func (x *Exit) Release(ticket uint64) {
	if rv := x.takeReservation(ticket); rv != nil {
		x.gate.Cancel(x.opts.Clock(), rv.ticket)
	}
}

// Run implements croffer.Exit.
func (x *Exit) Run(ctx context.Context, ticket uint64, r croffer.Request) croffer.Result {
	rv := x.takeReservation(ticket)
	if rv == nil {
		return x.notSent("the offer has expired", 0)
	}
	select {
	case <-rv.ticket.Decided():
	case <-ctx.Done():
		x.gate.Cancel(x.opts.Clock(), rv.ticket)
		return x.notSent("the caller left", 0)
	}
	if refusal := rv.ticket.Refusal(); refusal != nil {
		return x.notSent(refusal.Reason().String(), refusal.RetryAfter())
	}
	target := x.target.Load()
	if target == nil || target.Target != rv.offer.Target {
		x.gate.Cancel(x.opts.Clock(), rv.ticket)
		return x.notSent("the target has left", 0)
	}
	if x.evacuated.Load() {
		x.gate.Cancel(x.opts.Clock(), rv.ticket)
		return x.notSent(reasonEvacuated, 0)
	}
	if x.isLeaving(target) {
		x.gate.Cancel(x.opts.Clock(), rv.ticket)
		return x.notSent(reasonLeaving, 0)
	}
	if wait, blocked := x.blocks(r); blocked {
		x.gate.Cancel(x.opts.Clock(), rv.ticket)
		return x.notSent(croffer.ReasonEndsTargets, wait)
	}
	run := &run{exit: x, reservation: rv, request: r, target: *target}
	return run.do(ctx)
}

func (x *Exit) notSent(reason string, retryAfter time.Duration) croffer.Result {
	return croffer.Result{Outcome: croffer.NotSent, Reason: reason, RetryAfter: retryAfter, LoadReport: x.LoadReport()}
}

// observe updates the health estimate, and reports a change of the target's state. The estimate
// also returns below the threshold without observations, so a target can become unhealthy again
// without having been reported healthy.
func (x *Exit) observe(now crid.Instant, o crjudge.Observation, id string) {
	x.mu.Lock()
	before := x.estimator.UnhealthyProb(now)
	x.estimator.Observe(now, o)
	after := x.estimator.UnhealthyProb(now)
	unhealthy := after >= crjudge.Threshold
	changed := unhealthy != x.unhealthy || (unhealthy && before < crjudge.Threshold)
	x.unhealthy = unhealthy
	x.mu.Unlock()
	if !changed {
		return
	}
	if unhealthy {
		x.gate.RefuseWaiting()
	}
	x.opts.Log.Event(crlog.TargetHealthChanged, crlog.Fields{
		"target": string(x.Target()), "before": crlog.Percent(before), "sick": crlog.Percent(after), "request": id,
	})
	x.opts.OnTargetChange()
}
