// Package crevacuation tracks which failure domains are evacuated: the operator requests
// that the targets there get no requests until the evacuation ends. The targets keep
// running. Package crregistry tracks targets that leave for good.
//
// An evacuation is stored under a key of its own, and its removal ends it. The changes
// reach a daemon from the store and from peers, in any order and more than once. The
// change with the highest revision wins for each domain, so all daemons that have received
// the same changes agree.
//
// # Usage
//
//	s := crevacuation.New()
//	if s.Apply(now, []crevacuation.Change{{Domain: "a", Revision: 17}}) { ... }
//	if s.Contains(domain) { ... }
package crevacuation

import (
	"cmp"
	"slices"

	"camphorroad/core/crid"
)

// Change starts or ends the evacuation of a domain.
type Change struct {
	Domain   crid.Domain
	Revision crid.Revision // of the store
	Ended    bool
}

// Evacuation is an evacuated domain.
type Evacuation struct {
	Domain   crid.Domain
	Revision crid.Revision // of the store, of the change that started it
	Since    crid.Instant  // when this daemon received the change
}

// Set holds the latest change of each domain. It is not safe for concurrent use.
type Set struct {
	latest   map[crid.Domain]entry
	revision crid.Revision
}

type entry struct {
	change Change
	since  crid.Instant
}

// New returns a set without evacuations.
func New() *Set { return &Set{latest: make(map[crid.Domain]entry)} }

// Apply applies changes and reports whether an evacuation has started or ended, an unseen one
// included: the end of an evacuation may be all that arrives of it. A change that is older than the
// one in force is ignored.
func (s *Set) Apply(now crid.Instant, changes []Change) bool {
	changed := false
	for _, c := range changes {
		s.revision = max(s.revision, c.Revision)
		old, ok := s.latest[c.Domain]
		if ok && c.Revision <= old.change.Revision {
			continue
		}
		e := entry{change: c, since: now}
		if ok && !old.change.Ended && !c.Ended {
			e.since = old.since
		}
		s.latest[c.Domain] = e
		changed = changed || c.Ended || !ok || old.change.Ended
	}
	return changed
}

// Contains reports whether a domain is evacuated.
func (s *Set) Contains(d crid.Domain) bool {
	e, ok := s.latest[d]
	return ok && !e.change.Ended
}

// EndOf returns the revision at which the last evacuation of a domain ended; zero: it is evacuated, or
// never was.
func (s *Set) EndOf(d crid.Domain) crid.Revision {
	if e := s.latest[d]; e.change.Ended {
		return e.change.Revision
	}
	return 0
}

// Revision returns the highest revision of a change; zero: there was none.
func (s *Set) Revision() crid.Revision { return s.revision }

// List returns the evacuated domains, sorted by name.
func (s *Set) List() []Evacuation {
	var out []Evacuation
	for d, e := range s.latest {
		if !e.change.Ended {
			out = append(out, Evacuation{Domain: d, Revision: e.change.Revision, Since: e.since})
		}
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}
