package crfleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Links carry the daemons' datagrams, so that any direction between two of them
// can be cut alone. The list of instances names a daemon's relay as its
// address; a sender is known by the address that its datagrams come from.
type Links struct {
	ctx   context.Context
	delay time.Duration // of each datagram

	mu    sync.Mutex
	names map[string]string // a daemon's own UDP address to its name
	all   map[string]*relay
	cuts  map[[2]string]bool
}

// relay stands before one daemon.
type relay struct {
	links  *Links
	name   string
	front  net.PacketConn
	target net.Addr

	mu   sync.Mutex
	back map[string]*flow // by the sender's address
}

// flow stands for one sender towards the daemon.
type flow struct {
	conn   net.PacketConn
	sender string
}

func newLinks(ctx context.Context, delay time.Duration) *Links {
	return &Links{
		ctx: ctx, delay: delay,
		names: make(map[string]string), all: make(map[string]*relay), cuts: make(map[[2]string]bool),
	}
}

func (l *Links) listen() (net.PacketConn, error) {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(l.ctx, "udp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	context.AfterFunc(l.ctx, func() { _ = conn.Close() })
	return conn, nil
}

func (l *Links) add(name, target string) error {
	front, err := l.listen()
	if err != nil {
		return err
	}
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	r := &relay{links: l, name: name, front: front, target: addr, back: make(map[string]*flow)}
	l.mu.Lock()
	l.names[target] = name
	l.all[name] = r
	l.mu.Unlock()
	go r.forward()
	return nil
}

func (l *Links) addr(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[name].front.LocalAddr().String()
}

// Cut drops everything that from sends to to, until Heal.
func (l *Links) Cut(from, to string) { l.set(from, to, true) }

// Heal lets it through again.
func (l *Links) Heal(from, to string) { l.set(from, to, false) }

// CutBoth cuts both directions between two daemons.
func (l *Links) CutBoth(a, b string) {
	l.Cut(a, b)
	l.Cut(b, a)
}

// HealAll ends every cut.
func (l *Links) HealAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cuts)
}

func (l *Links) set(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[[2]string{from, to}] = cut
}

func (l *Links) isCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[[2]string{from, to}]
}

func (l *Links) nameOf(addr net.Addr) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.names[addr.String()]
}

const (
	datagram = 64 << 10
	// inAir is how many datagrams a delayed direction holds; more are lost, as
	// in a full buffer of a switch.
	inAir = 1 << 14
)

func (r *relay) forward() {
	buf := make([]byte, datagram)
	sends := make(map[*flow]func([]byte))
	for {
		n, from, err := r.front.ReadFrom(buf)
		if err != nil {
			return
		}
		fl, err := r.flowFor(from)
		if err != nil {
			return
		}
		if sends[fl] == nil {
			sends[fl] = r.links.sender(fl.conn, r.target)
		}
		if !r.links.isCut(fl.sender, r.name) {
			sends[fl](buf[:n])
		}
	}
}

func (r *relay) flowFor(from net.Addr) (*flow, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fl, ok := r.back[from.String()]; ok {
		return fl, nil
	}
	conn, err := r.links.listen()
	if err != nil {
		return nil, err
	}
	fl := &flow{conn: conn, sender: r.links.nameOf(from)}
	r.back[from.String()] = fl
	go r.answer(fl, from)
	return fl, nil
}

func (r *relay) answer(fl *flow, to net.Addr) {
	buf := make([]byte, datagram)
	send := r.links.sender(r.front, to)
	for {
		n, _, err := fl.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		if !r.links.isCut(r.name, fl.sender) {
			send(buf[:n])
		}
	}
}

// sender returns a function that sends in order, each datagram after the
// delay.
func (l *Links) sender(conn net.PacketConn, to net.Addr) func([]byte) {
	if l.delay == 0 {
		return func(b []byte) { _, _ = conn.WriteTo(b, to) }
	}
	type late struct {
		at time.Time
		b  []byte
	}
	queue := make(chan late, inAir)
	go func() {
		for {
			select {
			case next := <-queue:
				time.Sleep(time.Until(next.at))
				_, _ = conn.WriteTo(next.b, to)
			case <-l.ctx.Done():
				return
			}
		}
	}()
	return func(b []byte) {
		select {
		case queue <- late{at: time.Now().Add(l.delay), b: append([]byte(nil), b...)}:
		default:
		}
	}
}
