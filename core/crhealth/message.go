package crhealth

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// Digest is an entry's evidence on the targets of one service since its last
// digest, sent to the service's arbiter. It also asks for a verdict.
type Digest struct {
	Service     crid.Service     `cbor:"s"`
	Incarnation crid.Incarnation `cbor:"i"` // of the sender
	Seq         uint64           `cbor:"q"` // grows with each digest of this life
	Samples     []Sample         `cbor:"p"`
	Last        bool             `cbor:"l,omitempty"` // for lack of traffic, until there is some
}

// MessageKind implements crevent.Message.
func (Digest) MessageKind() string { return "digest" }

// Weight is the slow-start weight of a target, from 1 to FullWeight.
type Weight struct {
	_      struct{} `cbor:",toarray"`
	Target crid.Target
	Weight int
}

// Verdict is the arbiter's answer to one digest.
type Verdict struct {
	Service            crid.Service     `cbor:"s"`
	Incarnation        crid.Incarnation `cbor:"i"` // of the daemon that sent the digest
	Seq                uint64           `cbor:"q"` // of the digest that it answers
	ArbiterIncarnation crid.Incarnation `cbor:"a"` // of the arbiter
	Number             uint64           `cbor:"n"` // grows with each verdict of the arbiter's life
	Ejected            []crid.Target    `cbor:"e"` // worst first
	Weights            []Weight         `cbor:"w"` // those below FullWeight
}

// MessageKind implements crevent.Message.
func (Verdict) MessageKind() string { return "verdict" }

var (
	_ crevent.Message = Digest{}
	_ crevent.Message = Verdict{}
)

// Messages returns the zero values of all messages, for the codec's registry.
func Messages() []crevent.Message { return []crevent.Message{Digest{}, Verdict{}} }
