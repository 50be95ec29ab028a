package e2e_test

import (
	"net"
	"sync"

	. "github.com/onsi/gomega"
)

// relays carry the daemons' datagrams, so that any direction between two of
// them can be cut alone. The list of instances names a daemon's relay as its
// address; a sender is known by the address that its datagrams come from.
type relays struct {
	mu    sync.Mutex
	names map[string]string // a daemon's own UDP address to its name
	all   map[string]*relay
	cuts  map[[2]string]bool
}

type relay struct {
	owner  *relays
	name   string
	front  net.PacketConn
	target net.Addr

	mu   sync.Mutex
	back map[string]net.PacketConn // by the sender's address
}

func newRelays() *relays {
	return &relays{names: make(map[string]string), all: make(map[string]*relay), cuts: make(map[[2]string]bool)}
}

func (r *relays) add(name, target string) {
	front, err := net.ListenPacket("udp", "127.0.0.1:0") //nolint:noctx // a test's relay
	Expect(err).NotTo(HaveOccurred())
	addr, err := net.ResolveUDPAddr("udp", target)
	Expect(err).NotTo(HaveOccurred())
	rl := &relay{owner: r, name: name, front: front, target: addr, back: make(map[string]net.PacketConn)}
	r.mu.Lock()
	r.names[target] = name
	r.all[name] = rl
	r.mu.Unlock()
	go rl.forward()
}

func (r *relays) addr(name string) string { return r.all[name].front.LocalAddr().String() }

// cut drops everything that from sends to to; heal lets it through again.
func (r *relays) cut(from, to string) { r.set(from, to, true) }

func (r *relays) heal(from, to string) { r.set(from, to, false) }

func (r *relays) set(from, to string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[[2]string{from, to}] = cut
}

func (r *relays) isCut(from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[[2]string{from, to}]
}

func (r *relays) nameOf(addr net.Addr) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names[addr.String()]
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rl := range r.all {
		rl.close()
	}
}

func (rl *relay) close() {
	_ = rl.front.Close()
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, b := range rl.back {
		_ = b.Close()
	}
}

const datagram = 64 << 10

func (rl *relay) forward() {
	buf := make([]byte, datagram)
	for {
		n, from, err := rl.front.ReadFrom(buf)
		if err != nil {
			return
		}
		back, err := rl.backFor(from)
		if err != nil {
			return
		}
		if !rl.owner.isCut(rl.owner.nameOf(from), rl.name) {
			_, _ = back.WriteTo(buf[:n], rl.target)
		}
	}
}

// backFor is the socket that stands for a sender towards the target.
func (rl *relay) backFor(from net.Addr) (net.PacketConn, error) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if b, ok := rl.back[from.String()]; ok {
		return b, nil
	}
	b, err := net.ListenPacket("udp", "127.0.0.1:0") //nolint:noctx // a test's relay
	if err != nil {
		return nil, err
	}
	rl.back[from.String()] = b
	go rl.answer(b, from)
	return b, nil
}

func (rl *relay) answer(b net.PacketConn, to net.Addr) {
	buf := make([]byte, datagram)
	for {
		n, _, err := b.ReadFrom(buf)
		if err != nil {
			return
		}
		if !rl.owner.isCut(rl.name, rl.owner.nameOf(to)) {
			_, _ = rl.front.WriteTo(buf[:n], to)
		}
	}
}
