package crconfig

import (
	"crypto/sha256"
	"encoding/hex"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// MaxValueSize is the size in bytes that every value must stay below.
const MaxValueSize = 1 << 20

// Digest is the SHA-256 of a value's bytes; values are addressed by it.
type Digest [sha256.Size]byte

// DigestOf computes the digest of a value's bytes.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// Entry is one value of a configuration.
type Entry struct {
	Name   string `cbor:"n" json:"name"`
	Digest Digest `cbor:"d" json:"-"`
	Size   int    `cbor:"s" json:"size"` // bytes
}

// Manifest lists all values of one configuration, sorted by name.
type Manifest struct {
	Entries []Entry `cbor:"e" json:"entries"`
}

// Parser decodes the bytes of a manifest; it is pure.
type Parser func(manifest []byte) (Manifest, error)

// Loader validates the values that a manifest lists, by name, and indexes them as
// the configuration of a revision. Its result depends on the arguments only, even
// if it caches work between calls. An error rejects the whole configuration.
type Loader func(rev crid.Revision, m Manifest, values map[string][]byte) (*crpolicy.Snapshot, error)
