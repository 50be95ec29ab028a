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

type nowhere struct{}

func (nowhere) Message(crid.Daemon, crevent.Message) {}

func (nowhere) Open(context.Context, crid.Daemon) func(context.Context, *quic.Stream) {
	return func(context.Context, *quic.Stream) {}
}

// settled is how long a session takes to have found its path's packet size; its
// probes are large.
const settled = 5 * time.Second

// star is one transport and n others that it knows, all in this process.
func star(b *testing.B, n int) (*Transport, []crid.Daemon) {
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
	t, err := Listen(context.Background(), Options{Addr: "127.0.0.1:0", Identity: id, Registry: reg, Handler: nowhere{}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = t.Close() })
	return t
}

// BenchmarkIdleSession measures a session that carries nothing: its memory, and
// the processor time and bytes of opening it and of keeping it open, both ends
// together.
func BenchmarkIdleSession(b *testing.B) {
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) { benchIdle(b, n) })
	}
}

func benchIdle(b *testing.B, n int) {
	const watched = 6 * time.Second
	hub, peers := star(b, n)
	without := inUse()
	dialling := processorTime(b)
	sessions := dialAll(b, hub, peers)
	dialled := processorTime(b) - dialling
	time.Sleep(settled)
	with := inUse()
	cpu, bytes := processorTime(b), wireBytes(sessions)
	for b.Loop() {
		time.Sleep(watched)
	}
	seconds := watched.Seconds() * float64(b.N) * float64(n)
	b.ReportMetric(float64(with-without)/float64(n), "B/session")
	b.ReportMetric(float64(dialled.Microseconds())/float64(n), "cpu-us/dial")
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/seconds, "cpu-us/s/session")
	b.ReportMetric(float64(wireBytes(sessions)-bytes)/seconds, "wire-B/s/session")
}

// BenchmarkBeat measures a control message of a beat's size from the outbox to
// the peer's handler, both ends together, and its packets as the network sees
// them without the 28 bytes of UDP and IP.
func BenchmarkBeat(b *testing.B) {
	hub, peers := star(b, 20)
	sessions := dialAll(b, hub, peers)
	beat := crmember.Heartbeat{Seq: 1 << 24, Incarnation: 1 << 62, Newest: 1 << 24, LastActive: 1 << 24, ConfigRevision: 1 << 24, Echo: crmember.Echo{Incarnation: 1 << 62, Seq: 1 << 24}}
	round := func() {
		for _, peer := range peers {
			_ = hub.Send(peer, beat)
		}
		time.Sleep(crmember.DefaultParams().Interval)
	}
	for start := time.Now(); time.Since(start) < settled; {
		round()
	}
	cpu, bytes, packets := processorTime(b), wireBytes(sessions), wirePackets(sessions)
	payload, _ := hub.Traffic()
	for b.Loop() {
		round()
	}
	beats := b.N * len(peers)
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/float64(beats), "cpu-us/beat")
	b.ReportMetric(float64(wireBytes(sessions)-bytes)/float64(beats), "wire-B/beat")
	b.ReportMetric(float64(wirePackets(sessions)-packets)/float64(beats), "packets/beat")
	sent, _ := hub.Traffic()
	b.ReportMetric(float64(sent-payload)/float64(beats), "payload-B/beat")
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

func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
