package crmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

func manyNames(n int) []crid.Daemon {
	var names []crid.Daemon
	for i := range n {
		names = append(names, crid.Daemon(fmt.Sprintf("instance-%05d", i)))
	}
	return names
}

// BenchmarkRound measures one beat sent to and one received from each peer, at
// a daemon that has standing, and the encoded size of the beat.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{15, 25, 31, 1000, 5500} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) { benchRound(b, n) })
	}
}

func benchRound(b *testing.B, n int) {
	w := newWorld(0, 1)
	names := manyNames(n)
	list := roll(1_000_000, names...)
	self := Voters(list, 0, w.params.MaxVoters)[0]
	node := w.start(self)
	w.read(self, list)
	s := node.state
	s.fresh = false
	s.raiseFloor(list.Revision())
	seqs := uint64(0)
	beats, size := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		w.now += w.params.Interval + w.params.Interval/5
		w.packets = nil
		for _, effect := range s.Step(crevent.Tick{Now: node.clock(w.now)}) {
			send, ok := effect.(crevent.Send)
			if !ok {
				continue
			}
			seqs++
			beat := send.Msg.(Beat)
			beat.Echo = Echo{Inc: s.inc, Seq: s.seq}
			beat.Inc = 1 << 62
			beat.Seq = seqs
			beat.Reply = true
			at := node.clock(w.now + 3*time.Millisecond)
			s.Step(crevent.Received{Now: at, From: send.To, Msg: beat})
			beats++
			if size == 0 {
				size = encodedSize(b, beat)
			}
		}
	}
	b.ReportMetric(float64(size), "B/beat")
	b.ReportMetric(float64(beats)/float64(b.N), "beats/round")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(beats), "ns/beat")
	if s.tenure.Until == 0 {
		b.Fatal("the daemon measured has no standing")
	}
}

func encodedSize(b *testing.B, beat Beat) int {
	beat.Inc = 1<<63 + 1
	beat.Echo.Inc = 1<<63 + 1
	beat.Seq = 1 << 24
	beat.Echo.Seq = 1 << 24
	beat.Conf = 1 << 24
	data, err := cbor.Marshal(beat)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
