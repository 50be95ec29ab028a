package crbudget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
)

var largeParams = crbudget.Params{Ratio: 0.2, Slack: 630, Window: 10 * time.Second}

// owned is the ownership of a pool that has had no other owner.
var owned = crbudget.Ownership{Fraction: 1}

// Guards against requests that fail for want of a retry while other daemons use none of theirs.
func TestFewDaemonsCanUseThePooledSlack(t *testing.T) {
	g := gomega.NewWithT(t)
	own, pooled := crbudget.Split(largeParams)
	pool := crbudget.NewPool(pooled)
	retried, failed := 0, 0
	for range 10 {
		b := crbudget.New(own, settled)
		for i := range 10 {
			now := start.Add(time.Duration(i) * time.Second)
			b.RecordRequest(now, "ledger")
			failed++
			if b.Spend(now, retry("ledger", 353)) || pool.Take(now, "ledger", owned) {
				retried++
			}
		}
	}
	g.Expect(retried).To(gomega.BeNumerically(">=", 90), "of %d", failed)
}

// Guards against a pool that exceeds the limit of the fleet when it passes to another owner.
func TestFleetStaysWithinBudgetWithThePool(t *testing.T) {
	g := gomega.NewWithT(t)
	const daemons, seconds, perSecond = 100, 60, 3
	for _, params := range []crbudget.Params{largeParams, {Ratio: 0.2, Slack: 56, Window: 10 * time.Second}} {
		own, pooled := crbudget.Split(params)
		pool := crbudget.NewPool(pooled)
		budgets := make([]*crbudget.Budget, daemons)
		for i := range budgets {
			budgets[i] = crbudget.New(own, settled)
		}
		retries := make([]int, seconds)
		owner := owned
		for s := range seconds {
			if s == 25 || s == 27 {
				pool = crbudget.NewPool(pooled)
				owner.Since = start.Add(time.Duration(s) * time.Second)
			}
			for i := range perSecond {
				now := start.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/perSecond)
				for _, b := range budgets {
					b.RecordRequest(now, "booking")
					if b.Spend(now, retry("booking", daemons)) || pool.Take(now, "booking", owner) {
						retries[s]++
					}
				}
			}
		}
		for from := 10; from+10 <= seconds; from++ {
			limit := params.Ratio*daemons*perSecond*10 + params.Slack
			g.Expect(float64(sum(retries[from : from+10]))).To(gomega.BeNumerically("<=", limit))
		}
	}
}

// The sides of a partition each have an owner of the pool.
func TestPartitionSidesShareThePool(t *testing.T) {
	g := gomega.NewWithT(t)
	_, pooled := crbudget.Split(largeParams)
	taken := 0
	for range 2 {
		pool := crbudget.NewPool(pooled)
		for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
			if pool.Take(start.Add(at), "s", crbudget.Ownership{Fraction: 0.55}) {
				taken++
			}
		}
	}
	g.Expect(taken).To(gomega.BeNumerically("<=", 0.6*630))
}

// Guards against an owner that grants the whole pool in the window in which a former owner did.
func TestNewOwnerOfPoolGrantsHalf(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := crbudget.NewPool(crbudget.Params{Slack: 100, Window: 10 * time.Second})
	take := func(now, since crid.Instant) (n int) {
		for pool.Take(now, "s", crbudget.Ownership{Fraction: 1, Since: since}) {
			n++
		}
		return n
	}
	g.Expect(take(start, start)).To(gomega.Equal(30))
	g.Expect(take(start.Add(9*time.Second), start)).To(gomega.Equal(0))
	g.Expect(take(start.Add(10*time.Second), start)).To(gomega.Equal(60))
	idleUntil := start.Add(time.Minute)
	g.Expect(take(idleUntil, start)).To(gomega.Equal(60), "no other daemon was the owner meanwhile")
	g.Expect(take(idleUntil.Add(time.Minute), idleUntil.Add(55*time.Second))).To(gomega.Equal(30))
}
