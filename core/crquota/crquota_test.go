package crquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crquota"
)

const start = crid.Instant(time.Hour)

var tolerance = crquota.Tolerance{Window: 5 * time.Second, Overage: 0.25}

// An account sends four times its rate through all daemons at once. Counted over the fleet it
// must get its rate and no more.
func TestAccountGetsItsRateAndNoMore(t *testing.T) {
	g := gomega.NewWithT(t)
	l := crquota.NewOwnerLimiter(tolerance)
	taken := 0
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		if ok, _ := l.Take(start.Add(at), "survey", 25, 25); ok {
			taken++
		}
	}
	g.Expect(taken).To(gomega.BeNumerically("~", 20*25+12, 3))
}

func TestRefusalReturnsWaitForNextToken(t *testing.T) {
	g := gomega.NewWithT(t)
	l := crquota.NewOwnerLimiter(tolerance)
	var wait time.Duration
	for ok := true; ok; {
		ok, wait = l.Take(start, "survey", 10, 4)
	}
	g.Expect(wait).To(gomega.BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	ok, _ := l.Take(start.Add(wait), "survey", 10, 4)
	g.Expect(ok).To(gomega.BeTrue())
}

// A daemon leaves. If all accounts were assigned again, every bucket of the fleet would start
// again and grant its burst once more.
func TestOnlyAccountsOfLostDaemonMove(t *testing.T) {
	g := gomega.NewWithT(t)
	daemons := []crid.Daemon{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
	owners := map[crid.Daemon]int{}
	for i := range 400 {
		a := crid.Account(fmt.Sprintf("account-%d", i))
		before := crquota.Owner(a, daemons)
		after := crquota.Owner(a, daemons[:3])
		owners[before]++
		if before != "10.0.0.4" {
			g.Expect(after).To(gomega.Equal(before))
		}
	}
	for _, d := range daemons {
		g.Expect(owners[d]).To(gomega.BeNumerically("~", 100, 40))
	}
}

// Guards against new owners that each grant half of a large burst in one window.
func TestAccountKeepsItsRateWhenItsOwnersChange(t *testing.T) {
	const window = 5 * time.Second
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 5)) //nolint:gosec // a test must be reproducible
		rate := 5 + 95*rng.Float64()
		burst := rate * (0.5 + 5*rng.Float64())
		l := crquota.NewOwnerLimiter(tolerance)
		for range int(burst) { // the first owner's bucket is full
			l.Take(start.Add(-window), "survey", rate, burst)
		}
		taken := 0
		for i := range 500 {
			at := time.Duration(i) * window / 500
			if i == 100 || i == 200 || i == 300 {
				l = crquota.NewOwnerLimiter(tolerance)
			}
			for range 10 {
				if ok, _ := l.Take(start.Add(at), "survey", rate, burst); ok {
					taken++
				}
			}
		}
		if limit := (rate*window.Seconds()+burst)*1.25 + 20; float64(taken) > limit {
			t.Errorf("seed %d: %d granted in %v at a rate of %.0f and a burst of %.0f, %.0f allowed", seed, taken, window, rate, burst, limit)
		}
	}
}
