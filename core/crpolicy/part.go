package crpolicy

import (
	"bytes"
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
)

// MaxParts bounds the parts of a configuration, and the accounts of a part.
const MaxParts = 1 << 16

// accountsPerPart is the target number of accounts in a part that NewSnapshot
// makes. The parts of published values may have other sizes.
const accountsPerPart = 512

// Part contains the accounts of one published value. It is immutable, so that
// configurations with a common value share its part.
//
// A daemon stores 410,000 accounts, and also the bytes of their values, which it
// sends to peers. So names and keys are offsets into those bytes, and everything
// else is small and free of pointers, which the garbage collector would follow.
type Part struct {
	data    []byte  // bytes that contain the names and keys
	entries []entry // sorted by name
	keys    []uint32
	limits  []limit
}

// entry is one account. Offsets refer to the part's data.
type entry struct {
	name    uint32
	keysEnd uint32 // end in the part's keys; the start is the previous entry's end
	nameLen uint16 // length of the name
	limit   uint16 // index in the part's limits
}

// limit is a rate and burst, shared by all accounts with the same values.
type limit struct{ rate, burst float64 }

// NewPart indexes the accounts of a value, fewer than MaxParts. Names and keys
// are located in data, the bytes of the value, which must not be modified
// afterwards. If data does not contain all of them in order, they are copied. Of
// two accounts with the same name the last one is kept; validation rejects them.
func NewPart(accounts []Account, data []byte) *Part {
	sorted := dedupe(sortedByName(accounts))
	p := &Part{data: data}
	if !p.fill(sorted) {
		p = &Part{data: packed(sorted)}
		p.fill(sorted)
	}
	return p
}

// fill adds accounts; it reports false if one is not in data.
func (p *Part) fill(accounts []Account) bool {
	keys := 0
	for _, a := range accounts {
		keys += len(a.Keys)
	}
	p.entries = make([]entry, 0, len(accounts))
	p.keys = make([]uint32, 0, keys)
	indexes := make(map[limit]uint16)
	offset := 0
	for _, a := range accounts {
		next, ok := p.add(a, offset)
		if !ok {
			return false
		}
		offset = next
		l := limit{rate: a.Rate, burst: a.Burst}
		n, ok := indexes[l]
		if !ok {
			n = uint16(len(p.limits))
			indexes[l] = n
			p.limits = append(p.limits, l)
		}
		p.entries[len(p.entries)-1].limit = n
	}
	p.limits = slices.Clip(p.limits)
	return true
}

// add locates an account in data from an offset on, and returns the offset after
// it. The match may lie in another field of the value. That is harmless, since
// only the matching bytes are used.
func (p *Part) add(a Account, from int) (next int, ok bool) {
	name, next := p.locate([]byte(a.Name), from, from)
	if name < 0 {
		return 0, false
	}
	for _, k := range a.Keys {
		var offset int
		if offset, next = p.locate(k[:], from, next); offset < 0 {
			return 0, false
		}
		p.keys = append(p.keys, uint32(offset))
	}
	p.entries = append(p.entries, entry{name: uint32(name), nameLen: uint16(len(a.Name)), keysEnd: uint32(len(p.keys))})
	return next, true
}

// locate returns the offset of a text in data, negative if not found, and the
// larger of its end and the given end.
func (p *Part) locate(text []byte, from, end int) (offset, next int) {
	offset = bytes.Index(p.data[from:], text)
	if offset < 0 {
		return -1, end
	}
	return from + offset, max(end, from+offset+len(text))
}

// packed returns the concatenated names and keys of accounts.
func packed(accounts []Account) []byte {
	var b bytes.Buffer
	for _, a := range accounts {
		b.WriteString(string(a.Name))
		for _, k := range a.Keys {
			b.Write(k[:])
		}
	}
	return bytes.Clone(b.Bytes())
}

// dedupe keeps the last of several sorted accounts with the same name.
func dedupe(sorted []Account) []Account {
	var all []Account
	for i, a := range sorted {
		if i+1 == len(sorted) || sorted[i+1].Name != a.Name {
			all = append(all, a)
		}
	}
	return all
}

func sortedByName(accounts []Account) []Account {
	sorted := slices.Clone(accounts)
	slices.SortStableFunc(sorted, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// Shard is the index of the part that an account or service belongs in. The
// number of parts is a power of two.
func Shard[T ~string](name T, count int) int {
	return int(xxhash.Sum64String(string(name)) % uint64(count))
}

// Misplaced returns an account that does not belong in this part, the i-th of count.
func (p *Part) Misplaced(i, count int) (crid.Account, bool) {
	for _, a := range p.accounts() {
		if Shard(a.Name, count) != i {
			return a.Name, true
		}
	}
	return "", false
}

// accounts returns the accounts.
func (p *Part) accounts() []Account {
	if p == nil {
		return nil
	}
	all := make([]Account, 0, len(p.entries))
	for i := range p.entries {
		all = append(all, p.account(i))
	}
	return all
}

// keyCount returns the number of keys.
func (p *Part) keyCount() int {
	if p == nil {
		return 0
	}
	return len(p.keys)
}

// find returns the account with a name.
func (p *Part) find(name crid.Account) (Account, bool) {
	if p == nil {
		return Account{}, false
	}
	i := sort.Search(len(p.entries), func(i int) bool { return string(p.name(i)) >= string(name) })
	if i == len(p.entries) || string(p.name(i)) != string(name) {
		return Account{}, false
	}
	return p.account(i), true
}

func (p *Part) name(i int) []byte {
	e := p.entries[i]
	return p.data[e.name : e.name+uint32(e.nameLen)]
}

// account returns the i-th account, without its keys.
func (p *Part) account(i int) Account {
	l := p.limits[p.entries[i].limit]
	return Account{Name: crid.Account(p.name(i)), Rate: l.rate, Burst: l.burst}
}

// keyOffsets returns the offsets of the i-th account's keys.
func (p *Part) keyOffsets(i int) []uint32 {
	begin := uint32(0)
	if i > 0 {
		begin = p.entries[i-1].keysEnd
	}
	return p.keys[begin:p.entries[i].keysEnd]
}

func (p *Part) key(offset uint32) KeyHash {
	return KeyHash(p.data[offset : offset+uint32(len(KeyHash{}))])
}

// hasKey reports whether a key belongs to the i-th account.
func (p *Part) hasKey(i int, h KeyHash) bool {
	return slices.ContainsFunc(p.keyOffsets(i), func(offset uint32) bool { return p.key(offset) == h })
}

// eachKey calls f with every key and the index of its account.
func (p *Part) eachKey(f func(i int, h KeyHash)) {
	if p == nil {
		return
	}
	for i := range p.entries {
		for _, offset := range p.keyOffsets(i) {
			f(i, p.key(offset))
		}
	}
}
