package crhealth

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
)

// BenchmarkBytesPerTarget reports the memory of a target in use at an entry (in its
// recorder) and at the arbiter of its service (in its window), and the encoded size of
// its sample.
func BenchmarkBytesPerTarget(b *testing.B) {
	const targets = 5000
	var recorder, arbiter, wire float64
	for b.Loop() {
		before := heapInUse()
		r := NewRecorder()
		for i := range targets {
			for n := range 20 {
				latency := time.Duration(2+n%4) * time.Millisecond
				r.Record(crid.Target(fmt.Sprintf("target-%05d", i)), ResultOK, latency, crid.Account(fmt.Sprint(n)))
			}
		}
		recorder = (heapInUse() - before) / targets
		samples := r.Drain(0)
		data, err := cbor.Marshal(samples)
		if err != nil {
			b.Fatal(err)
		}
		wire = float64(len(data)) / targets
		before = heapInUse()
		records := make(map[crid.Target]*targetRecord, targets)
		for _, sample := range samples {
			rec := &targetRecord{}
			for second := range 10 {
				rec.window.add(crid.Instant(second+1)*crid.Instant(time.Second), "entry", sample)
			}
			records[sample.Target] = rec
		}
		arbiter = (heapInUse() - before) / targets
		runtime.KeepAlive(records)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(recorder, "recorder-B/target")
	b.ReportMetric(arbiter, "arbiter-B/target")
	b.ReportMetric(wire, "wire-B/sample")
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkPeersChanged reports the cost of a crmember.PeersChanged event, which a
// daemon handles several times a second, in a large fleet.
func BenchmarkPeersChanged(b *testing.B) {
	const daemons, each, services = 5_500, 9, 1_800
	s := New(DefaultParams())
	s.Step(crevent.Started{Self: "d00000", Incarnation: 1})
	instances := make([]crinstance.Instance, daemons)
	peers := make([]crmember.Peer, daemons)
	for i := range daemons {
		name := crid.Daemon(fmt.Sprintf("d%05d", i))
		instances[i] = crinstance.Instance{Daemon: name, Domain: "north", Addr: "127.0.0.1:1"}
		for j := range each {
			service := crid.Service(fmt.Sprintf("s%04d", (i*each+j)%services))
			target := crid.Target(fmt.Sprintf("t%05d-%d", i, j))
			instances[i].Targets = append(instances[i].Targets, crinstance.Target{Name: target, Service: service})
		}
		peers[i] = crmember.Peer{Daemon: name, Incarnation: 1, Reachable: true}
	}
	s.Step(crinstance.ListUpdated{List: crinstance.NewList(1, instances)})
	for b.Loop() {
		s.Step(crmember.PeersChanged{Peers: peers})
	}
}
