// Package crslot guards the slots of one target at the exit daemon beside it.
//
// A [Queue] lets so many requests run at once as the target has slots, and so
// many wait as the policy allows. Waiting requests are served by start-time
// fair queueing between accounts: an account is charged the time that its
// requests really took, so neither many requests nor long ones crowd out the
// other accounts. A request that can not make its deadline is refused at once.
//
// # Usage
//
//	queue := crslot.New(crslot.Params{Slots: 5, Queue: 20}, clock.Now)
//	lease, err := queue.Acquire(ctx, account, deadline)
//	if err != nil { ... } // a *crslot.Error: the request was not run
//	defer lease.Release()
//
// A Queue is safe for concurrent use. Each waiter is woken by itself when its
// slot has been assigned, so a freed slot wakes one goroutine.
package crslot

import (
	"context"
	"sync"
	"time"

	"camphorroad/core/crid"
)

// Discipline is the order in which waiting requests get slots.
type Discipline uint8

// The disciplines. The last two are baselines in measurements.
const (
	DisciplineTime  Discipline = iota + 1 // fair between accounts by service time
	DisciplineCount                       // fair between accounts by number of requests
	DisciplineFIFO                        // in order of arrival, without regard to accounts
)

// Params configure a Queue.
type Params struct {
	Slots      int           // requests that run at once; at least 1
	MaxWaiting      int           // requests that wait; zero: none
	InitialServiceTime      time.Duration // service time assumed before one is measured; default 20 ms
	Discipline Discipline    // default DisciplineTime
}

const (
	defaultGuess = 20 * time.Millisecond
	// sweepEvery bounds how often waiters are looked through for those whose
	// deadline has got out of reach.
	sweepEvery = 20 * time.Millisecond
	// smoothing is the weight of the newest service time in the averages.
	smoothing = 0.2
)

// Queue assigns the slots of one target.
type Queue struct {
	now        func() crid.Instant
	discipline Discipline
	guess      time.Duration
	room       int

	mu       sync.Mutex
	limit    limiter
	flows    map[crid.Account]*flow
	busy     []*flow // flows that have waiters
	virtual  float64
	mean     float64 // smoothed service time, in nanoseconds
	typical  float64 // median of the accounts' service times, at the last sweep
	used     float64 // slots that all accounts use on average, at the last sweep
	arrivals uint64
	waiting  int
	inFlight int
	draining bool
	drained  chan struct{}
	sweptAt  crid.Instant
}

// New returns a queue that reads the daemon's clock through now.
func New(p Params, now func() crid.Instant) *Queue {
	if p.InitialServiceTime <= 0 {
		p.InitialServiceTime = defaultGuess
	}
	if p.Discipline == 0 {
		p.Discipline = DisciplineTime
	}
	return &Queue{
		now:        now,
		discipline: p.Discipline,
		guess:      p.InitialServiceTime,
		room:       max(p.MaxWaiting, 0),
		limit:      newLimiter(p.Slots),
		flows:      make(map[crid.Account]*flow),
		mean:       float64(p.InitialServiceTime),
		typical:    float64(p.InitialServiceTime),
		drained:    make(chan struct{}),
	}
}

// Lease is the right to run one request. It must be released exactly once;
// later releases do nothing.
type Lease struct {
	queue   *Queue
	flow    *flow
	charged float64
	granted crid.Instant
	done    bool
}

type grant struct {
	lease *Lease
	err   error
}

type waiter struct {
	flow     *flow
	deadline crid.Instant
	arrival  uint64
	ready    chan grant // buffered, so that the queue never waits for a waiter
}

// Acquire waits for a slot on behalf of an account. A deadline of zero means
// none. It returns an *Error when the request must not run.
func (q *Queue) Acquire(ctx context.Context, account crid.Account, deadline crid.Instant) (*Lease, error) {
	if ctx.Err() != nil {
		return nil, ErrCancelled
	}
	lease, w, err := q.enter(account, deadline)
	if err != nil || lease != nil {
		return lease, err
	}
	return q.wait(ctx, w)
}

