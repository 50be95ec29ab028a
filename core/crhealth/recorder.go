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

// Result is the outcome of one attempt on a target.
type Result uint8

// Results of an attempt.
const (
	ResultOK          Result = iota + 1
	ResultFailed             // 5xx response, or the exit could not connect to the target
	ResultWrong              // the identity echo or the known answer did not match
	ResultStalled            // no response within the timeout
	ResultShed               // rejected because of overload; does not count against the target
	ResultUnreachable        // this daemon could not reach the exit; counts for local avoidance only
)

// ProbeAccount is the account that probes are recorded under. Probes are the daemon's
// own requests, so that callers cannot influence their results.
const ProbeAccount crid.Account = ""

// maxIdleDrains is the number of drains without an attempt after which the counters of
// a target are removed.
const maxIdleDrains = 1200

// Recorder counts the results of attempts. It is safe for concurrent use by traffic
// goroutines. Record does not wait for the control goroutine.
type Recorder struct {
	mu       sync.RWMutex
	counters map[crid.Target]*targetCounters
}

// targetCounters holds the counters of one target since the last drain.
type targetCounters struct {
	groups            [groupCount]groupCounter
	latency           [bucketCount]atomic.Uint32
	reportedUnhealthy atomic.Bool
	pending           pendingList
	idle              int // drains without an attempt; owned by Drain
}

// groupCounter packs the three counts of a group into one word, so that a drain does not
// read a bad attempt without its attempt. Each field counts up to a million; a drain
// follows every 50 ms.
type groupCounter struct {
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

func (g *groupCounter) add(one uint64) { g.packed.Add(one) }

func (g *groupCounter) swap() tally {
	if g.packed.Load() == 0 {
		return tally{}
	}
	v := g.packed.Swap(0)
	return tally{n: uint32(v & countMask), bad: uint32(v >> badShift & countMask), wrong: uint32(v >> wrongShift & countMask)}
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{counters: make(map[crid.Target]*targetCounters)}
}

// Record counts one attempt. The latency counts only for ResultOK; it is measured from
// the forwarding of the request to the response header.
func (r *Recorder) Record(target crid.Target, result Result, latency time.Duration, account crid.Account) {
	if result == ResultShed || result == ResultUnreachable {
		return
	}
	group := groupOf(account)
	r.withCounters(target, func(c *targetCounters) { c.count(group, result, latency) })
}

func (c *targetCounters) count(group int, result Result, latency time.Duration) {
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

// SetReportedUnhealthy records whether the target itself reports that it is unhealthy or
// overloaded. The report may be late or wrong. If the results justify an ejection, a
// report of true reduces the confirmations needed by one; it has no other effect.
func (r *Recorder) SetReportedUnhealthy(target crid.Target, unhealthy bool) {
	r.withCounters(target, func(c *targetCounters) { c.reportedUnhealthy.Store(unhealthy) })
}

// Begin records an attempt that has been sent and has no response yet. The caller ends
// it when its response begins or it is abandoned.
func (r *Recorder) Begin(target crid.Target, account crid.Account, now crid.Instant) *PendingAttempt {
	group := uint8(groupOf(account))
	var a *PendingAttempt
	r.withCounters(target, func(c *targetCounters) { a = c.pending.begin(group, now) })
	return a
}

// withCounters calls do on the counters of a target while no drain can remove them: what
// is recorded in removed counters is lost.
func (r *Recorder) withCounters(target crid.Target, do func(c *targetCounters)) {
	r.mu.RLock()
	if c := r.counters[target]; c != nil {
		do(c)
		r.mu.RUnlock()
		return
	}
	r.mu.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counters[target]
	if c == nil {
		c = &targetCounters{}
		r.counters[target] = c
	}
	do(c)
}

// Drain returns the samples since the last call, sorted by target, with the attempts
// that are pending now. Only one goroutine may call it. An attempt that is recorded
// during the call may be split between two drains.
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

// snapshot copies the map, so that a drain does not block traffic.
func (r *Recorder) snapshot() map[crid.Target]*targetCounters {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.counters)
}

// dropIdle removes idle targets. It keeps a target with an attempt since its drain,
// and one with a pending attempt, which would otherwise be missing from the evidence.
func (r *Recorder) dropIdle(idle []crid.Target, now crid.Instant) []Sample {
	if len(idle) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var late []Sample
	for _, target := range idle {
		c := r.counters[target]
		if s, reported := c.drain(target, now); reported {
			late = append(late, s)
			c.idle = 0
			continue
		}
		if !c.pending.hasAny() {
			delete(r.counters, target)
		}
	}
	return late
}

// drain also reports whether the sample contains anything.
func (c *targetCounters) drain(target crid.Target, now crid.Instant) (Sample, bool) {
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

// groupOf maps an account to its group. probeGroup is only for probes. All daemons use
// the same mapping, so that their counts can be added.
func groupOf(account crid.Account) int {
	if account == ProbeAccount {
		return probeGroup
	}
	return 1 + int(xxhash.Sum64String(string(account))%(groupCount-1))
}
