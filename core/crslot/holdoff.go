package crslot

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

const (
	// holdoffRow is how many shed answers in a row, of all entries together, show
	// that a target answers nothing else.
	holdoffRow  = 2
	holdoffBase = time.Second
	// holdoffShifts bounds the doublings of holdoffBase: eight seconds at most.
	holdoffShifts = 3
)

// OverloadBackoff keeps once requests from a target that only sheds. Such a request can
// not be tried elsewhere after its target has turned it away, so that its caller
// is refused, while one that the exit holds off is proved not to have run, and goes
// to another target. Repeat requests go on and show when the target is back.
//
// While all the shed answers are one account's, only that account is held off: an
// upstream may turn away an account for reasons of its own, and the others must
// not lose the target by it.
//
// It is safe for concurrent use.
type OverloadBackoff struct {
	mu      sync.Mutex
	row     int
	account crid.Account // of the row's first shed answer
	mixed   bool         // the row has several accounts'
	until   crid.Instant
}

// RecordOverload notes a shed answer.
func (h *OverloadBackoff) RecordOverload(account crid.Account, now crid.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.row == 0 {
		h.account = account
	}
	h.mixed = h.mixed || account != h.account
	h.row++
	if h.row < holdoffRow {
		return
	}
	h.until = now.Add(holdoffBase << min(h.row-holdoffRow, holdoffShifts))
}

// RecordAccepted notes any other answer: the target takes work.
func (h *OverloadBackoff) RecordAccepted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.row, h.mixed, h.until = 0, false, 0
}

// Remaining is how long the account's once requests are still held off; zero: they are
// not.
func (h *OverloadBackoff) Remaining(account crid.Account, now crid.Instant) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mixed && account != h.account {
		return 0
	}
	return max(0, h.until.Sub(now))
}
