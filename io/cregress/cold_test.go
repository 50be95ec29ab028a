package cregress

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crcrash"
	"camphorroad/core/crid"
	"camphorroad/core/crregistry"
	"camphorroad/core/crwarmup"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/lab/crtarget"
	"camphorroad/platform"
)

const (
	// A cold target tolerates coldRate requests a second, and may never get more than coldMaximum in any
	// second.
	coldRate    = 11
	coldRatio   = 1.5
	coldSlack   = 8
	coldMaximum = coldRate*coldRatio + coldSlack
	coldTime    = 3 * time.Second
)

// coldFixture is an exit beside a real target that is cold after each of its restarts.
type coldFixture struct {
	t      *testing.T
	exit   *Exit
	target *crtarget.Target
	record crregistry.Record
	nextID atomic.Int64
}

// newColdFixture starts a warm target. The exit has neither a plan nor a record of it yet.
func newColdFixture(t *testing.T) *coldFixture {
	t.Helper()
	target, err := crtarget.Start(crtarget.Options{Address: "127.0.0.1:0", ID: "t1"})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(target.Close)
	target.SetBehaviour(crtarget.Behaviour{ServiceTime: 30 * time.Millisecond})
	target.SetWarmup(coldTime, "/health")
	f := &coldFixture{t: t, target: target, record: crregistry.Record{Target: "t1", Service: "s1", Slots: 5, StartedMillis: 1}}
	f.startDaemon(0)
	return f
}

// startDaemon replaces the exit by one of a daemon that started at an instant.
func (f *coldFixture) startDaemon(at crid.Instant) {
	x := New(Options{
		Service: "s1", Address: f.target.Address(), Dialect: platform.Dialect{}, Clock: crclock.Now, Started: at,
		Log: crlog.New(io.Discard, "info", "test"), Crashes: crcrash.NewTracker(), OnTargetChange: func() {}, OnTargetEnd: func() {}, OnOffer: func(crid.Daemon) {},
	})
	f.t.Cleanup(x.pool.Close)
	f.exit = x
}

// configure gives the exit the limit of cold targets, and the target's record.
func (f *coldFixture) configure() {
	f.exit.SetWarmup(crwarmup.NewParams(coldRate, coldRatio, coldSlack, coldTime), "/health")
	f.exit.SetTarget(&f.record)
}

// drive offers requests from five callers for a time, and returns the number of responses.
func (f *coldFixture) drive(d time.Duration) int {
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	var callers, ticks sync.WaitGroup
	ticks.Go(func() {
		for ctx.Err() == nil {
			f.exit.Tick(ctx)
			time.Sleep(20 * time.Millisecond)
		}
	})
	var responses atomic.Int64
	end := time.Now().Add(d)
	for range 5 {
		callers.Go(func() {
			for time.Now().Before(end) {
				if f.call() != croffer.Answered {
					time.Sleep(2 * time.Millisecond)
					continue
				}
				responses.Add(1)
			}
		})
	}
	callers.Wait()
	cancel()
	ticks.Wait()
	return int(responses.Load())
}

// call makes an offer, and sends a request if it is accepted.
func (f *coldFixture) call() croffer.Outcome {
	reply := f.exit.Offer(crclock.Now(), testOffer(true))
	if !reply.Accepted {
		return croffer.NotSent
	}
	r := testRequest
	r.ID = "q" + time.Duration(f.nextID.Add(1)).String()
	r.Header = map[string][]string{"Request-Id": {r.ID}}
	return f.exit.Run(f.t.Context(), reply.Ticket, r).Outcome
}

// Guards against a restart of the target that breaks only idle connections and is not noticed.
func TestTargetThatRestartsBetweenRequestsIsNotFlooded(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newColdFixture(t)
	f.configure()
	g.Expect(f.drive(1500*time.Millisecond)).To(gomega.BeNumerically(">", coldMaximum), "the target is warm")
	g.Expect(f.target.Restart()).To(gomega.Succeed())
	g.Expect(f.drive(1500 * time.Millisecond)).To(gomega.BeNumerically(">", 0))
	g.Expect(f.target.ColdPeak()).To(gomega.BeNumerically("<=", coldMaximum))
}

