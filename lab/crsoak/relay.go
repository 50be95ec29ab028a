package crsoak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode is how a relay treats the data that it forwards.
type LinkMode uint8

// The modes of a relay.
const (
	Pass      LinkMode = iota // forwards without delay
	Delay                     // delays each write by linkDelay
	Reset                     // resets open and new connections
	Stall                     // keeps connections open and forwards nothing
	OneWay                    // forwards data to the target and drops data from it
	linkModes = int(OneWay) + 1
)

// String returns the name of the mode; "silent" is Stall.
func (m LinkMode) String() string {
	return [linkModes]string{"pass", "delay", "reset", "silent", "one way"}[m]
}

// linkDelay is the delay of each write in mode Delay. It is far above the latency
// between domains, a few milliseconds, and below the timeout of an offer.
const linkDelay = 60 * time.Millisecond

// relay forwards TCP connections to one address and injects faults into them.
type relay struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     LinkMode
	conns    map[net.Conn]bool
	done     sync.WaitGroup
}

func newRelay(ctx context.Context, at, target string) (*relay, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp4", at)
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, listener: l, conns: make(map[net.Conn]bool)}
	r.done.Add(1)
	go r.accept(ctx)
	return r, nil
}

// setMode changes the mode. Mode Reset also resets the open connections.
func (r *relay) setMode(mode LinkMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	if mode != Reset {
		return
	}
	for c := range r.conns {
		reset(c)
	}
}

func (r *relay) currentMode() LinkMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (r *relay) accept(ctx context.Context) {
	defer r.done.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.currentMode() == Reset {
			reset(c)
			continue
		}
		r.done.Add(1)
		go r.proxy(ctx, c)
	}
}

// proxy dials the target and copies data in both directions until both have ended.
func (r *relay) proxy(ctx context.Context, c net.Conn) {
	defer r.done.Done()
	r.track(c)
	defer r.release(c)
	d, err := new(net.Dialer).DialContext(ctx, "tcp4", r.target)
	if err != nil {
		reset(c)
		return
	}
	r.track(d)
	defer r.release(d)
	var wg sync.WaitGroup
	wg.Add(2)
	go r.copy(&wg, d, c, false)
	go r.copy(&wg, c, d, true)
	wg.Wait()
}

// copy forwards data in one direction. fromTarget is true for the direction from the
// dialled target.
func (r *relay) copy(wg *sync.WaitGroup, to, from net.Conn, fromTarget bool) {
	defer wg.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.forward(to, buf[:n], fromTarget) {
			return
		}
		if err != nil {
			r.propagateClose(to, err)
			return
		}
	}
}

// forward writes data as the mode allows and reports whether copy continues. A
// connection whose data was dropped is reset when the mode changes: TCP would retransmit
// lost bytes, so a stream must not continue after a gap.
func (r *relay) forward(to net.Conn, piece []byte, fromTarget bool) bool {
	dropped := false
	for {
		switch mode := r.currentMode(); {
		case mode == Stall || (mode == OneWay && fromTarget):
			dropped = true
			if !r.tracked(to) {
				return false
			}
			time.Sleep(linkDelay)
			continue
		case mode == Delay:
			time.Sleep(linkDelay)
		}
		break
	}
	if dropped {
		reset(to)
		return false
	}
	_, err := to.Write(piece)
	return err == nil
}

// propagateClose forwards the end of a stream: EOF as a half close, any other error as
// a reset.
func (r *relay) propagateClose(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && err == io.EOF { //nolint:errorlint // Read returns it bare
		_ = tcp.CloseWrite() // the connection may be closed already
		return
	}
	reset(to)
}

func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) tracked(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[c]
}

func (r *relay) release(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close() // both directions have ended
}

// close closes the listener and resets all connections.
func (r *relay) close() {
	_ = r.listener.Close() // ends accept
	r.mu.Lock()
	r.mode = Pass
	for c := range r.conns {
		reset(c)
		delete(r.conns, c)
	}
	r.mu.Unlock()
	r.done.Wait()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset
	}
	_ = c.Close() // it may be closed already
}
