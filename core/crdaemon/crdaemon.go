// Package crdaemon is the root reducer of a daemon: it hands every event to the
// reducers of membership, configuration, accounts and health, and their notices
// to one another.
//
// # Usage
//
//	root := crdaemon.New(
//		crdaemon.Part{Name: "member", Reducer: crmember.New(...)},
//		crdaemon.Part{Name: "config", Reducer: crconfig.New(...)},
//	)
//	for _, eff := range root.Step(ev) { ... }
package crdaemon

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// Reducer is one part of the control state.
type Reducer interface {
	// Step applies an event and returns what is to be done.
	Step(ev crevent.Event) []crevent.Effect
	// Dump returns the part's state for the state dump, without any secret.
	Dump() any
}

// Part is a reducer with its name in the dump.
type Part struct {
	Name    string
	Reducer Reducer
}

// Root is the whole control state of a daemon. It is not safe for concurrent
// use: one goroutine owns it.
type Root struct {
	parts []Part
}

// NewRoot returns a root over its parts, which get each event in this order.
func NewRoot(parts ...Part) *Root { return &Root{parts: parts} }

// pending is an event on its way to the parts, and the part it came from.
type pending struct {
	ev   crevent.Event
	from int
}

const fromShell = -1

// Step applies an event to all parts, and every notice that comes of it to all
// parts but its own. It returns all effects in order, the notices among them.
func (s *Root) Step(ev crevent.Event) []crevent.Effect {
	var effects []crevent.Effect
	queue := []pending{{ev: ev, from: fromShell}}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for i, part := range s.parts {
			if i == next.from {
				continue
			}
			for _, eff := range part.Reducer.Step(next.ev) {
				effects = append(effects, eff)
				if notice, ok := eff.(crevent.Notice); ok {
					queue = append(queue, pending{ev: notice, from: i})
				}
			}
		}
	}
	return effects
}

// Dump is the state dump of a daemon's control side.
type Dump struct {
	Now   crid.Instant   `json:"now"`
	Parts map[string]any `json:"parts"`
}

// Dump collects the parts' dumps.
func (s *Root) Dump(now crid.Instant) Dump {
	d := Dump{Now: now, Parts: make(map[string]any, len(s.parts))}
	for _, p := range s.parts {
		d.Parts[p.Name] = p.Reducer.Dump()
	}
	return d
}
