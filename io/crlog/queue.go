package crlog

import (
	"context"
	"io"
	"sync/atomic"
)

// queueLines is the number of lines that may wait for a slow reader: a second of
// a daemon under heavy load.
const queueLines = 1024

// Queue is a writer that never blocks. Lines that its reader does not take in
// time are dropped and counted: a stalled reader of the log must not stall the
// requests that the lines are about.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue; Run empties it.
func NewQueue() *Queue { return &Queue{lines: make(chan []byte, queueLines)} }

// Write implements io.Writer. It never fails.
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the last call.
func (q *Queue) Dropped() int64 { return q.dropped.Swap(0) }

// Run writes lines until the context ends, then those that still wait.
func (q *Queue) Run(ctx context.Context, w io.Writer) error {
	for {
		select {
		case line := <-q.lines:
			if _, err := w.Write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return q.flush(w)
		}
	}
}

func (q *Queue) flush(w io.Writer) error {
	for {
		select {
		case line := <-q.lines:
			if _, err := w.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}
