package crslot

import (
	"math"
	"slices"
	"time"

	"camphorroad/core/crid"
)

const (
	// evictThreshold is the number of accounts at which idle ones are evicted.
	evictThreshold = 512
	// activeWindow is the time for which an account counts as active after one
	// of its requests has arrived or ended.
	activeWindow = 2 * time.Second
	// longRequestFactor is the ratio of an account's service time to the median
	// account's above which slots are reserved for the others.
	longRequestFactor = 3
	// usageTimeConstant is the time constant of the average number of used
	// slots.
	usageTimeConstant = time.Second
)

// flow is the state of one account.
type flow struct {
	account     crid.Account
	startTag    float64 // virtual time at which its next request starts, in nanoseconds
	serviceTime float64 // moving average, in nanoseconds
	waiters     []*waiter
	running     []*Lease
	lastSeen    crid.Instant
	busyTime    float64 // slot time used, in nanoseconds, decaying with usageTimeConstant
	busyTimeAt  crid.Instant
	activeSince crid.Instant // start of the current period of activity
}

func (f *flow) size() int { return len(f.waiters) + len(f.running) }

// usedSlots is the recent average of the slots that the account used. For an
// account that has just become active the average is taken over its period of
// activity.
func (f *flow) usedSlots(now crid.Instant) float64 {
	age := max(now.Sub(f.activeSince), usageTimeConstant/50)
	weight := 1 - decay(age)
	return f.busyTime * decay(now.Sub(f.busyTimeAt)) / (float64(usageTimeConstant) * weight)
}

func (f *flow) addBusyTime(took float64, now crid.Instant) {
	f.busyTime = f.busyTime*decay(now.Sub(f.busyTimeAt)) + took
	f.busyTimeAt = now
}

func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / usageTimeConstant.Seconds()) }

// expectedServiceTime is the service time to assume for the next request. A
// request that hangs adds nothing to the average until it ends, so the time of
// the longest running one counts as well.
func (f *flow) expectedServiceTime(now crid.Instant) float64 {
	expected := f.serviceTime
	for _, l := range f.running {
		expected = max(expected, float64(now.Sub(l.grantedAt)))
	}
	return expected
}

func (f *flow) removeRunning(l *Lease) {
	i := slices.Index(f.running, l)
	last := len(f.running) - 1
	f.running[i] = f.running[last]
	f.running[last] = nil
	f.running = f.running[:last]
}

func (q *Queue) flowOf(account crid.Account, now crid.Instant) *flow {
	f, ok := q.flows[account]
	if !ok {
		q.evictIdle()
		f = &flow{account: account, serviceTime: q.meanServiceTime, activeSince: now, busyTimeAt: now}
		q.flows[account] = f
	}
	if now.Sub(f.lastSeen) > activeWindow && ok {
		f.activeSince = now
		f.busyTime = 0
	}
	if len(f.waiters) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	f.lastSeen = now
	return f
}

// evictIdle bounds the memory of accounts without requests.
func (q *Queue) evictIdle() {
	if len(q.flows) < evictThreshold {
		return
	}
	for account, f := range q.flows {
		if f.size() == 0 {
			delete(q.flows, account)
		}
	}
}

func (q *Queue) enqueue(f *flow, deadline crid.Instant) *waiter {
	if len(f.waiters) == 0 {
		q.backlogged = append(q.backlogged, f)
	}
	q.arrivals++
	w := &waiter{flow: f, deadline: deadline, arrival: q.arrivals, decided: make(chan decision, 1)}
	f.waiters = append(f.waiters, w)
	q.waiting++
	return w
}

func (q *Queue) dequeue(w *waiter) bool {
	f := w.flow
	i := slices.Index(f.waiters, w)
	if i < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, i, i+1)
	q.waiting--
	if len(f.waiters) == 0 {
		i := slices.Index(q.backlogged, f)
		q.backlogged = slices.Delete(q.backlogged, i, i+1)
	}
	return true
}

func (q *Queue) refuse(w *waiter, reason Reason) {
	if q.dequeue(w) {
		w.decided <- decision{err: &Error{reason: reason, retryAfter: q.backlog()}}
	}
}

func (q *Queue) grant(f *flow, now crid.Instant) *Lease {
	q.virtualTime = max(q.virtualTime, f.startTag)
	l := &Lease{queue: q, flow: f, charged: f.serviceTime, grantedAt: now}
	if q.discipline == DisciplineCount {
		l.charged = float64(q.initialServiceTime)
	}
	f.startTag += l.charged
	f.running = append(f.running, l)
	q.inFlight++
	return l
}

// charge replaces the estimated charge of a request by the time that it took, in
// nanoseconds, and updates the averages.
//
// If every request were charged alike, an account whose requests take ten times
// as long would get ten times the slot time of the others, and their waits
// would grow although the numbers of requests are fair.
func (q *Queue) charge(l *Lease, took float64) {
	took = max(took, 1)
	l.flow.serviceTime += serviceTimeWeight * (took - l.flow.serviceTime)
	l.flow.addBusyTime(took, l.flow.lastSeen)
	q.meanServiceTime += serviceTimeWeight * (took - q.meanServiceTime)
	if q.discipline == DisciplineTime {
		l.flow.startTag += took - l.charged
	}
}

