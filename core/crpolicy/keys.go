package crpolicy

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"

	"camphorroad/core/crid"
)

// keysPerSegment is the target number of keys in a segment of the index. A change
// copies the segments of its own keys only.
const keysPerSegment = 64

// KeyConflict is the error of a key that is listed twice, for two accounts or for
// the same one. With two, the account of a request with that key would be
// arbitrary.
type KeyConflict struct {
	Hash          KeyHash
	First, Second crid.Account
	Part          int // part of Second
}

// Error implements error. It omits most of the hash.
func (c *KeyConflict) Error() string {
	return fmt.Sprintf("the hash %x… of account %s also belongs to account %s", c.Hash[:4], c.Second, c.First)
}

// keyRef maps a fingerprint of a key's hash to the key's account.
type keyRef struct {
	fingerprint uint32
	part        uint16 // index in the parts
	account     uint16 // index in the part
}

// keyIndex finds accounts by the hash of a key. It is immutable: an updated index
// shares all segments with the previous one except those of changed parts.
type keyIndex struct {
	bits     int
	segments [][]keyRef // indexed by the first bits of the hash
}

func newKeyIndex(keys int) *keyIndex {
	n := bits.Len(uint(keys / keysPerSegment))
	return &keyIndex{bits: n, segments: make([][]keyRef, 1<<n)}
}

// locate returns the segment of a key's hash, and its fingerprint in the segment.
func (x *keyIndex) locate(h KeyHash) (segment int, fingerprint uint32) {
	v := binary.BigEndian.Uint64(h[:])
	return int(v >> 32 >> (32 - x.bits)), uint32(v)
}

// fits reports whether the number of segments suits a number of keys: the average
// segment has at most twice the target, and at least a quarter of it.
func (x *keyIndex) fits(keys int) bool {
	return keys <= len(x.segments)*keysPerSegment*2 && (x.bits == 0 || keys*4 >= len(x.segments)*keysPerSegment)
}

// find returns the reference to the account of a key.
func (x *keyIndex) find(h KeyHash, parts []*Part) (keyRef, bool) {
	segment, fingerprint := x.locate(h)
	for _, r := range x.segments[segment] {
		if r.fingerprint == fingerprint && parts[r.part].hasKey(int(r.account), h) {
			return r, true
		}
	}
	return keyRef{}, false
}

// update returns the index of parts, derived from that of the previous parts.
// With a conflict the index is still complete, and either account may be found.
func (x *keyIndex) update(previous, parts []*Part) (*keyIndex, *KeyConflict) {
	total, changed := 0, 0
	for i, p := range parts {
		total += p.keyCount()
		if i >= len(previous) || previous[i] != p {
			changed += p.keyCount()
		}
	}
	if len(previous) != len(parts) || !x.fits(total) || changed > total/2 {
		x, previous = newKeyIndex(total), make([]*Part, len(parts))
	}
	r := indexUpdate{parts: parts, changed: make([]bool, len(parts)), added: make([]int, len(x.segments))}
	r.index = &keyIndex{bits: x.bits, segments: slices.Clone(x.segments)}
	for i, p := range parts {
		r.changed[i] = previous[i] != p
	}
	r.reserve(previous)
	r.insert()
	return r.index, r.conflict
}

// indexUpdate is the state of an index update.
type indexUpdate struct {
	index    *keyIndex
	parts    []*Part
	changed  []bool
	added    []int // number of keys to insert, by segment
	conflict *KeyConflict
}

// reserve copies the segments that change, without the references to changed
// parts and with capacity for the new ones.
func (r *indexUpdate) reserve(previous []*Part) {
	touched := make([]bool, len(r.added))
	for i := range r.parts {
		if !r.changed[i] {
			continue
		}
		previous[i].eachKey(func(_ int, h KeyHash) {
			segment, _ := r.index.locate(h)
			touched[segment] = true
		})
		r.parts[i].eachKey(func(_ int, h KeyHash) {
			segment, _ := r.index.locate(h)
			touched[segment] = true
			r.added[segment]++
		})
	}
	for segment, ok := range touched {
		if ok {
			r.index.segments[segment] = r.retain(r.index.segments[segment], r.added[segment])
		}
	}
}

// retain copies the references to unchanged parts, with capacity for added ones.
func (r *indexUpdate) retain(refs []keyRef, added int) []keyRef {
	retained := make([]keyRef, 0, len(refs)+added)
	for _, ref := range refs {
		if !r.changed[ref.part] {
			retained = append(retained, ref)
		}
	}
	return retained
}

func (r *indexUpdate) insert() {
	for i, p := range r.parts {
		if !r.changed[i] {
			continue
		}
		p.eachKey(func(account int, h KeyHash) {
			r.checkConflict(i, account, h)
			segment, fingerprint := r.index.locate(h)
			ref := keyRef{fingerprint: fingerprint, part: uint16(i), account: uint16(account)}
			r.index.segments[segment] = append(r.index.segments[segment], ref)
		})
	}
}

// checkConflict records the first key that is already in the index, for another
// account or for the same one.
func (r *indexUpdate) checkConflict(part, account int, h KeyHash) {
	if r.conflict != nil {
		return
	}
	if first, ok := r.index.find(h, r.parts); ok {
		r.conflict = &KeyConflict{
			Hash:   h,
			First:  r.parts[first.part].account(int(first.account)).Name,
			Second: r.parts[part].account(account).Name,
			Part:   part,
		}
	}
}
