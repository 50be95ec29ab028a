// Package crview is what the traffic side sees of the control side's decisions:
// an immutable view that request goroutines read behind an atomic pointer.
//
// # Usage
//
//	view, err := crview.Build(crview.Input{Self: self, Domain: domain, Snapshot: snap, List: list})
//	holder.Store(view)
//	...
//	service, route, ok := holder.Load().Table().Match(host, method, path)
//	pool := holder.Load().Pool(service)
package crview

import (
	"maps"
	"slices"
	"sync"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crroute"
)

// Steer is the health side's word on one target.
type Steer struct {
	Ejected bool
	Weight  int // slow-start weight, up to crroute.FullWeight
}

// Loads keeps each target's load from view to view. It is safe for concurrent
// use.
type Loads struct {
	mu    sync.Mutex
	loads map[crid.Target]*crroute.Load
}

// NewLoads returns an empty registry.
func NewLoads() *Loads { return &Loads{loads: make(map[crid.Target]*crroute.Load)} }

// Get returns the load of a target, the same one each time.
func (l *Loads) Get(name crid.Target) *crroute.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load, ok := l.loads[name]
	if !ok {
		load = &crroute.Load{}
		l.loads[name] = load
	}
	return load
}

// keep forgets targets that are no longer listed.
func (l *Loads) keep(listed map[crid.Target]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.loads, func(name crid.Target, _ *crroute.Load) bool { return !listed[name] })
}

// Input is what a view is made of.
type Input struct {
	Self     crid.Daemon
	Domain   crid.Domain
	Stopping bool // this daemon is leaving
	Snapshot *crpolicy.Snapshot
	List     crinstance.List
	Peers    []crmember.Peer
	Steers   map[crid.Target]Steer
	Loads    *Loads
}

// View is one state of the fleet for the traffic side. It is immutable.
type View struct {
	snapshot *crpolicy.Snapshot
	table    *crroute.Table
	pools    map[crid.Service]*crroute.Pool[*crroute.Target]
}

// Build makes a view; the error is the route table's.
func Build(in Input) (*View, error) {
	table, err := crroute.NewTable(in.Snapshot)
	if err != nil {
		return nil, err
	}
	v := &View{snapshot: in.Snapshot, table: table}
	v.pools = pools(in)
	return v, nil
}

// With returns a view with the same configuration and newly built pools; the
// input's snapshot must be the view's own.
func (v *View) With(in Input) *View {
	return &View{snapshot: v.snapshot, table: v.table, pools: pools(in)}
}

// Snapshot is the configuration in force.
func (v *View) Snapshot() *crpolicy.Snapshot { return v.snapshot }

// Table finds routes.
func (v *View) Table() *crroute.Table { return v.table }

// Pool returns a service's targets; nil where it has none.
func (v *View) Pool(s crid.Service) *crroute.Pool[*crroute.Target] { return v.pools[s] }

// Services returns the services that have targets, sorted.
func (v *View) Services() []crid.Service { return slices.Sorted(maps.Keys(v.pools)) }

func pools(in Input) map[crid.Service]*crroute.Pool[*crroute.Target] {
	peers := make(map[crid.Daemon]crmember.Peer, len(in.Peers))
	for _, p := range in.Peers {
		peers[p.Daemon] = p
	}
	byService := make(map[crid.Service][]*crroute.Target)
	listed := make(map[crid.Target]bool)
	for _, inst := range in.List.Instances() {
		status := in.status(inst, peers)
		for _, t := range inst.Targets {
			listed[t.Name] = true
			byService[t.Service] = append(byService[t.Service], in.target(t, inst, status))
		}
	}
	in.Loads.keep(listed)
	out := make(map[crid.Service]*crroute.Pool[*crroute.Target], len(byService))
	for service, targets := range byService {
		out[service] = crroute.NewPool(in.Domain, targets)
	}
	return out
}

// status is the instance's part of its targets' status. A peer that is not
// heard both ways is avoided on this daemon's own view alone, like a target that
// can not be reached; nothing is ejected for the others.
func (in Input) status(inst crinstance.Instance, peers map[crid.Daemon]crmember.Peer) crroute.Status {
	if inst.Daemon == in.Self {
		if in.Stopping || inst.Leaving() {
			return crroute.StatusLeaving
		}
		return crroute.StatusReady
	}
	peer, ok := peers[inst.Daemon]
	switch {
	case inst.Leaving() || (ok && peer.Leaving):
		return crroute.StatusLeaving
	case ok && peer.Down():
		return crroute.StatusEjected
	}
	return crroute.StatusReady
}

func (in Input) target(t crinstance.Target, inst crinstance.Instance, status crroute.Status) *crroute.Target {
	weight := crroute.FullWeight
	if steer, ok := in.Steers[t.Name]; ok {
		weight = steer.Weight
		if steer.Ejected && status == crroute.StatusReady {
			status = crroute.StatusEjected
		}
	}
	return crroute.NewTarget(t.Name, inst.Daemon, inst.Domain, status, weight, in.Loads.Get(t.Name))
}
