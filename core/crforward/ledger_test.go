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

func later(d time.Duration) crid.Instant { return opened.Add(d) }

func name(n int) crid.Request { return crid.Request{byte(n), byte(n >> 8)} }

func newLedger() *Ledger { return NewLedger(DefaultLedgerParams(), session, opened, nil) }

func reasonOf(err error) Reason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason()
	}
	return 0
}

// Each case lets something happen between a forward's arrival and the moment a
// slot is free for it. Were the forward started all the same, a client would pay
// a deposit, or file a return, after it was told that nothing was done.
func TestStartIsRefusedAfter(t *testing.T) {
	id := name(1)
	cases := map[string]struct {
		happens func(l *Ledger)
		now     crid.Instant
		want    Reason
		notRun  bool
	}{
		"nothing":          {func(*Ledger) {}, later(time.Second), 0, false},
		"a revocation":     {func(l *Ledger) { l.Revoke(id, session, opened) }, later(time.Second), ReasonFenced, true},
		"a cancel":         {func(l *Ledger) { l.Cancel(id, opened) }, later(time.Second), ReasonCancelled, true},
		"a finish":         {func(l *Ledger) { l.Finish(id, opened) }, later(time.Second), ReasonCancelled, true},
		"the deadline":     {func(*Ledger) {}, deadline, ReasonExpired, true},
		"a pause":          {func(l *Ledger) { l.RecordPause(later(time.Second)) }, later(time.Second), ReasonStale, true},
		"an earlier pause": {func(l *Ledger) { l.RecordPause(opened - 1) }, later(time.Second), 0, false},
		"the drain":        {func(l *Ledger) { l.Drain() }, later(time.Second), ReasonDraining, true},
		"the close":        {func(l *Ledger) { l.Close() }, later(time.Second), ReasonClosed, true},
		"another start":    {func(l *Ledger) { _ = l.Start(id, opened) }, later(time.Second), ReasonDuplicate, false},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := newLedger()
			g.Expect(l.Register(id, crpolicy.ClassOnce, opened, deadline)).To(gomega.Succeed())
			c.happens(l)
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

// The entry waits no longer and asks the exit what became of the forward, which
// may be at any step. A wrong "fenced" lets the entry send a filing on to another
// upstream although the first has run it.
func TestRevokeAnswers(t *testing.T) {
	id := name(1)
	offer := func(l *Ledger) { _ = l.Register(id, crpolicy.ClassOnce, opened, deadline) }
	start := func(l *Ledger) { offer(l); _ = l.Start(id, opened) }
	cases := map[string]struct {
		before func(l *Ledger)
		sentOn SessionID
		want   RevokeResult
	}{
		"before the arrival":          {func(*Ledger) {}, session, RevokeResultFenced},
		"while pending":               {offer, session, RevokeResultFenced},
		"while running":               {start, session, RevokeResultStarted},
		"after the finish":            {func(l *Ledger) { start(l); l.Finish(id, opened) }, session, RevokeResultStarted},
		"after a drain":               {func(l *Ledger) { l.Drain(); offer(l) }, session, RevokeResultFenced},
		"over a session opened later": {func(*Ledger) {}, session + 1, RevokeResultUnknown},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := newLedger()
			c.before(l)
			g.Expect(l.Revoke(id, c.sentOn, opened)).To(gomega.Equal(c.want))
			if c.want == RevokeResultFenced {
				offer(l)
				g.Expect(l.Start(id, opened)).NotTo(gomega.Succeed())
			}
		})
	}
}

// A broken or hostile entry floods one session with forwards or revocations. If
// the exit forgot some to save memory it would later vouch for what it forgot;
// users of other entries would notice nothing until then.
func TestMemoryIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	params := LedgerParams{MaxPending: 2, MaxFences: 2, MaxRecords: 5, Retention: time.Second}
	l := NewLedger(params, session, opened, nil)
	for n := range 2 {
		g.Expect(l.Register(name(n), crpolicy.ClassRepeat, opened, deadline)).To(gomega.Succeed())
	}
	g.Expect(reasonOf(l.Register(name(2), crpolicy.ClassRepeat, opened, deadline))).To(gomega.Equal(ReasonFull))
	for n := 3; n < 5; n++ {
		g.Expect(l.Revoke(name(n), session, opened)).To(gomega.Equal(RevokeResultFenced))
	}
	g.Expect(l.MustClose()).To(gomega.BeFalse())
	g.Expect(l.Revoke(name(5), session, opened)).To(gomega.Equal(RevokeResultFenced))
	g.Expect(l.MustClose()).To(gomega.BeTrue())
	g.Expect(reasonOf(l.Start(name(0), opened))).To(gomega.Equal(ReasonClosed))
	l.Revoke(name(5), session, later(2*time.Second))
	g.Expect(l.Dump()).To(gomega.Equal(Dump{Pending: 1, Records: 3, Fences: 2, Closed: true}))
}

// The process is stopped for seconds and goes on as if nothing had happened. It
// may run its ticker first or the queued forward first; in either order the
// booking of a caller who left long ago must not run.
func TestPulseRemembersThePause(t *testing.T) {
	for title, tickerFirst := range map[string]bool{"ticker first": true, "traffic first": false} {
		t.Run(title, func(t *testing.T) {
			g := gomega.NewWithT(t)
			pulse := NewPauseDetector(DefaultPauseThreshold, opened)
			l := NewLedger(DefaultLedgerParams(), session, opened, pulse)
			g.Expect(l.Register(name(1), crpolicy.ClassOnce, opened, deadline)).To(gomega.Succeed())
			woken := later(5 * time.Second)
			g.Expect(pulse.TickOverdue(woken)).To(gomega.BeTrue())
			if tickerFirst {
				g.Expect(pulse.Tick(woken)).To(gomega.BeTrue())
			}
			g.Expect(reasonOf(l.Start(name(1), woken))).To(gomega.Equal(ReasonStale))
			fresh := NewLedger(DefaultLedgerParams(), session+1, woken+1, pulse)
			g.Expect(fresh.Register(name(1), crpolicy.ClassOnce, woken+1, woken+2)).To(gomega.Succeed())
			g.Expect(fresh.Start(name(1), woken+1)).To(gomega.Succeed())
		})
	}
}

// A service gets too slow and all its requests fail at once. If each were tried
// again the service would see several times its load and never recover.
func TestBudgetBoundsRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewRetryBudget(RetryBudgetParams{Ratio: 0.1, MinPerSecond: 1, Burst: 5}, opened)
	retries := 0
	for n := range 1000 {
		b.RecordRequest()
		if b.Take(later(time.Duration(n) * 10 * time.Millisecond)) {
			retries++
		}
	}
	g.Expect(retries).To(gomega.BeNumerically("~", 5+100+10, 1))
}

// The slot comes free at the very moment when the entry gives up. If both the
// start and the revocation were granted, the entry would send the filing on while
// it runs.
func TestStartAndRevokeExcludeEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger()
	for n := range 1000 {
		g.Expect(l.Register(name(n), crpolicy.ClassOnce, opened, deadline)).To(gomega.Succeed())
		var started [2]error
		var verdict RevokeResult
		var group sync.WaitGroup
		for i := range started {
			group.Go(func() { started[i] = l.Start(name(n), opened) })
		}
		group.Go(func() { verdict = l.Revoke(name(n), session, opened) })
		group.Wait()
		g.Expect(started[0] == nil && started[1] == nil).To(gomega.BeFalse())
		g.Expect(started[0] == nil || started[1] == nil).To(gomega.Equal(verdict == RevokeResultStarted))
		l.Finish(name(n), opened)
	}
}
