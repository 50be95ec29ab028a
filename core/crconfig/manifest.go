package crconfig

import (
	"crypto/sha256"
	"encoding/hex"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// MaxValueSize is the size in bytes that a value of the platform stays below.
const MaxValueSize = 1 << 20

// Digest is the SHA-256 of a value's bytes; values are addressed by it.
type Digest [sha256.Size]byte

// DigestOf computes the digest of a value's bytes.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest names nothing.
func (d Digest) IsZero() bool { return d == Digest{} }

// Entry names one value of a configuration.
type Entry struct {
	Name   string `cbor:"n" json:"name"`
	Digest Digest `cbor:"d" json:"-"`
	Size   int    `cbor:"s" json:"size"` // bytes
}

// Manifest names all values of one configuration, sorted by name.
type Manifest struct {
	Entries []Entry `cbor:"e" json:"entries"`
}

// Parser decodes the bytes of a manifest; it is pure.
type Parser func(manifest []byte) (Manifest, error)

// Loader validates the values that a manifest names, by name, and indexes them
// as the configuration of a revision. What it returns hangs on its arguments
// alone, whatever it keeps from one call to the next. An error refuses them whole.
type Loader func(rev crid.Revision, m Manifest, values map[string][]byte) (*crpolicy.Snapshot, error)
