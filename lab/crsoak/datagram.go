package crsoak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"camphorroad/lab/crstage"
)

// pair is a way between two machines, by their numbers.
type pair struct{ from, to int }

// datagrams carries the messages between daemons. Each daemon sends to the known
// address of a peer, and is seen by it under its own known address.
type datagrams struct {
	plan  addresses
	conns []*net.UDPConn // at the machines' known addresses
	mu    sync.Mutex
	cuts  map[pair]bool
	loss  float64
	done  sync.WaitGroup
}

func newDatagrams(ctx context.Context, plan addresses, n int) (*datagrams, error) {
	d := &datagrams{plan: plan, cuts: make(map[pair]bool)}
	for i := range n {
		addr := netip.MustParseAddrPort(plan.known(i, crstage.PortPeer))
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

// forward passes on what comes for a machine.
func (d *datagrams) forward(ctx context.Context, to int) {
	defer d.done.Done()
	buf := make([]byte, 2048)
	real := netip.MustParseAddrPort(d.plan.real(to, crstage.PortPeer))
	for ctx.Err() == nil {
		n, from, err := d.conns[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || isClosed(err) {
				return
			}
			continue // a dead daemon's port answers with an error
		}
		sender, ok := d.plan.machineOf(from.Addr())
		if !ok || !d.passes(pair{sender, to}) {
			continue
		}
		_, _ = d.conns[sender].WriteToUDPAddrPort(buf[:n], real) // a datagram may be lost
	}
}

func (d *datagrams) passes(p pair) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.cuts[p] && (d.loss == 0 || rand.Float64() >= d.loss)
}

func (d *datagrams) cut(p pair, is bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if is {
		d.cuts[p] = true
		return
	}
	delete(d.cuts, p)
}

func (d *datagrams) lose(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loss = share
}

func (d *datagrams) close() {
	for _, c := range d.conns {
		_ = c.Close() // ends its reader
	}
	d.done.Wait()
}
