package crslot

import (
	"math"
	"slices"
	"time"

	"camphorroad/core/crid"
)

const (
	// manyFlows is the number of accounts above which idle ones are forgotten.
	manyFlows = 512
	// recent is how long an account counts as present after its last request.
	recent = 2 * time.Second
	// longFactor tells by how many times an account's requests must be longer
	// than the median account's for slots to be kept from it.
	longFactor = 3
	// useHorizon is the time constant over which the use of slots is averaged.
	useHorizon = time.Second
)

// flow is one account's part of the queue.
type flow struct {
	account crid.Account
	start   float64 // start tag of its next request: what it was charged, on the queue's virtual time
	cost    float64 // smoothed service time, in nanoseconds
	waiters []*waiter
	running []*Lease
	seen    crid.Instant
	use     float64 // service time taken, decaying with useHorizon
	usedAt  crid.Instant
	since   crid.Instant // start of its present time of activity
}

func (f *flow) held() int { return len(f.waiters) + len(f.running) }

// used is the average number of slots that the account took of late. The
// average of an account that has only just come is taken over its own time.
func (f *flow) used(now crid.Instant) float64 {
	life := max(now.Sub(f.since), useHorizon/50)
	whole := 1 - decay(life)
	return f.use * decay(now.Sub(f.usedAt)) / (float64(useHorizon) * whole)
}

func (f *flow) addUse(took float64, now crid.Instant) {
	f.use = f.use*decay(now.Sub(f.usedAt)) + took
	f.usedAt = now
}

func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / useHorizon.Seconds()) }

// expected is the service time to reckon with. Requests that hang report
// nothing until they end, so the oldest that still runs counts as well.
func (f *flow) expected(now crid.Instant) float64 {
	cost := f.cost
	for _, l := range f.running {
		cost = max(cost, float64(now.Sub(l.granted)))
	}
	return cost
}

func (f *flow) end(l *Lease) {
	i := slices.Index(f.running, l)
	last := len(f.running) - 1
	f.running[i] = f.running[last]
	f.running[last] = nil
	f.running = f.running[:last]
}

func (q *Queue) flow(account crid.Account, now crid.Instant) *flow {
	f, ok := q.flows[account]
	if !ok {
		q.forgetIdle()
		f = &flow{account: account, cost: q.mean, since: now, usedAt: now}
		q.flows[account] = f
	}
	if now.Sub(f.seen) > recent && ok {
		f.since = now
		f.use = 0
	}
	if len(f.waiters) == 0 {
		f.start = max(f.start, q.virtual)
	}
	f.seen = now
	return f
}

// forgetIdle bounds the memory that accounts without requests take.
func (q *Queue) forgetIdle() {
	if len(q.flows) < manyFlows {
		return
	}
	for account, f := range q.flows {
		if f.held() == 0 {
			delete(q.flows, account)
		}
	}
}

func (q *Queue) push(f *flow, deadline crid.Instant) *waiter {
	if len(f.waiters) == 0 {
		q.busy = append(q.busy, f)
	}
	q.arrivals++
	w := &waiter{flow: f, deadline: deadline, arrival: q.arrivals, ready: make(chan grant, 1)}
	f.waiters = append(f.waiters, w)
	q.waiting++
	return w
}

func (q *Queue) remove(w *waiter) bool {
	f := w.flow
	i := slices.Index(f.waiters, w)
	if i < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, i, i+1)
	q.waiting--
	if len(f.waiters) == 0 {
		i := slices.Index(q.busy, f)
		q.busy = slices.Delete(q.busy, i, i+1)
	}
	return true
}

func (q *Queue) refuse(w *waiter, reason Reason) {
	if q.remove(w) {
		w.ready <- grant{err: &Error{reason: reason, retryAfter: q.backlog()}}
	}
}

func (q *Queue) grant(f *flow, now crid.Instant) *Lease {
	q.virtual = max(q.virtual, f.start)
	l := &Lease{queue: q, flow: f, charged: f.cost, granted: now}
	if q.discipline == DisciplineCount {
		l.charged = float64(q.guess)
	}
	f.start += l.charged
	f.running = append(f.running, l)
	q.inFlight++
	return l
}

// charge corrects the account's tag by what the request really took.
//
// Charging each request alike would let an account with requests ten times as
// long take ten times the slots' time; others would see their waits grow while
// every count looks fair.
func (q *Queue) charge(l *Lease, took float64) {
	took = max(took, 1)
	l.flow.cost += smoothing * (took - l.flow.cost)
	l.flow.addUse(took, l.flow.seen)
	q.mean += smoothing * (took - q.mean)
	if q.discipline == DisciplineTime {
		l.flow.start += took - l.charged
	}
}

