package crpolicyfile

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// Errors of published bytes.
var (
	// ErrManifest: the bytes are no manifest.
	ErrManifest = errors.New("not a manifest")
	// ErrValue: a value is missing, altered or not decodable.
	ErrValue = errors.New("bad value")
)

// Both are crconfig's, so that core need not know this package.
var (
	_ crconfig.Parser = ParseManifest
	_ crconfig.Loader = Load
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
			return crconfig.Manifest{}, oops.Wrapf(ErrManifest, "entry %q is out of order or twice", e.Name)
		}
		if e.Size <= 0 || e.Size >= crconfig.MaxValue {
			return crconfig.Manifest{}, oops.Wrapf(ErrManifest, "entry %q has %d bytes", e.Name, e.Size)
		}
		last = e.Name
	}
	return m, nil
}

// Load is the daemon's own validation: it checks every value against its digest,
// decodes all, applies the rules that the publishing step applied, and indexes
// them. One fault refuses the whole.
func Load(rev crid.Revision, m crconfig.Manifest, values map[string][]byte) (*crpolicy.Snapshot, error) {
	mode, err := decoder()
	if err != nil {
		return nil, err
	}
	var (
		p  Policy
		ps Problems
	)
	seen := newRegistry()
	for _, e := range m.Entries {
		data, ok := values[e.Name]
		if !ok || len(data) != e.Size || crconfig.DigestOf(data) != e.Digest {
			return nil, oops.Wrapf(ErrValue, "%s is missing or not what the manifest names", e.Name)
		}
		l := loader{name: e.Name, mode: mode, seen: seen, problems: &ps}
		if err := l.load(data, &p); err != nil {
			return nil, err
		}
	}
	if err := ps.err(); err != nil {
		return nil, err
	}
	return crpolicy.NewSnapshot(rev, p.Services, p.Accounts), nil
}

func decoder() (cbor.DecMode, error) {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	return mode, oops.Wrapf(err, "set up the decoder")
}

// loader decodes and checks one value.
type loader struct {
	name     string
	mode     cbor.DecMode
	seen     *registry
	problems *Problems
}

func (l loader) load(data []byte, p *Policy) error {
	check := checker{at: l.name, seen: l.seen, add: func(key, what, hint string) {
		*l.problems = append(*l.problems, Problem{File: l.name, Key: key, What: what, Hint: hint})
	}}
	kind, _, _ := strings.Cut(l.name, "/")
	switch kind {
	case "service":
		var services []crpolicy.Service
		if err := l.mode.Unmarshal(data, &services); err != nil {
			return oops.Wrapf(ErrValue, "%s: %v", l.name, err)
		}
		for _, svc := range services {
			check.service(svc)
		}
		p.Services = append(p.Services, services...)
	case "account":
		var accounts []crpolicy.Account
		if err := l.mode.Unmarshal(data, &accounts); err != nil {
			return oops.Wrapf(ErrValue, "%s: %v", l.name, err)
		}
		for i, a := range accounts {
			check.account(fmt.Sprintf("account[%d]", i), a)
		}
		p.Accounts = append(p.Accounts, accounts...)
	default:
		return oops.Wrapf(ErrValue, "%s is of an unknown kind", l.name)
	}
	return nil
}
