package crlimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crlimit"
)

const start = crid.Instant(time.Hour)

// sentWithin returns the greatest number of instants in any window of a length.
func sentWithin(sent []crid.Instant, window time.Duration) int {
	most, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against more requests than half above the limit and five in any four seconds, which the users allow, through changes of the limit and restarts.
func TestLimitHoldsInAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a test must be reproducible
		l := &crlimit.Limiter{}
		rate := 0.5 + 10*rng.Float64()
		l.Announce(start, rate)
		highest := 1.5*rate*window.Seconds() + 5
		restartAt := start.Add(time.Duration(rng.IntN(20000)) * time.Millisecond)
		var sent []crid.Instant
		for now := start; now < start.Add(20*time.Second); now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond) {
			if now > restartAt {
				l, restartAt = &crlimit.Limiter{}, start.Add(time.Hour)
			}
			l.Suggest(now, rate)
			if l.Wait(now, 0) > 0 {
				continue
			}
			l.Reserve(now)
			if rng.Float64() < 0.1 {
				l.Cancel()
				continue
			}
			sent = append(sent, now)
			l.Announce(now, rate*(0.9+0.1*rng.Float64()))
		}
		if n := sentWithin(sent, window); float64(n) > highest {
			t.Errorf("seed %d: %d requests in %v at a limit of %.1f a second, %.0f allowed", seed, n, window, rate, highest)
		}
		if want := 0.8 * rate * 20; float64(len(sent)) < want {
			t.Errorf("seed %d: %d requests in 20 s at a limit of %.1f a second", seed, len(sent), rate)
		}
	}
}

func TestLimitEndsWithTheFirstResponseWithoutOne(t *testing.T) {
	g := gomega.NewWithT(t)
	var l crlimit.Limiter
	g.Expect(l.Wait(start, 10)).To(gomega.BeZero())
	g.Expect(l.Announce(start, 2)).To(gomega.BeTrue())
	g.Expect(l.Announce(start, 2)).To(gomega.BeFalse())
	g.Expect(l.Wait(start, 0)).To(gomega.Equal(500 * time.Millisecond))
	g.Expect(l.Wait(start, 2)).To(gomega.Equal(1500 * time.Millisecond))
	g.Expect(l.Announce(start.Add(time.Second), 0)).To(gomega.BeTrue())
	g.Expect(l.Wait(start.Add(time.Second), 10)).To(gomega.BeZero())
}

// Guards against a limit of zero that never ends, since no request is sent whose response could show its end.
func TestLimitOfZeroLetsSomeRequestsPass(t *testing.T) {
	g := gomega.NewWithT(t)
	var l crlimit.Limiter
	l.Announce(start, 0.001)
	g.Expect(l.Wait(start.Add(5*time.Second), 0)).To(gomega.BeZero())
}

// Guards against entries that bring back a limit that has ended.
func TestSuggestedLimitIsOlderThanAnyResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	var l crlimit.Limiter
	g.Expect(l.Suggest(start, 3)).To(gomega.BeTrue())
	g.Expect(l.Rate()).To(gomega.Equal(3.0))
	l.Announce(start, 0)
	g.Expect(l.Suggest(start, 3)).To(gomega.BeFalse())
	g.Expect(l.Rate()).To(gomega.BeZero())
	l.Reset()
	g.Expect(l.Suggest(start, 3)).To(gomega.BeTrue())
}
