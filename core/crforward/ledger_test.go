package crforward

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

const (
	opened   = crid.Instant(1000)
	deadline = opened + crid.Instant(10*time.Second)
	session  = SessionID(7)
)

func after(d time.Duration) crid.Instant { return opened.Add(d) }

func attemptID(n int) crid.Request { return crid.Request{byte(n), byte(n >> 8)} }

func newLedger() *Ledger { return NewLedger(DefaultLedgerParams(), session, opened, nil) }

func reasonOf(err error) Reason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason()
	}
	return 0
}

// Events between the arrival and the free slot prevent the start: after "not run"
// the client repeats the request, and would pay a deposit or file a return twice.
func TestStartRefusedAfterEvent(t *testing.T) {
	id := attemptID(1)
	cases := map[string]struct {
		event  func(l *Ledger)
		now    crid.Instant
		want   Reason
		notRun bool
	}{
		"nothing":          {func(*Ledger) {}, after(time.Second), 0, false},
		"a revocation":     {func(l *Ledger) { l.Revoke(id, session, opened) }, after(time.Second), ReasonFenced, true},
		"a cancel":         {func(l *Ledger) { l.Cancel(id, opened) }, after(time.Second), ReasonCancelled, true},
		"a finish":         {func(l *Ledger) { l.Finish(id, opened) }, after(time.Second), ReasonCancelled, true},
		"the deadline":     {func(*Ledger) {}, deadline, ReasonExpired, true},
		"a pause":          {func(l *Ledger) { l.RecordPause(after(time.Second)) }, after(time.Second), ReasonStale, true},
		"an earlier pause": {func(l *Ledger) { l.RecordPause(opened - 1) }, after(time.Second), 0, false},
		"the drain":        {func(l *Ledger) { l.Drain() }, after(time.Second), ReasonDraining, true},
		"the close":        {func(l *Ledger) { l.Close() }, after(time.Second), ReasonClosed, true},
		"another start":    {func(l *Ledger) { _ = l.Start(id, opened) }, after(time.Second), ReasonDuplicate, false},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := newLedger()
			g.Expect(l.Register(id, crpolicy.ClassOnce, opened, deadline)).To(gomega.Succeed())
			c.event(l)
			err := l.Start(id, c.now)
			g.Expect(reasonOf(err)).To(gomega.Equal(c.want))
			var refusal *Refusal
			if errors.As(err, &refusal) {
				g.Expect(refusal.NotRun()).To(gomega.Equal(c.notRun))
				g.Expect(l.Start(id, opened)).NotTo(gomega.Succeed(), "a refusal is final")
			}
		})
	}
}

// The entry revokes a forward that may be at any step. After a wrong "fenced" it
// would send a request of class once to a second upstream although the first ran it.
func TestRevokeResult(t *testing.T) {
	id := attemptID(1)
	register := func(l *Ledger) { _ = l.Register(id, crpolicy.ClassOnce, opened, deadline) }
	start := func(l *Ledger) { register(l); _ = l.Start(id, opened) }
	cases := map[string]struct {
		before func(l *Ledger)
		sentOn SessionID
		want   RevokeResult
	}{
		"before the arrival":          {func(*Ledger) {}, session, RevokeResultFenced},
		"while pending":               {register, session, RevokeResultFenced},
		"while running":               {start, session, RevokeResultStarted},
		"after the finish":            {func(l *Ledger) { start(l); l.Finish(id, opened) }, session, RevokeResultStarted},
		"after a drain":               {func(l *Ledger) { l.Drain(); register(l) }, session, RevokeResultFenced},
		"over a session opened later": {func(*Ledger) {}, session + 1, RevokeResultUnknown},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := newLedger()
			c.before(l)
			g.Expect(l.Revoke(id, c.sentOn, opened)).To(gomega.Equal(c.want))
			if c.want == RevokeResultFenced {
				register(l)
				g.Expect(l.Start(id, opened)).NotTo(gomega.Succeed())
			}
		})
	}
}

