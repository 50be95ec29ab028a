package crentry

import (
	"sync"
	"time"
)

// guard ends a read or write that has moved nothing for too long. One timer is
// used again for each wait, so that a wait allocates nothing. A nil guard guards
// nothing.
type guard struct {
	idle  time.Duration
	timer *time.Timer

	mu   sync.Mutex
	done bool
	cut  func(deadline time.Time) error
}

// newGuard returns a guard that calls cut with a deadline in the past; cut is
// the read or write deadline of a response controller.
func newGuard(idle time.Duration, cut func(time.Time) error) *guard {
	g := &guard{idle: idle, cut: cut}
	g.timer = time.AfterFunc(idle, g.fire)
	g.timer.Stop()
	return g
}

func (g *guard) begin() {
	if g != nil {
		g.timer.Reset(g.idle)
	}
}

func (g *guard) end() {
	if g != nil {
		g.timer.Stop()
	}
}

// fire runs under the lock that close takes: net/http's HTTP/2 side panics when
// a deadline is set after the handler has returned.
func (g *guard) fire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.done {
		_ = g.cut(time.Unix(1, 0))
	}
}

// close stops the guard for good; the handler calls it before it returns.
func (g *guard) close() {
	if g == nil {
		return
	}
	g.timer.Stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
}
