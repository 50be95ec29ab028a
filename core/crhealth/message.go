package crhealth

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// Digest is an entry's evidence on the targets of one service since its previous
// digest. The service's arbiter replies with a verdict.
type Digest struct {
	Service     crid.Service     `cbor:"s"`
	Incarnation crid.Incarnation `cbor:"i"` // of the sender
	Seq         uint64           `cbor:"q"` // increases with each digest of this incarnation
	Samples     []Sample         `cbor:"p"`
	Last        bool             `cbor:"l,omitempty"` // the service is idle; no digest follows until there is traffic
}

// MessageKind implements crevent.Message.
func (Digest) MessageKind() string { return "digest" }

// Weight is the slow-start weight of a target, from 1 to FullWeight.
type Weight struct {
	_      struct{} `cbor:",toarray"`
	Target crid.Target
	Weight int
}

// Verdict is the arbiter's reply to one digest.
type Verdict struct {
	Service            crid.Service     `cbor:"s"`
	Incarnation        crid.Incarnation `cbor:"i"` // of the sender of the digest
	Seq                uint64           `cbor:"q"` // of the digest that it answers
	ArbiterIncarnation crid.Incarnation `cbor:"a"` // of the arbiter
	Number             uint64           `cbor:"n"` // increases with each verdict of this arbiter incarnation
	Ejected            []crid.Target    `cbor:"e"` // in descending order of score
	Weights            []Weight         `cbor:"w"` // the weights below FullWeight
}

// MessageKind implements crevent.Message.
func (Verdict) MessageKind() string { return "verdict" }

var (
	_ crevent.Message = Digest{}
	_ crevent.Message = Verdict{}
)

// Messages returns the zero values of all messages, for the registry of the codec.
func Messages() []crevent.Message { return []crevent.Message{Digest{}, Verdict{}} }
