package craccount

import (
	"cmp"
	"slices"
)

// Dump returns a copy of the state for JSON. It contains no API key.
func (s *State) Dump() any {
	d := Dump{Active: s.owner.active, Refilling: s.hasLease(), Stopping: s.stopping}
	for key, sh := range s.owner.shares {
		d.Shares = append(d.Shares, ShareDump{
			Account:     key.account,
			Share:       key.share,
			Rate:        sh.rate,
			Burst:       sh.burst,
			Balance:     sh.balance,
			Outstanding: sh.outstanding,
			Waiting:     len(sh.waiters),
		})
	}
	slices.SortFunc(d.Shares, func(a, b ShareDump) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Share, b.Share))
	})
	for _, name := range s.entry.accountOrder {
		a := s.entry.accounts[name]
		dump := AccountDump{Account: name, Demand: a.demand, Held: a.held}
		for _, src := range a.sources {
			dump.Owners = append(dump.Owners, src.owner)
		}
		d.Accounts = append(d.Accounts, dump)
	}
	return d
}
