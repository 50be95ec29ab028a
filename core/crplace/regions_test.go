package crplace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crregion"
)

// Guards against a try, a retry, a trial or a last resort outside the home regions.
func TestNoChoiceLeavesTheHomeRegions(t *testing.T) {
	regions := []crid.Region{"east", "west", "north"}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 11)) //nolint:gosec // a test must be reproducible
		m := crregion.Map{}
		for i := range 6 {
			m[crid.Domain(fmt.Sprint("d", i))] = regions[rng.IntN(len(regions))]
		}
		homes := func() (out []crid.Region) {
			for _, r := range regions {
				if rng.IntN(2) == 0 {
					out = append(out, r)
				}
			}
			return out
		}
		b := crplace.NewBalancer()
		var all []crplace.Candidate
		for i := range 1 + rng.IntN(20) {
			c := crplace.Candidate{
				Target: crid.Target(fmt.Sprint("t", i)), Daemon: crid.Daemon(fmt.Sprint("10.0.0.", i)), Domain: crid.Domain(fmt.Sprint("d", rng.IntN(7))), Slots: 4,
			}
			all = append(all, c)
			b.Report(c.Target, crplace.LoadReport{Load: rng.IntN(8), Slots: 4, UnhealthyProb: rng.Float64(), Closed: rng.IntN(5) == 0})
			if rng.IntN(5) == 0 {
				b.NoResponse(start, c.Target)
			}
		}
		route, account := homes(), homes()
		class := []crpolicy.Class{crpolicy.ClassOnce, crpolicy.ClassRepeat}[rng.IntN(2)]
		var tried []crid.Target
		for try := range 8 {
			c, ok := b.Choose(start.Add(time.Duration(try)*time.Second), all, crplace.Request{
				Class: class, Domain: "d0", Tried: tried, Rand: rng.Float64, NoRetry: rng.IntN(2) == 0, Nested: rng.IntN(2) == 0, Busy: rng.IntN(7),
				Allowed: m.Allowed(route, account),
			})
			if !ok {
				break
			}
			tried = append(tried, c.Target)
			for _, list := range [][]crid.Region{route, account} {
				if len(list) > 0 && !slices.Contains(list, m[c.Domain]) {
					t.Fatalf("seed %d: %s in domain %s (region %q), homes %v and %v", seed, c.Target, c.Domain, m[c.Domain], route, account)
				}
			}
		}
	}
}
