package crforward

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

// RetryBudgetParams bound the retries of one entry.
type RetryBudgetParams struct {
	// Ratio is the retries allowed for each request.
	Ratio float64
	// MinPerSecond is the retries a second that are allowed at any load.
	MinPerSecond float64
	// Burst is the retries that may be saved up.
	Burst float64
}

// DefaultRetryBudgetParams allow retries of a tenth of the requests.
func DefaultRetryBudgetParams() RetryBudgetParams {
	return RetryBudgetParams{Ratio: 0.1, MinPerSecond: 1, Burst: 10}
}

// RetryBudget bounds retries to a share of the requests. Without it a service that is
// too slow for its load would get every request several times, and an overload
// that ends by itself would feed itself. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	params RetryBudgetParams
	tokens float64
	last   crid.Instant
}

// NewRetryBudget returns a Budget that starts with a burst.
func NewRetryBudget(params RetryBudgetParams, now crid.Instant) *RetryBudget {
	return &RetryBudget{params: params, tokens: params.Burst, last: now}
}

// RecordRequest counts one caller's request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(b.params.Ratio)
}

// Take takes one retry out of the budget, and reports whether there was one.
func (b *RetryBudget) Take(now crid.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last.Before(now) {
		b.add(b.params.MinPerSecond * float64(now.Sub(b.last)) / float64(time.Second))
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.params.Burst)
}
