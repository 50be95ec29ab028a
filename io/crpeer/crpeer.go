// Package crpeer is the transport between daemons: QUIC sessions with mutual TLS,
// control messages as datagrams or short streams, and one bidirectional stream per
// forward or revoke. io/crdaemon runs it, and io/crhop forwards requests over it.
// Package io/crwire encodes the messages. io/crmesh does not use this package: its
// daemons exchange datagrams through io/crbeat.
//
// A daemon dials the peers it sends to, and receives from a peer over the session
// that the peer dialled. The name of a peer is the DNS name in its certificate.
// Connections without a certificate of the fleet's authority are rejected.
//
// # Usage
//
//	t, err := crpeer.Listen(ctx, crpeer.Options{Addr: addr, Identity: id, Registry: reg, Handler: h})
//	t.SetAddrs(addrs)
//	t.Send("booking-2", msg)
//	s, err := t.Session(ctx, "booking-2")
//	stream, err := s.OpenStream()
//	defer s.ReleaseStream()
package crpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/singleflight"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/io/crwire"
)

// Errors of sessions and streams, for errors.Is.
var (
	// ErrUnknownPeer reports that no address of the peer is known.
	ErrUnknownPeer = errors.New("no address of this peer is known")
	// ErrUnreachable reports that no session or stream could be opened, or that the
	// outbox of the peer is full. Nothing was sent on the requested stream.
	ErrUnreachable = errors.New("peer unreachable")
)

const (
	protocol          = "camphor/1"
	handshakeTimeout  = time.Second
	connIdleTimeout   = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	redialBackoff     = 250 * time.Millisecond
	maxStreams        = 4096
	maxDatagramBytes  = 1100
	messageTimeout    = 2 * time.Second
	outboxCapacity    = 64          // messages
	outboxIdleTimeout = time.Minute // after which the goroutine of an unused outbox ends
	maxInboundAddrs   = 10_000
)

// Handler receives messages and streams from peers. Its methods are called on the
// goroutines of the transport and must return when their context is cancelled.
type Handler interface {
	// HandleMessage is called for each control message that can be decoded, in no
	// particular order.
	HandleMessage(from crid.Daemon, msg crevent.Message)
	// AcceptSession is called once for each session that a peer dials. The returned
	// function serves its streams, each on its own goroutine.
	AcceptSession(ctx context.Context, from crid.Daemon) func(ctx context.Context, s *quic.Stream)
}

// Options configure a Transport.
type Options struct {
	Addr        string // host:port to listen on
	Identity    *Identity
	Registry    *crwire.Registry
	Handler     Handler
	IdleTimeout time.Duration // after which an unused session is closed; zero: DefaultIdleTimeout
}

// Transport owns the daemon's UDP socket and its sessions.
type Transport struct {
	ctx      context.Context
	cancel   context.CancelFunc
	opts     Options
	quic     *quic.Transport
	ln       *quic.Listener
	addrs    atomic.Pointer[map[crid.Daemon]string]
	dials    singleflight.Group
	wg       sync.WaitGroup
	sent     atomic.Int64
	received atomic.Int64

	mu           sync.Mutex
	sessions     map[crid.Daemon]*Session
	dialFailedAt map[crid.Daemon]time.Time
	outboxes     map[crid.Daemon]chan []byte
	inboundAddrs map[crid.Daemon]string // remote addresses of the sessions that peers dialled
}

// Listen opens the socket and serves it until ctx is cancelled or Close is called.
func Listen(ctx context.Context, opts Options) (*Transport, error) {
	udp, err := listenUDP(opts.Addr)
	if err != nil {
		return nil, err
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = DefaultIdleTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &Transport{
		ctx:          ctx,
		cancel:       cancel,
		opts:         opts,
		quic:         &quic.Transport{Conn: udp},
		sessions:     make(map[crid.Daemon]*Session),
		dialFailedAt: make(map[crid.Daemon]time.Time),
		outboxes:     make(map[crid.Daemon]chan []byte),
		inboundAddrs: make(map[crid.Daemon]string),
	}
	t.addrs.Store(&map[crid.Daemon]string{})
	t.ln, err = t.quic.Listen(opts.Identity.serverConfig(), quicConfig())
	if err != nil {
		cancel()
		_ = udp.Close()
		return nil, fmt.Errorf("listen for peers on %s: %w", opts.Addr, err)
	}
	t.wg.Add(2)
	go t.accept()
	go t.sweep()
	return t, nil
}

func listenUDP(addr string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", addr, err)
	}
	udp, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	return udp, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       connIdleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxStreams,
		EnableDatagrams:      true,
	}
}

