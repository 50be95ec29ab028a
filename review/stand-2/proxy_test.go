package stand2

import (
	"io"
	"net"
	"sync"
)

// proxy passes on the connections of one machine to the store. While it is cut, it resets the open
// connections and accepts none.
type proxy struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newProxy(address, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: l, conns: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(c net.Conn) {
	if !p.add(c) {
		reset(c)
		return
	}
	defer p.remove(c)
	up, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	if !p.add(up) {
		reset(up)
		return
	}
	defer p.remove(up)
	go func() {
		_, _ = io.Copy(up, c)
		_ = up.Close()
	}()
	_, _ = io.Copy(c, up)
}

func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// setCut cuts the machine off from the store, or connects it again.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setCut(true)
}
