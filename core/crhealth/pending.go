package crhealth

import (
	"slices"
	"sync"
	"time"

	"camphorroad/core/crid"
)

// minPendingAge is the age from which on a pending attempt is reported. Younger ones
// are no evidence for any service and would only make digests larger.
const minPendingAge = 500 * time.Millisecond

// PendingCount is the number of attempts of one group of accounts that are pending at
// the time of the sample, by age.
type PendingCount struct {
	_     struct{} `cbor:",toarray"`
	Group uint8
	Age   uint8 // index of a latency bucket
	N     uint32
}

// PendingAttempt is an attempt whose response has not begun. It is not safe for
// concurrent use.
type PendingAttempt struct {
	list  *pendingList
	id    uint64
	group uint8
	began crid.Instant
}

// End removes the attempt, because its response has begun or it was abandoned. A
// second call has no effect.
func (a *PendingAttempt) End() {
	a.list.mu.Lock()
	defer a.list.mu.Unlock()
	delete(a.list.attempts, a.id)
}

// pendingList holds the pending attempts on one target.
type pendingList struct {
	mu       sync.Mutex
	nextID   uint64
	attempts map[uint64]*PendingAttempt
	reported bool // the last drain reported pending attempts
}

func (l *pendingList) begin(group uint8, now crid.Instant) *PendingAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = make(map[uint64]*PendingAttempt)
	}
	l.nextID++
	a := &PendingAttempt{list: l, id: l.nextID, group: group, began: now}
	l.attempts[a.id] = a
	return a
}

// hasAny reports whether an attempt is pending.
func (l *pendingList) hasAny() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.attempts) > 0
}

// counts returns the pending attempts of at least minPendingAge, sorted. It also
// reports whether the sample must contain them: there are some, or there were some at
// the last drain.
func (l *pendingList) counts(now crid.Instant) ([]PendingCount, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counts []PendingCount
	for _, a := range l.attempts {
		if age := now.Sub(a.began); age >= minPendingAge {
			counts = addPending(counts, PendingCount{Group: a.group, Age: uint8(bucketOf(age)), N: 1})
		}
	}
	slices.SortFunc(counts, func(a, b PendingCount) int {
		if a.Group != b.Group {
			return int(a.Group) - int(b.Group)
		}
		return int(a.Age) - int(b.Age)
	})
	report := len(counts) > 0 || l.reported
	l.reported = len(counts) > 0
	return counts, report
}

func addPending(pending []PendingCount, c PendingCount) []PendingCount {
	i := slices.IndexFunc(pending, func(o PendingCount) bool { return o.Group == c.Group && o.Age == c.Age })
	if i < 0 {
		return append(pending, c)
	}
	pending[i].N += c.N
	return pending
}

// bucketLower returns the lower bound of a bucket.
func bucketLower(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return bucketUpper(i - 1)
}