// SetAddrs replaces the addresses of the peers.
func (t *Transport) SetAddrs(addrs map[crid.Daemon]string) { t.addrs.Store(&addrs) }

// Addr returns the listen address.
func (t *Transport) Addr() string { return t.quic.Conn.LocalAddr().String() }

// Traffic returns the control bytes sent and received so far.
func (t *Transport) Traffic() (sent, received int64) { return t.sent.Load(), t.received.Load() }

// Close closes all sessions and waits for all goroutines.
func (t *Transport) Close() error {
	t.cancel()
	err := t.ln.Close()
	t.mu.Lock()
	for _, s := range t.sessions {
		_ = s.conn.CloseWithError(0, "stopping")
	}
	t.mu.Unlock()
	err = errors.Join(err, t.quic.Close())
	err = errors.Join(err, t.quic.Conn.Close())
	t.wg.Wait()
	return err
}

func (t *Transport) accept() {
	defer t.wg.Done()
	for {
		conn, err := t.ln.Accept(t.ctx)
		if err != nil {
			return
		}
		t.wg.Add(1)
		go t.serveConn(conn)
	}
}

func (t *Transport) serveConn(conn *quic.Conn) {
	defer t.wg.Done()
	from, err := peerName(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(1, "no name in certificate")
		return
	}
	t.recordInboundAddr(from, conn.RemoteAddr().String())
	t.wg.Add(2)
	go t.receiveDatagrams(conn, from)
	go t.acceptMessages(conn, from)
	handle := t.opts.Handler.AcceptSession(conn.Context(), from)
	for {
		stream, err := conn.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			handle(stream.Context(), stream)
		}()
	}
}

// recordInboundAddr records the address that a peer dials from. Peers dial from the
// socket they listen on, so they can be reached there. A daemon that starts while its
// platform is unavailable has no list of instances, and can reach only the peers that
// dial it.
func (t *Transport) recordInboundAddr(peer crid.Daemon, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.inboundAddrs) < maxInboundAddrs || t.inboundAddrs[peer] != "" {
		t.inboundAddrs[peer] = addr
	}
}

func (t *Transport) addrOf(peer crid.Daemon) (string, bool) {
	if addr, ok := (*t.addrs.Load())[peer]; ok {
		return addr, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	addr, ok := t.inboundAddrs[peer]
	return addr, ok
}

func (t *Transport) receiveDatagrams(conn *quic.Conn, from crid.Daemon) {
	defer t.wg.Done()
	for {
		b, err := conn.ReceiveDatagram(t.ctx)
		if err != nil {
			return
		}
		t.deliver(from, b)
	}
}

func (t *Transport) acceptMessages(conn *quic.Conn, from crid.Daemon) {
	defer t.wg.Done()
	for {
		stream, err := conn.AcceptUniStream(t.ctx)
		if err != nil {
			return
		}
		t.wg.Add(1)
		go t.readMessage(stream, from)
	}
}

func (t *Transport) readMessage(stream *quic.ReceiveStream, from crid.Daemon) {
	defer t.wg.Done()
	_ = stream.SetReadDeadline(time.Now().Add(messageTimeout))
	b, err := readAll(stream)
	if err != nil {
		stream.CancelRead(1)
		return
	}
	t.deliver(from, b)
}

func (t *Transport) deliver(from crid.Daemon, b []byte) {
	t.received.Add(int64(len(b)))
	msg, err := t.opts.Registry.Decode(b)
	if err != nil {
		return
	}
	t.opts.Handler.HandleMessage(from, msg)
}

func peerName(state tls.ConnectionState) (crid.Daemon, error) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "", errors.New("peer certificate has no DNS name")
	}
	return crid.Daemon(state.PeerCertificates[0].DNSNames[0]), nil
}
