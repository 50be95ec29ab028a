package crpolicy

import (
	"math/bits"
	"slices"
	"strings"

	"camphorroad/core/crid"
)

// Snapshot is one published configuration. It is immutable and safe for
// concurrent use. The accounts that it returns have no keys; a key can only be
// looked up.
type Snapshot struct {
	rev      crid.Revision
	services map[crid.Service]Service
	parts    []*Part // indexed by Shard; the length is a power of two; nil: an empty part
	keys     *keyIndex
}

// NewSnapshot indexes a validated configuration. If two accounts have the same
// key hash, either may be found, so validation rejects them.
func NewSnapshot(rev crid.Revision, services []Service, accounts []Account) *Snapshot {
	shards := make([][]Account, 1<<bits.Len(uint(len(accounts)/accountsPerPart)))
	for _, a := range accounts {
		i := Shard(a.Name, len(shards))
		shards[i] = append(shards[i], a)
	}
	parts := make([]*Part, len(shards))
	for i, shard := range shards {
		parts[i] = NewPart(shard, nil)
	}
	s, _ := assemble(nil, rev, services, parts)
	return s
}

// Assemble returns a configuration of validated parts. The i-th part contains the
// accounts whose Shard is i; nil is an empty part. Parts that the previous
// configuration also has are not indexed again; previous is nil if there is none.
// The error is a *KeyConflict.
func Assemble(previous *Snapshot, rev crid.Revision, services []Service, parts []*Part) (*Snapshot, error) {
	s, conflict := assemble(previous, rev, services, parts)
	if conflict != nil {
		return nil, conflict
	}
	return s, nil
}

func assemble(previous *Snapshot, rev crid.Revision, services []Service, parts []*Part) (*Snapshot, *KeyConflict) {
	if previous == nil {
		previous = &Snapshot{keys: newKeyIndex(0)}
	}
	s := &Snapshot{rev: rev, services: make(map[crid.Service]Service, len(services)), parts: slices.Clone(parts)}
	for _, svc := range services {
		s.services[svc.Name] = svc
	}
	keys, conflict := previous.keys.update(previous.parts, s.parts)
	s.keys = keys
	return s, conflict
}

// Revision returns the platform's revision of the configuration.
func (s *Snapshot) Revision() crid.Revision { return s.rev }

// Service returns a service's policy.
func (s *Snapshot) Service(name crid.Service) (Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []Service {
	all := make([]Service, 0, len(s.services))
	for _, svc := range s.services {
		all = append(all, svc)
	}
	slices.SortFunc(all, func(a, b Service) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}

// Account returns an account's policy.
func (s *Snapshot) Account(name crid.Account) (Account, bool) {
	if len(s.parts) == 0 {
		return Account{}, false
	}
	return s.parts[Shard(name, len(s.parts))].find(name)
}

// Accounts returns all accounts, sorted by name.
func (s *Snapshot) Accounts() []Account { return s.AccountsSince(nil) }

// AccountsSince returns the accounts that may differ from those of a previous
// configuration, sorted by name. It returns all accounts if previous is nil.
// Accounts that were removed are not returned.
func (s *Snapshot) AccountsSince(previous *Snapshot) []Account {
	var all []Account
	for i, p := range s.parts {
		if previous == nil || len(previous.parts) != len(s.parts) || previous.parts[i] != p {
			all = append(all, p.accounts()...)
		}
	}
	return sortedByName(all)
}

// AccountByKey returns the account of a key. The look-up uses the SHA-256 of the
// key, so its timing reveals nothing about the key.
func (s *Snapshot) AccountByKey(h KeyHash) (Account, bool) {
	ref, ok := s.keys.find(h, s.parts)
	if !ok {
		return Account{}, false
	}
	return s.parts[ref.part].account(int(ref.account)), true
}
