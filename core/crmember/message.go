package crmember

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// Echo names the latest beat that the sender has heard of the receiver.
type Echo struct {
	Inc crid.Incarnation `cbor:"i"`
	Seq uint64           `cbor:"s"`
}

// Beat is the heartbeat between two daemons. All but Echo is the same for every
// receiver of one round.
type Beat struct {
	Seq     uint64           `cbor:"s"` // grows with each round of one incarnation
	Inc     crid.Incarnation `cbor:"i"`
	Cur     crid.Revision    `cbor:"c"`           // newest list held
	Floor   crid.Revision    `cbor:"f"`           // newest list known to have been active; zero: not known
	Held    []crid.Revision  `cbor:"h,omitempty"` // lists held between Floor and Cur, both excluded
	Conf    uint64           `cbor:"v,omitempty"` // revision of the configuration in force
	Leaving bool             `cbor:"l,omitempty"`
	Fresh   bool             `cbor:"n,omitempty"` // not yet recovered; the sender vouches for nobody
	Reply   bool             `cbor:"r,omitempty"` // answers a beat, and wants no answer itself
	Echo    Echo             `cbor:"e"`
}

// MessageKind implements crevent.Message.
func (Beat) MessageKind() string { return "beat" }

// Fetch asks for the lists from a revision on, but for those already held.
type Fetch struct {
	From crid.Revision   `cbor:"f"`
	Have []crid.Revision `cbor:"h"`
}

// MessageKind implements crevent.Message.
func (Fetch) MessageKind() string { return "fetch" }

// Roll is a list of instances on the wire.
type Roll struct {
	Rev       crid.Revision         `cbor:"r"`
	Instances []crinstance.Instance `cbor:"i"`
}

// Lists answers Fetch.
type Lists struct {
	Rolls []Roll `cbor:"r"`
}

// MessageKind implements crevent.Message.
func (Lists) MessageKind() string { return "lists" }

// Messages returns a zero value of each message, for the codec's registry.
func Messages() []crevent.Message {
	return []crevent.Message{Beat{}, Fetch{}, Lists{}}
}

// Advertise tells the reducer which configuration revision to name in beats.
type Advertise struct {
	Now  crid.Instant
	Conf uint64
}

// At implements crevent.Event.
func (e Advertise) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (Advertise) EffectName() string { return "advertise" }
