// Package crview builds the immutable snapshot of routes and targets with which
// io/crentry handles requests. io/crdaemon rebuilds it from the effects of the
// control reducers and stores it behind an atomic pointer.
//
// A [View] holds the configuration and the target pools of one instant. Package
// crroute chooses among the targets of a pool.
//
// # Usage
//
//	view, err := crview.Build(crview.Input{Self: self, Domain: domain, Snapshot: snap, List: list, Loads: loads})
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

// TargetHealth is the health state of one target, as determined by
// core/crhealth.
type TargetHealth struct {
	Ejected bool
	Weight  int // slow-start weight, up to crroute.FullWeight
}

// LoadRegistry keeps the load of each target across views. It is safe for
// concurrent use.
type LoadRegistry struct {
	mu    sync.Mutex
	loads map[crid.Target]*crroute.Load
}

// NewLoadRegistry returns an empty registry.
func NewLoadRegistry() *LoadRegistry {
	return &LoadRegistry{loads: make(map[crid.Target]*crroute.Load)}
}

// Load returns the load of a target. Each call returns the same pointer while
// the target is listed.
func (r *LoadRegistry) Load(name crid.Target) *crroute.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	load, ok := r.loads[name]
	if !ok {
		load = &crroute.Load{}
		r.loads[name] = load
	}
	return load
}

// retain deletes the loads of targets that are not listed.
func (r *LoadRegistry) retain(listed map[crid.Target]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.loads, func(name crid.Target, _ *crroute.Load) bool { return !listed[name] })
}

// Input is what a View is built from.
type Input struct {
	Self     crid.Daemon
	Domain   crid.Domain
	Stopping bool // this daemon is stopping
	Snapshot *crpolicy.Snapshot
	List     crinstance.List
	Peers    []crmember.Peer
	Health   map[crid.Target]TargetHealth
	Loads    *LoadRegistry
}

// View is the state of the fleet by which requests are routed. It is immutable.
type View struct {
	snapshot *crpolicy.Snapshot
	table    *crroute.Table
	pools    map[crid.Service]*crroute.Pool[*crroute.Target]
}

// Build returns a View. The error is that of [crroute.NewTable].
func Build(in Input) (*View, error) {
	table, err := crroute.NewTable(in.Snapshot)
	if err != nil {
		return nil, err
	}
	v := &View{snapshot: in.Snapshot, table: table}
	v.pools = buildPools(in)
	return v, nil
}

// WithPools returns a view with the same configuration and new pools. The
// snapshot of the input must be the view's own.
func (v *View) WithPools(in Input) *View {
	return &View{snapshot: v.snapshot, table: v.table, pools: buildPools(in)}
}

// Snapshot returns the configuration of the view.
func (v *View) Snapshot() *crpolicy.Snapshot { return v.snapshot }

// Table returns the route table.
func (v *View) Table() *crroute.Table { return v.table }

// Pool returns the targets of a service, or nil if it has none.
func (v *View) Pool(s crid.Service) *crroute.Pool[*crroute.Target] { return v.pools[s] }

// Services returns the services that have targets, sorted.
func (v *View) Services() []crid.Service { return slices.Sorted(maps.Keys(v.pools)) }

func buildPools(in Input) map[crid.Service]*crroute.Pool[*crroute.Target] {
	peers := make(map[crid.Daemon]crmember.Peer, len(in.Peers))
	for _, p := range in.Peers {
		peers[p.Daemon] = p
	}
	byService := make(map[crid.Service][]*crroute.Target)
	listed := make(map[crid.Target]bool)
	for _, inst := range in.List.Instances() {
		status := in.instanceStatus(inst, peers)
		for _, t := range inst.Targets {
			listed[t.Name] = true
			byService[t.Service] = append(byService[t.Service], in.newTarget(t, inst, status))
		}
	}
	in.Loads.retain(listed)
	out := make(map[crid.Service]*crroute.Pool[*crroute.Target], len(byService))
	for service, targets := range byService {
		out[service] = crroute.NewPool(in.Domain, targets)
	}
	return out
}

// instanceStatus returns the status that the targets of an instance get from the
// state of their daemon. If a peer that gets a heartbeat each round has no two-way
// contact, this daemon avoids its targets, like targets that refuse connections.
// Other daemons do not eject them because of that.
func (in Input) instanceStatus(inst crinstance.Instance, peers map[crid.Daemon]crmember.Peer) crroute.Status {
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

func (in Input) newTarget(t crinstance.Target, inst crinstance.Instance, status crroute.Status) *crroute.Target {
	weight := crroute.FullWeight
	if health, ok := in.Health[t.Name]; ok {
		weight = health.Weight
		if health.Ejected && status == crroute.StatusReady {
			status = crroute.StatusEjected
		}
	}
	return crroute.NewTarget(t.Name, inst.Daemon, inst.Domain, status, weight, in.Loads.Load(t.Name))
}
