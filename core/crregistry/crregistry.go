// Package crregistry keeps the list of targets as the store tells it, and knows
// how far the store may be believed.
//
// While the store is away, records run out though their targets live, so that a
// record missing after an outage is held for a moment. A record that goes while
// the store is well means that its target leaves.
//
// # Usage
//
//	reg := crregistry.New(1700 * time.Millisecond)
//	reg.Replace(now, changes, revision)
//	reg.Apply(now, changes, revision)
//	for _, r := range reg.Records() { ... }
package crregistry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphorroad/core/crid"
)

// Record is what a target says of itself in the store.
type Record struct {
	Target        crid.Target
	Service       crid.Service
	Address       string // host and port, as its own machine reaches it
	Domain        crid.Domain
	Slots         int
	Leaving       bool
	Warmup        time.Duration // for which it is still slow after its start
	StartedMillis int64         `cbor:"Born" json:"Born"` // Unix milliseconds of its start by its own clock; zero: not told
}

// Change is a record as written, or that it went.
type Change struct {
	Key      string
	Revision crid.Revision
	Record   *Record // nil: removed, or not readable, which names no target
}

type entry struct {
	record   Record
	revision crid.Revision
	missing  bool // missing after an outage
}

// Registry is the list of targets. It is not safe for concurrent use.
type Registry struct {
	grace        time.Duration // for which a record missing after an outage is held
	records      map[string]*entry
	revision     crid.Revision
	latestChange crid.Revision
	storeDown    bool
	storeBackAt  crid.Instant // when the store last came back; zero: it was never away
}

// New returns an empty registry. Lapse is how long a record that went missing in
// an outage is held after the store's return.
func New(lapse time.Duration) *Registry {
	return &Registry{grace: lapse, records: make(map[string]*entry)}
}

// Revision is the store's revision that the registry stands at.
func (g *Registry) Revision() crid.Revision { return g.revision }

// LatestChange is the revision of the latest change that the registry knows. A list
// read from the store stands at a later one as a rule, since other parts of the
// store change, too; peers that know the same changes lack nothing of it.
func (g *Registry) LatestChange() crid.Revision { return g.latestChange }

// MarkStoreUnavailable notes that the store cannot be read.
func (g *Registry) MarkStoreUnavailable() { g.storeDown = true }

// MarkStoreAvailable notes that the store can be read again.
func (g *Registry) MarkStoreAvailable(now crid.Instant) {
	if !g.storeDown {
		return
	}
	g.storeDown = false
	g.storeBackAt = now
}

// unsure reports whether a missing record may belong to a live target.
func (g *Registry) inGrace(now crid.Instant) bool {
	return g.storeDown || (g.storeBackAt != 0 && now.Sub(g.storeBackAt) < g.grace)
}

// Replace takes a whole list, read at a revision.
func (g *Registry) Replace(now crid.Instant, list []Change, at crid.Revision) {
	present := make(map[string]bool, len(list))
	for _, c := range list {
		present[c.Key] = true
		g.apply(now, c)
	}
	for key := range g.records {
		if !present[key] {
			g.remove(now, key)
		}
	}
	g.revision = max(g.revision, at)
}

// Apply takes changes in the order of their revisions.
func (g *Registry) Apply(now crid.Instant, changes []Change, at crid.Revision) {
	for _, c := range changes {
		g.apply(now, c)
	}
	g.revision = max(g.revision, at)
}

func (g *Registry) apply(now crid.Instant, c Change) {
	g.latestChange = max(g.latestChange, c.Revision)
	old := g.records[c.Key]
	if old != nil && c.Revision < old.revision {
		return
	}
	if c.Record == nil {
		g.remove(now, c.Key)
		return
	}
	g.records[c.Key] = &entry{record: *c.Record, revision: c.Revision}
}

func (g *Registry) remove(now crid.Instant, key string) {
	h := g.records[key]
	if h == nil {
		return
	}
	// A target that said that it leaves, and then went, did not lapse.
	if g.inGrace(now) && !h.record.Leaving {
		h.missing = true
		return
	}
	delete(g.records, key)
}

// Sweep drops the records that stayed missing after an outage; it reports
// whether there were any.
func (g *Registry) Sweep(now crid.Instant) bool {
	if g.inGrace(now) {
		return false
	}
	before := len(g.records)
	maps.DeleteFunc(g.records, func(_ string, h *entry) bool { return h.missing })
	return len(g.records) != before
}

// Records returns the records sorted by target. Of two at one address the later
// one counts: the address has passed on, and the other's target is gone.
func (g *Registry) Records() []Record {
	latest := make(map[string]*entry, len(g.records))
	for _, h := range g.records {
		if other, ok := latest[h.record.Address]; !ok || newer(h, other) {
			latest[h.record.Address] = h
		}
	}
	out := make([]Record, 0, len(latest))
	for _, h := range latest {
		out = append(out, h.record)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

func newer(a, b *entry) bool {
	if a.record.Leaving != b.record.Leaving {
		return b.record.Leaving
	}
	if a.record.StartedMillis != b.record.StartedMillis {
		return a.record.StartedMillis > b.record.StartedMillis
	}
	return a.revision > b.revision
}
