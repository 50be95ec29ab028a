package crforward

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

// RetryBudgetParams limit the retries of one entry.
type RetryBudgetParams struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// MinPerSecond is the number of retries a second that are allowed at any
	// load.
	MinPerSecond float64
	// Burst is the number of unused retries that the budget holds at most.
	Burst float64
}

// DefaultRetryBudgetParams allow retries of a tenth of the requests.
func DefaultRetryBudgetParams() RetryBudgetParams {
	return RetryBudgetParams{Ratio: 0.1, MinPerSecond: 1, Burst: 10}
}

// RetryBudget is a token bucket that limits retries to a share of the requests.
// Without it, a service that is too slow for its load would receive each
// request several times, and a short overload would sustain itself. It is safe
// for concurrent use.
type RetryBudget struct {
	mu         sync.Mutex
	params     RetryBudgetParams
	tokens     float64
	refilledAt crid.Instant
}

// NewRetryBudget returns a full RetryBudget.
func NewRetryBudget(params RetryBudgetParams, now crid.Instant) *RetryBudget {
	return &RetryBudget{params: params, tokens: params.Burst, refilledAt: now}
}

// RecordRequest adds Ratio to the budget. It is called once for each caller's
// request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(b.params.Ratio)
}

// Take removes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Take(now crid.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refilledAt.Before(now) {
		b.add(b.params.MinPerSecond * float64(now.Sub(b.refilledAt)) / float64(time.Second))
		b.refilledAt = now
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
