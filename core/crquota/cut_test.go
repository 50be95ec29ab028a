package crquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crquota"
)

// A fleet is cut into sides that do not hear each other, and each has an owner of
// the account. An account that sends far above its rate at all daemons must not
// get the whole rate on each side.
func TestTheSidesOfACutFleetShareTheRate(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate, burst, span = 15.0, 15.0, 5
	for _, sides := range [][]int{{3, 3}, {5, 1}, {2, 2, 2}, {11, 11}} {
		size := 0
		for _, n := range sides {
			size += n
		}
		taken := 0
		for _, heard := range sides {
			m := crquota.NewOwnerLimiter()
			share := crquota.RateFraction(heard, size)
			for at := start; at < start.Add(span*time.Second); at = at.Add(10 * time.Millisecond) {
				if ok, _ := m.Take(at, "small", rate*share, burst*share); ok {
					taken++
				}
			}
		}
		g.Expect(float64(taken)).To(gomega.BeNumerically("<=", (rate*span+burst)*1.25), "sides %v", sides)
	}
}

// One of ten machines is dead. What the accounts may send is what it was.
func TestADeadMachineCostsAccountsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(crquota.RateFraction(10, 10)).To(gomega.Equal(1.0))
	g.Expect(crquota.RateFraction(20, 22)).To(gomega.Equal(1.0))
	g.Expect(crquota.RateFraction(11, 22)).To(gomega.BeNumerically("~", 0.55))
}

// The owner of a small account dies in a fleet of a hundred. Each daemon falls
// back on its part; a token for each of them would be ten times the burst. And
// the same again some seconds later, when the parts have lain unused.
func TestPartsOfALargeFleetAreNoMoreThanTheRate(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate, burst, size = 10.0, 10.0, 100
	rng := rand.New(rand.NewPCG(1, 2))
	daemons := make([]*crquota.FallbackLimiter, size)
	for i := range daemons {
		daemons[i] = crquota.NewFallbackLimiter(rng.Float64)
	}
	now := start
	for range 5 {
		taken := 0
		for end := now.Add(time.Second); now < end; now = now.Add(20 * time.Millisecond) {
			for _, d := range daemons {
				if ok, _ := d.Take(now, "small", rate, burst, size); ok {
					taken++
				}
			}
		}
		g.Expect(taken).To(gomega.BeNumerically("<=", rate+10))
		now = now.Add(10 * time.Second)
	}
}

// A large account's callers all enter at one daemon, whose owner is silent. They get
// that daemon's part and are told when to come back for more.
func TestAPartTellsWhenThereIsMore(t *testing.T) {
	g := gomega.NewWithT(t)
	p := crquota.NewFallbackLimiter(func() float64 { return 0.9 })
	now := crid.Instant(time.Hour)
	n := 0
	for ok := true; ok; {
		var wait time.Duration
		ok, wait = p.Take(now, "large", 200, 400, 4)
		if ok {
			n++
			continue
		}
		g.Expect(wait).To(gomega.BeNumerically("~", 20*time.Millisecond, time.Millisecond))
	}
	g.Expect(n).To(gomega.Equal(1))
}

// The path to an account's owner is cut. The question goes through the daemon that
// would own the account without it, and never back to either end of the cut.
func TestAQuestionGoesThroughTheNextOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	daemons := []crid.Daemon{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
	owner := crquota.Owner("survey", daemons)
	for _, self := range daemons {
		if self == owner {
			continue
		}
		through := crquota.Relay("survey", daemons, owner, self)
		g.Expect(through).NotTo(gomega.BeElementOf(owner, self, crid.Daemon("")))
	}
	g.Expect(crquota.Relay("survey", []crid.Daemon{owner, "10.0.0.9"}, owner, "10.0.0.9")).To(gomega.BeEmpty())
}

// cutFleet is a fleet in which some pairs of daemons do not hear each other.
type cutFleet struct {
	daemons []crid.Daemon
	cut     map[[2]crid.Daemon]bool
	meters  map[crid.Daemon]*crquota.OwnerLimiter
}

func (f *cutFleet) hears(a, b crid.Daemon) bool {
	return !f.cut[[2]crid.Daemon{a, b}] && !f.cut[[2]crid.Daemon{b, a}]
}

func (f *cutFleet) heard(self crid.Daemon) []crid.Daemon {
	var out []crid.Daemon
	for _, d := range f.daemons {
		if f.hears(self, d) {
			out = append(out, d)
		}
	}
	return out
}

// take plays a question for a token over the fleet.
func (f *cutFleet) take(now crid.Instant, self crid.Daemon, by crquota.Origin, rate, burst float64) (ok, answered bool) {
	step := crquota.Decide("large", f.daemons, f.heard(self), self, by)
	if step.To != "" {
		if ok, answered := f.take(now, step.To, step.Origin, rate, burst); answered {
			return ok, true
		}
	}
	if !step.Grant {
		return false, false
	}
	ok, _ = f.meters[self].Take(now, "large", rate, burst)
	return ok, true
}

// Paths between some pairs of machines are cut, and all machines live. The account's
// owner is not heard by some, the next owner among them. An account that sends far
// above its rate at all daemons gets its rate once, not once from each of the two.
func TestAnAccountHasOneOwnerThoughSomePathsAreCut(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate, burst, span = 100.0, 100.0, 5
	f := &cutFleet{cut: make(map[[2]crid.Daemon]bool), meters: make(map[crid.Daemon]*crquota.OwnerLimiter)}
	for i := range 20 {
		d := crid.Daemon([]byte{'a' + byte(i)})
		f.daemons = append(f.daemons, d)
		f.meters[d] = crquota.NewOwnerLimiter()
	}
	owner := crquota.Owner("large", f.daemons)
	next := crquota.Relay("large", f.daemons, owner, "")
	f.cut[[2]crid.Daemon{owner, next}] = true
	for _, d := range f.daemons[:8] {
		if d != owner && d != next {
			f.cut[[2]crid.Daemon{owner, d}] = true
		}
	}
	taken := 0
	for at := start; at < start.Add(span*time.Second); at = at.Add(20 * time.Millisecond) {
		for _, d := range f.daemons {
			ok, answered := f.take(at, d, crquota.FromCaller, rate, burst)
			g.Expect(answered).To(gomega.BeTrue())
			if ok {
				taken++
			}
		}
	}
	g.Expect(float64(taken)).To(gomega.BeNumerically("<=", (rate*span+burst)*1.25))
	g.Expect(float64(taken)).To(gomega.BeNumerically(">=", rate*span))
}

// The owner's machine is gone, and its record not yet. The next owner finds nobody
// who hears it, and grants what the account may have.
func TestTheNextOwnerGrantsWhereNobodyHearsTheFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	members := []crid.Daemon{"a", "b", "c", "d"}
	owner := crquota.Owner("survey", members)
	var heard []crid.Daemon
	for _, d := range members {
		if d != owner {
			heard = append(heard, d)
		}
	}
	next := crquota.Owner("survey", heard)
	step := crquota.Decide("survey", members, heard, next, crquota.FromCaller)
	g.Expect(step.To).NotTo(gomega.BeElementOf(owner, next))
	g.Expect(step.Grant).To(gomega.BeTrue())
	back := crquota.Decide("survey", members, heard, step.To, step.Origin)
	g.Expect(back).To(gomega.Equal(crquota.Action{To: next, Origin: crquota.FromRelay}))
	g.Expect(crquota.Decide("survey", members, heard, next, back.Origin)).To(gomega.Equal(crquota.Action{Grant: true}))
}
