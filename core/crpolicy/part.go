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

// partAccounts is the number of accounts that a part aims at where the parts are
// not those of published values.
const partAccounts = 512

// Part holds the accounts of one published value. It is immutable, so that
// configurations that have a value in common share its part.
//
// A daemon holds 410,000 accounts, and the bytes of the values for its peers. So
// names and keys stay where they stand in those bytes, and the rest is small and
// free of pointers, which the collector would follow.
type Part struct {
	block  []byte // names and keys stand here
	slots  []slot // sorted by name
	keys   []uint32
	limits []limit
}

// slot is one account. Offsets are in the block.
type slot struct {
	name    uint32
	keysEnd uint32 // in the part's keys; they begin where the former slot's end
	size    uint16 // of the name
	limit   uint16 // in the part's limits
}

// limit is the rate and burst of one account or more.
type limit struct{ rate, burst float64 }

// NewPart indexes the accounts of a value, fewer than MaxParts. Names and keys
// are looked for in data, the bytes of the value, which must not change
// afterwards; where they do not all stand there in order, they are copied. Of two
// accounts with one name the later counts, so validation refuses that.
func NewPart(accounts []Account, data []byte) *Part {
	sorted := distinct(sortedByName(accounts))
	p := &Part{block: data}
	if !p.fill(sorted) {
		p = &Part{block: copied(sorted)}
		p.fill(sorted)
	}
	return p
}

// fill adds accounts; it reports false where one is not in the block.
func (p *Part) fill(accounts []Account) bool {
	keys := 0
	for _, a := range accounts {
		keys += len(a.Keys)
	}
	p.slots = make([]slot, 0, len(accounts))
	p.keys = make([]uint32, 0, keys)
	known := make(map[limit]uint16)
	at := 0
	for _, a := range accounts {
		next, ok := p.add(a, at)
		if !ok {
			return false
		}
		at = next
		l := limit{rate: a.Rate, burst: a.Burst}
		n, ok := known[l]
		if !ok {
			n = uint16(len(p.limits))
			known[l] = n
			p.limits = append(p.limits, l)
		}
		p.slots[len(p.slots)-1].limit = n
	}
	p.limits = slices.Clip(p.limits)
	return true
}

// add looks for an account in the block from an offset on, and returns the offset
// after it. A name may be found where something else is meant; the bytes are
// equal, and only they are used.
func (p *Part) add(a Account, from int) (next int, ok bool) {
	name, next := p.seek([]byte(a.Name), from, from)
	if name < 0 {
		return 0, false
	}
	for _, k := range a.Keys {
		var at int
		if at, next = p.seek(k[:], from, next); at < 0 {
			return 0, false
		}
		p.keys = append(p.keys, uint32(at))
	}
	p.slots = append(p.slots, slot{name: uint32(name), size: uint16(len(a.Name)), keysEnd: uint32(len(p.keys))})
	return next, true
}

// seek returns the offset of a text in the block, negative for none, and the
// larger of its end and a former end.
func (p *Part) seek(text []byte, from, end int) (at, next int) {
	at = bytes.Index(p.block[from:], text)
	if at < 0 {
		return -1, end
	}
	return from + at, max(end, from+at+len(text))
}

// copied makes a block of accounts that have none.
func copied(accounts []Account) []byte {
	var b bytes.Buffer
	for _, a := range accounts {
		b.WriteString(string(a.Name))
		for _, k := range a.Keys {
			b.Write(k[:])
		}
	}
	return bytes.Clone(b.Bytes())
}

// distinct keeps the last of sorted accounts with one name.
func distinct(sorted []Account) []Account {
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

// Shard is the number of the part, out of a power of two, that an account or
// service belongs in.
func Shard[T ~string](name T, count int) int {
	return int(xxhash.Sum64String(string(name)) % uint64(count))
}

// Misplaced returns an account that does not belong in this part, the i-th of count.
func (p *Part) Misplaced(i, count int) (crid.Account, bool) {
	for _, a := range p.all() {
		if Shard(a.Name, count) != i {
			return a.Name, true
		}
	}
	return "", false
}

// all returns the accounts.
func (p *Part) all() []Account {
	if p == nil {
		return nil
	}
	all := make([]Account, 0, len(p.slots))
	for i := range p.slots {
		all = append(all, p.at(i))
	}
	return all
}

// size is the number of keys.
func (p *Part) size() int {
	if p == nil {
		return 0
	}
	return len(p.keys)
}

// find returns an account by its name.
func (p *Part) find(name crid.Account) (Account, bool) {
	if p == nil {
		return Account{}, false
	}
	i := sort.Search(len(p.slots), func(i int) bool { return string(p.name(i)) >= string(name) })
	if i == len(p.slots) || string(p.name(i)) != string(name) {
		return Account{}, false
	}
	return p.at(i), true
}

func (p *Part) name(i int) []byte {
	s := p.slots[i]
	return p.block[s.name : s.name+uint32(s.size)]
}

// at returns the i-th account, without its keys.
func (p *Part) at(i int) Account {
	l := p.limits[p.slots[i].limit]
	return Account{Name: crid.Account(p.name(i)), Rate: l.rate, Burst: l.burst}
}

// keysOf returns where the keys of the i-th account stand.
func (p *Part) keysOf(i int) []uint32 {
	begin := uint32(0)
	if i > 0 {
		begin = p.slots[i-1].keysEnd
	}
	return p.keys[begin:p.slots[i].keysEnd]
}

func (p *Part) key(at uint32) KeyHash { return KeyHash(p.block[at : at+uint32(len(KeyHash{}))]) }

// holds reports whether a key belongs to the i-th account.
func (p *Part) holds(i int, h KeyHash) bool {
	return slices.ContainsFunc(p.keysOf(i), func(at uint32) bool { return p.key(at) == h })
}

// eachKey calls f with every key and the number of its account.
func (p *Part) eachKey(f func(i int, h KeyHash)) {
	if p == nil {
		return
	}
	for i := range p.slots {
		for _, at := range p.keysOf(i) {
			f(i, p.key(at))
		}
	}
}