// dispatch hands free slots to waiters, one wake-up each.
func (q *Queue) dispatch(now crid.Instant) {
	for q.inFlight < q.limit.slots() {
		f := q.next(now)
		if f == nil {
			break
		}
		w := f.waiters[0]
		if passed(w.deadline, now) {
			q.refuse(w, ReasonExpired)
			continue
		}
		q.remove(w)
		w.ready <- grant{lease: q.grant(f, now)}
	}
	q.closeDrained()
}

func (q *Queue) closeDrained() {
	if !q.draining || q.inFlight+q.waiting > 0 {
		return
	}
	select {
	case <-q.drained:
	default:
		close(q.drained)
	}
}

// next is the flow whose first waiter gets the next slot.
func (q *Queue) next(now crid.Instant) *flow {
	var best *flow
	for _, f := range q.busy {
		if q.crowds(f, now) {
			continue
		}
		if best == nil || q.rank(f) < q.rank(best) {
			best = f
		}
	}
	return best
}

func (q *Queue) rank(f *flow) float64 {
	if q.discipline == DisciplineFIFO {
		return float64(f.waiters[0].arrival)
	}
	return f.start
}

// crowds reports whether one more slot for the account would take one that the
// other accounts are using, by requests much longer than theirs. A slot can not
// be taken back: once all are held by requests that hang, the others wait for
// as long as those hang, whatever their share. An account that is alone, or
// whose requests are as long as others', may fill all slots.
func (q *Queue) crowds(f *flow, now crid.Instant) bool {
	n := len(f.running)
	if q.discipline != DisciplineTime || n == 0 || f.expected(now) <= longFactor*q.typical {
		return false
	}
	others := q.used - f.used(now)
	return float64(n+1) > float64(q.limit.slots())-math.Ceil(others)
}

// survey takes stock of the accounts present: the median of their service
// times, and the slots that all together use.
func (q *Queue) survey(now crid.Instant) {
	q.used = 0
	costs := make([]float64, 0, len(q.flows))
	for _, f := range q.flows {
		if now.Sub(f.seen) < recent {
			q.used += f.used(now)
			costs = append(costs, f.cost)
		}
	}
	if len(costs) > 0 {
		slices.Sort(costs)
		q.typical = costs[(len(costs)-1)/2]
	}
}

// overShare is the account whose newest waiter gives way to a request of f: the
// one that holds most, when f holds less than its fair share.
func (q *Queue) overShare(f *flow) *flow {
	if q.discipline == DisciplineFIFO {
		return nil
	}
	var most *flow
	for _, other := range q.busy {
		if most == nil || other.held() > most.held() {
			most = other
		}
	}
	if most == nil || most == f || f.held() >= most.held()-1 {
		return nil
	}
	if f.held() >= max(1, (q.room+q.limit.slots())/q.active(f)) {
		return nil
	}
	return most
}

// active counts the accounts that hold anything, and the newcomer.
func (q *Queue) active(newcomer *flow) int {
	n := 1
	for _, f := range q.flows {
		if f != newcomer && f.held() > 0 {
			n++
		}
	}
	return n
}

// estimate is the wait of a request of f behind ahead others of f: the work
// that start-time fair queueing serves first, shared among the slots.
func (q *Queue) estimate(f *flow, ahead int) time.Duration {
	tag := f.start + float64(ahead)*f.cost
	work := float64(ahead) * f.cost
	for _, other := range q.busy {
		if other == f {
			continue
		}
		n := math.Ceil((tag - other.start) / max(other.cost, 1))
		work += min(max(n, 0), float64(len(other.waiters))) * other.cost
	}
	return q.share(work)
}

// backlog is how long all that runs and waits will take.
func (q *Queue) backlog() time.Duration {
	work := 0.0
	for _, f := range q.busy {
		work += float64(len(f.waiters)) * f.cost
	}
	return q.share(work)
}

func (q *Queue) share(work float64) time.Duration {
	slots := q.limit.slots()
	running := float64(q.inFlight) * q.mean / 2
	surplus := float64(max(q.inFlight-slots, 0)) * q.mean
	return time.Duration((work + running + surplus) / float64(slots))
}

// sweep refuses waiters whose deadline has got out of reach since they came:
// the target slowed down, or its limit fell. Holding them until the deadline
// would leave the caller no time to go elsewhere.
func (q *Queue) sweep(now crid.Instant) {
	if now.Sub(q.sweptAt) < sweepEvery {
		return
	}
	q.sweptAt = now
	q.survey(now)
	for _, f := range slices.Clone(q.busy) {
		ahead := 0
		for _, w := range slices.Clone(f.waiters) {
			if passed(w.deadline, now.Add(q.estimate(f, ahead))) {
				q.refuse(w, ReasonExpired)
				continue
			}
			ahead++
		}
	}
}
