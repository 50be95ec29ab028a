package crpolicyfile

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"camphorroad/core/crconfig"
)

// Errors of published values.
var (
	// ErrManifest means that the bytes are not a valid manifest.
	ErrManifest = errors.New("invalid manifest")
	// ErrValue means that a value is missing, altered or cannot be decoded.
	ErrValue = errors.New("invalid value")
)

// The function types are declared in crconfig, since core must not import this package.
var (
	_ crconfig.Parser = ParseManifest
	_ crconfig.Loader = Load
	_ crconfig.Loader = NewLoader().Load
)

// ParseManifest decodes a manifest and checks its sizes and names.
func ParseManifest(data []byte) (crconfig.Manifest, error) {
	var m crconfig.Manifest
	mode, err := decoder()
	if err != nil {
		return m, err
	}
	if err := mode.Unmarshal(data, &m); err != nil {
		return crconfig.Manifest{}, oops.Wrapf(ErrManifest, "%v", err)
	}
	last := ""
	for _, e := range m.Entries {
		if e.Name <= last {
			return crconfig.Manifest{}, oops.Wrapf(ErrManifest, "entry %q is out of order or duplicated", e.Name)
		}
		if e.Size <= 0 || e.Size >= crconfig.MaxValueSize {
			return crconfig.Manifest{}, oops.Wrapf(ErrManifest, "entry %q has an invalid size of %d bytes", e.Name, e.Size)
		}
		last = e.Name
	}
	return m, nil
}

func decoder() (cbor.DecMode, error) {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	return mode, oops.Wrapf(err, "set up the decoder")
}
