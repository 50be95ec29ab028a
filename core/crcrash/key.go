package crcrash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"camphorroad/core/crid"
)

// Key identifies a request by its content.
type Key [16]byte

// String returns the key in hexadecimal digits, for logs.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// maxKeyedBody bounds the part of a body that tells requests apart, besides its length.
const maxKeyedBody = 16 << 10

// Content is what a caller repeats when it sends a request again.
type Content struct {
	Account crid.Account // empty: none
	Method  string
	Host    string
	URI     string
	Body    []byte
}

// KeyOf returns the key of a request.
func KeyOf(c Content) Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{
		[]byte(c.Account), []byte(c.Method), []byte(c.Host), []byte(c.URI), c.Body[:min(len(c.Body), maxKeyedBody)],
	} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	binary.LittleEndian.PutUint64(size[:], uint64(len(c.Body)))
	h.Write(size[:])
	return Key(h.Sum(nil)[:16])
}
