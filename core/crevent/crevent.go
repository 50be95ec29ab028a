// Package crevent defines what goes into and comes out of the reducers: events,
// effects, and the messages that daemons send one another.
//
// Every reducer in core has the method
//
//	Step(ev crevent.Event) []crevent.Effect
//
// and reads no clock, draws no random number and does no I/O: the instant of an
// event comes with it, and randomness comes as the seed in [Started]. One
// goroutine owns all reducers of a daemon. An effect that also is an event (a
// [Notice]) is handed back to the sibling reducers by the root reducer.
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

// Event is a fact that a reducer is told.
type Event interface {
	// At is the instant, on this daemon's clock, of the event.
	At() crid.Instant
}

// Effect is something a reducer wants done; it is data, and the shell does it.
type Effect interface {
	// EffectName is a short fixed name, for traces and dumps.
	EffectName() string
}

// Notice is an effect that sibling reducers receive as an event.
type Notice interface {
	Event
	Effect
}

// Message is a control message between two daemons. Messages are plain structs
// with cbor tags; the shell encodes them with the kind as discriminator.
type Message interface {
	// MessageKind is a short fixed word, unique among all messages.
	MessageKind() string
}

// Started is the first event of a daemon's life.
type Started struct {
	Now         crid.Instant
	Self        crid.Daemon
	Domain      crid.Domain
	Incarnation crid.Incarnation
	Seed        uint64
}

// At implements Event.
func (e Started) At() crid.Instant { return e.Now }

// Tick tells that time has passed; the shell sends one every 50 ms.
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

// Stopping tells that this daemon has been asked to stop gracefully.
type Stopping struct {
	Now crid.Instant
}

// At implements Event.
func (e Stopping) At() crid.Instant { return e.Now }

// Send asks the shell to send a message, at most once and without a promise of
// delivery or order.
type Send struct {
	To  crid.Daemon
	Msg Message
}

// EffectName implements Effect.
func (Send) EffectName() string { return "send" }

// Report asks the shell to log a numbered event of the catalogue.
type Report struct {
	Number int
	Fields map[string]string
}

// EffectName implements Effect.
func (Report) EffectName() string { return "report" }
