package crtrace

import (
	"fmt"

	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

// floorInvariant checks that ejections leave each service at least as many targets as
// its floor. It tracks the daemon's policy, list of instances and peers, and the routing
// updates of the current event.
type floorInvariant struct {
	self     crid.Daemon
	stopping bool
	snapshot *crpolicy.Snapshot
	list     crinstance.List
	peers    map[crid.Daemon]crmember.Peer
	updates  map[crid.Service]crhealth.RoutingUpdate // last one of each service in the current event
}

func (f *floorInvariant) setPeers(peers []crmember.Peer) {
	f.peers = make(map[crid.Daemon]crmember.Peer, len(peers))
	for _, p := range peers {
		f.peers[p.Daemon] = p
	}
}

func (f *floorInvariant) setRouting(update crhealth.RoutingUpdate) {
	if f.updates == nil {
		f.updates = make(map[crid.Service]crhealth.RoutingUpdate)
	}
	f.updates[update.Service] = update
}

// check runs after all effects of an event and uses the last update of each service:
// the loss of a peer and the routing update that follows are two effects of one event.
func (f *floorInvariant) check() error {
	for service, update := range f.updates {
		if err := f.checkService(service, update); err != nil {
			return err
		}
	}
	clear(f.updates)
	return nil
}

// checkService returns an error if ejections leave a service fewer targets than its
// floor. If the capacity is at or below the floor, no target may be ejected. A target
// that is ejected and in slow start does not count as capacity. A target that is only in
// slow start does, since it cannot be distinguished from one whose ejection has just
// ended.
func (f *floorInvariant) checkService(service crid.Service, update crhealth.RoutingUpdate) error {
	if f.snapshot == nil {
		return nil
	}
	policy, ok := f.snapshot.Service(service)
	if !ok {
		return nil
	}
	state := make(map[crid.Target]crhealth.TargetState, len(update.Targets))
	for _, t := range update.Targets {
		state[t.Target] = t
	}
	capacity, ejected := 0, 0
	for _, inst := range f.list.Instances() {
		for _, t := range inst.Targets {
			s := state[t.Name]
			if t.Service != service || !f.available(inst) || (s.Ejected && s.Weight < crhealth.FullWeight) {
				continue
			}
			capacity++
			if s.Ejected {
				ejected++
			}
		}
	}
	if ejected > max(capacity-policy.Floor, 0) {
		return fmt.Errorf("%d of %d targets of service %s are ejected with a floor of %d", ejected, capacity, service, policy.Floor)
	}
	return nil
}

func (f *floorInvariant) available(inst crinstance.Instance) bool {
	if inst.Leaving() {
		return false
	}
	if inst.Daemon == f.self {
		return !f.stopping
	}
	p := f.peers[inst.Daemon]
	return p.Reachable && !p.Leaving
}
