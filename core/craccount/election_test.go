package craccount

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"

	"camphorroad/core/crid"
)

// ownerFunc selects the owner of an account's share from a list, without messages.
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

// moved returns the fraction of accounts whose owner differs between two lists, and the largest
// fraction that one daemon owns under the first list.
func (f ownerFunc) moved(accounts int, before, after []crid.Daemon) (moved, largest float64) {
	owned := make(map[crid.Daemon]int)
	changed := 0
	for i := range accounts {
		account := crid.Account(fmt.Sprintf("account-%06d", i))
		owner := f(account, before)
		owned[owner]++
		if f(account, after) != owner {
			changed++
		}
	}
	largestCount := 0
	for _, n := range owned {
		largestCount = max(largestCount, n)
	}
	return float64(changed) / float64(accounts), float64(largestCount) / float64(accounts)
}

// A share that changes its owner is not refilled until the new owner may start. If a list change
// moved shares of unrelated accounts, their callers would be refused.
func TestRendezvousMovesFewestShares(t *testing.T) {
	const daemons, accounts = 500, 5000
	g := gomega.NewWithT(t)
	var before []crid.Daemon
	for i := range daemons {
		before = append(before, crid.Daemon(fmt.Sprintf("instance-%04d", i)))
	}
	leaving := map[string]int{"the first": 0, "one in the middle": daemons / 2}
	for where, i := range leaving {
		after := slices.Delete(slices.Clone(before), i, i+1)
		for name, f := range ownerFuncs {
			moved, largest := f.moved(accounts, before, after)
			t.Logf("%s leaves: by %s %.2f %% of shares move, the daemon with the most shares owns %.2f %%", where, name, 100*moved, 100*largest)
		}
		moved, largest := ownerFuncs["rendezvous"].moved(accounts, before, after)
		g.Expect(moved).To(gomega.BeNumerically("<=", largest))
		g.Expect(largest).To(gomega.BeNumerically("<", 5.0/daemons))
	}
}
