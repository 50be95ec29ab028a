package crpolicy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
)

// MaxParts bounds the parts of a configuration, and the accounts of a part.
const MaxParts = 1 << 16

// partAccounts is the number of accounts that a part aims at where the parts are
// not those of published values.
const partAccounts = 512

// Part holds the accounts of one published value. It is immutable, so that
// configurations that have a value in common share its part.
type Part struct {
	accounts []Account // sorted by name
	keys     int
}

// NewPart indexes the accounts of a value, fewer than MaxParts. Of two accounts
// with one name the later counts, so validation refuses that.
func NewPart(accounts []Account) *Part {
	p := &Part{}
	for i, a := range sortedByName(accounts) {
		if i > 0 && p.accounts[len(p.accounts)-1].Name == a.Name {
			p.keys -= len(p.accounts[len(p.accounts)-1].Keys)
			p.accounts = p.accounts[:len(p.accounts)-1]
		}
		p.accounts = append(p.accounts, a)
		p.keys += len(a.Keys)
	}
	return p
}

func sortedByName(accounts []Account) []Account {
	sorted := slices.Clone(accounts)
	slices.SortStableFunc(sorted, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// Shard is the number of the part, out of a power of two, that an account or
// service belongs in.
func Shard[T ~string](name T, count int) int {
	return int(xxhash.Sum64String(string(name)) % uint64(count))
}

// Stray returns an account that does not belong in this part, the i-th of count.
func (p *Part) Stray(i, count int) (crid.Account, bool) {
	for _, a := range p.accounts {
		if Shard(a.Name, count) != i {
			return a.Name, true
		}
	}
	return "", false
}

func (p *Part) all() []Account {
	if p == nil {
		return nil
	}
	return p.accounts
}

func (p *Part) size() int {
	if p == nil {
		return 0
	}
	return p.keys
}

// find returns an account by its name.
func (p *Part) find(name crid.Account) (Account, bool) {
	if p == nil {
		return Account{}, false
	}
	i, ok := slices.BinarySearchFunc(p.accounts, name, func(a Account, name crid.Account) int {
		return cmp.Compare(a.Name, name)
	})
	if !ok {
		return Account{}, false
	}
	return p.accounts[i], true
}

// at returns the i-th account.
func (p *Part) at(i int) Account { return p.accounts[i] }

// holds reports whether a key belongs to the i-th account.
func (p *Part) holds(i int, h KeyHash) bool { return slices.Contains(p.accounts[i].Keys, h) }

// eachKey calls f with every key and the number of its account.
func (p *Part) eachKey(f func(i int, h KeyHash)) {
	for i, a := range p.all() {
		for _, h := range a.Keys {
			f(i, h)
		}
	}
}
