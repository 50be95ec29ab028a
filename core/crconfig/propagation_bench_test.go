package crconfig_test

import (
	"fmt"
	"testing"
	"time"

	"camphorroad/core/crconfig"
)

// BenchmarkPropagation measures, in simulated time, how long a change takes to be
// applied everywhere, and its cost in platform calls and messages.
func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{25, 100, 300, 1000} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			f := newSettledFleet(b, n, 9)
			var worst, sum time.Duration
			calls, msgs := f.platform.calls, f.messages
			changes := 0
			for b.Loop() {
				for i := range 5 {
					f.run(time.Duration(i) * 110 * time.Millisecond)
					took := f.runUntilApplied(b, f.platform.publish(content{Keys: []string{fmt.Sprint(changes)}}), 9*time.Second)
					worst = max(worst, took)
					sum += took
					changes++
				}
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
			b.ReportMetric(sum.Seconds()/float64(changes), "mean-s")
			b.ReportMetric(float64(f.platform.calls-calls)/float64(changes), "calls/change")
			b.ReportMetric(float64(f.messages-msgs)/float64(changes)/float64(n), "msgs/change/daemon")
		})
	}
}

// BenchmarkIdle measures the calls and messages of a fleet without changes.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{25, 1000} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			f := newSettledFleet(b, n, 9)
			calls, msgs, from := f.platform.calls, f.messages, f.now
			for b.Loop() {
				f.run(60 * time.Second)
			}
			seconds := (f.now - from).Seconds()
			b.ReportMetric(float64(f.platform.calls-calls)/seconds, "calls/s")
			b.ReportMetric(float64(f.messages-msgs)/seconds/float64(n), "msgs/s/daemon")
		})
	}
}

// BenchmarkSampledFleet measures, in simulated time, the readers of a fleet with
// sampled membership: their number, and their calls at rest and per change.
func BenchmarkSampledFleet(b *testing.B) {
	const seconds, changes = 120, 5
	for range b.N {
		f := newFleet(1000, 9, crconfig.DefaultParams())
		f.sampled = true
		rev := f.platform.publish(content{})
		f.start(f.names...)
		b.ReportMetric(f.runUntilApplied(b, rev, 90*time.Second).Seconds(), "start-s")
		f.run(30 * time.Second)
		calls, readers := f.platform.calls, 0
		for range seconds {
			f.run(time.Second)
			readers += len(f.readers())
		}
		b.ReportMetric(float64(readers)/seconds, "readers")
		b.ReportMetric(float64(f.platform.calls-calls)/seconds, "idle-calls/s")
		calls = f.platform.calls
		var worst time.Duration
		for i := range changes {
			worst = max(worst, f.runUntilApplied(b, f.platform.publish(content{Keys: []string{fmt.Sprint(i)}}), 9*time.Second))
			f.run(time.Second)
		}
		b.ReportMetric(float64(f.platform.calls-calls)/changes, "calls/change")
		b.ReportMetric(worst.Seconds(), "worst-s")
	}
}

// BenchmarkStartup measures a simultaneous start with known peers, with the
// default limits and with those of a small fleet.
func BenchmarkStartup(b *testing.B) {
	for _, c := range []struct {
		n      int
		params crconfig.Params
	}{
		{25, smallFleetParams()},
		{25, crconfig.DefaultParams()},
		{300, crconfig.DefaultParams()},
		{1000, crconfig.DefaultParams()},
	} {
		b.Run(fmt.Sprintf("daemons=%d/fleet=%d", c.n, c.params.FleetSize), func(b *testing.B) {
			var took time.Duration
			var f *fleet
			for b.Loop() {
				f = newFleet(c.n, 9, c.params)
				rev := f.platform.publish(content{})
				f.start(f.names...)
				took = f.runUntilApplied(b, rev, 60*time.Second)
			}
			peak := 0
			for _, calls := range f.platform.callsPerSecond {
				peak = max(peak, calls)
			}
			b.ReportMetric(took.Seconds(), "all-s")
			b.ReportMetric(float64(f.platform.calls), "calls")
			b.ReportMetric(float64(peak), "peak-calls/s")
		})
	}
}
