// Package crdaemon implements the root reducer of the daemon of `camphorroad
// serve`: it passes each event to the reducers of membership, configuration,
// accounts and health, and the notices of each to the others. Package crevent
// defines events and notices. Package crdaemon does no I/O; the package
// io/crdaemon of the same name builds the daemon and performs the effects.
//
// # Usage
//
//	root := crdaemon.NewRoot(
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
	// Step applies an event and returns the effects to perform.
	Step(ev crevent.Event) []crevent.Effect
	// Dump returns the part's state for the state dump, without any secret.
	Dump() any
}

// Part is a reducer with its name in the state dump.
type Part struct {
	Name    string
	Reducer Reducer
}

// Root is the control state of a daemon. It is not safe for concurrent use: one
// goroutine owns it.
type Root struct {
	parts []Part
}

// NewRoot returns a Root over its parts, which receive each event in this
// order.
func NewRoot(parts ...Part) *Root { return &Root{parts: parts} }

// queuedEvent is an event that is still to be passed to the parts, and the
// index of the part that it came from.
type queuedEvent struct {
	ev   crevent.Event
	from int
}

const noPart = -1

// Step applies an event to all parts, and each resulting notice to all parts
// but its own. It returns all effects in order, the notices included.
func (r *Root) Step(ev crevent.Event) []crevent.Effect {
	var effects []crevent.Effect
	queue := []queuedEvent{{ev: ev, from: noPart}}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for i, part := range r.parts {
			if i == next.from {
				continue
			}
			for _, eff := range part.Reducer.Step(next.ev) {
				effects = append(effects, eff)
				if notice, ok := eff.(crevent.Notice); ok {
					queue = append(queue, queuedEvent{ev: notice, from: i})
				}
			}
		}
	}
	return effects
}

// Dump is the state dump of the control state.
type Dump struct {
	Now   crid.Instant   `json:"now"`
	Parts map[string]any `json:"parts"`
}

// Dump collects the dumps of the parts.
func (r *Root) Dump(now crid.Instant) Dump {
	d := Dump{Now: now, Parts: make(map[string]any, len(r.parts))}
	for _, p := range r.parts {
		d.Parts[p.Name] = p.Reducer.Dump()
	}
	return d
}
