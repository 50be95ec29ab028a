package crgate

import (
	"cmp"
	"slices"

	"camphorroad/core/crid"
	"camphorroad/core/crpace"
	"camphorroad/core/crshare"
)

// Shares describes the accounts' use of the target's slots.
type Shares struct {
	Delayed uint64          `json:"delayed"` // requests put behind others because of the share of their account
	Above   []crshare.Usage `json:"above"`   // accounts above their shares
}

// Shares returns the accounts above their shares.
func (g *Gate) Shares(now crid.Instant) Shares {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateShares(now)
	return Shares{Delayed: g.delayed, Above: g.shares.AccountsAbove()}
}

// newTicket returns a ticket that counts as waiting for its account.
func (g *Gate) newTicket(now crid.Instant, req Request) *Ticket {
	g.arrivals++
	t := &Ticket{request: req, arrival: g.arrivals, decided: make(chan struct{})}
	if !req.Nested {
		t.account = g.shares.Join(now, req.Account, req.Rate)
	}
	return t
}

func (g *Gate) leaveShares(t *Ticket) {
	if t.account != nil {
		g.shares.Leave(t.account)
	}
}

func (g *Gate) startShare(now crid.Instant, t *Ticket) {
	if t.account != nil {
		g.shares.Start(now, t.account)
	}
}

func (g *Gate) endShare(now crid.Instant, t *Ticket) {
	if t.account != nil {
		g.shares.End(now, t.account)
	}
}

func (g *Gate) updateShares(now crid.Instant) {
	mean := g.serviceTimes.Mean()
	if mean <= 0 {
		mean = crpace.DefaultServiceTime
	}
	g.shares.Update(now, mean)
}

// reorder determines how far the waiting requests are above the shares of their accounts, and
// sorts the queue if that has changed. While requests of a single account wait, all are within.
func (g *Gate) reorder(now crid.Instant) {
	contended := g.shares.Contended()
	if !contended && !g.aboveShare {
		return
	}
	if contended {
		g.updateShares(now)
	}
	changed := false
	g.aboveShare = false
	for _, t := range g.waiting {
		level := crshare.Within
		if contended && t.account != nil {
			level = t.account.NextLevel()
		}
		changed = changed || level != t.request.shareLevel
		t.request.shareLevel = level
		g.aboveShare = g.aboveShare || level > crshare.Within
	}
	if changed {
		slices.SortStableFunc(g.waiting, compareTickets)
	}
}

// compareTickets orders tickets as if they had joined the queue in order of arrival.
func compareTickets(a, b *Ticket) int {
	return cmp.Or(a.request.compare(&b.request), cmp.Compare(a.arrival, b.arrival))
}

// position is the index at which a ticket joins the queue. If the account's usage and its
// requests before it exceed the share, the ticket goes further back. The requests of the account
// that it passes then are not counted until the next reorder, so its estimated wait may be too
// short. When they were counted, accounts with high rates were refused so early that at times none
// of their requests waited, and an account with a low rate got 15 % more than its share.
func (g *Gate) position(t *Ticket) int {
	at := g.insertPosition(t.request)
	if t.account == nil || !g.shares.Contended() {
		return at
	}
	ahead := 0
	for _, other := range g.waiting[:at] {
		if other.account == t.account {
			ahead++
		}
	}
	t.request.shareLevel = t.account.Level(ahead)
	if t.request.shareLevel == crshare.Within {
		return at
	}
	g.aboveShare = true
	return g.insertPosition(t.request)
}

// countDelayed counts the waiting requests that are further above the shares of their accounts
// than another one of the same rank, each once.
func (g *Gate) countDelayed() {
	if !g.aboveShare {
		return
	}
	var first *Ticket // of the rank, with its lowest level
	for _, t := range g.waiting {
		if first == nil || first.request.compareRank(&t.request) != 0 {
			first = t
		}
		if t.request.shareLevel > first.request.shareLevel && !t.delayed {
			t.delayed = true
			g.delayed++
		}
	}
}
