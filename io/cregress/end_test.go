package cregress

import (
	"io"
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

// newFakeTargetExit returns an exit with the fake target.
func newFakeTargetExit(t *testing.T) (*Exit, *crtarget.Target) {
	t.Helper()
	target, err := crtarget.Start(crtarget.Options{Address: "127.0.0.1:0", ID: "t1"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	x := New(Options{
		Self: "10.0.0.1", Service: "s1", Address: target.Address(), Dialect: platform.Dialect{}, Clock: crclock.Now,
		Log: crlog.New(io.Discard, "info", "test"), Crashes: crcrash.NewTracker(), OnTargetChange: func() {}, OnTargetEnd: func() {}, OnOffer: func(crid.Daemon) {},
	})
	t.Cleanup(x.pool.Close)
	x.SetWarmup(crwarmup.Params{}, "")
	x.SetTarget(&crregistry.Record{Target: "t1", Service: "s1", Slots: 1})
	return x, target
}

func (x *Exit) runTest(t *testing.T) croffer.Result {
	t.Helper()
	return x.Run(t.Context(), x.testOffer().Ticket, testRequest)
}

// Guards against an end of the target's process that entries cannot tell from a broken connection.
func TestEndOfTheTargetIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	x, target := newFakeTargetExit(t)
	target.SetFatal(testRequest.URI, time.Hour)
	r := x.runTest(t)
	g.Expect(r.Outcome).To(gomega.Equal(croffer.Unknown))
	g.Expect(r.EndedMillis).To(gomega.BeNumerically("~", time.Now().UnixMilli(), 5000))
	g.Expect(x.opts.Crashes.Reports(crclock.Now(), "10.0.0.1")).To(gomega.Equal([]crcrash.Report{{Key: contentKey(testRequest), AtMillis: r.EndedMillis}}))
}

// Guards against requests that are blocked because a target breaks connections off and keeps running.
func TestBrokenConnectionIsNoEndOfTheTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	x, target := newFakeTargetExit(t)
	target.SetBehaviour(crtarget.Behaviour{Reset: 1})
	r := x.runTest(t)
	g.Expect(r.Outcome).To(gomega.Equal(croffer.Unknown))
	g.Expect(r.EndedMillis).To(gomega.BeZero())
	g.Expect(x.opts.Crashes.Ends(contentKey(testRequest))).To(gomega.BeZero())
}

// Guards against requests that are blocked because a target was stopped while they ran.
func TestStopOfALeavingTargetIsNoEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	x, target := newFakeTargetExit(t)
	target.SetBehaviour(crtarget.Behaviour{ServiceTime: time.Second})
	ticket := x.testOffer().Ticket
	time.AfterFunc(200*time.Millisecond, func() {
		x.SetTarget(&crregistry.Record{Target: "t1", Service: "s1", Slots: 1, Leaving: true})
		target.Close()
	})
	r := x.Run(t.Context(), ticket, testRequest)
	g.Expect(r.Outcome).To(gomega.Equal(croffer.Unknown))
	g.Expect(r.EndedMillis).To(gomega.BeZero())
}

// Guards against a request that waits for a slot and runs although three processes have ended under it meanwhile.
func TestWaitingRequestThatEndsTargetsIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	x, target := newFakeTargetExit(t)
	target.SetBehaviour(crtarget.Behaviour{ServiceTime: 200 * time.Millisecond})
	running, queued := x.testOffer(), x.testOffer()
	other := testRequest
	other.URI = "/other"
	done := make(chan croffer.Result, 1)
	go func() { done <- x.Run(t.Context(), running.Ticket, other) }()
	g.Eventually(target.Runs).Should(gomega.HaveLen(1))
	for n := range int64(crcrash.MaxEnds) {
		x.opts.Crashes.RecordEnd(crclock.Now(), contentKey(testRequest), crcrash.End{Daemon: "10.0.0.2", AtMillis: n})
	}
	r := x.Run(t.Context(), queued.Ticket, testRequest)
	g.Expect(r.Outcome).To(gomega.Equal(croffer.NotSent))
	g.Expect(r.Reason).To(gomega.Equal(croffer.ReasonEndsTargets))
	g.Expect(r.RetryAfter).To(gomega.BeNumerically("~", time.Minute, time.Second))
	g.Expect((<-done).Outcome).To(gomega.Equal(croffer.Answered))
	g.Expect(target.Runs()).To(gomega.HaveLen(1))
}

// Guards against a target that refuses requests of many callers which it answers, since others end beside them.
func TestRequestThatTheTargetAnswersIsNotRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	x, _ := newFakeTargetExit(t)
	g.Expect(x.runTest(t).Outcome).To(gomega.Equal(croffer.Answered))
	for n := range int64(crcrash.MaxEnds) {
		x.opts.Crashes.RecordEnd(crclock.Now(), contentKey(testRequest), crcrash.End{Daemon: "10.0.0.2", AtMillis: n})
	}
	g.Expect(x.runTest(t).Outcome).To(gomega.Equal(croffer.Answered))
}

// Guards against ends of a popular request's targets, and against answers with an error, which do not show that it ran.
func TestEndCountsUnlessTheProcessHasAnsweredTheRequest(t *testing.T) {
	for errorShare, counts := range map[float64]bool{0: false, 1: true} {
		g := gomega.NewWithT(t)
		x, target := newFakeTargetExit(t)
		target.SetBehaviour(crtarget.Behaviour{Error: errorShare})
		g.Expect(x.runTest(t).Outcome).To(gomega.Equal(croffer.Answered))
		target.SetFatal(testRequest.URI, time.Hour)
		offer := testOffer(false)
		offer.LastResort = true // the target counts as unhealthy after an error
		r := x.Run(t.Context(), x.Offer(crclock.Now(), offer).Ticket, testRequest)
		g.Expect(r.EndedMillis != 0).To(gomega.Equal(counts))
		g.Expect(x.opts.Crashes.Ends(contentKey(testRequest)) != 0).To(gomega.Equal(counts))
	}
}
