package crmember

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// Voters returns the daemons whose majority decides for a shard of a list, sorted:
// all of them up to limit, otherwise limit of them, taken from the domains in turn
// by rendezvous hashing. The rank depends only on shard and name, so that a small
// change of the list changes few voters.
func Voters(list crinstance.List, shard uint32, limit int) []crid.Daemon {
	if list.Len() <= limit {
		return list.Daemons()
	}
	ranked := rankByDomain(list, shard)
	voters := make([]crid.Daemon, 0, limit)
	for depth := 0; len(voters) < limit; depth++ {
		for _, domain := range ranked {
			if depth < len(domain) && len(voters) < limit {
				voters = append(voters, domain[depth])
			}
		}
	}
	slices.Sort(voters)
	return voters
}

// rankByDomain returns each domain's daemons by descending rank. Domains are sorted
// by name.
func rankByDomain(list crinstance.List, shard uint32) [][]crid.Daemon {
	byDomain := make(map[crid.Domain][]crid.Daemon)
	for _, in := range list.Instances() {
		byDomain[in.Domain] = append(byDomain[in.Domain], in.Daemon)
	}
	domains := make([]crid.Domain, 0, len(byDomain))
	for domain := range byDomain {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	ranked := make([][]crid.Daemon, 0, len(domains))
	for _, domain := range domains {
		daemons := byDomain[domain]
		slices.SortFunc(daemons, func(a, b crid.Daemon) int {
			return cmp.Or(cmp.Compare(rank(shard, b), rank(shard, a)), cmp.Compare(a, b))
		})
		ranked = append(ranked, daemons)
	}
	return ranked
}

func rank(shard uint32, d crid.Daemon) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(shard), 10) + "/" + string(d))
}

// quorum returns the smallest number of n voters that forms a majority.
func quorum(n int) int { return n/2 + 1 }
