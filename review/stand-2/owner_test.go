package stand2

import (
	"encoding/binary"
	"math/bits"
)

// Constants of the 64-bit xxHash, by which the daemons select the owner of an account.
const (
	prime1 uint64 = 0x9E3779B185EBCA87
	prime2 uint64 = 0xC2B2AE3D27D4EB4F
	prime3 uint64 = 0x165667B19E3779F9
	prime4 uint64 = 0x85EBCA77C2B2AE63
	prime5 uint64 = 0x27D4EB2F165667C5
)

func xxRound(acc, input uint64) uint64 {
	return bits.RotateLeft64(acc+input*prime2, 31) * prime1
}

// xxHash returns the 64-bit xxHash of a text of less than 32 bytes.
func xxHash(s string) uint64 {
	p := []byte(s)
	h := prime5 + uint64(len(p))
	for ; len(p) >= 8; p = p[8:] {
		h = bits.RotateLeft64(h^xxRound(0, binary.LittleEndian.Uint64(p)), 27)*prime1 + prime4
	}
	if len(p) >= 4 {
		h = bits.RotateLeft64(h^uint64(binary.LittleEndian.Uint32(p))*prime1, 23)*prime2 + prime3
		p = p[4:]
	}
	for _, c := range p {
		h = bits.RotateLeft64(h^uint64(c)*prime5, 11) * prime1
	}
	h = (h ^ h>>33) * prime2
	h = (h ^ h>>29) * prime3
	return h ^ h>>32
}

// ownerOf returns the machine whose daemon keeps the token bucket of a tenant.
func (f *fleet) ownerOf(tenant string) *machine {
	var best *machine
	var bestHash uint64
	for _, m := range f.machines {
		if h := xxHash(tenant + "\x00" + m.ip); best == nil || h > bestHash {
			best, bestHash = m, h
		}
	}
	return best
}
