package craccount

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"

	"camphorroad/core/crid"
)

// ownerFunc picks the owner of an account's share from a list, with no message.
type ownerFunc func(account crid.Account, members []crid.Daemon) crid.Daemon

var ownerFuncs = map[string]ownerFunc{
	"first in the list": func(_ crid.Account, members []crid.Daemon) crid.Daemon { return members[0] },
	"hash by position": func(account crid.Account, members []crid.Daemon) crid.Daemon {
		return members[xxhash.Sum64String(string(account))%uint64(len(members))]
	},
	"rendezvous": func(account crid.Account, members []crid.Daemon) crid.Daemon {
		return shareOwners(account, newMemberSet(members), 1)[0]
	},
}

// moved is the share of accounts whose owner differs between two lists, and the
// largest part of them that one daemon owns under the first.
func (e ownerFunc) moved(accounts int, before, after []crid.Daemon) (moved, largest float64) {
	owned := make(map[crid.Daemon]int)
	changed := 0
	for i := range accounts {
		account := crid.Account(fmt.Sprintf("account-%06d", i))
		owner := e(account, before)
		owned[owner]++
		if e(account, after) != owner {
			changed++
		}
	}
	most := 0
	for _, n := range owned {
		most = max(most, n)
	}
	return float64(changed) / float64(accounts), float64(most) / float64(accounts)
}

// Owners are elected by the list alone. A share that moves without need stands
// still until its new owner may mint, so that callers of accounts that have
// nothing to do with the daemon that was replaced are refused.
func TestElectionByListMovesNoShareWithoutNeed(t *testing.T) {
	const daemons, accounts = 500, 5000
	g := gomega.NewWithT(t)
	var before []crid.Daemon
	for i := range daemons {
		before = append(before, crid.Daemon(fmt.Sprintf("instance-%04d", i)))
	}
	leaving := map[string]int{"the first": 0, "one in the middle": daemons / 2}
	for where, i := range leaving {
		after := slices.Delete(slices.Clone(before), i, i+1)
		for name, e := range ownerFuncs {
			moved, largest := e.moved(accounts, before, after)
			t.Logf("%s leaves: by %s %.2f %% of shares move, the busiest daemon owns %.2f %%", where, name, 100*moved, 100*largest)
		}
		moved, largest := ownerFuncs["rendezvous"].moved(accounts, before, after)
		g.Expect(moved).To(gomega.BeNumerically("<=", largest))
		g.Expect(largest).To(gomega.BeNumerically("<", 5.0/daemons))
	}
}
