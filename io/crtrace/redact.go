package crtrace

import (
	"errors"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// A published value is recorded without its content, in which hashes of keys
// stand. Replay puts a filler of the same size in its place: the value's digest,
// again and again. The digest of a filler is found in its first bytes, so that
// parts of a value fit together as the value's own did. What is shorter than a
// digest can hold no hash of a key, and is recorded as it is.
const fillerUnit = len(crconfig.Digest{})

// piece is a stretch of a value.
type piece struct {
	Digest crconfig.Digest `cbor:"d"`
	Off    int             `cbor:"o"`
	Size   int             `cbor:"s"` // bytes of the whole value
	Len    int             `cbor:"n"` // bytes of this stretch
	Plain  []byte          `cbor:"p"` // the bytes of a short value
}

func redact(digest crconfig.Digest, off, size int, data []byte) piece {
	p := piece{Digest: digest, Off: off, Size: size, Len: len(data)}
	if size < fillerUnit && len(data) < fillerUnit {
		p.Plain = data
	}
	return p
}

var errPiece = errors.New("a stretch of a value is longer than any message")

func (p piece) data() ([]byte, error) {
	if p.Plain != nil || p.Len == 0 {
		return p.Plain, nil
	}
	if p.Len < 0 || p.Len > maxRecord {
		return nil, errPiece
	}
	b := make([]byte, p.Len)
	for i := range b {
		at := (p.Off%fillerUnit + i%fillerUnit + fillerUnit) % fillerUnit
		b[i] = p.Digest[at]
	}
	return b, nil
}

// digestOf is the digest of a filler, or of a short value.
func digestOf(data []byte) crconfig.Digest {
	if len(data) < fillerUnit {
		return crconfig.DigestOf(data)
	}
	return crconfig.Digest(data[:fillerUnit])
}

// push is crconfig.Push without the content of values.
type push struct {
	Parts []piece `cbor:"p"`
}

// MessageKind implements crevent.Message.
func (push) MessageKind() string { return crconfig.Push{}.MessageKind() }

// redactMessage returns a message as it is recorded.
func redactMessage(msg crevent.Message) crevent.Message {
	m, ok := msg.(crconfig.Push)
	if !ok {
		return msg
	}
	var p push
	for _, part := range m.Parts {
		p.Parts = append(p.Parts, redact(part.Digest, part.Offset, part.Size, part.Data))
	}
	return p
}

func (p push) restore() (crevent.Message, error) {
	var m crconfig.Push
	for _, part := range p.Parts {
		data, err := part.data()
		if err != nil {
			return nil, err
		}
		m.Parts = append(m.Parts, crconfig.Part{Digest: part.Digest, Offset: part.Off, Size: part.Size, Data: data})
	}
	return m, nil
}

// parsed is what the parser gave for a manifest.
type parsed struct {
	Manifest crconfig.Manifest `cbor:"m"`
	Fault    string            `cbor:"f"` // empty: none
}

// loaded is what the loader gave for a configuration, without any key.
type loaded struct {
	Rev      crid.Revision      `cbor:"r"`
	Services []crpolicy.Service `cbor:"s"`
	Accounts []crpolicy.Account `cbor:"a"`
	Fault    string             `cbor:"f"` // empty: none
}

func redactSnapshot(rev crid.Revision, snap *crpolicy.Snapshot) loaded {
	l := loaded{Rev: rev, Services: snap.Services(), Accounts: snap.Accounts()}
	for i := range l.Accounts {
		l.Accounts[i].Keys = nil
	}
	return l
}
