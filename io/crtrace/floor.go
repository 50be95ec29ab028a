package crtrace

import (
	"fmt"

	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

// floor holds what this daemon knows of capacity, and the ejections that its
// traffic goes by since the last event.
type floor struct {
	self     crid.Daemon
	stopping bool
	snapshot *crpolicy.Snapshot
	list     crinstance.List
	peers    map[crid.Daemon]crmember.Peer
	steers   map[crid.Service]crhealth.RoutingUpdate // of the event under way
}

func (f *floor) takePeers(peers []crmember.Peer) {
	f.peers = make(map[crid.Daemon]crmember.Peer, len(peers))
	for _, p := range peers {
		f.peers[p.Daemon] = p
	}
}

func (f *floor) takeSteer(s crhealth.RoutingUpdate) {
	if f.steers == nil {
		f.steers = make(map[crid.Service]crhealth.RoutingUpdate)
	}
	f.steers[s.Service] = s
}

// check looks at the last steer of each service once the event is over: within
// one event the news of a lost peer and the answer to it are two effects.
func (f *floor) check() error {
	for service, steer := range f.steers {
		if err := f.checkService(service, steer); err != nil {
			return err
		}
	}
	clear(f.steers)
	return nil
}

// checkService: ejecting never pushes capacity below the floor. A target that is
// ejected and cold is not capacity; one that is cold only is taken for capacity,
// since it can not be told from one that has just returned.
func (f *floor) checkService(service crid.Service, steer crhealth.RoutingUpdate) error {
	if f.snapshot == nil {
		return nil
	}
	policy, ok := f.snapshot.Service(service)
	if !ok {
		return nil
	}
	state := make(map[crid.Target]crhealth.TargetState, len(steer.Targets))
	for _, t := range steer.Targets {
		state[t.Target] = t
	}
	capacity, ejected := 0, 0
	for _, inst := range f.list.Instances() {
		for _, t := range inst.Targets {
			s := state[t.Name]
			if t.Service != service || !f.takesWork(inst) || (s.Ejected && s.Weight < crhealth.FullWeight) {
				continue
			}
			capacity++
			if s.Ejected {
				ejected++
			}
		}
	}
	if ejected > max(capacity-policy.Floor, 0) {
		return fmt.Errorf("%d of %d targets of %s are ejected with a floor of %d", ejected, capacity, service, policy.Floor)
	}
	return nil
}

func (f *floor) takesWork(inst crinstance.Instance) bool {
	if inst.Leaving() {
		return false
	}
	if inst.Daemon == f.self {
		return !f.stopping
	}
	p := f.peers[inst.Daemon]
	return p.Reachable && !p.Leaving
}
