package cregress

import (
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crcrash"
	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crregistry"
	"camphorroad/core/crwarmup"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

// A daemon has 5 s to stop, requests take 0.5 s, callers wait 10 s. If the timeouts counted,
// its target would be idle, and with machines stopped in turn the others be overloaded.
func TestStoppingExitAcceptsOffersByTypicalDuration(t *testing.T) {
	g := gomega.NewWithT(t)
	now := crid.Instant(time.Hour)
	x := New(Options{
		Service: "s1", Clock: func() crid.Instant { return now }, OnTargetChange: func() {}, OnTargetEnd: func() {}, OnOffer: func(crid.Daemon) {},
		Log: crlog.New(io.Discard, "info", "test"), Crashes: crcrash.NewTracker(),
	})
	x.SetWarmup(crwarmup.Params{}, "")
	x.SetTarget(&crregistry.Record{Target: "t1", Service: "s1", Slots: 2})
	offer := croffer.Offer{
		Target: "t1", Service: "s1", Class: crpolicy.ClassOnce, TimeLeft: 10 * time.Second, ObjectiveLeft: 2 * time.Second, RouteObjective: 2 * time.Second,
	}
	for range 20 {
		ticket, _ := x.gate.Admit(now, crgate.Request{Kind: offer.Kind(), LatestStart: now})
		x.gate.Release(now, ticket, 500*time.Millisecond)
	}
	x.SetStopDeadline(now.Add(5 * time.Second))
	g.Expect(x.Offer(now, offer).Accepted).To(gomega.BeTrue())
	now = now.Add(3 * time.Second)
	g.Expect(x.Offer(now, offer).Accepted).To(gomega.BeTrue())
	otherKind := offer
	otherKind.RouteObjective = time.Second
	g.Expect(x.Offer(now, otherKind).Reason).To(gomega.Equal("stopping"), "no duration is known for this kind")
	now = now.Add(1500 * time.Millisecond)
	g.Expect(x.Offer(now, offer).Reason).To(gomega.Equal("stopping"), "the request would end after the deadline")
}
