package crconfig

import (
	"encoding/hex"
	"errors"

	"camphorroad/core/crid"
)

// Head is the platform's word on what is newest. The platform has one revision
// counter for all it publishes.
type Head struct {
	Rev      crid.Revision `json:"rev"`      // the larger of the two below
	Conf     crid.Revision `json:"conf"`     // of the manifest; zero: none published
	Manifest Digest        `json:"manifest"` // of the manifest's bytes
	List     crid.Revision `json:"list"`     // of the list of instances; zero: none
}

var errDigest = errors.New("a digest is 64 hex digits")

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errDigest
	}
	_, err := hex.Decode(d[:], text)
	return err
}
