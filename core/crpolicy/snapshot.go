package crpolicy

import (
	"math/bits"
	"slices"
	"strings"

	"camphorroad/core/crid"
)

// Snapshot is one whole published configuration. It is immutable and safe for
// concurrent use. The accounts that it returns come without their keys, which
// are looked up here and have no other use.
type Snapshot struct {
	rev      crid.Revision
	services map[crid.Service]Service
	parts    []*Part // a power of two, by Shard; nil for an empty one
	keys     *keyIndex
}

// NewSnapshot indexes a configuration. Its parts must have passed validation;
// of two accounts with one key hash either may be found, so validation refuses
// that.
func NewSnapshot(rev crid.Revision, services []Service, accounts []Account) *Snapshot {
	shards := make([][]Account, 1<<bits.Len(uint(len(accounts)/partAccounts)))
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

// Assemble makes a configuration of checked parts; the i-th holds the accounts
// whose Shard is i, and nil stands for an empty one. What it shares with a former
// configuration, nil for none, is not indexed again. The error is a *Clash.
func Assemble(former *Snapshot, rev crid.Revision, services []Service, parts []*Part) (*Snapshot, error) {
	s, clash := assemble(former, rev, services, parts)
	if clash != nil {
		return nil, clash
	}
	return s, nil
}

func assemble(former *Snapshot, rev crid.Revision, services []Service, parts []*Part) (*Snapshot, *KeyConflict) {
	if former == nil {
		former = &Snapshot{keys: emptyKeyIndex(0)}
	}
	s := &Snapshot{rev: rev, services: make(map[crid.Service]Service, len(services)), parts: slices.Clone(parts)}
	for _, svc := range services {
		s.services[svc.Name] = svc
	}
	keys, clash := former.keys.renew(former.parts, s.parts)
	s.keys = keys
	return s, clash
}

// Revision is the platform's revision of the configuration.
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

// AccountsSince returns the accounts that may differ from those of a former
// configuration, nil for none, sorted by name. Those that are gone are not among
// them.
func (s *Snapshot) AccountsSince(former *Snapshot) []Account {
	var all []Account
	for i, p := range s.parts {
		if former == nil || len(former.parts) != len(s.parts) || former.parts[i] != p {
			all = append(all, p.all()...)
		}
	}
	return sortedByName(all)
}

// AccountByKey finds the account that a key's hash belongs to. The index is
// looked up by the SHA-256 of the key, so timing tells nothing of the key.
func (s *Snapshot) AccountByKey(h KeyHash) (Account, bool) {
	ref, ok := s.keys.find(h, s.parts)
	if !ok {
		return Account{}, false
	}
	return s.parts[ref.part].at(int(ref.account)), true
}
