package crforward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crpolicy"
)

// An attempt ends at each step. Without proof of "not run", a report of it to the
// caller, or a retry of a request of class once, may run the request twice.
func TestTrackerAfterAttempt(t *testing.T) {
	sent := func(tr *Tracker) { tr.Sent(tr.Begin(), opened) }
	revoked := func(v RevokeResult, delay time.Duration) func(tr *Tracker) {
		return func(tr *Tracker) { sent(tr); tr.RevokeResult(0, v, after(delay)) }
	}
	cases := map[string]struct {
		events       func(tr *Tracker)
		outcome      Outcome
		once, repeat bool // whether another attempt is allowed
	}{
		"no attempt":               {func(*Tracker) {}, OutcomeNotRun, true, true},
		"dial failed":              {func(tr *Tracker) { tr.Failed(tr.Begin()) }, OutcomeNotRun, true, true},
		"in progress":              {sent, OutcomeUnknown, false, false},
		"session lost":             {func(tr *Tracker) { sent(tr); tr.Failed(0) }, OutcomeUnknown, false, true},
		"refused with proof":       {func(tr *Tracker) { sent(tr); tr.Refused(0, true, 0) }, OutcomeNotRun, true, true},
		"refused without proof":    {func(tr *Tracker) { sent(tr); tr.Refused(0, false, 0) }, OutcomeUnknown, false, true},
		"fenced":                   {revoked(RevokeResultFenced, time.Second), OutcomeNotRun, true, true},
		"fenced, after the window": {revoked(RevokeResultFenced, 2*time.Minute), OutcomeUnknown, false, true},
		"started":                  {revoked(RevokeResultStarted, time.Second), OutcomeUnknown, false, true},
		"unknown to the exit":      {revoked(RevokeResultUnknown, time.Second), OutcomeUnknown, false, true},
		"head, then failed":        {func(tr *Tracker) { sent(tr); tr.ResponseStarted(0); tr.Failed(0) }, OutcomeUnknown, false, true},
		"head, then refused":       {func(tr *Tracker) { sent(tr); tr.ResponseStarted(0); tr.Refused(0, true, 0) }, OutcomeUnknown, false, true},
		"head relayed":             {func(tr *Tracker) { sent(tr); tr.ResponseStarted(0); tr.RelayStarted(); tr.Failed(0) }, OutcomeCut, false, false},
		"response relayed":         {func(tr *Tracker) { sent(tr); tr.RelayStarted(); tr.ResponseReceived(0); tr.RelayCompleted() }, OutcomeAnswered, false, false},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for class, may := range map[crpolicy.Class]bool{crpolicy.ClassOnce: c.once, crpolicy.ClassRepeat: c.repeat, 0: c.once} {
				tr := NewTracker(class, DefaultTrackerParams())
				c.events(tr)
				g.Expect(tr.Outcome()).To(gomega.Equal(c.outcome))
				g.Expect(tr.MayRetry()).To(gomega.Equal(may))
			}
		})
	}
}

// The result of one of two attempts is unknown, and the other is proved not to
// have run. The proof of one attempt must not make the outcome "not run".
func TestTrackerNeedsProofForEveryAttempt(t *testing.T) {
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
