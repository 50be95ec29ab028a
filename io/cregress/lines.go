package cregress

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

// refusalLines is how many refused offers an exit logs a second. At a full service each
// request is refused by several exits, and logging all would cost more than serving.
const refusalLines = 10

// lines bounds the lines of one kind. It is safe for concurrent use.
type lines struct {
	mu     sync.Mutex
	second int64
	n      int
}

// allow reports whether one more line may be written now.
func (l *lines) allow(now crid.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := int64(now) / int64(time.Second); second != l.second {
		l.second, l.n = second, 0
	}
	l.n++
	return l.n <= refusalLines
}
