package crsoak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Link is how a relay treats what passes.
type Link uint8

// The ways.
const (
	Pass   Link = iota // at once
	Delay              // each piece later
	Reset              // connections are reset, and new ones too
	Silent             // connections stay open and carry nothing
	OneWay             // what the dialled side sends is lost
	links  = int(OneWay) + 1
)

// String returns the way's name.
func (l Link) String() string { return [links]string{"pass", "delay", "reset", "silent", "one way"}[l] }

// linkDelay is how much later a piece comes on a delayed link: far more than the
// milliseconds between domains, and less than the timeout of an offer.
const linkDelay = 60 * time.Millisecond

// relay carries connections to one address, and harms them.
type relay struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	link     Link
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

// set changes the way; connections that a reset meets are gone.
func (r *relay) set(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = l
	if l != Reset {
		return
	}
	for c := range r.conns {
		cut(c)
	}
}

func (r *relay) now() Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link
}

func (r *relay) accept(ctx context.Context) {
	defer r.done.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.now() == Reset {
			cut(c)
			continue
		}
		r.done.Add(1)
		go r.carry(ctx, c)
	}
}

// carry dials as soon as the link is not silent, and copies both ways.
func (r *relay) carry(ctx context.Context, c net.Conn) {
	defer r.done.Done()
	r.hold(c)
	defer r.drop(c)
	d, err := new(net.Dialer).DialContext(ctx, "tcp4", r.target)
	if err != nil {
		cut(c)
		return
	}
	r.hold(d)
	defer r.drop(d)
	var both sync.WaitGroup
	both.Add(2)
	go r.copy(&both, d, c, false)
	go r.copy(&both, c, d, true)
	both.Wait()
}

// copy passes pieces on; back says that they come from the dialled side.
func (r *relay) copy(both *sync.WaitGroup, to, from net.Conn, back bool) {
	defer both.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.pass(to, buf[:n], back) {
			return
		}
		if err != nil {
			r.end(to, err)
			return
		}
	}
}

// pass writes a piece as the link allows; it reports whether the copy goes on.
// Bytes lost on the way would be sent again by TCP: a connection that lost any
// carries nothing more.
func (r *relay) pass(to net.Conn, piece []byte, back bool) bool {
	lost := false
	for {
		switch l := r.now(); {
		case l == Silent || (l == OneWay && back):
			lost = true
			if !r.held(to) {
				return false
			}
			time.Sleep(linkDelay)
			continue
		case l == Delay:
			time.Sleep(linkDelay)
		}
		break
	}
	if lost {
		cut(to)
		return false
	}
	_, err := to.Write(piece)
	return err == nil
}

// end passes an end on: a half close as such, and anything else as a reset.
func (r *relay) end(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && err == io.EOF { //nolint:errorlint // Read returns it bare
		_ = tcp.CloseWrite() // the other side may be gone already
		return
	}
	cut(to)
}

func (r *relay) hold(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) held(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[c]
}

func (r *relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close() // both ways have ended
}

// close ends the relay and all its connections.
func (r *relay) close() {
	_ = r.listener.Close() // nothing is accepted any more
	r.mu.Lock()
	r.link = Pass
	for c := range r.conns {
		cut(c)
		delete(r.conns, c)
	}
	r.mu.Unlock()
	r.done.Wait()
}

// cut resets a connection.
func cut(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // so that closing resets
	}
	_ = c.Close() // it may be closed already
}
