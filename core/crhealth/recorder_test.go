package crhealth

import (
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"camphorroad/core/crid"
)

// Traffic goroutines record while the control goroutine drains. An attempt that is
// lost or counted twice would distort the evidence.
func TestConcurrentAttemptsAreCountedOnce(t *testing.T) {
	r := NewRecorder()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for range 5000 {
				r.Record("t1", ResultOK, time.Duration(i)*time.Millisecond, "a")
				r.Record("t1", ResultWrong, 0, "b")
				r.Record("t1", ResultShed, 0, "b")
				r.Begin("t1", "b", 0).End()
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	var sum counts
	inconsistent := false
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		for _, s := range r.Drain(0) {
			for _, g := range s.Groups {
				t := tally{n: g.N, bad: g.Bad, wrong: g.Wrong}
				if t.bad > t.n || t.wrong > t.bad {
					inconsistent = true
				}
				sum.groups[g.Index].add(t)
			}
		}
	}
	g := gomega.NewWithT(t)
	g.Expect(sum.total()).To(gomega.Equal(tally{n: 40_000, bad: 20_000, wrong: 20_000}))
	g.Expect(inconsistent).To(gomega.BeFalse(), "a drain read a bad attempt without its attempt")
	r.Record("t1", ResultOK, 0, "a") // the drains may have removed the counters as idle
	g.Expect(r.counters).To(gomega.HaveLen(1))
	g.Expect(r.counters["t1"].pending.attempts).To(gomega.BeEmpty())
}

// If the counters of an idle target were removed while its next attempt is sent, a
// stall of that attempt would not be reported.
func TestPendingAttemptKeepsIdleTargetsCounters(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRecorder()
	r.Record("t1", ResultOK, 0, "a")
	pending := r.Begin("t1", "a", 0)
	for range maxIdleDrains + 2 {
		r.Drain(0)
	}
	g.Expect(r.Drain(crid.Instant(time.Second))).To(gomega.HaveLen(1))
	pending.End()
	for range maxIdleDrains + 2 {
		r.Drain(0)
	}
	g.Expect(r.counters).To(gomega.BeEmpty())
}

// BenchmarkDigestSize reports the encoded bytes per target of a digest.
func BenchmarkDigestSize(b *testing.B) {
	w := newWorld(DefaultParams(), 1, 15, 15, 10)
	w.run(time.Second)
	n := w.nodes["d00"]
	for range 100 {
		w.traffic(n)
	}
	d := Digest{Service: booking, Incarnation: 1 << 60, Seq: 1 << 20}
	var encoded []byte
	for b.Loop() {
		d.Samples = append([]Sample{{Target: "booking-07"}}, n.recorder.Drain(0)...)
		encoded, _ = cbor.Marshal(d)
		w.traffic(n)
	}
	b.ReportMetric(float64(len(encoded))/float64(len(d.Samples)), "bytes/target")
	var decoded Digest
	if err := cbor.Unmarshal(encoded, &decoded); err != nil || decoded.Service != crid.Service("booking") {
		b.Fatal(err)
	}
}
