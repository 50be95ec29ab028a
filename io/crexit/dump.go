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
	Targets  []TargetDump   `json:"targets"`  // sorted by name
	Local    crforward.Dump `json:"own"`      // forwards of this daemon's own entry
	Sessions int            `json:"sessions"` // of other daemons, with at least one forward
	Peers    LedgerTotals   `json:"peers"`    // sums over these sessions
}

// TargetDump is the state of one target of this daemon.
type TargetDump struct {
	Name     crid.Target  `json:"name"`
	Service  crid.Service `json:"service"`
	Addr     string       `json:"addr"`
	InFlight int64        `json:"inflight"` // running or waiting
	Queue    *crslot.Dump `json:"queue"`    // null while the target has no policy
}

// LedgerTotals holds sums over several ledgers.
type LedgerTotals struct {
	Pending int `json:"pending"`
	Running int `json:"running"`
	Once    int `json:"once"`
	Records int `json:"records"`
	Fences  int `json:"fences"`
}

// Dump returns the current state.
func (x *Exit) Dump() Dump {
	d := Dump{Draining: x.draining.Load(), Local: x.local.Dump()}
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

// sessions returns the ledgers of other daemons' sessions, and the previous local ledger
// if there is one.
func (x *Exit) sessions() []*crforward.Ledger {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := make([]*crforward.Ledger, 0, len(x.ledgers))
	for l := range x.ledgers {
		if l != x.local {
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

func (s *LedgerTotals) add(d crforward.Dump) {
	s.Pending += d.Pending
	s.Running += d.Running
	s.Once += d.Once
	s.Records += d.Records
	s.Fences += d.Fences
}
