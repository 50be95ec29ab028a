package crforward

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// BenchmarkLedger measures a forward from Register to Finish, with a ledger
// that is full of ended ones.
func BenchmarkLedger(b *testing.B) {
	const rate = 800 // a second, the highest rate that the defaults are for
	l := NewLedger(DefaultLedgerParams(), 1, 0, nil)
	now := crid.Instant(0)
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(time.Second / rate)
		runForward(b, l, benchID(id), now)
	}
}

// BenchmarkBytesPerForward measures the memory of the record of a forward.
func BenchmarkBytesPerForward(b *testing.B) {
	const forwards = 60_000
	var bytes float64
	for b.Loop() {
		before := heapInUse()
		l := NewLedger(DefaultLedgerParams(), 1, 0, nil)
		for id := range uint64(forwards) {
			runForward(b, l, benchID(id), crid.Instant(id))
		}
		bytes = (heapInUse() - before) / forwards
		runtime.KeepAlive(l)
	}
	b.ReportMetric(bytes, "B/forward")
}

func runForward(b *testing.B, l *Ledger, id crid.Request, now crid.Instant) {
	if err := l.Register(id, crpolicy.ClassOnce, now, now.Add(time.Second)); err != nil {
		b.Fatal(err)
	}
	if err := l.Start(id, now); err != nil {
		b.Fatal(err)
	}
	l.Finish(id, now)
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func benchID(n uint64) crid.Request {
	var id crid.Request
	binary.BigEndian.PutUint64(id[:], n)
	return id
}
