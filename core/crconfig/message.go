package crconfig

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// Have tells a peer what this daemon has in force.
type Have struct {
	Conf                crid.Revision `cbor:"c"` // zero: none
	Manifest            Digest        `cbor:"m"`
	List                crid.Revision `cbor:"l"` // zero: none
	PlatformUnavailable bool          `cbor:"a"` // the sender can not read the platform
	Nonce               uint64        `cbor:"q"` // not zero: the sender wants a Have back with this as Echo
	Echo                uint64        `cbor:"e"` // Ask of what this answers
	Reply               bool          `cbor:"r"` // this is an answer; it is never answered
}

// MessageKind implements crevent.Message.
func (Have) MessageKind() string { return "have" }

// Pull asks a peer for bytes, by the digest of the value they belong to.
type Pull struct {
	Want []Want `cbor:"w"`
}

// Want names a value and how much of it the asker has.
type Want struct {
	Digest Digest `cbor:"d"`
	Offset int    `cbor:"o"` // bytes
}

// MessageKind implements crevent.Message.
func (Pull) MessageKind() string { return "pull" }

// Push answers a Pull with as much as one message may hold. Without parts it
// says that the sender has none of it.
type Push struct {
	Parts []Part `cbor:"p"`
}

// Part is a stretch of a value.
type Part struct {
	Digest Digest `cbor:"d"`
	Offset int    `cbor:"o"` // bytes before Data
	Size   int    `cbor:"s"` // bytes of the whole value
	Data   []byte `cbor:"b"`
}

// MessageKind implements crevent.Message.
func (Push) MessageKind() string { return "push" }

// ListPull asks a peer for its list of instances from an offset, or for what
// changed since the list that the asker has.
type ListPull struct {
	Base   crid.Revision `cbor:"h"` // the asker's list; zero: none, or the whole is wanted
	Rev    crid.Revision `cbor:"r"` // of the list that Off counts in; zero: any
	Offset int           `cbor:"o"` // instances
}

// MessageKind implements crevent.Message.
func (ListPull) MessageKind() string { return "listpull" }

// ListPush is a stretch of a list of instances, or its difference to a former.
type ListPush struct {
	Rev       crid.Revision         `cbor:"r"`
	Base      crid.Revision         `cbor:"s"` // not zero: only what changed since that list
	Removed   []crid.Daemon         `cbor:"g"` // removed since then
	Offset    int                   `cbor:"o"`
	Total     int                   `cbor:"t"`
	Instances []crinstance.Instance `cbor:"i"`
}

// MessageKind implements crevent.Message.
func (ListPush) MessageKind() string { return "listpush" }

// Messages returns a zero value of every message, for the codec's registry.
func Messages() []crevent.Message {
	return []crevent.Message{Have{}, Pull{}, Push{}, ListPull{}, ListPush{}}
}
