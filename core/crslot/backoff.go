package crslot

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

const (
	// overloadThreshold is the number of consecutive overload responses, over
	// all entries, from which on the target is taken to accept nothing.
	overloadThreshold = 2
	backoffBase       = time.Second
	// backoffMaxDoublings limits the backoff to eight times backoffBase.
	backoffMaxDoublings = 3
)

// OverloadBackoff keeps requests of class once from a target that only answers
// with overload responses (429 or 503). Such a request cannot be retried after
// the target's response, so that its caller is refused; one that the exit
// refuses is proved not to have run and goes to another target. Requests of
// class repeat are still sent, and show when the target accepts work again.
//
// While all consecutive overload responses belong to one account, only that
// account backs off: an upstream may reject one account for a reason of its
// own, and the others must keep the target.
//
// It is safe for concurrent use.
type OverloadBackoff struct {
	mu              sync.Mutex
	consecutive     int
	account         crid.Account // of the first consecutive overload response
	severalAccounts bool         // the consecutive overload responses belong to several accounts
	until           crid.Instant
}

// RecordOverload records an overload response.
func (b *OverloadBackoff) RecordOverload(account crid.Account, now crid.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consecutive == 0 {
		b.account = account
	}
	b.severalAccounts = b.severalAccounts || account != b.account
	b.consecutive++
	if b.consecutive < overloadThreshold {
		return
	}
	b.until = now.Add(backoffBase << min(b.consecutive-overloadThreshold, backoffMaxDoublings))
}

// RecordAccepted records any other response: the target accepts work.
func (b *OverloadBackoff) RecordAccepted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consecutive, b.severalAccounts, b.until = 0, false, 0
}

// Remaining is the time for which the account's requests of class once are
// still refused; zero: they are not.
func (b *OverloadBackoff) Remaining(account crid.Account, now crid.Instant) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.severalAccounts && account != b.account {
		return 0
	}
	return max(0, b.until.Sub(now))
}
