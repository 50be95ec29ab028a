package crhealth

import (
	"slices"
	"sync"
	"time"

	"camphorroad/core/crid"
)

// waitLeast is the age at which an attempt without an answer is told of. Younger
// ones are no evidence, whatever the service, and would only cost bytes.
const waitLeast = 500 * time.Millisecond

// Wait is the count of attempts of one group of accounts that are without an
// answer at the moment of the sample, by age.
type Wait struct {
	_     struct{} `cbor:",toarray"`
	Group uint8
	Age   uint8 // a latency bucket
	N     uint32
}

// Waiting is an attempt whose answer has not begun. It is for one goroutine at a
// time.
type Waiting struct {
	list  *waitList
	id    uint64
	group uint8
	began crid.Instant
}

// End takes the attempt off: its answer has begun, or it is given up. A second
// call does nothing.
func (w *Waiting) End() {
	w.list.mu.Lock()
	defer w.list.mu.Unlock()
	delete(w.list.open, w.id)
}

// waitList holds the attempts on one target that are without an answer.
type waitList struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]*Waiting
	told bool // the last drain told of some
}

func (l *waitList) begin(group uint8, now crid.Instant) *Waiting {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[uint64]*Waiting)
	}
	l.next++
	w := &Waiting{list: l, id: l.next, group: group, began: now}
	l.open[w.id] = w
	return w
}

// any reports whether an attempt is without an answer.
func (l *waitList) any() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) > 0
}

// waits counts those of waitLeast and more, sorted. It also reports whether there
// is something to tell: some, or none after some.
func (l *waitList) waits(now crid.Instant) ([]Wait, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var waits []Wait
	for _, w := range l.open {
		if age := now.Sub(w.began); age >= waitLeast {
			waits = addWait(waits, Wait{Group: w.group, Age: uint8(bucketOf(age)), N: 1})
		}
	}
	slices.SortFunc(waits, func(a, b Wait) int {
		if a.Group != b.Group {
			return int(a.Group) - int(b.Group)
		}
		return int(a.Age) - int(b.Age)
	})
	tell := len(waits) > 0 || l.told
	l.told = len(waits) > 0
	return waits, tell
}

func addWait(waits []Wait, w Wait) []Wait {
	i := slices.IndexFunc(waits, func(o Wait) bool { return o.Group == w.Group && o.Age == w.Age })
	if i < 0 {
		return append(waits, w)
	}
	waits[i].N += w.N
	return waits
}

// bucketFloor is the lower end of a bucket.
func bucketFloor(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return bucketTop(i - 1)
}
