package craccount

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// shareCount is the number of shares of an account: at most one per member,
// and so few that each has a burst worth having. Every share may hold a part
// of a token that no request can use, which a small burst can not spare.
func (p Params) shareCount(members int, limit crpolicy.Account) int {
	worth := int(math.Min(limit.Burst/p.ShareBurst, float64(p.Shares)))
	return max(1, min(p.Shares, members, worth))
}

// shareBurst splits a burst in whole tokens; the last share has the fraction.
// Fractions in every share would be burst that no request can ever use.
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

// shareOwners picks the owner of each share by rendezvous hash: of a changed
// list, only the shares of daemons that came or went move. A daemon owns two
// shares of one account only when there are fewer members than shares.
func shareOwners(account crid.Account, members []crid.Daemon, count int) []crid.Daemon {
	owners := make([]crid.Daemon, 0, count)
	for share := range count {
		owners = append(owners, highest(account, share, members, owners))
	}
	return owners
}

func highest(account crid.Account, share int, members, taken []crid.Daemon) crid.Daemon {
	var best crid.Daemon
	var bestScore uint64
	for _, d := range members {
		if slices.Contains(taken, d) {
			continue
		}
		score := score(account, share, d)
		if best == "" || score > bestScore || (score == bestScore && d < best) {
			best, bestScore = d, score
		}
	}
	return best
}

func score(account crid.Account, share int, d crid.Daemon) uint64 {
	var buf [128]byte
	key := append(buf[:0], account...)
	key = append(key, 0)
	key = binary.LittleEndian.AppendUint32(key, uint32(share))
	key = append(key, d...)
	return xxhash.Sum64(key)
}
