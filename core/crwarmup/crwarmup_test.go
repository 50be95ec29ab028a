package crwarmup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crwarmup"
)

const start = crid.Instant(time.Hour)

var params = crwarmup.Params{Limit: 10, Duration: 3 * time.Second}

func newLimiter() *crwarmup.Limiter {
	l := crwarmup.New(start)
	l.SetParams(params)
	return l
}

// send sends as many requests as the limiter allows, and at most the given number, in the
// 900 ms that begin now, on a connection to the first process.
func send(l *crwarmup.Limiter, now crid.Instant, most int) int { return sendOn(l, start, now, most) }

// sendOn does the same on connections that were established at an instant.
func sendOn(l *crwarmup.Limiter, connectedAt, now crid.Instant, most int) int {
	n := 0
	for end := now.Add(900 * time.Millisecond); now < end; now = now.Add(10 * time.Millisecond) {
		for n < most && l.Wait(now, 0) == 0 {
			l.Reserve(now)
			l.Send(now, connectedAt)
			l.Responded(connectedAt, now, now)
			n++
		}
	}
	return n
}

func TestLimitStandsBetweenTheToleratedAndTheHighestRate(t *testing.T) {
	for _, tc := range []struct {
		rate, ratio, slack float64
		lowest, highest    int
	}{
		{rate: 11, ratio: 1.5, slack: 8, lowest: 11, highest: 24},
		{rate: 0, ratio: 1.5, slack: 8, lowest: 0, highest: 0},
		{rate: 40, ratio: 1, slack: 0, lowest: 40, highest: 40},
		{rate: 0.5, ratio: 1, slack: 0, lowest: 1, highest: 1},
	} {
		t.Run(fmt.Sprint(tc.rate), func(t *testing.T) {
			limit := crwarmup.Limit(tc.rate, tc.ratio, tc.slack)
			gomega.NewWithT(t).Expect(limit).To(gomega.And(gomega.BeNumerically(">=", tc.lowest), gomega.BeNumerically("<=", tc.highest)))
		})
	}
}

// Guards against a target that is flooded because this daemon has just started.
func TestUnknownTargetIsLimitedUntilItsHealthCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	g.Expect(l.StartCheck(start)).To(gomega.BeFalse(), "nothing is delayed")
	g.Expect(send(l, start, 5)).To(gomega.Equal(5))
	now := start.Add(900 * time.Millisecond)
	g.Expect(l.StartCheck(now)).To(gomega.BeTrue())
	g.Expect(l.StartCheck(now.Add(100*time.Millisecond))).To(gomega.BeFalse(), "one is pending")
	g.Expect(send(l, now, 100)).To(gomega.BeNumerically("<=", 9), "the check counts as a request")
	now = now.Add(900 * time.Millisecond)
	l.RecordCheck(now, now, 0)
	g.Expect(send(l, now, 100)).To(gomega.Equal(100))
}

func TestColdTargetIsLimitedForTheTimeThatItReports(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	l.RecordCheck(start, start, 1800*time.Millisecond)
	g.Expect(l.Remaining(start.Add(500 * time.Millisecond))).To(gomega.Equal(1300 * time.Millisecond))
	total := send(l, start, 100) + send(l, start.Add(900*time.Millisecond), 100)
	g.Expect(total).To(gomega.And(gomega.BeNumerically(">=", 16), gomega.BeNumerically("<=", 20)))
	g.Expect(send(l, start.Add(1800*time.Millisecond), 100)).To(gomega.Equal(100))
}

// Guards against a target that restarts while its health check is under way.
func TestCheckSentBeforeALossOfContactIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	l.ContactLost(start.Add(10 * time.Millisecond))
	l.RecordCheck(start, start.Add(30*time.Millisecond), 0)
	g.Expect(l.Cold(start.Add(30 * time.Millisecond))).To(gomega.BeTrue())
}

func TestTargetIsWarmAfterItsDurationWithoutACheck(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	l.Responded(start.Add(-time.Second), start.Add(-time.Second), start.Add(time.Second))
	g.Expect(l.Cold(start.Add(9*time.Second))).To(gomega.BeTrue(), "the response is to a request sent before the loss of contact")
	l.Responded(start.Add(9*time.Second), start.Add(9*time.Second), start.Add(10*time.Second))
	g.Expect(l.Cold(start.Add(12900 * time.Millisecond))).To(gomega.BeTrue())
	g.Expect(l.Cold(start.Add(13 * time.Second))).To(gomega.BeFalse())
}

