package crhead_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crhead"
)

const (
	budgetBytes = 1 << 20
	headBytes   = 64 << 10
)

func ordinary() []byte {
	return []byte("GET / HTTP/1.1\r\n" + strings.Repeat("Name: an ordinary value\r\n", 12) + "\r\n")
}

// shortFields returns a head of n bytes that consists of short fields.
func shortFields(n int) []byte { return []byte(strings.Repeat("a:\r\n", n/4)) }

func TestHeadOverItsLimitIsTooLarge(t *testing.T) {
	g := gomega.NewWithT(t)
	h := crhead.NewBudget(budgetBytes).NewHead()
	text := []byte(strings.Repeat("x", headBytes))
	g.Expect(h.Add(text, headBytes)).To(gomega.Succeed())
	g.Expect(h.Add(text[:1], headBytes)).To(gomega.MatchError(crhead.ErrTooLarge))
}

// Guards against memory without bound for the heads of all connections together.
func TestHeadsAreBoundedInSum(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := crhead.NewBudget(budgetBytes)
	accepted := 0
	for range 100 {
		if budget.NewHead().Add(shortFields(4<<10), headBytes) == nil {
			accepted++
		}
	}
	g.Expect(accepted).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 10)))
	g.Expect(budget.Used()).To(gomega.BeNumerically("<=", budgetBytes))
}

// Guards against large heads that keep ordinary requests out.
func TestOrdinaryHeadIsAcceptedWhenTheBudgetIsUsedUp(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := crhead.NewBudget(budgetBytes)
	for budget.NewHead().Add(shortFields(4<<10), headBytes) == nil {
	}
	g.Expect(budget.NewHead().Add(ordinary(), headBytes)).To(gomega.Succeed())
	g.Expect(budget.NewConcurrentHead().Add(shortFields(4<<10), headBytes)).To(gomega.MatchError(crhead.ErrOverBudget))
}

// Guards against a head inside its limit that is refused though no other is read.
func TestSingleHeadInsideItsLimitIsAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	h := crhead.NewBudget(budgetBytes).NewHead()
	for range headBytes / 4096 {
		g.Expect(h.Add(shortFields(4096), headBytes)).To(gomega.Succeed())
	}
}

func TestHeadIsReleasedBesideOneThatExceedsTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := crhead.NewBudget(budgetBytes)
	large, small := budget.NewHead(), budget.NewConcurrentHead()
	g.Expect(large.Add(shortFields(8<<10), headBytes)).To(gomega.Succeed())
	g.Expect(small.Add(ordinary(), headBytes)).To(gomega.Succeed())
	small.Release()
	g.Expect(large.Add(shortFields(headBytes-8<<10), headBytes)).To(gomega.Succeed())
	g.Expect(small.Add(ordinary(), headBytes)).To(gomega.MatchError(crhead.ErrOverBudget))
	small.Release()
	large.Release()
	g.Expect(budget.Used()).To(gomega.BeZero())
}

func TestReleasedMemoryIsUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := crhead.NewBudget(budgetBytes)
	h := budget.NewHead()
	for range 100 {
		g.Expect(h.Add(shortFields(headBytes), headBytes)).To(gomega.Succeed())
		h.Release()
		h.Release()
	}
	g.Expect(budget.Used()).To(gomega.BeZero())
}