func (q *Queue) enter(account crid.Account, deadline crid.Instant) (*Lease, *waiter, error) {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.draining {
		return nil, nil, ErrDraining
	}
	if passed(deadline, now) {
		return nil, nil, &Error{reason: ReasonExpired, retryAfter: q.backlog()}
	}
	f := q.flow(account, now)
	q.sweep(now)
	if q.inFlight < q.limit.slots() && len(f.waiters) == 0 && !q.crowds(f, now) {
		return q.grant(f, now), nil, nil
	}
	if err := q.admit(f, deadline, now); err != nil {
		return nil, nil, err
	}
	return nil, q.push(f, deadline), nil
}

// admit decides whether a request may join the wait queue.
func (q *Queue) admit(f *flow, deadline, now crid.Instant) error {
	if wait := q.estimate(f, len(f.waiters)); passed(deadline, now.Add(wait)) {
		return &Error{reason: ReasonExpired, retryAfter: wait}
	}
	if q.waiting < q.room {
		return nil
	}
	victim := q.overShare(f)
	if victim == nil {
		return &Error{reason: ReasonFull, retryAfter: q.backlog()}
	}
	q.refuse(victim.waiters[len(victim.waiters)-1], ReasonFull)
	return nil
}

// wait blocks until the slot is assigned, the deadline passes or ctx ends.
func (q *Queue) wait(ctx context.Context, w *waiter) (*Lease, error) {
	var expired <-chan time.Time
	if w.deadline != 0 {
		timer := time.NewTimer(w.deadline.Sub(q.now()))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case g := <-w.ready:
		return q.accept(ctx, w, g)
	case <-ctx.Done():
	case <-expired:
	}
	if q.leave(w) {
		return nil, q.lateness(ctx)
	}
	return q.accept(ctx, w, <-w.ready)
}

// accept looks at the clock and the context once more. A process that was
// paused wakes up with slots assigned long ago; running them then would do work
// that the caller has been told nothing of, or was told had failed.
func (q *Queue) accept(ctx context.Context, w *waiter, g grant) (*Lease, error) {
	if g.err != nil {
		return nil, g.err
	}
	if ctx.Err() != nil || passed(w.deadline, q.now()) {
		g.lease.Cancel()
		return nil, q.lateness(ctx)
	}
	return g.lease, nil
}

func (q *Queue) lateness(ctx context.Context) error {
	if ctx.Err() != nil {
		return ErrCancelled
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return &Error{reason: ReasonExpired, retryAfter: q.backlog()}
}

// leave takes a waiter out; it reports false when the waiter has been granted
// or refused meanwhile.
func (q *Queue) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.remove(w) {
		return false
	}
	q.dispatch(q.now())
	return true
}

// Release gives the slot back. The time since the grant is charged to the
// account.
func (l *Lease) Release() { l.finish(true) }

// Cancel gives the slot back without a charge, for a request that never
// started on the target.
func (l *Lease) Cancel() { l.finish(false) }

// GrantedAt is the instant at which the slot was assigned.
func (l *Lease) GrantedAt() crid.Instant { return l.granted }

func (l *Lease) finish(ran bool) {
	q := l.queue
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	q.inFlight--
	l.flow.end(l)
	l.flow.seen = now
	if ran {
		q.charge(l, float64(now.Sub(l.granted)))
		q.limit.grow(now)
	} else {
		l.flow.start -= l.charged
	}
	q.sweep(now)
	q.dispatch(now)
}

// SetSlots sets the number of slots, at least 1. Slow start raises it step by
// step; lowering it lets what runs finish.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.set(slots)
	q.dispatch(q.now())
}

// SetMaxWaiting sets the number of requests that may wait. Those that wait beyond it
// keep their places.
func (q *Queue) SetMaxWaiting(room int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.room = max(room, 0)
}

// RecordOverload notes that the target answered with 429 or 503. The limit is lowered at
// once and grows again with each answer after a pause.
func (q *Queue) RecordOverload() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.shed(q.now())
}

// Drain refuses new requests. Those that run or wait go on; Drained tells when
// the last has finished.
func (q *Queue) Drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.draining = true
	q.dispatch(q.now())
}

// Drained is closed once the queue is draining and nothing runs or waits.
func (q *Queue) Drained() <-chan struct{} { return q.drained }

func passed(deadline, now crid.Instant) bool { return deadline != 0 && !now.Before(deadline) }
