package crsoak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"camphorroad/lab/crstage"
)

// direction is an ordered pair of machine indexes.
type direction struct{ from, to int }

// datagramRelay forwards datagrams between the daemons. A daemon sends to the
// advertised address of a peer; the peer receives the datagram from the advertised
// address of the sender.
type datagramRelay struct {
	addrs    addressPlan
	conns    []*net.UDPConn // at the machines' advertised addresses
	mu       sync.Mutex
	blocked  map[direction]bool
	lossRate float64
	done     sync.WaitGroup
}

func newDatagramRelay(ctx context.Context, addrs addressPlan, n int) (*datagramRelay, error) {
	d := &datagramRelay{addrs: addrs, blocked: make(map[direction]bool)}
	for i := range n {
		addr := netip.MustParseAddrPort(addrs.advertisedAddr(i, crstage.PortPeer))
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			d.close()
			return nil, err
		}
		d.conns = append(d.conns, conn)
	}
	for i := range d.conns {
		d.done.Add(1)
		go d.forward(ctx, i)
	}
	return d, nil
}

// forward forwards the datagrams that are sent to a machine.
func (d *datagramRelay) forward(ctx context.Context, to int) {
	defer d.done.Done()
	buf := make([]byte, 2048)
	dest := netip.MustParseAddrPort(d.addrs.listenAddr(to, crstage.PortPeer))
	for ctx.Err() == nil {
		n, from, err := d.conns[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || isClosed(err) {
				return
			}
			continue // ICMP port unreachable from a daemon that is not running
		}
		sender, ok := d.addrs.machineOf(from.Addr())
		if !ok || !d.shouldForward(direction{sender, to}) {
			continue
		}
		_, _ = d.conns[sender].WriteToUDPAddrPort(buf[:n], dest) // datagrams may be lost
	}
}

func (d *datagramRelay) shouldForward(dir direction) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.blocked[dir] && (d.lossRate == 0 || rand.Float64() >= d.lossRate)
}

func (d *datagramRelay) setBlocked(dir direction, blocked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if blocked {
		d.blocked[dir] = true
		return
	}
	delete(d.blocked, dir)
}

func (d *datagramRelay) setLoss(rate float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lossRate = rate
}

func (d *datagramRelay) close() {
	for _, c := range d.conns {
		_ = c.Close() // ends its forward loop
	}
	d.done.Wait()
}
