package crmember

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// Echo names the latest heartbeat that the sender has received from the receiver.
type Echo struct {
	Incarnation crid.Incarnation `cbor:"i"`
	Seq         uint64           `cbor:"s"`
}

// Heartbeat is the heartbeat between two daemons. Within one round all fields but
// Echo and Reply are the same for every receiver.
type Heartbeat struct {
	Seq            uint64           `cbor:"s"` // grows with each round of one incarnation
	Incarnation    crid.Incarnation `cbor:"i"`
	Newest         crid.Revision    `cbor:"c"`           // newest list held
	LastActive     crid.Revision    `cbor:"f"`           // newest list known to have been active; zero: not known
	Intermediate   []crid.Revision  `cbor:"h,omitempty"` // lists held between LastActive and Newest, both excluded
	ConfigRevision uint64           `cbor:"v,omitempty"` // configuration in force
	Leaving        bool             `cbor:"l,omitempty"`
	Recovering     bool             `cbor:"n,omitempty"` // the sender has not recovered from a restart yet and acknowledges no list
	Reply          bool             `cbor:"r,omitempty"` // answers a heartbeat and needs no answer itself
	Echo           Echo             `cbor:"e"`
}

// MessageKind implements crevent.Message.
func (Heartbeat) MessageKind() string { return "beat" }

// ListRequest requests the lists from a revision on, except those already held.
type ListRequest struct {
	From crid.Revision   `cbor:"f"`
	Have []crid.Revision `cbor:"h"`
}

// MessageKind implements crevent.Message.
func (ListRequest) MessageKind() string { return "fetch" }

// ListData is an instance list on the wire.
type ListData struct {
	Rev       crid.Revision         `cbor:"r"`
	Instances []crinstance.Instance `cbor:"i"`
}

// ListResponse answers ListRequest.
type ListResponse struct {
	Lists []ListData `cbor:"r"`
}

// MessageKind implements crevent.Message.
func (ListResponse) MessageKind() string { return "lists" }

// Messages returns a zero value of each message, for the codec's registry.
func Messages() []crevent.Message {
	return []crevent.Message{Heartbeat{}, ListRequest{}, ListResponse{}}
}

// AdvertiseConfig sets the configuration revision that heartbeats carry.
type AdvertiseConfig struct {
	Now            crid.Instant
	ConfigRevision uint64 `cbor:"Conf" json:"Conf"`
}

// At implements crevent.Event.
func (e AdvertiseConfig) At() crid.Instant { return e.Now }

// EffectName implements crevent.Effect.
func (AdvertiseConfig) EffectName() string { return "advertise" }
