package crconfig

import (
	"encoding/hex"
	"errors"

	"camphorroad/core/crid"
)

// Head is the newest state that the platform publishes. The platform has one
// revision counter for everything it publishes.
type Head struct {
	Rev      crid.Revision `json:"rev"`      // the larger of Conf and List
	Conf     crid.Revision `json:"conf"`     // revision of the manifest; zero: none published
	Manifest Digest        `json:"manifest"` // digest of the manifest
	List     crid.Revision `json:"list"`     // revision of the list of instances; zero: none published
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
