// Package crhead bounds the memory that request heads take: each head by its size, and all heads that
// share a budget by their estimated memory.
//
// Clients may send heads of any form. A parsed field takes many times the bytes of a short line, so lines
// are counted as well as bytes.
//
// # Usage
//
//	budget := crhead.NewBudget(8 << 20)
//	head := budget.NewHead()
//	err := head.Add(data, limit) // after each read
//	head.Release()               // when the request has ended
package crhead

import (
	"bytes"
	"errors"
	"sync"
)

// Errors of heads that are refused.
var (
	// ErrTooLarge reports a head that exceeds the limit for one head.
	ErrTooLarge = errors.New("the head of the request is too large")
	// ErrOverBudget reports that other heads take the memory that this one needs.
	ErrOverBudget = errors.New("the heads of other requests take all memory for heads")
)

const (
	// lineBytes is the estimated memory of a parsed field and of the copies that are forwarded,
	// without the bytes of its text.
	lineBytes = 384
	// textCopies is the estimated number of copies of the text of a head.
	textCopies = 2
	// requestBytes is the estimated memory of a request that runs concurrently with others of its
	// connection, without its head.
	requestBytes = 8 << 10
	// freeBytes is the memory of the first head of a connection that is not charged to the budget, so that
	// ordinary heads are accepted when large ones take all of it. It is bounded by the number of connections.
	freeBytes = 16 << 10
)

// Budget is the memory that heads may take. It is safe for concurrent use.
type Budget struct {
	limit int

	mu   sync.Mutex
	used int
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Used returns the estimated bytes that are charged.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// charge replaces a charge by a larger one. It reports false if that exceeds the budget. A single charge is
// always accepted: its size is bounded by the limit for one head.
func (b *Budget) charge(old, charge int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.used - old
	if charge > old && others > 0 && others+charge > b.limit {
		return false
	}
	b.used = others + charge
	return true
}

// NewHead returns the account of the head of a request that is the only one on its connection.
func (b *Budget) NewHead() *Head { return &Head{budget: b, free: freeBytes} }

// NewConcurrentHead returns the account of the head of a request that runs concurrently with others of its
// connection.
func (b *Budget) NewConcurrentHead() *Head { return &Head{budget: b, fixed: requestBytes} }

// Head is the account of one head. It is not safe for concurrent use.
type Head struct {
	budget      *Budget
	free, fixed int // bytes
	size, lines int
	charged     int
}

// Add counts bytes of the head. Limit bounds the bytes of the whole head. The error is ErrTooLarge or
// ErrOverBudget; the bytes are then not charged, and the head is to be refused.
func (h *Head) Add(p []byte, limit int) error {
	h.size += len(p)
	h.lines += bytes.Count(p, []byte{'\n'})
	if h.size > limit {
		return ErrTooLarge
	}
	charge := h.fixed + textCopies*h.size + lineBytes*h.lines - h.free
	if charge <= h.charged {
		return nil
	}
	if !h.budget.charge(h.charged, charge) {
		return ErrOverBudget
	}
	h.charged = charge
	return nil
}

// Size returns the bytes that have been added.
func (h *Head) Size() int { return h.size }

// Release gives the memory back, and begins the next head.
func (h *Head) Release() {
	if h.charged > 0 {
		h.budget.charge(h.charged, 0)
	}
	h.size, h.lines, h.charged = 0, 0, 0
}
