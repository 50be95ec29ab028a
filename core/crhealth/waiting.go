package crhealth

import (
	"slices"
	"sync"
	"time"

	"camphorroad/core/crid"
)

// waitLeast is the age at which an attempt without an answer is told of. Younger
// ones are no evidence, whatever the service, and would only cost bytes.
const minPendingAge = 500 * time.Millisecond

// Wait is the count of attempts of one group of accounts that are without an
// answer at the moment of the sample, by age.
type PendingCount struct {
	_     struct{} `cbor:",toarray"`
	Group uint8
	Age   uint8 // a latency bucket
	N     uint32
}

// Waiting is an attempt whose answer has not begun. It is for one goroutine at a
// time.
type PendingAttempt struct {
	list  *pendingList
	id    uint64
	group uint8
	began crid.Instant
}

// End takes the attempt off: its answer has begun, or it is given up. A second
// call does nothing.
func (w *PendingAttempt) End() {
	w.list.mu.Lock()
	defer w.list.mu.Unlock()
	delete(w.list.open, w.id)
}

// waitList holds the attempts on one target that are without an answer.
type pendingList struct {
	mu       sync.Mutex
	nextID   uint64
	open     map[uint64]*PendingAttempt
	reported bool // the last drain told of some
}

func (l *pendingList) begin(group uint8, now crid.Instant) *PendingAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[uint64]*PendingAttempt)
	}
	l.nextID++
	w := &PendingAttempt{list: l, id: l.nextID, group: group, began: now}
	l.open[w.id] = w
	return w
}

// any reports whether an attempt is without an answer.
func (l *pendingList) hasAny() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) > 0
}

// waits counts those of waitLeast and more, sorted. It also reports whether there
// is something to tell: some, or none after some.
func (l *pendingList) counts(now crid.Instant) ([]PendingCount, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counts []PendingCount
	for _, w := range l.open {
		if age := now.Sub(w.began); age >= minPendingAge {
			counts = addPending(counts, PendingCount{Group: w.group, Age: uint8(bucketOf(age)), N: 1})
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

func addPending(pending []PendingCount, w PendingCount) []PendingCount {
	i := slices.IndexFunc(pending, func(o PendingCount) bool { return o.Group == w.Group && o.Age == w.Age })
	if i < 0 {
		return append(pending, w)
	}
	pending[i].N += w.N
	return pending
}

// bucketFloor is the lower end of a bucket.
func bucketLower(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return bucketUpper(i - 1)
}
