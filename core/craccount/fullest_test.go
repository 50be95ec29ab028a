package craccount

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Entries draw more from one share than from another. Were the full one not asked
// first, it would mint in vain, and the account's burst be a part short when an
// owner is lost or callers surge. One not heard of for long may be full again.
func TestTheFullestOwnerIsAskedFirst(t *testing.T) {
	g := NewWithT(t)
	e := newRig("e", flaws{})
	e.now = ms(10000)
	a := &account{name: acct, rotate: 1, sources: []source{
		{owner: "x", left: 3, leftAt: ms(9900)},
		{owner: "y", left: 8, leftAt: ms(9990)},
		{owner: "z", left: 0, leftAt: ms(9000)},
	}}
	g.Expect(e.fullestFirst(a, []int{0, 1, 2})).To(Equal([]int{2, 1, 0}))
	g.Expect(e.fullestFirst(a, []int{0, 1})).To(Equal([]int{1, 0}))
}
