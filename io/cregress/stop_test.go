package cregress

import (
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crregistry"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

// A daemon is told to stop and has five seconds for it. Its target's requests take half
// a second, and their callers would wait ten. If it took none of them, its target would
// lie idle until the next daemon has started, and with several machines of a service
// stopped in turn the others would be full.
func TestAStoppingExitGoesByTheTimeThatRequestsTake(t *testing.T) {
	g := gomega.NewWithT(t)
	now := crid.Instant(time.Hour)
	x := New(Options{
		Service: "s1", Clock: func() crid.Instant { return now }, Nudge: func() {}, Asked: func(crid.Daemon) {},
		Log: crlog.New(io.Discard, "info", "test"),
	})
	x.Use(&crregistry.Record{Target: "t1", Service: "s1", Slots: 2})
	offer := croffer.Offer{
		Target: "t1", Service: "s1", Class: crpolicy.ClassOnce, Left: 10 * time.Second, Objective: 2 * time.Second, Aim: 2 * time.Second,
	}
	for range 20 {
		ticket, _ := x.gate.Admit(now, crgate.Request{Kind: offer.Kind(), LatestStart: now})
		x.gate.Release(now, ticket, 500*time.Millisecond)
	}
	x.Finish(now.Add(5 * time.Second))
	g.Expect(x.Offer(now, offer).Taken).To(gomega.BeTrue())
	now = now.Add(3 * time.Second)
	g.Expect(x.Offer(now, offer).Taken).To(gomega.BeTrue())
	unknown := offer
	unknown.Aim = time.Second
	g.Expect(x.Offer(now, unknown).Reason).To(gomega.Equal("stopping"), "nothing is known of its kind")
	now = now.Add(1500 * time.Millisecond)
	g.Expect(x.Offer(now, offer).Reason).To(gomega.Equal("stopping"), "it would be cut")
}