// Guards against a warm target that is limited for as long as some of its requests hang.
func TestResponseOnAnOlderConnectionShowsThatTheTargetHasNotRestarted(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	l.Responded(start, start, start.Add(10*time.Millisecond))
	g.Expect(l.Cold(start.Add(10*time.Millisecond))).To(gomega.BeTrue(), "its state was never known")
	l.RecordCheck(start, start.Add(20*time.Millisecond), 0)
	at := func(ms int) crid.Instant { return start.Add(time.Duration(ms) * time.Millisecond) }
	l.Responded(at(15), at(25), at(30))
	l.ContactLost(at(100))
	l.Responded(at(40), at(110), at(120))
	g.Expect(l.Cold(at(120))).To(gomega.BeTrue(), "a connection to the process that may be new")
	l.Responded(at(28), at(60), at(130))
	g.Expect(l.Cold(at(130))).To(gomega.BeFalse(), "a connection from when the state was known")
	l.Reset(at(200))
	l.Responded(at(28), at(210), at(220))
	g.Expect(l.Cold(at(220))).To(gomega.BeTrue(), "it may have become cold without a restart")
}

// Guards against a target that restarts unnoticed while it gets no requests.
func TestSilentTargetIsTreatedAsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	l.RecordCheck(start, start, 0)
	g.Expect(send(l, start.Add(900*time.Millisecond), 30)).To(gomega.Equal(30))
	l.ContactLost(start.Add(time.Second))
	l.RecordCheck(start.Add(time.Second), start.Add(time.Second), 0)
	g.Expect(sendOn(l, start.Add(3*time.Second), start.Add(3*time.Second), 30)).To(gomega.BeNumerically("<=", 10))
}

// Guards against requests that were admitted to a warm target and reach it when it is cold.
func TestReservedRequestsAreHeldBackWhenTheTargetBecomesCold(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	l.RecordCheck(start, start, 0)
	for range 30 {
		g.Expect(l.Wait(start, 0)).To(gomega.BeZero())
		l.Reserve(start)
	}
	l.ContactLost(start)
	sent := 0
	for range 30 {
		if l.Send(start, start) {
			sent++
		}
	}
	g.Expect(sent).To(gomega.Equal(10))
}

// Guards against more requests than allowed in any second.
func TestNoSecondExceedsTheLimit(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7)) //nolint:gosec // a test must be reproducible
		l := newLimiter()
		var sent []crid.Instant
		reserved := 0
		now := start
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			switch rng.IntN(6) {
			case 0, 1, 2:
				if l.Wait(now, 0) == 0 {
					l.Reserve(now)
					reserved++
				}
			case 3, 4:
				if reserved == 0 {
					continue
				}
				reserved--
				if rng.IntN(5) == 0 {
					l.Cancel()
				} else if l.Send(now, start) {
					sent = append(sent, now)
				}
			case 5:
				if l.StartCheck(now) {
					sent = append(sent, now)
					l.RecordCheck(now, now, time.Minute)
				}
				if rng.IntN(10) == 0 {
					l.ContactLost(now)
				}
			}
		}
		for i := range sent {
			if i >= params.Limit && sent[i].Sub(sent[i-params.Limit]) < time.Second {
				t.Fatalf("seed %d: %d requests in %s", seed, params.Limit+1, sent[i].Sub(sent[i-params.Limit]))
			}
		}
	}
}

func TestWaitCountsTheRequestsAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	l.RecordCheck(start, start, time.Minute)
	g.Expect(l.Wait(start, 0)).To(gomega.BeZero())
	g.Expect(l.Wait(start, 25)).To(gomega.BeNumerically("~", 2400*time.Millisecond, 300*time.Millisecond), "nothing was sent")
	g.Expect(send(l, start, 100)).To(gomega.Equal(10))
	now := start.Add(900 * time.Millisecond)
	g.Expect(l.Wait(now, 0)).To(gomega.BeNumerically("~", 150*time.Millisecond, 60*time.Millisecond))
	g.Expect(l.Wait(now, 15)).To(gomega.BeNumerically("~", 1600*time.Millisecond, 300*time.Millisecond))
}

// Guards against an urgent request that waits because others have used the limit of a second.
func TestRequestsToAColdTargetArePaced(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	l.RecordCheck(start, start, time.Minute)
	longest := time.Duration(0)
	for now := start; now < start.Add(10*time.Second); now = now.Add(5 * time.Millisecond) {
		wait := l.Wait(now, 0)
		longest = max(longest, wait)
		if wait == 0 {
			l.Reserve(now)
			l.Send(now, start)
		}
	}
	g.Expect(longest).To(gomega.BeNumerically("<=", 350*time.Millisecond))
}

func TestPeakIsTheHighestNumberOfRequestsInASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLimiter()
	l.RecordCheck(start, start, 0)
	g.Expect(send(l, start, 100)).To(gomega.Equal(100))
	g.Expect(send(l, start.Add(time.Second), 30)).To(gomega.Equal(30))
	g.Expect(l.PeakSince(start)).To(gomega.Equal(100))
	g.Expect(l.PeakSince(start.Add(time.Second))).To(gomega.Equal(30))
	g.Expect(l.PeakSince(start.Add(3 * time.Second))).To(gomega.BeZero())
	g.Expect(l.Doubt()).To(gomega.Equal(crwarmup.DoubtNone))
	l.ContactLost(start.Add(3 * time.Second))
	g.Expect(l.Doubt()).To(gomega.Equal(crwarmup.DoubtContact))
}
