// Package crslot assigns the execution slots of one target at the exit daemon
// that serves it (io/crexit).
//
// A [Queue] runs as many requests at once as the target has slots, and lets as
// many wait as the policy allows. Slots are assigned by start-time fair
// queueing between accounts. An account is charged the time that its requests
// took, so that it cannot exceed its share by sending many requests or long
// ones. A request that cannot meet its deadline is refused at once.
//
// [OverloadBackoff] states for how long requests of class once, which must run
// at most once, are refused for a target that answers only with overload
// responses.
//
// Package crgate assigns slots in io/cregress by priority instead, and by
// shares of accounts within a priority.
//
// # Usage
//
//	queue := crslot.New(crslot.Params{Slots: 5, MaxWaiting: 20}, clock.Now)
//	lease, err := queue.Acquire(ctx, account, deadline)
//	if err != nil { ... } // a *crslot.Error: the request was not run
//	defer lease.Release()
//
// A Queue is safe for concurrent use. Each waiter has its own channel, so that
// a freed slot wakes one goroutine.
package crslot

import (
	"context"
	"sync"
	"time"

	"camphorroad/core/crid"
)

// Discipline is the order in which waiting requests get slots.
type Discipline uint8

// The disciplines. The last two are baselines for tests.
const (
	DisciplineTime  Discipline = iota + 1 // fair between accounts by service time
	DisciplineCount                       // fair between accounts by number of requests
	DisciplineFIFO                        // in order of arrival, without regard to accounts
)

// Params configure a Queue.
type Params struct {
	Slots              int           // requests that run at once; at least 1
	MaxWaiting         int           // requests that may wait; zero: none
	InitialServiceTime time.Duration // assumed until a request has ended; default 20 ms
	Discipline         Discipline    // default DisciplineTime
}

const (
	defaultServiceTime = 20 * time.Millisecond
	// sweepInterval is the least time between two sweeps, which visit every
	// waiter.
	sweepInterval = 20 * time.Millisecond
	// serviceTimeWeight is the weight of the newest service time in the moving
	// averages.
	serviceTimeWeight = 0.2
)

// Queue assigns the slots of one target.
type Queue struct {
	now                func() crid.Instant
	discipline         Discipline
	initialServiceTime time.Duration
	maxWaiting         int

	mu                sync.Mutex
	limit             aimdLimit
	flows             map[crid.Account]*flow
	backlogged        []*flow // flows that have waiters
	virtualTime       float64 // largest start tag of a request that got a slot, in nanoseconds
	meanServiceTime   float64 // moving average, in nanoseconds
	medianServiceTime float64 // median of the accounts' service times at the last sweep, in nanoseconds
	usedSlots         float64 // average number of slots that all accounts used, at the last sweep
	arrivals          uint64
	waiting           int
	inFlight          int
	draining          bool
	drained           chan struct{}
	sweptAt           crid.Instant
}

// New returns a queue that reads the daemon's clock through now.
func New(p Params, now func() crid.Instant) *Queue {
	if p.InitialServiceTime <= 0 {
		p.InitialServiceTime = defaultServiceTime
	}
	if p.Discipline == 0 {
		p.Discipline = DisciplineTime
	}
	return &Queue{
		now:                now,
		discipline:         p.Discipline,
		initialServiceTime: p.InitialServiceTime,
		maxWaiting:         max(p.MaxWaiting, 0),
		limit:              newAIMDLimit(p.Slots),
		flows:              make(map[crid.Account]*flow),
		meanServiceTime:    float64(p.InitialServiceTime),
		medianServiceTime:  float64(p.InitialServiceTime),
		drained:            make(chan struct{}),
	}
}

// Lease is the right to run one request. The holder must call Release or Cancel;
// only the first call has an effect.
type Lease struct {
	queue     *Queue
	flow      *flow
	charged   float64 // virtual time charged at the grant, in nanoseconds
	grantedAt crid.Instant
	released  bool
}

type decision struct {
	lease *Lease
	err   error
}

type waiter struct {
	flow     *flow
	deadline crid.Instant
	arrival  uint64
	decided  chan decision // buffered, so that the queue never blocks on a waiter
}

// Acquire waits for a slot on behalf of an account. A deadline of zero means
// none. It returns an *Error if the request must not run.
func (q *Queue) Acquire(ctx context.Context, account crid.Account, deadline crid.Instant) (*Lease, error) {
	if ctx.Err() != nil {
		return nil, ErrCancelled
	}
	lease, w, err := q.tryAcquire(account, deadline)
	if err != nil || lease != nil {
		return lease, err
	}
	return q.wait(ctx, w)
}

