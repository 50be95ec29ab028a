package crsoak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/lab/crtarget"
)

// Guards against a check that misses a flood of a cold target, or reports an allowed one.
func TestCheckFindsFloodedColdTargets(t *testing.T) {
	at := time.Now()
	arrivals := func(n int, change func(i int, a *crtarget.Arrival)) []crtarget.Arrival {
		out := make([]crtarget.Arrival, n)
		for i := range out {
			out[i] = crtarget.Arrival{At: at.Add(time.Duration(i) * 30 * time.Millisecond), Target: "i-0-1", Process: 1, Cold: true}
			change(i, &out[i])
		}
		return out
	}
	same := func(int, *crtarget.Arrival) {}
	// The faults are a restart, and one of the given kind that lasts for a second.
	for name, c := range map[string]struct {
		arrivals    []crtarget.Arrival
		unannounced unannounced
		fault       string
		found       bool
	}{
		"25 in a second":          {arrivals: arrivals(25, same), found: true},
		"24 in a second":          {arrivals: arrivals(24, same)},
		"25 at a warm target":     {arrivals: arrivals(25, func(_ int, a *crtarget.Arrival) { a.Cold = false })},
		"25 at two processes":     {arrivals: arrivals(25, func(i int, a *crtarget.Arrival) { a.Process = i % 2 })},
		"25 in two seconds":       {arrivals: arrivals(25, func(i int, a *crtarget.Arrival) { a.At = at.Add(time.Duration(i) * 80 * time.Millisecond) })},
		"before the record":       {arrivals: arrivals(25, same), unannounced: unannounced{"i-0-1", 1, at, at}},
		"after the record":        {arrivals: arrivals(60, same), unannounced: unannounced{"i-0-1", 1, at, at}, found: true},
		"record kept back":        {arrivals: arrivals(60, same), unannounced: unannounced{"i-0-1", 1, at, at}, fault: "compact"},
		"store is down":           {arrivals: arrivals(60, same), unannounced: unannounced{"i-0-1", 1, at, at}, fault: "store"},
		"another fault":           {arrivals: arrivals(60, same), unannounced: unannounced{"i-0-1", 1, at, at}, fault: "peer", found: true},
		"cold before":             {arrivals: arrivals(40, same), unannounced: unannounced{"i-0-1", 1, at.Add(time.Second), at.Add(time.Second)}, found: true},
		"record of a process ago": {arrivals: arrivals(25, same), unannounced: unannounced{"i-0-1", 0, at, at}, found: true},
		"record of another":       {arrivals: arrivals(25, same), unannounced: unannounced{"i-1-1", 1, at, at}, found: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := &observations{arrivals: c.arrivals, unannounced: []unannounced{c.unannounced}, injections: []injection{
				{name: "restart [0]", kind: "restart", machines: []int{0}, from: at, to: at}, {kind: c.fault, machines: []int{0}, from: at, to: at.Add(time.Second)},
			}}
			v := &violations{}
			o.checkCold(v)
			if !c.found {
				g.Expect(v.list).To(gomega.BeEmpty())
				return
			}
			g.Expect(v.list).To(gomega.ContainElement(gomega.And(gomega.HavePrefix("cold: i-0-1, process 1, got "), gomega.ContainSubstring("restart [0]"))))
		})
	}
}

// Guards against faults of a seed that differ because cold targets were added.
func TestColdFaultsLeaveTheOthersAsTheyAre(t *testing.T) {
	g := gomega.NewWithT(t)
	opts := Options{Seed: 7000, Machines: 6, Length: 15 * time.Second}
	others := schedule(rand.New(rand.NewPCG(opts.Seed, 1)), faultKinds(), opts.Machines, opts.Length)
	all := addColdFaults(slices.Clone(others), opts)
	g.Expect(len(all)).To(gomega.BeNumerically(">", len(others)))
	g.Expect(slices.DeleteFunc(all, func(f fault) bool { return coldKinds()[f.kind] > 0 })).To(gomega.Equal(others))
}
