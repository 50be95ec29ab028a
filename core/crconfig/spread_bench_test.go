package crconfig_test

import (
	"fmt"
	"testing"
	"time"

	"camphorroad/core/crconfig"
)

// BenchmarkSpread tells how long one change takes to be in force everywhere, in
// simulated time, and what it costs the platform and the network.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{25, 100, 300, 1000} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			f := settled(b, n, 9)
			var worst, sum time.Duration
			calls, msgs := f.plat.calls, f.msgs
			changes := 0
			for b.Loop() {
				for i := range 5 {
					f.run(time.Duration(i) * 110 * time.Millisecond)
					took := f.until(b, f.plat.publish(content{Keys: []string{fmt.Sprint(changes)}}), 9*time.Second)
					worst = max(worst, took)
					sum += took
					changes++
				}
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
			b.ReportMetric(sum.Seconds()/float64(changes), "mean-s")
			b.ReportMetric(float64(f.plat.calls-calls)/float64(changes), "calls/change")
			b.ReportMetric(float64(f.msgs-msgs)/float64(changes)/float64(n), "msgs/change/daemon")
		})
	}
}

// BenchmarkIdle tells what a fleet without changes costs.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{25, 1000} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			f := settled(b, n, 9)
			calls, msgs, from := f.plat.calls, f.msgs, f.now
			for b.Loop() {
				f.run(60 * time.Second)
			}
			seconds := (f.now - from).Seconds()
			b.ReportMetric(float64(f.plat.calls-calls)/seconds, "calls/s")
			b.ReportMetric(float64(f.msgs-msgs)/seconds/float64(n), "msgs/s/daemon")
		})
	}
}

// BenchmarkSampled tells what the readers of a fleet cost whose membership hears
// most peers only now and then: how many there are, and calls at rest and a
// change, in simulated time.
func BenchmarkSampled(b *testing.B) {
	const seconds, changes = 120, 5
	for range b.N {
		f := newFleet(1000, 9, crconfig.DefaultParams())
		f.sampled = true
		rev := f.plat.publish(content{})
		f.start(f.names...)
		b.ReportMetric(f.until(b, rev, 90*time.Second).Seconds(), "start-s")
		f.run(30 * time.Second)
		calls, readers := f.plat.calls, 0
		for range seconds {
			f.run(time.Second)
			readers += len(f.readers())
		}
		b.ReportMetric(float64(readers)/seconds, "readers")
		b.ReportMetric(float64(f.plat.calls-calls)/seconds, "idle-calls/s")
		calls = f.plat.calls
		var worst time.Duration
		for i := range changes {
			worst = max(worst, f.until(b, f.plat.publish(content{Keys: []string{fmt.Sprint(i)}}), 9*time.Second))
			f.run(time.Second)
		}
		b.ReportMetric(float64(f.plat.calls-calls)/changes, "calls/change")
		b.ReportMetric(worst.Seconds(), "worst-s")
	}
}

// BenchmarkStart tells what a common start costs when peers are known at once,
// with the default limits and with those of a small fleet.
func BenchmarkStart(b *testing.B) {
	for _, c := range []struct {
		n      int
		params crconfig.Params
	}{
		{25, quick()},
		{25, crconfig.DefaultParams()},
		{300, crconfig.DefaultParams()},
		{1000, crconfig.DefaultParams()},
	} {
		b.Run(fmt.Sprintf("daemons=%d/fleet=%d", c.n, c.params.FleetSize), func(b *testing.B) {
			var took time.Duration
			var f *fleet
			for b.Loop() {
				f = newFleet(c.n, 9, c.params)
				rev := f.plat.publish(content{})
				f.start(f.names...)
				took = f.until(b, rev, 60*time.Second)
			}
			peak := 0
			for _, calls := range f.plat.perSec {
				peak = max(peak, calls)
			}
			b.ReportMetric(took.Seconds(), "all-s")
			b.ReportMetric(float64(f.plat.calls), "calls")
			b.ReportMetric(float64(peak), "peak-calls/s")
		})
	}
}