func (q *Queue) tryAcquire(account crid.Account, deadline crid.Instant) (*Lease, *waiter, error) {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.draining {
		return nil, nil, ErrDraining
	}
	if deadlinePassed(deadline, now) {
		return nil, nil, &Error{reason: ReasonExpired, retryAfter: q.backlog()}
	}
	f := q.flowOf(account, now)
	q.sweep(now)
	if q.inFlight < q.limit.slots() && len(f.waiters) == 0 && !q.reservedForOthers(f, now) {
		return q.grant(f, now), nil, nil
	}
	if err := q.admit(f, deadline, now); err != nil {
		return nil, nil, err
	}
	return nil, q.enqueue(f, deadline), nil
}

// admit decides whether a request may join the wait queue.
func (q *Queue) admit(f *flow, deadline, now crid.Instant) error {
	if wait := q.estimateWait(f, len(f.waiters)); deadlinePassed(deadline, now.Add(wait)) {
		return &Error{reason: ReasonExpired, retryAfter: wait}
	}
	if q.waiting < q.maxWaiting {
		return nil
	}
	displaced := q.flowToDisplace(f)
	if displaced == nil {
		return &Error{reason: ReasonFull, retryAfter: q.backlog()}
	}
	q.refuse(displaced.waiters[len(displaced.waiters)-1], ReasonFull)
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
	case d := <-w.decided:
		return q.recheck(ctx, w, d)
	case <-ctx.Done():
	case <-expired:
	}
	if q.abandon(w) {
		return nil, q.waitError(ctx)
	}
	return q.recheck(ctx, w, <-w.decided)
}

// recheck checks the deadline and the context again. After a pause of the
// process the slot may have been assigned long ago. The caller may have
// disconnected since, or may have received the response that the request failed.
func (q *Queue) recheck(ctx context.Context, w *waiter, d decision) (*Lease, error) {
	if d.err != nil {
		return nil, d.err
	}
	if ctx.Err() != nil || deadlinePassed(w.deadline, q.now()) {
		d.lease.Cancel()
		return nil, q.waitError(ctx)
	}
	return d.lease, nil
}

func (q *Queue) waitError(ctx context.Context) error {
	if ctx.Err() != nil {
		return ErrCancelled
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return &Error{reason: ReasonExpired, retryAfter: q.backlog()}
}

// abandon removes a waiter. It returns false if the waiter was granted a slot
// or refused meanwhile.
func (q *Queue) abandon(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.dequeue(w) {
		return false
	}
	q.dispatch(q.now())
	return true
}

// Release frees the slot. The time since the grant is charged to the account.
func (l *Lease) Release() { l.finish(true) }

// Cancel frees the slot without a charge, for a request that never started on
// the target.
func (l *Lease) Cancel() { l.finish(false) }

// GrantedAt is the instant at which the slot was assigned.
func (l *Lease) GrantedAt() crid.Instant { return l.grantedAt }

func (l *Lease) finish(ran bool) {
	q := l.queue
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	q.inFlight--
	l.flow.removeRunning(l)
	l.flow.lastSeen = now
	if ran {
		q.charge(l, float64(now.Sub(l.grantedAt)))
		q.limit.increase(now)
	} else {
		l.flow.startTag -= l.charged
	}
	q.sweep(now)
	q.dispatch(now)
}

// SetSlots sets the maximum number of slots, at least 1. Slow start raises it
// in steps. When it is lowered, the running requests finish.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.setMax(slots)
	q.dispatch(q.now())
}

// SetMaxWaiting sets the number of requests that may wait. Those that already
// wait beyond it keep their places.
func (q *Queue) SetMaxWaiting(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.maxWaiting = max(n, 0)
}

// RecordOverload records that the target answered with 429 or 503. The number
// of slots is reduced at once, and after a pause it grows with each request
// that ends.
func (q *Queue) RecordOverload() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.decrease(q.now())
}

// Drain refuses new requests. Running and waiting ones continue; Drained is
// closed when the last has ended.
func (q *Queue) Drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.draining = true
	q.dispatch(q.now())
}

// Drained is closed once the queue is draining and nothing runs or waits.
func (q *Queue) Drained() <-chan struct{} { return q.drained }

func deadlinePassed(deadline, now crid.Instant) bool { return deadline != 0 && !now.Before(deadline) }
