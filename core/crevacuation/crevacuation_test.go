package crevacuation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevacuation"
	"camphorroad/core/crid"
)

const start = crid.Instant(time.Hour)

func TestEvacuationHoldsUntilItIsRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crevacuation.New()
	g.Expect(s.Apply(start, []crevacuation.Change{{Domain: "b", Revision: 5}, {Domain: "a", Revision: 6}})).To(gomega.BeTrue())
	g.Expect(s.Contains("a")).To(gomega.BeTrue())
	g.Expect(s.Contains("c")).To(gomega.BeFalse())
	g.Expect(s.Apply(start.Add(time.Second), []crevacuation.Change{{Domain: "b", Revision: 7}})).To(gomega.BeFalse(), "written again")
	g.Expect(s.List()).To(gomega.Equal([]crevacuation.Evacuation{
		{Domain: "a", Revision: 6, Since: start}, {Domain: "b", Revision: 7, Since: start},
	}))
	g.Expect(s.Apply(start, []crevacuation.Change{{Domain: "a", Revision: 9, Ended: true}})).To(gomega.BeTrue())
	g.Expect(s.Contains("a")).To(gomega.BeFalse())
	g.Expect(s.Revision()).To(gomega.Equal(crid.Revision(9)))
}

// Guards against an end that is replaced by the start that preceded it, from a lagging peer.
func TestOlderChangesAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	changes := []crevacuation.Change{
		{Domain: "a", Revision: 3},
		{Domain: "a", Revision: 5, Ended: true},
		{Domain: "a", Revision: 8},
		{Domain: "a", Revision: 9, Ended: true},
		{Domain: "b", Revision: 4, Ended: true},
		{Domain: "b", Revision: 6},
	}
	for seed := range uint64(200) {
		order := rand.New(rand.NewPCG(seed, 1)).Perm(len(changes))
		s := crevacuation.New()
		for _, i := range append(order, order[0], order[3]) {
			s.Apply(start, []crevacuation.Change{changes[i]})
		}
		g.Expect(s.Contains("a")).To(gomega.BeFalse(), "seed %d", seed)
		g.Expect(s.Contains("b")).To(gomega.BeTrue(), "seed %d", seed)
		g.Expect(s.Revision()).To(gomega.Equal(crid.Revision(9)))
	}
}
