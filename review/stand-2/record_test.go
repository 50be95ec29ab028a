package stand2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	runs    map[string]int
	list    []targetRun
}

// targetRun is a request that a target began to run.
type targetRun struct {
	target string
	at     time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now(), runs: make(map[string]int)}, nil
}

func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes a line. The caller holds the lock.
func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) ran(id, target, what, tenant, deadline string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.list = append(r.list, targetRun{target, time.Now()})
	r.line("request %s runs at target %s (%s, tenant %q, deadline %s ms)", id, target, what, tenant, deadline)
}

func (r *record) ended(id, target, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("request %s: its run at target %s ends: %s", id, target, how)
}

// runsOf returns how often a request ran.
func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// targetsBetween returns the number of targets at which requests began to run in a span.
func (r *record) targetsBetween(from, to time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool)
	for _, run := range r.list {
		if !run.at.Before(from) && run.at.Before(to) {
			seen[run.target] = true
		}
	}
	return len(seen)
}
