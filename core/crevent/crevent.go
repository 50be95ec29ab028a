// Package crevent defines the inputs and outputs of the reducers in core:
// events, effects, and the control messages between daemons. Package crdaemon
// combines several reducers under one root, core/crmesh is a single reducer,
// and the packages in io perform the effects.
//
// A reducer has the method
//
//	Step(ev crevent.Event) []crevent.Effect
//
// It reads no clock, draws no random numbers and does no I/O: the instant of an
// event is part of it, and the seed of random numbers is in [Started]. One
// goroutine runs all reducers of a daemon. An effect that is also an event (a
// [Notice]) is passed by the root reducer to the other reducers.
//
// # Usage
//
//	func (s *State) Step(ev crevent.Event) []crevent.Effect {
//		switch ev := ev.(type) {
//		case crevent.Tick:
//			return s.tick(ev.Now)
//		}
//		return nil
//	}
package crevent

import "camphorroad/core/crid"

// Event is an input of a reducer.
type Event interface {
	// At is the instant of the event on this daemon's clock.
	At() crid.Instant
}

// Effect is an action that a reducer requests. It is data; the I/O layer
// performs it.
type Effect interface {
	// EffectName is a short constant name, for traces and dumps.
	EffectName() string
}

// Notice is an effect that the other reducers receive as an event.
type Notice interface {
	Event
	Effect
}

// Message is a control message between two daemons. Messages are plain structs
// with cbor tags. The I/O layer encodes them with their kind.
type Message interface {
	// MessageKind is a short constant text, unique among all messages.
	MessageKind() string
}

// Started is the first event after the start of a daemon.
type Started struct {
	Now         crid.Instant
	Self        crid.Daemon
	Domain      crid.Domain
	Incarnation crid.Incarnation
	Seed        uint64
}

// At implements Event.
func (e Started) At() crid.Instant { return e.Now }

// Tick reports that time has passed. The I/O layer sends one every 50 ms.
type Tick struct {
	Now crid.Instant
}

// At implements Event.
func (e Tick) At() crid.Instant { return e.Now }

// Received is a message from another daemon, whose name the transport has
// verified.
type Received struct {
	Now  crid.Instant
	From crid.Daemon
	Msg  Message
}

// At implements Event.
func (e Received) At() crid.Instant { return e.Now }

// Stopping reports that this daemon has received the request to stop gracefully.
type Stopping struct {
	Now crid.Instant
}

// At implements Event.
func (e Stopping) At() crid.Instant { return e.Now }

// Send requests that a message be sent, at most once and with no guarantee of
// delivery or order.
type Send struct {
	To  crid.Daemon
	Msg Message
}

// EffectName implements Effect.
func (Send) EffectName() string { return "send" }

// Report requests a log entry of the numbered event from the catalogue in
// io/crlog.
type Report struct {
	Number int
	Fields map[string]string
}

// EffectName implements Effect.
func (Report) EffectName() string { return "report" }
