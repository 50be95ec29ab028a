package crview_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crview"
)

// size is the size of a fleet and of its configuration.
type size struct{ daemons, targets, services, routes int }

func (s size) snapshot() *crpolicy.Snapshot {
	services := make([]crpolicy.Service, s.services)
	for i := range services {
		services[i] = crpolicy.Service{Name: serviceName(i), Floor: 2, Slots: 5, Queue: 40, Connections: 300}
	}
	for i := range s.routes {
		svc := &services[i%s.services]
		svc.Routes = append(svc.Routes, crpolicy.Route{
			Name: crid.Route(fmt.Sprintf("route-%05d", i)), Host: fmt.Sprintf("host-%04d.example", i%s.services),
			Methods: []string{"GET"}, Prefix: fmt.Sprintf("/path-%05d", i), Class: crpolicy.ClassRepeat, Timeout: time.Second,
		})
	}
	return crpolicy.NewSnapshot(1, services, nil)
}

func serviceName(i int) crid.Service { return crid.Service(fmt.Sprintf("service-%04d", i)) }

func (s size) input() crview.Input {
	instances := make([]crinstance.Instance, s.daemons)
	peers := make([]crmember.Peer, s.daemons)
	for i := range instances {
		name := crid.Daemon(fmt.Sprintf("instance-%05d", i))
		domain := crid.Domain(fmt.Sprintf("domain-%d", i%9))
		instances[i] = crinstance.Instance{Daemon: name, Domain: domain, State: crinstance.StateLive}
		peers[i] = crmember.Peer{Daemon: name, Domain: domain, Reachable: true}
	}
	for i := range s.targets {
		in := &instances[i%s.daemons]
		in.Targets = append(in.Targets, crinstance.Target{Name: crid.Target(fmt.Sprintf("target-%05d", i)), Service: serviceName(i % s.services)})
	}
	return crview.Input{
		Self: "instance-00000", Domain: "domain-0", Snapshot: s.snapshot(),
		List: crinstance.NewList(1, instances), Peers: peers, Loads: crview.NewLoadRegistry(),
	}
}

var sizes = []size{{25, 25, 2, 4}, {1000, 8545, 327, 2182}, {5500, 47_000, 1800, 12_000}}

func (s size) String() string {
	return fmt.Sprintf("targets=%d/routes=%d", s.targets, s.routes)
}

// BenchmarkBuild measures building a view after a new configuration.
func BenchmarkBuild(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			in := s.input()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := crview.Build(in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkWithPools measures building a view after a change of the list, of a
// peer or of a target's health, for which only the pools are rebuilt.
func BenchmarkWithPools(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			in := s.input()
			view, err := crview.Build(in)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				view = view.WithPools(in)
			}
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkMemory measures the memory of the services and routes in the
// snapshot, and of the targets, their loads and the route table in the view.
func BenchmarkMemory(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			var snapshot, view uint64
			for b.Loop() {
				in := s.input()
				in.Snapshot = nil
				before := heapInUse()
				in.Snapshot = s.snapshot()
				snapshot = heapInUse() - before
				before += snapshot
				v, err := crview.Build(in)
				if err != nil {
					b.Fatal(err)
				}
				view = heapInUse() - before
				runtime.KeepAlive(v)
				runtime.KeepAlive(in)
			}
			b.ReportMetric(float64(snapshot)/float64(s.routes), "snapshot-B/route")
			b.ReportMetric(float64(view)/float64(s.targets), "view-B/target")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
