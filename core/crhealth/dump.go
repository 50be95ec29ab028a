package crhealth

import (
	"maps"
	"slices"

	"camphorroad/core/crid"
)

// TargetDump is the arbiter's state of a target that is ejected, suspected or was
// ejected recently.
type TargetDump struct {
	Target       crid.Target `json:"target"`
	Cause        string      `json:"cause"`
	Ejected      bool        `json:"ejected"`
	KeptForFloor bool        `json:"keptForFloor"`
	Suspicion    int         `json:"suspicion"`
	Ejections    int         `json:"strikes"`
	EjectionLeft string      `json:"holdLeft,omitempty"`
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Service   crid.Service  `json:"service"`
	Arbiter   crid.Daemon   `json:"arbiter"`
	Allowance int           `json:"allowance"` // targets that may be ejected at one time
	Routing   []TargetState `json:"steered"`   // the last RoutingUpdate for local traffic
	Senders   int           `json:"senders"`   // entries whose digests arrived; only at the arbiter
	Targets   []TargetDump  `json:"targets"`   // only at the arbiter
}

// Dump is this package's part of the state dump.
type Dump struct {
	HoldsLease bool          `json:"standing"`
	Services   []ServiceDump `json:"services"` // sorted
}

// Dump returns the state after the last event.
func (s *State) Dump() any {
	dump := Dump{HoldsLease: s.holdsLease()}
	for _, service := range sortedServices(s.targets) {
		sd := ServiceDump{Service: service, Arbiter: s.arbiter(service), Allowance: s.allowance(service)}
		if e := s.entries[service]; e != nil {
			sd.Routing = slices.Clone(e.routing.Targets)
		}
		if d := s.detectors[service]; d != nil {
			sd.Senders = len(d.senders)
			sd.Targets = s.dumpTargets(d)
		}
		dump.Services = append(dump.Services, sd)
	}
	return dump
}

func (s *State) dumpTargets(d *detector) []TargetDump {
	var targets []TargetDump
	for _, target := range d.targets() {
		r := d.records[target]
		if !r.ejected && r.suspicion == 0 && r.ejections == 0 {
			continue
		}
		td := TargetDump{
			Target: target, Cause: r.finding.Cause.String(), Ejected: r.ejected,
			KeptForFloor: r.keptForFloor, Suspicion: r.suspicion, Ejections: r.ejections,
		}
		if r.ejected {
			td.EjectionLeft = r.ejectedUntil.Sub(s.now).String()
		}
		targets = append(targets, td)
	}
	return targets
}

func sortedDaemons[V any](m map[crid.Daemon]V) []crid.Daemon {
	return slices.Sorted(maps.Keys(m))
}
