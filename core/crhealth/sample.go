package crhealth

import (
	"iter"
	"math"
	"time"

	"camphorroad/core/crid"
)

const (
	// groupCount is the number of groups that accounts are hashed to, and of probeGroup.
	// Counts by group take a fixed space for any number of accounts, and still
	// distinguish the failures of one account from those of many.
	groupCount = 17
	// probeGroup is the group of the probes.
	probeGroup = 0
	// bucketCount is the number of latency buckets, from below bucketBase to above 30
	// s. The bounds of a bucket differ by a factor of the square root of two.
	bucketCount = 36
	bucketBase  = 250 * time.Microsecond
)

// Group is the count of one group of accounts.
type Group struct {
	_     struct{} `cbor:",toarray"`
	Index uint8
	N     uint32 // attempts
	Bad   uint32 // failed, stalled or wrong
	Wrong uint32
}

// Bucket is the count of one latency bucket.
type Bucket struct {
	_     struct{} `cbor:",toarray"`
	Index uint8
	N     uint32
}

// Sample is what was recorded for one target over some time.
type Sample struct {
	Target            crid.Target    `cbor:"t"`
	Groups            []Group        `cbor:"g"`
	Latency           []Bucket       `cbor:"l"`
	ReportedUnhealthy bool           `cbor:"h,omitempty"` // the target itself reports that it is unhealthy or overloaded
	Pending           []PendingCount `cbor:"w,omitempty"` // attempts without a response now; replaces that of the previous sample
}

func bucketOf(d time.Duration) int {
	if d <= bucketBase {
		return 0
	}
	i := int(math.Ceil(2 * math.Log2(float64(d)/float64(bucketBase))))
	return min(i, bucketCount-1)
}

// bucketUpper returns the upper bound of a bucket.
func bucketUpper(i int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Pow(2, float64(i)/2))
}

// bucketMidpoint returns the geometric mean of a bucket's bounds.
func bucketMidpoint(i int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Pow(2, (float64(i)-0.5)/2))
}

// tally counts attempts.
type tally struct {
	n, bad, wrong uint32
}

func (t *tally) add(o tally) {
	t.n += o.n
	t.bad += o.bad
	t.wrong += o.wrong
}

func (t tally) without(o tally) tally {
	return tally{n: t.n - o.n, bad: t.bad - o.bad, wrong: t.wrong - o.wrong}
}

func (t tally) badRate() float64 { return t.share(t.bad) }

func (t tally) wrongRate() float64 { return t.share(t.wrong) }

func (t tally) share(count uint32) float64 {
	if t.n == 0 {
		return 0
	}
	return float64(count) / float64(t.n)
}

// counts is the merged evidence on one target over some time.
type counts struct {
	groups            [groupCount]tally
	latency           [bucketCount]uint32
	senders           map[crid.Daemon]tally
	reportedUnhealthy bool
}

func (c *counts) addSample(from crid.Daemon, s Sample) {
	var sum tally
	for _, g := range s.Groups {
		if int(g.Index) >= groupCount || g.Bad > g.N || g.Wrong > g.Bad {
			continue
		}
		t := tally{n: g.N, bad: g.Bad, wrong: g.Wrong}
		c.groups[g.Index].add(t)
		sum.add(t)
	}
	for _, b := range s.Latency {
		if int(b.Index) < bucketCount {
			c.latency[b.Index] += b.N
		}
	}
	c.reportedUnhealthy = c.reportedUnhealthy || s.ReportedUnhealthy
	c.addSender(from, sum)
}

func (c *counts) addSender(from crid.Daemon, sum tally) {
	if c.senders == nil {
		c.senders = make(map[crid.Daemon]tally)
	}
	t := c.senders[from]
	t.add(sum)
	c.senders[from] = t
}

func (c *counts) merge(o *counts) {
	for i, t := range o.groups {
		c.groups[i].add(t)
	}
	for i, n := range o.latency {
		c.latency[i] += n
	}
	for from, t := range o.senders {
		c.addSender(from, t)
	}
	c.reportedUnhealthy = c.reportedUnhealthy || o.reportedUnhealthy
}

func (c *counts) total() tally {
	var sum tally
	for _, t := range c.groups {
		sum.add(t)
	}
	return sum
}

// median returns the number of responses and their median latency.
func (c *counts) median() (uint32, time.Duration) {
	var n uint32
	for _, k := range c.latency {
		n += k
	}
	if n == 0 {
		return 0, 0
	}
	var seen uint32
	for i, k := range c.latency {
		seen += k
		if 2*seen >= n {
			return n, bucketMidpoint(i)
		}
	}
	return n, bucketMidpoint(bucketCount - 1)
}

// Evidence is kept for sliceCount slices of time.
const (
	sliceLength = 250 * time.Millisecond
	sliceCount  = 40
)

// window holds the evidence on one target by time of arrival.
type window struct {
	slices [sliceCount]counts
	index  [sliceCount]int64
}

func (w *window) add(now crid.Instant, from crid.Daemon, s Sample) {
	index := int64(now) / int64(sliceLength)
	i := index % sliceCount
	if w.index[i] != index {
		w.slices[i] = counts{}
		w.index[i] = index
	}
	w.slices[i].addSample(from, s)
}

// sum merges the slices of the last span.
func (w *window) sum(now crid.Instant, span time.Duration) *counts {
	merged := &counts{}
	for c := range w.recent(now, span) {
		merged.merge(c)
	}
	return merged
}

// responses counts the responses of the last span.
func (w *window) responses(now crid.Instant, span time.Duration) uint32 {
	var n uint32
	for c := range w.recent(now, span) {
		for _, k := range c.latency {
			n += k
		}
	}
	return n
}

// recent iterates over the slices of the last span.
func (w *window) recent(now crid.Instant, span time.Duration) iter.Seq[*counts] {
	newest := int64(now) / int64(sliceLength)
	oldest := newest - int64(span/sliceLength)
	return func(yield func(*counts) bool) {
		for i := range w.slices {
			if w.index[i] > oldest && w.index[i] <= newest && !yield(&w.slices[i]) {
				return
			}
		}
	}
}
