package crpolicy

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"

	"camphorroad/core/crid"
)

// segmentKeys is the number of keys that a segment of the index aims at. A
// change copies the segments of its own keys only.
const segmentKeys = 64

// KeyConflict says that one key belongs to two accounts. Whose a request would be
// were a matter of luck.
type KeyConflict struct {
	Hash          KeyHash
	First, Second crid.Account
	Part          int // of the second
}

// Error tells the clash without the whole hash.
func (c *KeyConflict) Error() string {
	return fmt.Sprintf("the hash %x… of account %s also belongs to account %s", c.Hash[:4], c.Second, c.First)
}

// keyRef leads from a part of a key's hash to its account.
type keyRef struct {
	mark    uint32
	part    uint16
	account uint16
}

// keyIndex finds accounts by the hash of a key. It is immutable: a renewed index
// shares all segments with the former one, but for those of changed parts.
type keyIndex struct {
	bits     int
	segments [][]keyRef // by the first bits of the hash
}

func emptyKeyIndex(keys int) *keyIndex {
	n := bits.Len(uint(keys / segmentKeys))
	return &keyIndex{bits: n, segments: make([][]keyRef, 1<<n)}
}

func (x *keyIndex) place(h KeyHash) (segment int, mark uint32) {
	v := binary.BigEndian.Uint64(h[:])
	return int(v >> 32 >> (32 - x.bits)), uint32(v)
}

// fits reports whether the segments are neither far too long nor far too short
// for a number of keys.
func (x *keyIndex) fits(keys int) bool {
	return keys <= len(x.segments)*segmentKeys*2 && (x.bits == 0 || keys*4 >= len(x.segments)*segmentKeys)
}

// find returns where the account of a key stands.
func (x *keyIndex) find(h KeyHash, parts []*Part) (keyRef, bool) {
	segment, mark := x.place(h)
	for _, r := range x.segments[segment] {
		if r.mark == mark && parts[r.part].holds(int(r.account), h) {
			return r, true
		}
	}
	return keyRef{}, false
}

// renew returns the index of parts, made from that of the former ones. With a
// clash the index is whole, and either account may be found.
func (x *keyIndex) renew(former, parts []*Part) (*keyIndex, *KeyConflict) {
	total, changed := 0, 0
	for i, p := range parts {
		total += p.size()
		if i >= len(former) || former[i] != p {
			changed += p.size()
		}
	}
	if len(former) != len(parts) || !x.fits(total) || changed > total/2 {
		x, former = emptyKeyIndex(total), make([]*Part, len(parts))
	}
	r := renewal{parts: parts, changed: make([]bool, len(parts)), more: make([]int, len(x.segments))}
	r.index = &keyIndex{bits: x.bits, segments: slices.Clone(x.segments)}
	for i, p := range parts {
		r.changed[i] = former[i] != p
	}
	r.reserve(former)
	r.insert()
	return r.index, r.clash
}

// renewal is a renewed index in the making.
type renewal struct {
	index   *keyIndex
	parts   []*Part
	changed []bool
	more    []int // keys to come, by segment
	clash   *KeyConflict
}

// reserve copies the segments that change, without the refs to changed parts and
// with room for the new ones.
func (r *renewal) reserve(former []*Part) {
	touched := make([]bool, len(r.more))
	for i := range r.parts {
		if !r.changed[i] {
			continue
		}
		former[i].eachKey(func(_ int, h KeyHash) {
			segment, _ := r.index.place(h)
			touched[segment] = true
		})
		r.parts[i].eachKey(func(_ int, h KeyHash) {
			segment, _ := r.index.place(h)
			touched[segment] = true
			r.more[segment]++
		})
	}
	for segment, hit := range touched {
		if hit {
			r.index.segments[segment] = r.keep(r.index.segments[segment], r.more[segment])
		}
	}
}

func (r *renewal) keep(refs []keyRef, more int) []keyRef {
	kept := make([]keyRef, 0, len(refs)+more)
	for _, ref := range refs {
		if !r.changed[ref.part] {
			kept = append(kept, ref)
		}
	}
	return kept
}

func (r *renewal) insert() {
	for i, p := range r.parts {
		if !r.changed[i] {
			continue
		}
		p.eachKey(func(account int, h KeyHash) {
			r.check(i, account, h)
			segment, mark := r.index.place(h)
			ref := keyRef{mark: mark, part: uint16(i), account: uint16(account)}
			r.index.segments[segment] = append(r.index.segments[segment], ref)
		})
	}
}

// check notes the first key that another account has too, or the same account
// twice.
func (r *renewal) check(part, account int, h KeyHash) {
	if r.clash != nil {
		return
	}
	if first, ok := r.index.find(h, r.parts); ok {
		r.clash = &KeyConflict{
			Hash:   h,
			First:  r.parts[first.part].at(int(first.account)).Name,
			Second: r.parts[part].at(account).Name,
			Part:   part,
		}
	}
}
