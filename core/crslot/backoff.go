package crslot

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

const (
	// overloadThreshold is the number of consecutive overload responses, to the
	// requests of all entries together, at which the backoff begins.
	overloadThreshold = 2
	backoffBase       = time.Second
	// backoffMaxDoublings limits the backoff to eight times backoffBase.
	backoffMaxDoublings = 3
)

// OverloadBackoff states for how long an exit refuses requests of class once for
// a target that answers only with overload responses (429 or 503). Once the
// target has responded, such a request cannot be retried, and its caller gets
// the overload response. A request that the exit refuses is proved not to have
// run, and the entry can send it to another target. Requests of class repeat
// are still sent, and their responses show when the target accepts work again.
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

// Remaining returns the time for which the account's requests of class once are
// still refused, or zero if they are not refused.
func (b *OverloadBackoff) Remaining(account crid.Account, now crid.Instant) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.severalAccounts && account != b.account {
		return 0
	}
	return max(0, b.until.Sub(now))
}
