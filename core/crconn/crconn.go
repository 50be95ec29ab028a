// Package crconn bounds the open connections of a listener. When the bound is reached, it names the
// connection that has waited longest for a request, which is closed for a new one. Clients that
// open connections and send nothing therefore keep out no others.
//
// # Usage
//
//	table := crconn.NewTable[*Conn](1000)
//	longest, result := table.Add(conn) // result is Added, Full or Refused; with Full, close longest and try again
//	table.Busy(conn)                   // a request is handled
//	table.Wait(conn)                   // it has ended
//	table.Remove(conn)                 // the connection is closed
package crconn

import (
	"container/list"
	"sync"
)

// Result is the result of Add.
type Result uint8

// The results of Add.
const (
	Added   Result = iota + 1
	Full           // a waiting connection is to be closed first
	Refused        // requests are handled on all connections
)

// Table holds the open connections. It is safe for concurrent use.
type Table[C comparable] struct {
	limit int

	mu      sync.Mutex
	waiting *list.List // of C, the longest waiting first
	open    map[C]*list.Element
}

// NewTable returns a table for a number of connections.
func NewTable[C comparable](limit int) *Table[C] {
	return &Table[C]{limit: limit, waiting: list.New(), open: make(map[C]*list.Element)}
}

// Add adds a connection, which then waits. If the table is full, it returns the connection that has waited longest
// instead. That one is not named again before it waits anew.
func (t *Table[C]) Add(c C) (longest C, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) < t.limit {
		t.open[c] = t.waiting.PushBack(c)
		return longest, Added
	}
	front := t.waiting.Front()
	if front == nil {
		return longest, Refused
	}
	longest = t.waiting.Remove(front).(C)
	t.open[longest] = nil
	return longest, Full
}

// Busy records that a request is handled on a connection.
func (t *Table[C]) Busy(c C) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.open[c]; e != nil {
		t.waiting.Remove(e)
		t.open[c] = nil
	}
}

// Wait records that a connection waits for a request from now on.
func (t *Table[C]) Wait(c C) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.open[c]; ok && e == nil {
		t.open[c] = t.waiting.PushBack(c)
	}
}

// Replace puts a connection in the place of another, and lets it wait from now on.
func (t *Table[C]) Replace(old, c C) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remove(old) {
		t.open[c] = t.waiting.PushBack(c)
	}
}

// Remove removes a connection.
func (t *Table[C]) Remove(c C) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(c)
}

// remove reports whether the connection was open. The caller holds mu.
func (t *Table[C]) remove(c C) bool {
	e, ok := t.open[c]
	if e != nil {
		t.waiting.Remove(e)
	}
	delete(t.open, c)
	return ok
}
