// Package crinstance defines the platform's list of instances: the daemons of the fleet,
// their addresses and domains, the targets that they serve, and which of them are leaving.
//
// A [List] with a given revision never changes. Daemons may hold lists of different
// revisions for any length of time. core/crmember decides which list is active. A daemon
// that reads target records from the store (`camphorroad join`) uses core/crregistry
// instead.
//
// # Usage
//
//	list := crinstance.NewList(rev, instances)
//	if in, ok := list.Find("booking-3"); ok && !in.Leaving() { ... }
package crinstance

import (
	"slices"
	"strings"

	"camphorroad/core/crid"
)

// Target is one upstream that an instance serves.
type Target struct {
	Name    crid.Target  `cbor:"n" json:"name"`
	Service crid.Service `cbor:"s" json:"service"`
}

// State is the state of an instance in the platform's list.
type State uint8

// The states of an instance.
const (
	StateLive State = iota + 1
	StateLeaving
)

// Instance is one machine with a daemon and the targets it serves.
type Instance struct {
	Daemon  crid.Daemon `cbor:"d" json:"daemon"`
	Domain  crid.Domain `cbor:"m" json:"domain"`
	Addr    string      `cbor:"a" json:"addr"` // host:port of the daemon's QUIC listener
	State   State       `cbor:"t" json:"state"`
	Targets []Target    `cbor:"g" json:"targets"`
}

// Leaving reports whether the platform lists the instance as leaving.
func (in Instance) Leaving() bool { return in.State == StateLeaving }

// List is the platform's list of instances at one revision, sorted by daemon.
type List struct {
	rev       crid.Revision
	instances []Instance
}

// NewList returns a list with a sorted copy of the instances.
func NewList(rev crid.Revision, instances []Instance) List {
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b Instance) int {
		return strings.Compare(string(a.Daemon), string(b.Daemon))
	})
	return List{rev: rev, instances: sorted}
}

// Revision returns the platform's revision of the list; zero for no list.
func (l List) Revision() crid.Revision { return l.rev }

// Len returns the number of instances.
func (l List) Len() int { return len(l.instances) }

// Instances returns a copy of the instances, sorted by daemon.
func (l List) Instances() []Instance { return slices.Clone(l.instances) }

// Find returns the instance of a daemon.
func (l List) Find(d crid.Daemon) (Instance, bool) {
	i, ok := slices.BinarySearchFunc(l.instances, d, func(in Instance, d crid.Daemon) int {
		return strings.Compare(string(in.Daemon), string(d))
	})
	if !ok {
		return Instance{}, false
	}
	return l.instances[i], true
}

// Daemons returns the names of all daemons, sorted.
func (l List) Daemons() []crid.Daemon {
	names := make([]crid.Daemon, 0, len(l.instances))
	for _, in := range l.instances {
		names = append(names, in.Daemon)
	}
	return names
}

// ListUpdated notifies the reducers of a list that was read from the platform or a peer.
type ListUpdated struct {
	Now  crid.Instant
	List List
}

// At implements crevent.Event.
func (e ListUpdated) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect. A reducer that receives a list from a peer emits
// ListUpdated to its sibling reducers.
func (ListUpdated) EffectName() string { return "listed" }
