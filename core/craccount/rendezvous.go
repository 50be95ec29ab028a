package craccount

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// shareCount is the number of shares of an account: at most one for each member, and so few
// that each has a burst of MinShareBurst. Every share may hold a fraction of a token that no
// request can use, which a small burst cannot afford.
func (p Params) shareCount(members int, limit crpolicy.Account) int {
	byBurst := int(math.Min(limit.Burst/p.MinShareBurst, float64(p.MaxShares)))
	return max(1, min(p.MaxShares, members, byBurst))
}

// shareBurst splits a burst into whole tokens; the last share has the remaining fraction. A
// fraction in every share would be burst that no request can use.
func shareBurst(burst float64, share, count int) float64 {
	whole := math.Floor(burst)
	part := math.Floor(whole / float64(count))
	if share < int(whole)-int(part)*count {
		part++
	}
	if share == count-1 {
		part += burst - whole
	}
	return part
}

// memberSet is the members of a list with their hashes. These are the expensive part of a
// score, and the same for every account.
type memberSet struct {
	names  []crid.Daemon
	hashes []uint64
}

func newMemberSet(members []crid.Daemon) memberSet {
	m := memberSet{names: slices.Clone(members), hashes: make([]uint64, len(members))}
	for i, d := range members {
		m.hashes[i] = xxhash.Sum64String(string(d))
	}
	return m
}

// shareOwners selects the owner of each share by rendezvous hashing: when the list changes,
// only the shares of daemons that joined or left move. A daemon owns two shares of an account
// only when there are fewer members than shares.
func shareOwners(account crid.Account, members memberSet, count int) []crid.Daemon {
	owners := make([]crid.Daemon, 0, count)
	hash := xxhash.Sum64String(string(account))
	for share := range count {
		owners = append(owners, members.highest(mix(hash+uint64(share)), owners))
	}
	return owners
}

// highest returns the member with the highest score that is not in taken. Of equal scores the
// first name wins, since members are sorted.
func (m memberSet) highest(seed uint64, taken []crid.Daemon) crid.Daemon {
	var best crid.Daemon
	var bestScore uint64
	for i, hash := range m.hashes {
		score := mix(seed ^ hash)
		if best != "" && score <= bestScore {
			continue
		}
		if !slices.Contains(taken, m.names[i]) {
			best, bestScore = m.names[i], score
		}
	}
	return best
}

// mix is the finalizer of SplitMix64: each bit of x affects half of the result's bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
