package crhealth

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
)

// Result is how one attempt on a target ended.
type Result uint8

// The results of an attempt.
const (
	ResultOK          Result = iota + 1
	ResultFailed             // 5xx answer, or the exit could not connect to the target
	ResultWrong              // identity echo or known answer did not match
	ResultStalled            // no answer within the timeout
	ResultShed               // turned away by overload; never counts as sickness
	ResultUnreachable        // this daemon could not reach the exit; for local avoidance, not sickness
)

// ProbeAccount is the account under which probes are recorded. Probes are the
// daemon's own requests, so no caller can bring about their result.
const ProbeAccount crid.Account = ""

// idleDrains is the number of drains without a record after which a target's
// counters are dropped.
const idleDrains = 1200

// Recorder counts the results of attempts. It is safe for concurrent use by
// traffic goroutines; nothing in Record waits for the control goroutine.
type Recorder struct {
	mu    sync.RWMutex
	cells map[crid.Target]*cell
}

// cell holds one target's counters since the last drain.
type cell struct {
	groups  [groupCount]groupCell
	latency [bucketCount]atomic.Uint32
	hint    atomic.Bool
	idle    int // drains without a record; owned by Drain
}

type groupCell struct {
	n, bad, wrong atomic.Uint32
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{cells: make(map[crid.Target]*cell)}
}

// Record counts one attempt. The latency counts only for ResultOK, from the
// forward to the head of the answer.
func (r *Recorder) Record(target crid.Target, result Result, latency time.Duration, account crid.Account) {
	if result == ResultShed || result == ResultUnreachable {
		return
	}
	c := r.cell(target)
	g := &c.groups[groupOf(account)]
	g.n.Add(1)
	switch result {
	case ResultOK:
		c.latency[bucketOf(latency)].Add(1)
	case ResultWrong:
		g.wrong.Add(1)
		g.bad.Add(1)
	default:
		g.bad.Add(1)
	}
}

// Hint notes whether the target's own health or load report looks bad. Reports
// lag and mislead: a bad one hastens an ejection that the results call for, and
// neither kind does anything else.
func (r *Recorder) Hint(target crid.Target, bad bool) { r.cell(target).hint.Store(bad) }

func (r *Recorder) cell(target crid.Target) *cell {
	r.mu.RLock()
	c := r.cells[target]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cells[target] == nil {
		r.cells[target] = &cell{}
	}
	return r.cells[target]
}

// Drain returns what was recorded since the last call, sorted by target, and
// starts anew. An attempt recorded meanwhile may be split between two drains.
func (r *Recorder) Drain() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	var samples []Sample
	for target, c := range r.cells {
		s := c.drain(target)
		if len(s.Groups) > 0 {
			samples = append(samples, s)
			c.idle = 0
			continue
		}
		if c.idle++; c.idle > idleDrains {
			delete(r.cells, target)
		}
	}
	slices.SortFunc(samples, func(a, b Sample) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return samples
}

func (c *cell) drain(target crid.Target) Sample {
	s := Sample{Target: target, Hint: c.hint.Load()}
	for i := range c.groups {
		g := &c.groups[i]
		n := g.n.Swap(0)
		if n == 0 {
			continue
		}
		s.Groups = append(s.Groups, Group{Index: uint8(i), N: n, Bad: g.bad.Swap(0), Wrong: g.wrong.Swap(0)})
	}
	for i := range c.latency {
		if n := c.latency[i].Swap(0); n > 0 {
			s.Latency = append(s.Latency, Bucket{Index: uint8(i), N: n})
		}
	}
	return s
}

// groupOf maps an account to its group; group 0 is for probes alone. All
// daemons agree on it, so that their counts can be added.
func groupOf(account crid.Account) int {
	if account == ProbeAccount {
		return 0
	}
	return 1 + int(xxhash.Sum64String(string(account))%(groupCount-1))
}
