package crfleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Links relays the daemons' datagrams, so that each direction between two daemons
// can be cut separately. The instance list gives the address of a daemon's relay. A
// sender is identified by the source address of its datagrams.
type Links struct {
	ctx   context.Context
	delay time.Duration // added to each datagram

	mu    sync.Mutex
	names map[string]string  // daemon names by UDP address
	all   map[string]*relay  // by daemon name
	cuts  map[[2]string]bool // by sender and receiver
}

// relay forwards the datagrams to and from one daemon.
type relay struct {
	links  *Links
	name   string
	front  net.PacketConn // at the address that the instance list gives for the daemon
	target net.Addr       // the address on which the daemon listens

	mu    sync.Mutex
	flows map[string]*flow // by the sender's address
}

// flow holds the socket through which the datagrams of one sender reach the daemon.
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
	r := &relay{links: l, name: name, front: front, target: addr, flows: make(map[string]*flow)}
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

// Cut drops all datagrams that one daemon sends to the other, until Heal.
func (l *Links) Cut(from, to string) { l.setCut(from, to, true) }

// Heal ends the cut of a direction.
func (l *Links) Heal(from, to string) { l.setCut(from, to, false) }

// CutBoth cuts both directions between two daemons.
func (l *Links) CutBoth(a, b string) {
	l.Cut(a, b)
	l.Cut(b, a)
}

// HealAll ends all cuts.
func (l *Links) HealAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cuts)
}

func (l *Links) setCut(from, to string, cut bool) {
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
	maxDatagramSize = 64 << 10
	// delayQueueLen is the maximum number of datagrams that wait in a delayed direction.
	// More are dropped, as by a switch with a full buffer.
	delayQueueLen = 1 << 14
)

func (r *relay) forward() {
	buf := make([]byte, maxDatagramSize)
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
	if fl, ok := r.flows[from.String()]; ok {
		return fl, nil
	}
	conn, err := r.links.listen()
	if err != nil {
		return nil, err
	}
	fl := &flow{conn: conn, sender: r.links.nameOf(from)}
	r.flows[from.String()] = fl
	go r.forwardReplies(fl, from)
	return fl, nil
}

func (r *relay) forwardReplies(fl *flow, to net.Addr) {
	buf := make([]byte, maxDatagramSize)
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

// sender returns a function that sends datagrams in order, each after the delay.
func (l *Links) sender(conn net.PacketConn, to net.Addr) func([]byte) {
	if l.delay == 0 {
		return func(b []byte) { _, _ = conn.WriteTo(b, to) }
	}
	type delayedDatagram struct {
		at time.Time
		b  []byte
	}
	queue := make(chan delayedDatagram, delayQueueLen)
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
		case queue <- delayedDatagram{at: time.Now().Add(l.delay), b: append([]byte(nil), b...)}:
		default:
		}
	}
}
