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

	mu       sync.Mutex
	streams  int // number of streams not yet released
	lastUsed time.Time
	retired  bool
}

// Peer returns the name of the remote daemon.
func (s *Session) Peer() crid.Daemon { return s.peer }

// Stats returns what the connection sent, received and lost so far.
func (s *Session) Stats() quic.ConnectionStats { return s.conn.ConnectionStats() }

// Context returns a context that is cancelled when the session ends.
func (s *Session) Context() context.Context { return s.conn.Context() }

// OpenStream opens a stream; ReleaseStream must be called once it is no longer used.
// After an error nothing was sent. At the stream limit it fails rather than blocks:
// the caller has a deadline, and another target may have a free slot.
func (s *Session) OpenStream() (*quic.Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, err := s.conn.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, s.peer, err)
	}
	s.streams++
	s.lastUsed = time.Now()
	return stream, nil
}

// ReleaseStream releases a stream. The last one closes a retired session.
func (s *Session) ReleaseStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
	s.lastUsed = time.Now()
	s.closeRetired()
}

func (s *Session) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	s.closeRetired()
}

func (s *Session) closeRetired() {
	if s.retired && s.streams <= 0 {
		_ = s.conn.CloseWithError(0, "retired")
	}
}

func (s *Session) isOpen() bool { return s.conn.Context().Err() == nil }

// Session returns the open session with a peer, and dials one if there is none. For
// redialBackoff after a failed dial it fails at once, so that requests do not each wait
// for the timeout of an unreachable peer.
func (t *Transport) Session(ctx context.Context, peer crid.Daemon) (*Session, error) {
	addr, ok := t.addrOf(peer)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownPeer, peer)
	}
	if s, err := t.existingSession(peer, addr); s != nil || err != nil {
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

// Retire closes a session once its last stream is released; the next use of the peer
// dials a new one.
func (t *Transport) Retire(s *Session) {
	t.mu.Lock()
	if t.sessions[s.peer] == s {
		delete(t.sessions, s.peer)
	}
	t.mu.Unlock()
	s.retire()
}

// existingSession returns the open session with a peer at an address. It returns nil if
// there is none, or an error during the backoff after a failed dial.
func (t *Transport) existingSession(peer crid.Daemon, addr string) (*Session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[peer]; s != nil && s.isOpen() && s.addr == addr {
		s.touch()
		return s, nil
	}
	if at, ok := t.dialFailedAt[peer]; ok && time.Since(at) < redialBackoff {
		return nil, fmt.Errorf("%w: the last dial of %s failed recently", ErrUnreachable, peer)
	}
	return nil, nil
}

func (t *Transport) dial(peer crid.Daemon, addr string) (*Session, error) {
	if s, err := t.existingSession(peer, addr); s != nil || err != nil {
		return s, err
	}
	conn, err := t.dialQUIC(peer, addr)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.dialFailedAt[peer] = time.Now()
		return nil, fmt.Errorf("%w: dial %s: %w", ErrUnreachable, peer, err)
	}
	delete(t.dialFailedAt, peer)
	if old := t.sessions[peer]; old != nil {
		_ = old.conn.CloseWithError(0, "replaced")
	}
	s := &Session{peer: peer, addr: addr, conn: conn, lastUsed: time.Now()}
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

// Send sends a control message at most once, without a delivery guarantee. It never
// blocks: while a peer is being dialled, messages that exceed the outbox are dropped.
// Senders retransmit messages that are still relevant.
func (t *Transport) Send(peer crid.Daemon, msg crevent.Message) error {
	b, err := t.opts.Registry.Encode(msg)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ch, ok := t.outboxes[peer]
	if !ok {
		ch = make(chan []byte, outboxCapacity)
		t.outboxes[peer] = ch
		t.wg.Add(1)
		go t.runOutbox(peer, ch)
	}
	select {
	case ch <- b:
		return nil
	default:
		return fmt.Errorf("%w: outbox to %s is full", ErrUnreachable, peer)
	}
}

// runOutbox sends the messages of an outbox. It returns after the outbox was idle for
// outboxIdleTimeout; otherwise each daemon that is replaced would leave a goroutine
// behind.
func (t *Transport) runOutbox(peer crid.Daemon, ch chan []byte) {
	defer t.wg.Done()
	idle := time.NewTimer(outboxIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case b := <-ch:
			t.transmit(peer, b)
			idle.Reset(outboxIdleTimeout)
		case <-idle.C:
			if t.removeIdleOutbox(peer, ch) {
				return
			}
			idle.Reset(outboxIdleTimeout)
		case <-t.ctx.Done():
			return
		}
	}
}

// removeIdleOutbox removes an outbox if it is empty. Send adds to it under the same
// lock.
func (t *Transport) removeIdleOutbox(peer crid.Daemon, ch chan []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(ch) > 0 {
		return false
	}
	delete(t.outboxes, peer)
	return true
}

func (t *Transport) transmit(peer crid.Daemon, b []byte) {
	s, err := t.Session(t.ctx, peer)
	if err != nil {
		return
	}
	t.sent.Add(int64(len(b)))
	if len(b) <= maxDatagramBytes && s.conn.SendDatagram(b) == nil {
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

// maxMessageBytes bounds a control message. The longest messages contain published
// configuration values.
const maxMessageBytes = 4 * crwire.MaxFrame

func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxMessageBytes {
		return nil, crwire.ErrTooLong
	}
	return b, nil
}
