package crpeer

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/io/crcert"
	"camphorroad/io/crwire"
)

type discardHandler struct{}

func (discardHandler) HandleMessage(crid.Daemon, crevent.Message) {}

func (discardHandler) AcceptSession(context.Context, crid.Daemon) func(context.Context, *quic.Stream) {
	return func(context.Context, *quic.Stream) {}
}

// mtuDiscoveryTime is how long path MTU discovery of a session takes. Its large probes
// would distort the counts of bytes.
const mtuDiscoveryTime = 5 * time.Second

// newStar returns one transport and the names of n peers whose addresses it has. All of
// them run in this process.
func newStar(b *testing.B, n int) (*Transport, []crid.Daemon) {
	b.Helper()
	names := []string{"hub"}
	for i := range n {
		names = append(names, fmt.Sprintf("peer-%03d", i))
	}
	dir := b.TempDir()
	if err := crcert.Issue(dir, names...); err != nil {
		b.Fatal(err)
	}
	var all []*Transport
	addrs := make(map[crid.Daemon]string)
	for _, name := range names {
		t := listenAs(b, dir, name)
		all = append(all, t)
		addrs[crid.Daemon(name)] = t.Addr()
	}
	all[0].SetAddrs(addrs)
	var peers []crid.Daemon
	for _, name := range names[1:] {
		peers = append(peers, crid.Daemon(name))
	}
	return all[0], peers
}

func dialAll(b *testing.B, hub *Transport, peers []crid.Daemon) []*Session {
	b.Helper()
	var sessions []*Session
	for _, peer := range peers {
		s, err := hub.Session(context.Background(), peer)
		if err != nil {
			b.Fatal(err)
		}
		sessions = append(sessions, s)
	}
	return sessions
}

func listenAs(b *testing.B, dir, name string) *Transport {
	b.Helper()
	id, err := LoadIdentity(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "ca.pem"))
	if err != nil {
		b.Fatal(err)
	}
	reg, err := crwire.NewRegistry(crmember.Messages())
	if err != nil {
		b.Fatal(err)
	}
	t, err := Listen(context.Background(), Options{Addr: "127.0.0.1:0", Identity: id, Registry: reg, Handler: discardHandler{}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = t.Close() })
	return t
}

// BenchmarkIdleSession measures an idle session: its memory, and the processor time
// and bytes for opening it and keeping it open, for both ends together.
func BenchmarkIdleSession(b *testing.B) {
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) { benchIdle(b, n) })
	}
}

func benchIdle(b *testing.B, n int) {
	const interval = 6 * time.Second
	hub, peers := newStar(b, n)
	memBefore := memoryInUse()
	cpuBefore := processorTime(b)
	sessions := dialAll(b, hub, peers)
	dialCPU := processorTime(b) - cpuBefore
	time.Sleep(mtuDiscoveryTime)
	memAfter := memoryInUse()
	cpu, bytes := processorTime(b), wireBytes(sessions)
	for b.Loop() {
		time.Sleep(interval)
	}
	seconds := interval.Seconds() * float64(b.N) * float64(n)
	b.ReportMetric(float64(memAfter-memBefore)/float64(n), "B/session")
	b.ReportMetric(float64(dialCPU.Microseconds())/float64(n), "cpu-us/dial")
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/seconds, "cpu-us/s/session")
	b.ReportMetric(float64(wireBytes(sessions)-bytes)/seconds, "wire-B/s/session")
}

// BenchmarkHeartbeat measures a control message of the size of a heartbeat from the
// outbox to the peer's handler, for both ends together. Its packets are counted
// without the 28 bytes of UDP and IP headers.
func BenchmarkHeartbeat(b *testing.B) {
	hub, peers := newStar(b, 20)
	sessions := dialAll(b, hub, peers)
	heartbeat := crmember.Heartbeat{Seq: 1 << 24, Incarnation: 1 << 62, Newest: 1 << 24, LastActive: 1 << 24, ConfigRevision: 1 << 24, Echo: crmember.Echo{Incarnation: 1 << 62, Seq: 1 << 24}}
	round := func() {
		for _, peer := range peers {
			_ = hub.Send(peer, heartbeat)
		}
		time.Sleep(crmember.DefaultParams().Interval)
	}
	for start := time.Now(); time.Since(start) < mtuDiscoveryTime; {
		round()
	}
	cpu, bytes, packets := processorTime(b), wireBytes(sessions), wirePackets(sessions)
	payload, _ := hub.Traffic()
	for b.Loop() {
		round()
	}
	heartbeats := b.N * len(peers)
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/float64(heartbeats), "cpu-us/heartbeat")
	b.ReportMetric(float64(wireBytes(sessions)-bytes)/float64(heartbeats), "wire-B/heartbeat")
	b.ReportMetric(float64(wirePackets(sessions)-packets)/float64(heartbeats), "packets/heartbeat")
	sent, _ := hub.Traffic()
	b.ReportMetric(float64(sent-payload)/float64(heartbeats), "payload-B/heartbeat")
}

func wireBytes(sessions []*Session) (total uint64) {
	for _, s := range sessions {
		stats := s.conn.ConnectionStats()
		total += stats.BytesSent + stats.BytesReceived
	}
	return total
}

func wirePackets(sessions []*Session) (total uint64) {
	for _, s := range sessions {
		stats := s.conn.ConnectionStats()
		total += stats.PacketsSent + stats.PacketsReceived
	}
	return total
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
