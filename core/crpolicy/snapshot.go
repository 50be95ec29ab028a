package crpolicy

import (
	"slices"
	"strings"

	"camphorroad/core/crid"
)

// Snapshot is one whole published configuration. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	rev      crid.Revision
	services map[crid.Service]Service
	accounts map[crid.Account]Account
	byKey    map[KeyHash]crid.Account
}

// NewSnapshot indexes a configuration. Its parts must have passed validation;
// of two accounts with one key hash the later wins, so validation refuses that.
func NewSnapshot(rev crid.Revision, services []Service, accounts []Account) *Snapshot {
	s := &Snapshot{
		rev:      rev,
		services: make(map[crid.Service]Service, len(services)),
		accounts: make(map[crid.Account]Account, len(accounts)),
		byKey:    make(map[KeyHash]crid.Account, len(accounts)),
	}
	for _, svc := range services {
		s.services[svc.Name] = svc
	}
	for _, a := range accounts {
		s.accounts[a.Name] = a
		for _, k := range a.Keys {
			s.byKey[k] = a.Name
		}
	}
	return s
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
	a, ok := s.accounts[name]
	return a, ok
}

// Accounts returns all accounts, sorted by name.
func (s *Snapshot) Accounts() []Account {
	all := make([]Account, 0, len(s.accounts))
	for _, a := range s.accounts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b Account) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}

// AccountByKey finds the account that a key's hash belongs to. The map is
// looked up by the SHA-256 of the key, so timing tells nothing of the key.
func (s *Snapshot) AccountByKey(h KeyHash) (Account, bool) {
	name, ok := s.byKey[h]
	if !ok {
		return Account{}, false
	}
	return s.Account(name)
}
