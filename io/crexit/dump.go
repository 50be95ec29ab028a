package crexit

import (
	"cmp"
	"slices"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crslot"
)

// Dump is the exit's part of the state dump.
type Dump struct {
	Draining bool           `json:"draining"`
	Targets  []TargetDump   `json:"targets"`  // beside this daemon, sorted
	Own      crforward.Dump `json:"own"`      // forwards of this daemon's entry
	Sessions int            `json:"sessions"` // of other daemons that have forwarded
	Peers    LedgerSum      `json:"peers"`    // their forwards together
}

// TargetDump is one target beside this daemon.
type TargetDump struct {
	Name     crid.Target  `json:"name"`
	Service  crid.Service `json:"service"`
	Addr     string       `json:"addr"`
	InFlight int64        `json:"inflight"` // running or waiting
	Queue    *crslot.Dump `json:"queue"`    // null while the target has no policy
}

// LedgerSum adds up ledgers.
type LedgerSum struct {
	Pending int `json:"pending"`
	Running int `json:"running"`
	Once    int `json:"once"`
	Records int `json:"records"`
	Fences  int `json:"fences"`
}

// Dump returns the state now.
func (x *Exit) Dump() Dump {
	d := Dump{Draining: x.draining.Load(), Own: x.own.Dump()}
	for _, t := range x.targets {
		d.Targets = append(d.Targets, t.dump())
	}
	slices.SortFunc(d.Targets, func(a, b TargetDump) int { return cmp.Compare(a.Name, b.Name) })
	for _, l := range x.sessions() {
		d.Sessions++
		d.Peers.add(l.Dump())
	}
	return d
}

// sessions returns the ledgers of other daemons' sessions.
func (x *Exit) sessions() []*crforward.Ledger {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := make([]*crforward.Ledger, 0, len(x.ledgers))
	for l := range x.ledgers {
		if l != x.own {
			all = append(all, l)
		}
	}
	return all
}

func (t *target) dump() TargetDump {
	d := TargetDump{Name: t.spec.Name, Service: t.spec.Service, Addr: t.spec.Addr, InFlight: t.inflight.Load()}
	if q := t.queue.Load(); q != nil {
		queue := q.Dump()
		d.Queue = &queue
	}
	return d
}

func (s *LedgerSum) add(d crforward.Dump) {
	s.Pending += d.Pending
	s.Running += d.Running
	s.Once += d.Once
	s.Records += d.Records
	s.Fences += d.Fences
}
