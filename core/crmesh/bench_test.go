package crmesh_test

import (
	"fmt"
	"testing"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crregistry"
)

// fleetSizes are the numbers of daemons for which events are benchmarked.
var fleetSizes = []int{30, 353, 1000, 5500}

// largeState is a daemon of a fleet in six domains that has received a heartbeat of each
// peer.
func largeState(n int) (*crmesh.State, []crid.Daemon) {
	p := params()
	p.Self, p.Address, p.Domain, p.Seeds = "10.9.0.0", "10.9.0.0:80", "a", nil
	s := crmesh.New(p)
	list := crmesh.RecordsListed{Now: start, Revision: 5}
	peers := make([]crid.Daemon, 0, n)
	for i := range n {
		d := crid.Daemon(fmt.Sprintf("10.9.%d.%d", i/250, i%250))
		target := crid.Target(fmt.Sprintf("t%d", i))
		list.Changes = append(list.Changes, crregistry.Change{Key: string(target), Revision: 5, Record: &crregistry.Record{
			Target: target, Service: "booking", Address: string(d) + ":80", Domain: crid.Domain("abcdef"[i%6 : i%6+1]), Slots: 5,
		}})
		if d != p.Self {
			peers = append(peers, d)
		}
	}
	s.Step(list)
	for i, d := range peers {
		s.Step(received(d, i, start, false))
	}
	return s, peers
}

func received(d crid.Daemon, i int, now crid.Instant, storeUnavailable bool) crmesh.HeartbeatReceived {
	return crmesh.HeartbeatReceived{Now: now, From: d, Heartbeat: crmesh.Heartbeat{
		Incarnation: 1, Target: crid.Target(fmt.Sprintf("t%d", i+1)), Slots: 5, RecordRevision: 5, StoreUnavailable: storeUnavailable,
	}}
}

func perSize(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) { run(b, n) })
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		s, peers := largeState(n)
		now := start
		for i := 0; b.Loop(); i++ {
			now = now.Add(10 * time.Millisecond)
			s.Step(received(peers[i%len(peers)], i%len(peers), now, false))
		}
	})
}

func BenchmarkStoreStateChange(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		s, peers := largeState(n)
		now := start
		for i := 0; b.Loop(); i++ {
			now = now.Add(time.Millisecond)
			s.Step(received(peers[i%len(peers)], i%len(peers), now, i/len(peers)%2 == 0))
		}
	})
}

func BenchmarkTick(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		s, _ := largeState(n)
		now := start
		for b.Loop() {
			now = now.Add(100 * time.Millisecond)
			s.Step(crevent.Tick{Now: now})
		}
	})
}

func BenchmarkStart(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		if n > 1000 {
			b.Skip("minutes")
		}
		for b.Loop() {
			largeState(n)
		}
	})
}
