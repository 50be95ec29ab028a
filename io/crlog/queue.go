package crlog

import (
	"context"
	"io"
	"sync/atomic"
)

// queueLines is the number of lines that are buffered for a slow reader: about one
// second of output of a daemon under heavy load.
const queueLines = 1024

// Queue is a writer that never blocks. It buffers lines until Run writes them.
// Lines that do not fit into the buffer are dropped and counted: a stalled reader
// of the log must not delay requests.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns an empty queue. Nothing is written out until Run is called.
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

// Run writes buffered lines to w until ctx ends, then flushes the rest.
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
