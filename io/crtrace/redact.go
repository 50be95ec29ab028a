package crtrace

import (
	"errors"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// A published value is recorded without its content, which may contain hashes of
// keys. Replay uses a placeholder of the same size: the digest of the value,
// repeated. The placeholder of a part starts at the part's offset in this sequence, so
// the placeholders of all parts join to the placeholder of the whole value, whose first
// bytes are the digest. A value shorter than a digest cannot contain a hash of a key and
// is recorded unchanged.

const digestSize = len(crconfig.Digest{})

// redactedPart is the recorded form of a contiguous part of a value.
type redactedPart struct {
	Digest  crconfig.Digest `cbor:"d"`
	Offset  int             `cbor:"o"`
	Size    int             `cbor:"s"` // bytes of the whole value
	Length  int             `cbor:"n"` // bytes of this part
	Content []byte          `cbor:"p"` // set only if the value is shorter than a digest
}

func redactPart(digest crconfig.Digest, off, size int, data []byte) redactedPart {
	c := redactedPart{Digest: digest, Offset: off, Size: size, Length: len(data)}
	if size < digestSize && len(data) < digestSize {
		c.Content = data
	}
	return c
}

var errPartTooLong = errors.New("part of a value is longer than the maximum size of a record")

func (c redactedPart) placeholder() ([]byte, error) {
	if c.Content != nil || c.Length == 0 {
		return c.Content, nil
	}
	if c.Length < 0 || c.Length > maxRecord {
		return nil, errPartTooLong
	}
	b := make([]byte, c.Length)
	for i := range b {
		at := (c.Offset%digestSize + i%digestSize + digestSize) % digestSize
		b[i] = c.Digest[at]
	}
	return b, nil
}

// digestOf returns the digest in a placeholder, or the digest of a short value.
func digestOf(data []byte) crconfig.Digest {
	if len(data) < digestSize {
		return crconfig.DigestOf(data)
	}
	return crconfig.Digest(data[:digestSize])
}

// redactedPush is a crconfig.Push without the content of the values.
type redactedPush struct {
	Parts []redactedPart `cbor:"p"`
}

// MessageKind implements crevent.Message.
func (redactedPush) MessageKind() string { return crconfig.Push{}.MessageKind() }

// redactMessage returns the recorded form of a message.
func redactMessage(msg crevent.Message) crevent.Message {
	m, ok := msg.(crconfig.Push)
	if !ok {
		return msg
	}
	var p redactedPush
	for _, part := range m.Parts {
		p.Parts = append(p.Parts, redactPart(part.Digest, part.Offset, part.Size, part.Data))
	}
	return p
}

func (p redactedPush) restore() (crevent.Message, error) {
	var m crconfig.Push
	for _, part := range p.Parts {
		data, err := part.placeholder()
		if err != nil {
			return nil, err
		}
		m.Parts = append(m.Parts, crconfig.Part{Digest: part.Digest, Offset: part.Offset, Size: part.Size, Data: data})
	}
	return m, nil
}

// parsed is the recorded result of the manifest parser.
type parsed struct {
	Manifest crconfig.Manifest `cbor:"m"`
	Fault    string            `cbor:"f"` // empty if there was no error
}

// loaded is the recorded result of the configuration loader, without keys.
type loaded struct {
	Rev      crid.Revision      `cbor:"r"`
	Services []crpolicy.Service `cbor:"s"`
	Accounts []crpolicy.Account `cbor:"a"`
	Fault    string             `cbor:"f"` // empty if there was no error
}

func redactSnapshot(rev crid.Revision, snap *crpolicy.Snapshot) loaded {
	l := loaded{Rev: rev, Services: snap.Services(), Accounts: snap.Accounts()}
	for i := range l.Accounts {
		l.Accounts[i].Keys = nil
	}
	return l
}
