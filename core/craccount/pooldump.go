package craccount

import (
	"cmp"
	"slices"

	"camphorroad/core/crid"
)

// PoolDump is one account's tokens at this daemon, for the state dump.
type PoolDump struct {
	Account   crid.Account `json:"account"`
	Tokens    int          `json:"tokens"` // that may be spent now
	Grants    int          `json:"lots"`   // that the tokens belong to
	Exhausted bool         `json:"dry"`    // the account is known to be exhausted
}

// Dump returns the contents of the pool at now, sorted by account.
func (p *TokenPool) Dump(now crid.Instant) []PoolDump {
	var all []PoolDump
	for i := range p.shards {
		for _, ap := range p.shards[i].load() {
			all = append(all, ap.dump(now))
		}
	}
	slices.SortFunc(all, func(a, b PoolDump) int { return cmp.Compare(a.Account, b.Account) })
	return all
}

func (ap *accountPool) dump(now crid.Instant) PoolDump {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	d := PoolDump{Account: ap.name, Exhausted: now.Before(ap.exhaustedUntil)}
	for _, g := range ap.grants {
		if g.remaining > 0 && now.Before(g.expiresAt) {
			d.Tokens += g.remaining
			d.Grants++
		}
	}
	return d
}
