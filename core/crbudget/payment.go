package crbudget

import (
	"fmt"
	"slices"
	"strings"

	"camphorroad/core/crid"
)

// Payment pays for one retry and for the calls that its run makes, each from this daemon's part
// of the budget or from the pool of its service.
//
//	if !payment.Pay(now, retries, takeFromPool) { ... }
//	payment.Cancel(now) // the retry was not sent
//	payment.Finish()    // it was
type Payment struct {
	budget *Budget
	spent  []Retry // from this daemon's part
	pooled []Retry // from the pools, and not used yet
}

// NewPayment returns a payment of nothing.
func NewPayment(b *Budget) *Payment { return &Payment{budget: b} }

// Pay pays for all of the given retries, or for none of them. What was taken from a pool for a
// retry that was not sent is used first. takePooled takes one request from the pool of a service.
func (p *Payment) Pay(now crid.Instant, retries []Retry, takePooled func(crid.Service) bool) bool {
	due := slices.DeleteFunc(slices.Clone(retries), func(r Retry) bool {
		return slices.ContainsFunc(p.pooled, func(paid Retry) bool { return paid.Service == r.Service })
	})
	if p.budget.Spend(now, due...) {
		p.spent = due
		return true
	}
	for _, r := range due {
		switch {
		case p.budget.Spend(now, r):
			p.spent = append(p.spent, r)
		case takeWhole(r, takePooled):
			p.pooled = append(p.pooled, r)
		default:
			p.Cancel(now)
			return false
		}
	}
	return true
}

// takeWhole takes the cost of a retry from a pool, which grants whole requests.
func takeWhole(r Retry, takePooled func(crid.Service) bool) bool {
	for cost := r.Cost; cost > 0; cost-- {
		if !takePooled(r.Service) {
			return false
		}
	}
	return true
}

// Cancel returns what was taken from this daemon's part for a retry that was not sent.
func (p *Payment) Cancel(now crid.Instant) {
	p.budget.Refund(now, p.spent...)
	p.spent = nil
}

// Finish ends the payment for a retry that was sent.
func (p *Payment) Finish() { p.spent, p.pooled = nil, nil }

// UsesPool reports whether a part of the payment was taken from a pool.
func (p *Payment) UsesPool() bool { return len(p.pooled) > 0 }

// String lists the costs by service, those from a pool marked, for logs.
func (p *Payment) String() string {
	parts := make([]string, 0, len(p.spent)+len(p.pooled))
	for _, r := range p.spent {
		parts = append(parts, fmt.Sprintf("%s: %.1f", r.Service, r.Cost))
	}
	for _, r := range p.pooled {
		parts = append(parts, fmt.Sprintf("%s: %.1f pooled", r.Service, r.Cost))
	}
	return strings.Join(parts, ", ")
}