// dispatch assigns free slots to waiters and wakes each of them.
func (q *Queue) dispatch(now crid.Instant) {
	for q.inFlight < q.limit.slots() {
		f := q.nextFlow(now)
		if f == nil {
			break
		}
		w := f.waiters[0]
		if deadlinePassed(w.deadline, now) {
			q.refuse(w, ReasonExpired)
			continue
		}
		q.dequeue(w)
		w.decided <- decision{lease: q.grant(f, now)}
	}
	q.closeIfDrained()
}

func (q *Queue) closeIfDrained() {
	if !q.draining || q.inFlight+q.waiting > 0 {
		return
	}
	select {
	case <-q.drained:
	default:
		close(q.drained)
	}
}

// nextFlow is the flow whose first waiter gets the next slot.
func (q *Queue) nextFlow(now crid.Instant) *flow {
	var best *flow
	for _, f := range q.backlogged {
		if q.reservedForOthers(f, now) {
			continue
		}
		if best == nil || q.sortKey(f) < q.sortKey(best) {
			best = f
		}
	}
	return best
}

func (q *Queue) sortKey(f *flow) float64 {
	if q.discipline == DisciplineFIFO {
		return float64(f.waiters[0].arrival)
	}
	return f.startTag
}

// reservedForOthers reports whether the account must not get another slot: its
// requests are much longer than those of the other accounts, and one more slot
// for it would leave the others fewer than they used recently.
// A slot cannot be preempted: once requests that hang hold all of them, the
// other accounts wait until those end, whatever their share. An account that is
// alone, or whose requests are as long as the others', may use all slots.
func (q *Queue) reservedForOthers(f *flow, now crid.Instant) bool {
	n := len(f.running)
	if q.discipline != DisciplineTime || n == 0 || f.expectedServiceTime(now) <= longRequestFactor*q.medianServiceTime {
		return false
	}
	others := q.usedSlots - f.usedSlots(now)
	return float64(n+1) > float64(q.limit.slots())-math.Ceil(others)
}

// updateStats computes, over the active accounts, the median of their service
// times and the sum of the slots that they use.
func (q *Queue) updateStats(now crid.Instant) {
	q.usedSlots = 0
	times := make([]float64, 0, len(q.flows))
	for _, f := range q.flows {
		if now.Sub(f.lastSeen) < activeWindow {
			q.usedSlots += f.usedSlots(now)
			times = append(times, f.serviceTime)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		q.medianServiceTime = times[(len(times)-1)/2]
	}
}

// flowToDisplace returns the flow whose newest waiter is refused so that a
// request of f can wait: the flow with the most requests, if f has less than
// its fair share. Otherwise it returns nil.
func (q *Queue) flowToDisplace(f *flow) *flow {
	if q.discipline == DisciplineFIFO {
		return nil
	}
	var most *flow
	for _, other := range q.backlogged {
		if most == nil || other.size() > most.size() {
			most = other
		}
	}
	if most == nil || most == f || f.size() >= most.size()-1 {
		return nil
	}
	if f.size() >= max(1, (q.maxWaiting+q.limit.slots())/q.flowsWithRequests(f)) {
		return nil
	}
	return most
}

// flowsWithRequests is the number of accounts that have requests, including the
// account of the arriving request.
func (q *Queue) flowsWithRequests(arriving *flow) int {
	n := 1
	for _, f := range q.flows {
		if f != arriving && f.size() > 0 {
			n++
		}
	}
	return n
}

// estimateWait estimates the wait of a request of f that has the given number of
// waiting requests of f before it: the work that start-time fair queueing serves
// first, divided by the number of slots.
func (q *Queue) estimateWait(f *flow, ahead int) time.Duration {
	tag := f.startTag + float64(ahead)*f.serviceTime
	work := float64(ahead) * f.serviceTime
	for _, other := range q.backlogged {
		if other == f {
			continue
		}
		n := math.Ceil((tag - other.startTag) / max(other.serviceTime, 1))
		work += min(max(n, 0), float64(len(other.waiters))) * other.serviceTime
	}
	return q.serveTime(work)
}

// backlog is the time until everything that runs and waits has ended.
func (q *Queue) backlog() time.Duration {
	work := 0.0
	for _, f := range q.backlogged {
		work += float64(len(f.waiters)) * f.serviceTime
	}
	return q.serveTime(work)
}

// serveTime estimates the time until the slots have served the waiting work, in
// nanoseconds. Running requests count as half done. Those beyond the current
// number of slots count once more, since their ends free no slot.
func (q *Queue) serveTime(work float64) time.Duration {
	slots := q.limit.slots()
	running := float64(q.inFlight) * q.meanServiceTime / 2
	surplus := float64(max(q.inFlight-slots, 0)) * q.meanServiceTime
	return time.Duration((work + running + surplus) / float64(slots))
}

// sweep refuses waiters that cannot meet their deadline any more, because the
// target became slower or lost slots since they arrived. If they were refused
// only at the deadline, no time would be left to try another target.
func (q *Queue) sweep(now crid.Instant) {
	if now.Sub(q.sweptAt) < sweepInterval {
		return
	}
	q.sweptAt = now
	q.updateStats(now)
	for _, f := range slices.Clone(q.backlogged) {
		ahead := 0
		for _, w := range slices.Clone(f.waiters) {
			if deadlinePassed(w.deadline, now.Add(q.estimateWait(f, ahead))) {
				q.refuse(w, ReasonExpired)
				continue
			}
			ahead++
		}
	}
}
