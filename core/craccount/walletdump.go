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
	Grants    int          `json:"lots"`   // grants they came with
	Exhausted bool         `json:"dry"`    // the account is known to be exhausted
}

// Dump returns what the wallet holds at now, sorted by account.
func (w *TokenPool) Dump(now crid.Instant) []PoolDump {
	var all []PoolDump
	for i := range w.shards {
		for _, c := range w.shards[i].load() {
			all = append(all, c.dump(now))
		}
	}
	slices.SortFunc(all, func(a, b PoolDump) int { return cmp.Compare(a.Account, b.Account) })
	return all
}

func (c *accountPool) dump(now crid.Instant) PoolDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := PoolDump{Account: c.name, Exhausted: now.Before(c.exhaustedUntil)}
	for _, l := range c.grants {
		if l.remaining > 0 && now.Before(l.expiresAt) {
			d.Tokens += l.remaining
			d.Grants++
		}
	}
	return d
}
