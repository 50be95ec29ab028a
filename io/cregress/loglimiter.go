package cregress

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

// maxRefusalsPerSecond bounds the refused offers that an exit logs per second. When a
// service is full, several exits refuse each request, and logging all of them would cost
// more than serving.
const maxRefusalsPerSecond = 10

// logLimiter limits log entries to maxRefusalsPerSecond. It is safe for concurrent use.
type logLimiter struct {
	mu     sync.Mutex
	second int64
	count  int
}

// allow reports whether another entry may be logged now.
func (l *logLimiter) allow(now crid.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := int64(now) / int64(time.Second); second != l.second {
		l.second, l.count = second, 0
	}
	l.count++
	return l.count <= maxRefusalsPerSecond
}
