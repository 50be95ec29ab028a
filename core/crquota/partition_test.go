package crquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crquota"
)

// The sides of a partitioned fleet each have an owner of the account. An account that sends far
// above its rate at all daemons must not get the whole rate on each side.
func TestPartitionSidesShareTheRate(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate, burst, span = 15.0, 15.0, 5
	for _, sides := range [][]int{{3, 3}, {5, 1}, {2, 2, 2}, {11, 11}} {
		size := 0
		for _, n := range sides {
			size += n
		}
		taken := 0
		for _, reachable := range sides {
			l := crquota.NewOwnerLimiter(tolerance)
			fraction := crquota.RateFraction(reachable, size)
			for at := start; at < start.Add(span*time.Second); at = at.Add(10 * time.Millisecond) {
				if ok, _ := l.Take(at, "small", rate*fraction, burst*fraction); ok {
					taken++
				}
			}
		}
		g.Expect(float64(taken)).To(gomega.BeNumerically("<=", (rate*span+burst)*1.25), "sides %v", sides)
	}
}

// One of ten daemons is down. The accounts' rates must not change.
func TestDaemonThatIsDownDoesNotReduceRates(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(crquota.RateFraction(10, 10)).To(gomega.Equal(1.0))
	g.Expect(crquota.RateFraction(20, 22)).To(gomega.Equal(1.0))
	g.Expect(crquota.RateFraction(11, 22)).To(gomega.BeNumerically("~", 0.55))
}

// The owner of a small account fails in a fleet of a hundred. A token in each fallback bucket would
// be ten times the burst, and again after each idle time.
func TestFallbackBucketsOfLargeFleetStayWithinRate(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate, burst, size = 10.0, 10.0, 100
	rng := rand.New(rand.NewPCG(1, 2))
	limiters := make([]*crquota.FallbackLimiter, size)
	for i := range limiters {
		limiters[i] = crquota.NewFallbackLimiter(rng.Float64)
	}
	now := start
	for range 5 {
		taken := 0
		for end := now.Add(time.Second); now < end; now = now.Add(20 * time.Millisecond) {
			for _, d := range limiters {
				if ok, _ := d.Take(now, "small", rate, burst, size); ok {
					taken++
				}
			}
		}
		g.Expect(taken).To(gomega.BeNumerically("<=", rate+10))
		now = now.Add(10 * time.Second)
	}
}

// All callers of a large account enter at one daemon, and its owner does not answer. They get that
// daemon's fallback bucket, and receive the wait for its next token.
func TestFallbackRefusalReturnsWait(t *testing.T) {
	g := gomega.NewWithT(t)
	l := crquota.NewFallbackLimiter(func() float64 { return 0.9 })
	now := crid.Instant(time.Hour)
	n := 0
	for ok := true; ok; {
		var wait time.Duration
		ok, wait = l.Take(now, "large", 200, 400, 4)
		if ok {
			n++
			continue
		}
		g.Expect(wait).To(gomega.BeNumerically("~", 20*time.Millisecond, time.Millisecond))
	}
	g.Expect(n).To(gomega.Equal(1))
}

// The path to an account's owner is cut. The request is relayed through the daemon that would own
// the account otherwise, and never through either end of the cut.
func TestRequestIsRelayedThroughNextOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	daemons := []crid.Daemon{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
	owner := crquota.Owner("survey", daemons)
	for _, self := range daemons {
		if self == owner {
			continue
		}
		relay := crquota.Relay("survey", daemons, owner, self)
		g.Expect(relay).NotTo(gomega.BeElementOf(owner, self, crid.Daemon("")))
	}
	g.Expect(crquota.Relay("survey", []crid.Daemon{owner, "10.0.0.9"}, owner, "10.0.0.9")).To(gomega.BeEmpty())
}

// partitionedFleet is a fleet in which some pairs of daemons cannot reach each other.
type partitionedFleet struct {
	daemons  []crid.Daemon
	cut      map[[2]crid.Daemon]bool
	limiters map[crid.Daemon]*crquota.OwnerLimiter
}

func (f *partitionedFleet) reaches(a, b crid.Daemon) bool {
	return !f.cut[[2]crid.Daemon{a, b}] && !f.cut[[2]crid.Daemon{b, a}]
}

func (f *partitionedFleet) reachable(self crid.Daemon) []crid.Daemon {
	var out []crid.Daemon
	for _, d := range f.daemons {
		if f.reaches(self, d) {
			out = append(out, d)
		}
	}
	return out
}

// take follows a token request through the fleet.
func (f *partitionedFleet) take(now crid.Instant, self crid.Daemon, origin crquota.Origin, rate, burst float64) (ok, answered bool) {
	action := crquota.Decide("large", crquota.Fleet{Members: f.daemons, Reachable: f.reachable(self)}, self, origin)
	if action.To != "" {
		if ok, answered := f.take(now, action.To, action.Origin, rate, burst); answered {
			return ok, true
		}
	}
	if !action.Grant {
		return false, false
	}
	ok, _ = f.limiters[self].Take(now, "large", rate, burst)
	return ok, true
}

// Some paths between running daemons are cut, among them the one from the account's owner to the
// next owner. An account that sends far above its rate at all daemons must get its rate once, not
// once from each of the two.
func TestAccountHasOneOwnerDespiteCutPaths(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate, burst, span = 100.0, 100.0, 5
	f := &partitionedFleet{cut: make(map[[2]crid.Daemon]bool), limiters: make(map[crid.Daemon]*crquota.OwnerLimiter)}
	for i := range 20 {
		d := crid.Daemon([]byte{'a' + byte(i)})
		f.daemons = append(f.daemons, d)
		f.limiters[d] = crquota.NewOwnerLimiter(tolerance)
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

// The owner's machine is gone, and its record still exists. The next owner finds no daemon that
// reaches it, and grants the account's rate.
func TestNextOwnerGrantsWhenFirstIsUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	members := []crid.Daemon{"a", "b", "c", "d"}
	owner := crquota.Owner("survey", members)
	var reachable []crid.Daemon
	for _, d := range members {
		if d != owner {
			reachable = append(reachable, d)
		}
	}
	next := crquota.Owner("survey", reachable)
	fleet := crquota.Fleet{Members: members, Reachable: reachable}
	action := crquota.Decide("survey", fleet, next, crquota.FromCaller)
	g.Expect(action.To).NotTo(gomega.BeElementOf(owner, next))
	g.Expect(action.Grant).To(gomega.BeTrue())
	relayed := crquota.Decide("survey", fleet, action.To, action.Origin)
	g.Expect(relayed).To(gomega.Equal(crquota.Action{To: next, Origin: crquota.FromRelay}))
	g.Expect(crquota.Decide("survey", fleet, next, relayed.Origin)).To(gomega.Equal(crquota.Action{Grant: true}))
}