// An entry floods a session with forwards or revocations. The ledger must close:
// evicting records early would cause false refusals and "fenced" results later.
func TestLedgerMemoryBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	params := LedgerParams{MaxPending: 2, MaxFences: 2, MaxRecords: 5, Retention: time.Second}
	l := NewLedger(params, session, opened, nil)
	for n := range 2 {
		g.Expect(l.Register(attemptID(n), crpolicy.ClassRepeat, opened, deadline)).To(gomega.Succeed())
	}
	g.Expect(reasonOf(l.Register(attemptID(2), crpolicy.ClassRepeat, opened, deadline))).To(gomega.Equal(ReasonFull))
	for n := 3; n < 5; n++ {
		g.Expect(l.Revoke(attemptID(n), session, opened)).To(gomega.Equal(RevokeResultFenced))
	}
	g.Expect(l.MustClose()).To(gomega.BeFalse())
	g.Expect(l.Revoke(attemptID(5), session, opened)).To(gomega.Equal(RevokeResultFenced))
	g.Expect(l.MustClose()).To(gomega.BeTrue())
	g.Expect(reasonOf(l.Start(attemptID(0), opened))).To(gomega.Equal(ReasonClosed))
	l.Revoke(attemptID(5), session, after(2*time.Second))
	g.Expect(l.Dump()).To(gomega.Equal(Dump{Pending: 1, Records: 3, Fences: 2, Closed: true}))
}

// The process is suspended for seconds. Whether its ticker or the queued forward
// runs first afterwards, the forward must not start: its caller may have given up.
func TestPauseMakesSessionStale(t *testing.T) {
	for title, tickerFirst := range map[string]bool{"ticker first": true, "traffic first": false} {
		t.Run(title, func(t *testing.T) {
			g := gomega.NewWithT(t)
			detector := NewPauseDetector(DefaultPauseThreshold, opened)
			l := NewLedger(DefaultLedgerParams(), session, opened, detector)
			g.Expect(l.Register(attemptID(1), crpolicy.ClassOnce, opened, deadline)).To(gomega.Succeed())
			resumed := after(5 * time.Second)
			g.Expect(detector.TickOverdue(resumed)).To(gomega.BeTrue())
			if tickerFirst {
				g.Expect(detector.Tick(resumed)).To(gomega.BeTrue())
			}
			g.Expect(reasonOf(l.Start(attemptID(1), resumed))).To(gomega.Equal(ReasonStale))
			fresh := NewLedger(DefaultLedgerParams(), session+1, resumed+1, detector)
			g.Expect(fresh.Register(attemptID(1), crpolicy.ClassOnce, resumed+1, resumed+2)).To(gomega.Succeed())
			g.Expect(fresh.Start(attemptID(1), resumed+1)).To(gomega.Succeed())
		})
	}
}

// All requests of a service that is too slow fail. Without the budget each would be
// retried, and the service would get several times its load and never recover.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewRetryBudget(RetryBudgetParams{Ratio: 0.1, MinPerSecond: 1, Burst: 5}, opened)
	retries := 0
	for n := range 1000 {
		b.RecordRequest()
		if b.Take(after(time.Duration(n) * 10 * time.Millisecond)) {
			retries++
		}
	}
	g.Expect(retries).To(gomega.BeNumerically("~", 5+100+10, 1))
}

// A slot becomes free just when the entry gives up. If both Start and Revoke
// succeeded, the entry would send the request again while it runs.
func TestStartAndRevokeAreExclusive(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger()
	for n := range 1000 {
		g.Expect(l.Register(attemptID(n), crpolicy.ClassOnce, opened, deadline)).To(gomega.Succeed())
		var started [2]error
		var result RevokeResult
		var group sync.WaitGroup
		for i := range started {
			group.Go(func() { started[i] = l.Start(attemptID(n), opened) })
		}
		group.Go(func() { result = l.Revoke(attemptID(n), session, opened) })
		group.Wait()
		g.Expect(started[0] == nil && started[1] == nil).To(gomega.BeFalse())
		g.Expect(started[0] == nil || started[1] == nil).To(gomega.Equal(result == RevokeResultStarted))
		l.Finish(attemptID(n), opened)
	}
}
