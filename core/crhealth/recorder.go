package crhealth

import (
	"maps"
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
const maxIdleDrains = 1200

// Recorder counts the results of attempts. It is safe for concurrent use by
// traffic goroutines; nothing in Record waits for the control goroutine.
type Recorder struct {
	mu    sync.RWMutex
	cells map[crid.Target]*cell
}

// cell holds one target's counters since the last drain.
type cell struct {
	groups            [groupCount]groupCell
	latency           [bucketCount]atomic.Uint32
	reportedUnhealthy atomic.Bool
	pending           pendingList
	idle              int // drains without a record; owned by Drain
}

// groupCell packs the three counts of a group into one word, so that a drain
// never sees a bad attempt without its attempt. A drain comes every 50 ms; the
// fields hold a million each.
type groupCell struct {
	packed atomic.Uint64
}

const (
	badShift   = 20
	wrongShift = 40
	countMask  = 1<<badShift - 1
	oneOK      = uint64(1)
	oneBad     = oneOK | 1<<badShift
	oneWrong   = oneBad | 1<<wrongShift
)

func (g *groupCell) add(one uint64) { g.packed.Add(one) }

func (g *groupCell) swap() tally {
	if g.packed.Load() == 0 {
		return tally{}
	}
	v := g.packed.Swap(0)
	return tally{n: uint32(v & countMask), bad: uint32(v >> badShift & countMask), wrong: uint32(v >> wrongShift & countMask)}
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
	group := groupOf(account)
	r.withCell(target, func(c *cell) { c.count(group, result, latency) })
}

func (c *cell) count(group int, result Result, latency time.Duration) {
	g := &c.groups[group]
	switch result {
	case ResultOK:
		g.add(oneOK)
		c.latency[bucketOf(latency)].Add(1)
	case ResultWrong:
		g.add(oneWrong)
	default:
		g.add(oneBad)
	}
}

// SetReportedUnhealthy notes whether the target's own health or load report looks bad. Reports
// lag and mislead: a bad one hastens an ejection that the results call for, and
// neither kind does anything else.
func (r *Recorder) SetReportedUnhealthy(target crid.Target, bad bool) {
	r.withCell(target, func(c *cell) { c.reportedUnhealthy.Store(bad) })
}

// Begin notes an attempt that has been sent and has no answer yet; the caller
// ends it with the first word on its outcome.
func (r *Recorder) Begin(target crid.Target, account crid.Account, now crid.Instant) *PendingAttempt {
	group := uint8(groupOf(account))
	var w *PendingAttempt
	r.withCell(target, func(c *cell) { w = c.pending.begin(group, now) })
	return w
}

// on does something to a target's cell before any drain can drop the cell: what
// is noted in a cell after that is told to nobody.
func (r *Recorder) withCell(target crid.Target, do func(c *cell)) {
	r.mu.RLock()
	if c := r.cells[target]; c != nil {
		do(c)
		r.mu.RUnlock()
		return
	}
	r.mu.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cells[target]
	if c == nil {
		c = &cell{}
		r.cells[target] = c
	}
	do(c)
}

// Drain returns what was recorded since the last call, sorted by target, and
// starts anew, with what is without an answer at present; one goroutine calls it.
// An attempt recorded meanwhile may be split between two drains.
func (r *Recorder) Drain(now crid.Instant) []Sample {
	var samples []Sample
	var idle []crid.Target
	for target, c := range r.snapshot() {
		s, reported := c.drain(target, now)
		if reported {
			samples = append(samples, s)
			c.idle = 0
			continue
		}
		if c.idle++; c.idle > maxIdleDrains {
			idle = append(idle, target)
		}
	}
	samples = append(samples, r.dropIdle(idle, now)...)
	slices.SortFunc(samples, func(a, b Sample) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return samples
}

// snapshot copies the map, so that draining does not keep traffic waiting.
func (r *Recorder) snapshot() map[crid.Target]*cell {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.cells)
}

// drop forgets targets without a record for long. One that got a record since its
// drain stays, and so does one on whose answer an attempt waits: else that
// attempt would be missing from the evidence.
func (r *Recorder) dropIdle(idle []crid.Target, now crid.Instant) []Sample {
	if len(idle) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var late []Sample
	for _, target := range idle {
		c := r.cells[target]
		if s, reported := c.drain(target, now); reported {
			late = append(late, s)
			c.idle = 0
			continue
		}
		if !c.pending.hasAny() {
			delete(r.cells, target)
		}
	}
	return late
}

// drain also reports whether the sample tells anything.
func (c *cell) drain(target crid.Target, now crid.Instant) (Sample, bool) {
	s := Sample{Target: target, ReportedUnhealthy: c.reportedUnhealthy.Load()}
	var reported bool
	s.Pending, reported = c.pending.counts(now)
	for i := range c.groups {
		if t := c.groups[i].swap(); t.n > 0 {
			s.Groups = append(s.Groups, Group{Index: uint8(i), N: t.n, Bad: t.bad, Wrong: t.wrong})
		}
	}
	for i := range c.latency {
		if c.latency[i].Load() == 0 {
			continue
		}
		s.Latency = append(s.Latency, Bucket{Index: uint8(i), N: c.latency[i].Swap(0)})
	}
	return s, reported || len(s.Groups) > 0
}

// groupOf maps an account to its group; group 0 is for probes alone. All
// daemons agree on it, so that their counts can be added.
func groupOf(account crid.Account) int {
	if account == ProbeAccount {
		return 0
	}
	return 1 + int(xxhash.Sum64String(string(account))%(groupCount-1))
}
