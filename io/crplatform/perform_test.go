package crplatform_test

import (
	"testing"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/io/crplatform"
	"camphorroad/io/crpolicyfile"
	lab "camphorroad/lab/crplatform"
)

// The only daemon on the list reads its configuration with core/crconfig, the client and
// the simulated platform, and keeps it when the platform becomes stale.
func TestPerformLoadsAConfiguration(t *testing.T) {
	p, c := startPlatform(t)
	p.SetInstances([]crinstance.Instance{{Daemon: "self", Domain: "m", State: crinstance.StateLive}})
	publish(t, p, "one")
	params := crconfig.DefaultParams()
	params.FleetSize = 1
	s := crconfig.New(params, crpolicyfile.ParseManifest, crpolicyfile.Load)
	now := crid.Instant(0)
	clock := func() crid.Instant { return now }
	var step func(ev crevent.Event)
	step = func(ev crevent.Event) {
		for _, e := range s.Step(ev) {
			if w, ok := e.(crconfig.WatchPlatform); ok {
				w.Wait = min(w.Wait, 10*time.Millisecond)
				e = w
			}
			if result, ok := crplatform.Perform(t.Context(), c, clock, time.Second, e); ok {
				step(result)
			}
		}
	}
	step(crevent.Started{Now: now, Self: "self", Domain: "m", Incarnation: 1, Seed: 1})
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		step(crevent.Tick{Now: now})
	}
	if !s.Ready() || s.Revision() != 12 {
		t.Fatalf("not ready: %+v", s.Dump())
	}
	if _, ok := s.Snapshot().Account("one"); !ok {
		t.Error("the account is missing")
	}
	p.SetFault(lab.Fault{Mode: lab.ModeStale, Back: 2})
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		step(crevent.Tick{Now: now})
	}
	if s.Revision() != 12 {
		t.Errorf("revision changed to %d", s.Revision())
	}
}
