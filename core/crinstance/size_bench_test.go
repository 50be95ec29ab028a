package crinstance_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

func newInstances(daemons, targets int) []crinstance.Instance {
	instances := make([]crinstance.Instance, daemons)
	for i := range instances {
		instances[i] = crinstance.Instance{
			Daemon: crid.Daemon(fmt.Sprintf("instance-%05d", i)),
			Domain: crid.Domain(fmt.Sprintf("region-%d-domain-%d", i%3, i%9)),
			Addr:   fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			State:  crinstance.StateLive,
		}
	}
	for i := range targets {
		in := &instances[i%daemons]
		in.Targets = append(in.Targets, crinstance.Target{
			Name:    crid.Target(fmt.Sprintf("target-%05d", i)),
			Service: crid.Service(fmt.Sprintf("service-%04d", i%1800)),
		})
	}
	return instances
}

// BenchmarkList measures the memory of a decoded list of instances, and its size on the
// wire.
func BenchmarkList(b *testing.B) {
	for _, c := range []struct{ daemons, targets int }{{25, 25}, {1000, 8545}, {5500, 47_000}} {
		b.Run(fmt.Sprintf("daemons=%d/targets=%d", c.daemons, c.targets), func(b *testing.B) {
			data, err := cbor.Marshal(newInstances(c.daemons, c.targets))
			if err != nil {
				b.Fatal(err)
			}
			var heap uint64
			for b.Loop() {
				before := heapInUse()
				var decoded []crinstance.Instance
				if err := cbor.Unmarshal(data, &decoded); err != nil {
					b.Fatal(err)
				}
				list := crinstance.NewList(1, decoded)
				decoded = nil
				heap = heapInUse() - before
				runtime.KeepAlive(list)
			}
			b.ReportMetric(float64(heap), "heap-B")
			b.ReportMetric(float64(len(data)), "wire-B")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
