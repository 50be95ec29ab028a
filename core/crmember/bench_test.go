package crmember

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

func daemonNames(n int) []crid.Daemon {
	var names []crid.Daemon
	for i := range n {
		names = append(names, crid.Daemon(fmt.Sprintf("instance-%05d", i)))
	}
	return names
}

// BenchmarkRound measures one heartbeat sent to and one received from each peer, at
// a daemon that holds a lease, and the encoded size of the heartbeat.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{15, 25, 31, 1000, 5500} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) { benchRound(b, n) })
	}
}

// newVoter starts one of the voters of a list of n daemons, already recovered. It gets a
// lease once its heartbeats are answered.
func newVoter(n int) (*cluster, *node) {
	c := newCluster(0, 1)
	list := newList(1_000_000, daemonNames(n)...)
	self := Voters(list, 0, c.params.MaxVoters)[0]
	node := c.start(self)
	c.deliverList(self, list)
	node.state.recovering = false
	node.state.advanceActive(list.Revision())
	return c, node
}

// BenchmarkSecond measures a second of a daemon that sends heartbeats, each of which is
// answered, with ticks at the rate of the I/O layer. It also counts the PeersChanged
// notices, each of which costs its receivers time as well.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{25, 1000, 5500} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) { benchSecond(b, n) })
	}
}

func benchSecond(b *testing.B, n int) {
	c, node := newVoter(n)
	notices := 0
	b.ReportAllocs()
	for b.Loop() {
		notices += len(runSecond(c, node))
	}
	b.ReportMetric(float64(notices)/float64(b.N), "peers-told/s")
	if node.state.lease.Until == 0 {
		b.Fatal("the daemon has no lease")
	}
}

// runSecond runs a second in which each heartbeat is answered, and returns the
// PeersChanged notices.
func runSecond(c *cluster, node *node) (notices []PeersChanged) {
	const tick = 50 * time.Millisecond
	s := node.state
	for range time.Second / tick {
		c.now += tick
		for _, effect := range s.Step(crevent.Tick{Now: node.clock(c.now)}) {
			switch effect := effect.(type) {
			case PeersChanged:
				notices = append(notices, effect)
			case crevent.Send:
				notices = append(notices, deliverReply(s, effect, node.clock(c.now+3*time.Millisecond))...)
			}
		}
	}
	return notices
}

// deliverReply delivers the peer's reply to a heartbeat, and returns the PeersChanged
// notices.
func deliverReply(s *State, send crevent.Send, at crid.Instant) (notices []PeersChanged) {
	heartbeat := send.Msg.(Heartbeat)
	heartbeat.Echo = Echo{Incarnation: s.incarnation, Seq: s.seq}
	heartbeat.Incarnation = 1 << 62
	heartbeat.Reply = true
	for _, effect := range s.Step(crevent.Received{Now: at, From: send.To, Msg: heartbeat}) {
		if peers, ok := effect.(PeersChanged); ok {
			notices = append(notices, peers)
		}
	}
	return notices
}

// BenchmarkBytesPerPeer measures the memory of a peer, with the instance list but
// without targets.
func BenchmarkBytesPerPeer(b *testing.B) {
	const peers = 5500
	var bytes float64
	for b.Loop() {
		before := heapInUse()
		c, node := newVoter(peers)
		for range 2 {
			runSecond(c, node)
		}
		c.packets = nil
		bytes = (heapInUse() - before) / peers
		runtime.KeepAlive(c)
	}
	b.ReportMetric(bytes, "B/peer")
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func benchRound(b *testing.B, n int) {
	c, node := newVoter(n)
	s := node.state
	seqs := uint64(0)
	heartbeats, size := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		c.now += c.params.Interval + c.params.Interval/5
		c.packets = nil
		for _, effect := range s.Step(crevent.Tick{Now: node.clock(c.now)}) {
			send, ok := effect.(crevent.Send)
			if !ok {
				continue
			}
			seqs++
			heartbeat := send.Msg.(Heartbeat)
			heartbeat.Echo = Echo{Incarnation: s.incarnation, Seq: s.seq}
			heartbeat.Incarnation = 1 << 62
			heartbeat.Seq = seqs
			heartbeat.Reply = true
			at := node.clock(c.now + 3*time.Millisecond)
			s.Step(crevent.Received{Now: at, From: send.To, Msg: heartbeat})
			heartbeats++
			if size == 0 {
				size = encodedSize(b, heartbeat)
			}
		}
	}
	b.ReportMetric(float64(size), "B/beat")
	b.ReportMetric(float64(heartbeats)/float64(b.N), "beats/round")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(heartbeats), "ns/beat")
	if s.lease.Until == 0 {
		b.Fatal("the daemon has no lease")
	}
}

func encodedSize(b *testing.B, heartbeat Heartbeat) int {
	heartbeat.Incarnation = 1<<63 + 1
	heartbeat.Echo.Incarnation = 1<<63 + 1
	heartbeat.Seq = 1 << 24
	heartbeat.Echo.Seq = 1 << 24
	heartbeat.ConfigRevision = 1 << 24
	data, err := cbor.Marshal(heartbeat)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
