package crconfig

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// Have announces to a peer the configuration and list that the sender has applied.
type Have struct {
	Conf                crid.Revision `cbor:"c"` // zero: none
	Manifest            Digest        `cbor:"m"`
	List                crid.Revision `cbor:"l"` // zero: none
	PlatformUnavailable bool          `cbor:"a"` // the sender's last call to the platform failed
	Nonce               uint64        `cbor:"q"` // not zero: the receiver replies with this as Echo
	Echo                uint64        `cbor:"e"` // Nonce of the message that this replies to
	Reply               bool          `cbor:"r"` // this is a reply, which is never replied to
}

// MessageKind implements crevent.Message.
func (Have) MessageKind() string { return "have" }

// Pull requests values from a peer by digest.
type Pull struct {
	Want []Want `cbor:"w"`
}

// Want is a value and the number of its bytes that the sender already has.
type Want struct {
	Digest Digest `cbor:"d"`
	Offset int    `cbor:"o"` // bytes
}

// MessageKind implements crevent.Message.
func (Pull) MessageKind() string { return "pull" }

// Push replies to a Pull, up to the size limit of one message. Without parts, the
// sender has none of the values.
type Push struct {
	Parts []Part `cbor:"p"`
}

// Part is a range of a value.
type Part struct {
	Digest Digest `cbor:"d"`
	Offset int    `cbor:"o"` // bytes before Data
	Size   int    `cbor:"s"` // size of the whole value in bytes
	Data   []byte `cbor:"b"`
}

// MessageKind implements crevent.Message.
func (Push) MessageKind() string { return "push" }

// ListPull requests from a peer its list of instances from an offset, or a diff
// against the list that the sender has.
type ListPull struct {
	Base   crid.Revision `cbor:"h"` // the sender's list; zero: it has none, or requests the whole list
	Rev    crid.Revision `cbor:"r"` // list that Offset refers to; zero: any
	Offset int           `cbor:"o"` // index of the first instance
}

// MessageKind implements crevent.Message.
func (ListPull) MessageKind() string { return "listpull" }

// ListPush is a range of a list of instances, or a diff against an older list.
type ListPush struct {
	Rev       crid.Revision         `cbor:"r"`
	Base      crid.Revision         `cbor:"s"` // not zero: a diff against that list
	Removed   []crid.Daemon         `cbor:"g"` // removed since Base
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
