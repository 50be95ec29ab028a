package crforward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crpolicy"
)

// An attempt breaks off at each step of a forward. A caller who is told "not
// run" will file again, so the word must be proved; and a request that must run
// once is sent on only with the same proof.
func TestTrackerAfterAnAttempt(t *testing.T) {
	sent := func(tr *Tracker) { tr.Sent(tr.Begin(), opened) }
	verdict := func(v RevokeResult, after time.Duration) func(tr *Tracker) {
		return func(tr *Tracker) { sent(tr); tr.RevokeResult(0, v, later(after)) }
	}
	cases := map[string]struct {
		happens      func(tr *Tracker)
		outcome      Outcome
		once, repeat bool // whether another attempt may be made
	}{
		"nothing tried":          {func(*Tracker) {}, OutcomeNotRun, true, true},
		"the dial failed":        {func(tr *Tracker) { tr.Failed(tr.Begin()) }, OutcomeNotRun, true, true},
		"still under way":        {sent, OutcomeUnknown, false, false},
		"the session was lost":   {func(tr *Tracker) { sent(tr); tr.Failed(0) }, OutcomeUnknown, false, true},
		"refused with proof":     {func(tr *Tracker) { sent(tr); tr.Refused(0, true, 0) }, OutcomeNotRun, true, true},
		"refused without proof":  {func(tr *Tracker) { sent(tr); tr.Refused(0, false, 0) }, OutcomeUnknown, false, true},
		"fenced":                 {verdict(RevokeResultFenced, time.Second), OutcomeNotRun, true, true},
		"fenced, too late":       {verdict(RevokeResultFenced, 2*time.Minute), OutcomeUnknown, false, true},
		"started":                {verdict(RevokeResultStarted, time.Second), OutcomeUnknown, false, true},
		"the exit can not say":   {verdict(RevokeResultUnknown, time.Second), OutcomeUnknown, false, true},
		"the head, then lost":    {func(tr *Tracker) { sent(tr); tr.ResponseStarted(0); tr.Failed(0) }, OutcomeUnknown, false, true},
		"the head, then refused": {func(tr *Tracker) { sent(tr); tr.ResponseStarted(0); tr.Refused(0, true, 0) }, OutcomeUnknown, false, true},
		"the head was passed on": {func(tr *Tracker) { sent(tr); tr.ResponseStarted(0); tr.RelayStarted(); tr.Failed(0) }, OutcomeCut, false, false},
		"all was passed on":      {func(tr *Tracker) { sent(tr); tr.RelayStarted(); tr.ResponseReceived(0); tr.RelayCompleted() }, OutcomeAnswered, false, false},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for class, may := range map[crpolicy.Class]bool{crpolicy.ClassOnce: c.once, crpolicy.ClassRepeat: c.repeat, 0: c.once} {
				tr := NewTracker(class, DefaultTrackerParams())
				c.happens(tr)
				g.Expect(tr.Outcome()).To(gomega.Equal(c.outcome))
				g.Expect(tr.MayRetry()).To(gomega.Equal(may))
			}
		})
	}
}

// One attempt of two can not be accounted for, and the other is proved not to
// have run. The caller must not be told "not run" on the word of the second.
func TestTrackerNeedsEveryProof(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := NewTracker(crpolicy.ClassRepeat, TrackerParams{MaxAttempts: 2, RevokeWindow: time.Minute})
	for n := range 2 {
		tr.Sent(tr.Begin(), opened)
		g.Expect(tr.NeedsRevoke(n)).To(gomega.BeTrue())
		tr.Failed(n)
	}
	tr.Refused(1, true, time.Second)
	g.Expect(tr.Outcome()).To(gomega.Equal(OutcomeUnknown))
	g.Expect(tr.MayRetry()).To(gomega.BeFalse(), "the bound on attempts")
	g.Expect(tr.RetryAfter()).To(gomega.Equal(time.Second))
}
