package crentry

import (
	"sync"
	"time"
)

// idleTimer ends a read or write that made no progress within the idle timeout. All waits
// share one timer, so that a wait allocates nothing. The methods of a nil idleTimer do
// nothing.
type idleTimer struct {
	timeout time.Duration
	timer   *time.Timer

	mu          sync.Mutex
	closed      bool
	setDeadline func(deadline time.Time) error
}

// newIdleTimer returns a stopped idleTimer. When it expires, it calls setDeadline with a
// deadline in the past. setDeadline sets the read or write deadline of a response
// controller.
func newIdleTimer(timeout time.Duration, setDeadline func(time.Time) error) *idleTimer {
	t := &idleTimer{timeout: timeout, setDeadline: setDeadline}
	t.timer = time.AfterFunc(timeout, t.fire)
	t.timer.Stop()
	return t
}

func (t *idleTimer) start() {
	if t != nil {
		t.timer.Reset(t.timeout)
	}
}

func (t *idleTimer) stop() {
	if t != nil {
		t.timer.Stop()
	}
}

// fire holds the lock that close takes: the HTTP/2 server of net/http panics if a
// deadline is set after the handler has returned.
func (t *idleTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		_ = t.setDeadline(time.Unix(1, 0))
	}
}

// close stops the timer permanently. The handler calls it before it returns.
func (t *idleTimer) close() {
	if t == nil {
		return
	}
	t.timer.Stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}