// Guards against a warm target that loses its work because it closes idle connections.
func TestWarmTargetThatClosesIdleConnectionsKeepsItsWork(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newColdFixture(t)
	f.configure()
	f.drive(1500 * time.Millisecond)
	checks := f.target.HealthChecks()
	served := 0
	for range 5 {
		f.target.CloseIdle()
		served += f.drive(500 * time.Millisecond)
	}
	t.Logf("%d served, %d checks", served, f.target.HealthChecks()-checks)
	g.Expect(served).To(gomega.BeNumerically(">", 5*coldMaximum))
	g.Expect(f.target.HealthChecks() - checks).To(gomega.BeNumerically("<=", 5))
}

// Guards against requests that are sent before the limit of cold targets is known.
func TestTargetGetsNoRequestsBeforeThePlan(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newColdFixture(t)
	g.Expect(f.target.Restart()).To(gomega.Succeed())
	f.exit.SetTarget(&f.record)
	g.Expect(f.drive(500 * time.Millisecond)).To(gomega.BeZero())
	f.configure()
	g.Expect(f.drive(1500 * time.Millisecond)).To(gomega.BeNumerically(">", 0))
	g.Expect(f.target.ColdPeak()).To(gomega.BeNumerically("<=", coldMaximum))
}

// Guards against a daemon that starts beside a cold target and does not know what the one before it sent.
func TestRestartedDaemonsTogetherDoNotFloodAColdTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newColdFixture(t)
	g.Expect(f.target.Restart()).To(gomega.Succeed())
	f.configure()
	f.drive(1000 * time.Millisecond)
	for range 4 {
		f.startDaemon(crclock.Now())
		f.configure()
		f.drive(300 * time.Millisecond)
	}
	g.Expect(f.target.ColdPeak()).To(gomega.BeNumerically("<=", coldMaximum))
}

// Guards against a target that becomes cold with its connections kept, as its record says.
func TestTargetThatIsColdByItsRecordIsNotFlooded(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newColdFixture(t)
	f.configure()
	f.drive(1500 * time.Millisecond)
	f.target.MakeCold()
	cold := f.record
	cold.Warmup = coldTime
	f.exit.SetTarget(&cold)
	f.drive(1500 * time.Millisecond)
	g.Expect(f.target.ColdPeak()).To(gomega.BeNumerically("<=", coldMaximum))
}

// Guards against a record that is taken for one of an earlier cold time.
func TestTargetThatIsColdAgainByItsRecordIsNotFlooded(t *testing.T) {
	for name, tc := range map[string]struct {
		lastRecord, warmFor, remaining time.Duration
	}{
		"soon":               {lastRecord: time.Second, warmFor: -300 * time.Millisecond, remaining: coldTime},
		"for a shorter time": {lastRecord: coldTime, warmFor: time.Second, remaining: coldTime - 500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newColdFixture(t)
			g.Expect(f.target.Restart()).To(gomega.Succeed())
			restarted := time.Now()
			f.record.Warmup = coldTime
			f.configure()
			f.drive(2 * time.Second)
			f.record.Warmup = tc.lastRecord
			f.exit.SetTarget(&f.record)
			f.drive(coldTime + tc.warmFor - time.Since(restarted))
			f.target.MakeCold()
			again := f.record
			again.Warmup = tc.remaining
			f.exit.SetTarget(&again)
			f.drive(1800 * time.Millisecond)
			g.Expect(f.target.ColdPeak()).To(gomega.BeNumerically("<=", coldMaximum))
		})
	}
}

// Guards against a health response that is handled late and taken for one of the next process.
func TestHealthResponseOfAnEndedProcessTellsNothingOfTheNext(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newColdFixture(t)
	f.configure()
	f.drive(1200 * time.Millisecond)
	f.exit.gate.ContactLost(crclock.Now())
	f.exit.lifecycle.Lock() // holds up what is done with the response
	checks := f.target.HealthChecks()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.exit.checkWarmup(t.Context(), crclock.Now())
	}()
	g.Eventually(f.target.HealthChecks).Should(gomega.Equal(checks + 1))
	time.Sleep(100 * time.Millisecond)
	g.Expect(f.target.Restart()).To(gomega.Succeed())
	var calls sync.WaitGroup
	for range 5 {
		calls.Go(func() { f.call() })
	}
	time.Sleep(400 * time.Millisecond)
	f.exit.lifecycle.Unlock()
	<-done
	calls.Wait()
	f.drive(900 * time.Millisecond)
	g.Expect(f.target.ColdPeak()).To(gomega.BeNumerically("<=", coldMaximum))
}
