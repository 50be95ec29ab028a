package crpeer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/io/crwire"
)

// Session is one QUIC connection that this daemon dialled.
type Session struct {
	peer crid.Daemon
	addr string
	conn *quic.Conn

	mu      sync.Mutex
	open    int // streams that their users have not done with
	used    time.Time
	retired bool
}

// Peer is the daemon at the other end.
func (s *Session) Peer() crid.Daemon { return s.peer }

// Stats returns what the connection sent, received and lost so far.
func (s *Session) Stats() quic.ConnectionStats { return s.conn.ConnectionStats() }

// Context ends with the session.
func (s *Session) Context() context.Context { return s.conn.Context() }

// Open opens a stream; Done must be called once it is no longer used. After an
// error nothing was sent. At the bound of streams it is refused rather than kept
// waiting: the caller has a deadline, and another target may have room.
func (s *Session) Open() (*quic.Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, err := s.conn.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, s.peer, err)
	}
	s.open++
	s.used = time.Now()
	return stream, nil
}

// Done tells that a stream is no longer used. The last one closes a retired
// session.
func (s *Session) Done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.used = time.Now()
	s.closeRetired()
}

func (s *Session) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	s.closeRetired()
}

func (s *Session) closeRetired() {
	if s.retired && s.open <= 0 {
		_ = s.conn.CloseWithError(0, "retired")
	}
}

func (s *Session) alive() bool { return s.conn.Context().Err() == nil }

// Session returns the live session with a peer, dialling it where there is
// none. A peer whose dial has just failed is refused at once for a short while,
// so that requests are not held up one by one by a dead peer.
func (t *Transport) Session(ctx context.Context, peer crid.Daemon) (*Session, error) {
	addr, ok := t.addrOf(peer)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownPeer, peer)
	}
	if s, err := t.current(peer, addr); s != nil || err != nil {
		return s, err
	}
	ch := t.dials.DoChan(string(peer)+"\x00"+addr, func() (any, error) { return t.dial(peer, addr) })
	select {
	case res := <-ch:
		if res.Err != nil {
			return nil, res.Err
		}
		return res.Val.(*Session), nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: dial %s: %w", ErrUnreachable, peer, ctx.Err())
	}
}

// Retire lets a session end with its last stream; the next use of the peer dials
// a new one.
func (t *Transport) Retire(s *Session) {
	t.mu.Lock()
	if t.sessions[s.peer] == s {
		delete(t.sessions, s.peer)
	}
	t.mu.Unlock()
	s.retire()
}

func (t *Transport) current(peer crid.Daemon, addr string) (*Session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[peer]; s != nil && s.alive() && s.addr == addr {
		s.touch()
		return s, nil
	}
	if at, ok := t.failed[peer]; ok && time.Since(at) < redialAfter {
		return nil, fmt.Errorf("%w: %s failed moments ago", ErrUnreachable, peer)
	}
	return nil, nil
}

func (t *Transport) dial(peer crid.Daemon, addr string) (*Session, error) {
	if s, err := t.current(peer, addr); s != nil || err != nil {
		return s, err
	}
	conn, err := t.dialQUIC(peer, addr)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed[peer] = time.Now()
		return nil, fmt.Errorf("%w: dial %s: %w", ErrUnreachable, peer, err)
	}
	delete(t.failed, peer)
	if old := t.sessions[peer]; old != nil {
		_ = old.conn.CloseWithError(0, "replaced")
	}
	s := &Session{peer: peer, addr: addr, conn: conn, used: time.Now()}
	t.sessions[peer] = s
	return s, nil
}

func (t *Transport) dialQUIC(peer crid.Daemon, addr string) (*quic.Conn, error) {
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	return t.quic.Dial(ctx, a, t.opts.Identity.clientConfig(string(peer)), quicConfig())
}

// Send sends a control message, at most once and without a promise. It never
// waits: while a peer is being dialled, messages beyond a small bound are
// dropped, as their senders repeat what still matters.
func (t *Transport) Send(peer crid.Daemon, msg crevent.Message) error {
	b, err := t.opts.Registry.Encode(msg)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ch, ok := t.outboxes[peer]
	if !ok {
		ch = make(chan []byte, outboxLength)
		t.outboxes[peer] = ch
		t.wg.Add(1)
		go t.deliverOutbox(peer, ch)
	}
	select {
	case ch <- b:
		return nil
	default:
		return fmt.Errorf("%w: outbox to %s is full", ErrUnreachable, peer)
	}
}

// deliverOutbox ends once the peer has been sent nothing for a while, or the
// goroutines of all daemons ever replaced would add up.
func (t *Transport) deliverOutbox(peer crid.Daemon, ch chan []byte) {
	defer t.wg.Done()
	idle := time.NewTimer(outboxIdle)
	defer idle.Stop()
	for {
		select {
		case b := <-ch:
			t.sendNow(peer, b)
			idle.Reset(outboxIdle)
		case <-idle.C:
			if t.dropOutbox(peer, ch) {
				return
			}
			idle.Reset(outboxIdle)
		case <-t.ctx.Done():
			return
		}
	}
}

// dropOutbox forgets an outbox that is empty; Send fills it under the same lock.
func (t *Transport) dropOutbox(peer crid.Daemon, ch chan []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(ch) > 0 {
		return false
	}
	delete(t.outboxes, peer)
	return true
}

func (t *Transport) sendNow(peer crid.Daemon, b []byte) {
	s, err := t.Session(t.ctx, peer)
	if err != nil {
		return
	}
	t.sent.Add(int64(len(b)))
	if len(b) <= maxDatagram && s.conn.SendDatagram(b) == nil {
		return
	}
	stream, err := s.conn.OpenUniStream()
	if err != nil {
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := stream.Write(b); err != nil {
		stream.CancelWrite(1)
		return
	}
	_ = stream.Close()
}

// maxMessage bounds a control message; the longest carries published values.
const maxMessage = 4 * crwire.MaxFrame

func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxMessage+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxMessage {
		return nil, crwire.ErrTooLong
	}
	return b, nil
}
