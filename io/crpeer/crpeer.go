// Package crpeer carries what daemons say to one another: QUIC sessions with
// mutual TLS, control messages as datagrams or short streams, and one
// bidirectional stream per forward or revoke.
//
// A daemon dials the peers it sends to; what a peer sends arrives in a session
// that the peer dialled. The name of a peer is the DNS name in its certificate;
// a connection without a certificate of the fleet's authority gets nothing.
//
// # Usage
//
//	t, err := crpeer.Listen(ctx, crpeer.Options{Addr: addr, Identity: id, Registry: reg, Handler: h})
//	t.SetAddrs(addrs)
//	t.Send("booking-2", msg)
//	s, err := t.Session(ctx, "booking-2")
//	stream, err := s.Open(ctx)
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

// Errors of this layer.
var (
	// ErrUnknownPeer tells that no address of the peer is known.
	ErrUnknownPeer = errors.New("no address of this peer is known")
	// ErrUnreachable tells that no session could be made or kept; nothing of
	// the stream that was asked for has been sent.
	ErrUnreachable = errors.New("peer unreachable")
)

const (
	protocol         = "camphor/1"
	handshakeTimeout = time.Second
	idleTimeout      = 5 * time.Second
	keepAlive        = 2 * time.Second
	redialAfter      = 250 * time.Millisecond
	maxStreams       = 4096
	maxDatagram      = 1100
	messageTimeout   = 2 * time.Second
	outboxLength     = 64
	outboxIdle       = time.Minute // after which a silent peer's goroutine ends
	maxCallers       = 10_000
)

// Handler receives what peers send. Its methods are called on transport
// goroutines and end with their context.
type Handler interface {
	// Message is called for each control message, in no promised order.
	Message(from crid.Daemon, msg crevent.Message)
	// Open is called once for each session that a peer dials; the returned
	// function serves its streams, each on its own goroutine.
	Open(ctx context.Context, from crid.Daemon) func(ctx context.Context, s *quic.Stream)
}

// Options configure a Transport.
type Options struct {
	Addr     string // host:port to listen on
	Identity *Identity
	Registry *crwire.Registry
	Handler  Handler
	Idle     time.Duration // after which an unused session is closed; zero: DefaultIdle
}

// Transport owns the daemon's UDP socket and its sessions.
type Transport struct {
	ctx    context.Context
	cancel context.CancelFunc
	opts   Options
	quic   *quic.Transport
	ln     *quic.Listener
	addrs  atomic.Pointer[map[crid.Daemon]string]
	dials  singleflight.Group
	wg     sync.WaitGroup
	sent   atomic.Int64
	recv   atomic.Int64

	mu       sync.Mutex
	sessions map[crid.Daemon]*Session
	failed   map[crid.Daemon]time.Time
	outboxes map[crid.Daemon]chan []byte
	callers  map[crid.Daemon]string // where sessions that peers dialled came from
}

// Listen opens the socket and serves it until ctx ends or Close is called.
func Listen(ctx context.Context, opts Options) (*Transport, error) {
	udp, err := listenUDP(opts.Addr)
	if err != nil {
		return nil, err
	}
	if opts.Idle == 0 {
		opts.Idle = DefaultIdle
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &Transport{
		ctx:      ctx,
		cancel:   cancel,
		opts:     opts,
		quic:     &quic.Transport{Conn: udp},
		sessions: make(map[crid.Daemon]*Session),
		failed:   make(map[crid.Daemon]time.Time),
		outboxes: make(map[crid.Daemon]chan []byte),
		callers:  make(map[crid.Daemon]string),
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
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   maxStreams,
		EnableDatagrams:      true,
	}
}

// SetAddrs replaces the address book.
func (t *Transport) SetAddrs(addrs map[crid.Daemon]string) { t.addrs.Store(&addrs) }

// Addr is the address listened on.
func (t *Transport) Addr() string { return t.quic.Conn.LocalAddr().String() }

// Traffic returns the control bytes sent and received so far.
func (t *Transport) Traffic() (sent, received int64) { return t.sent.Load(), t.recv.Load() }

// Close ends all sessions and waits for every goroutine.
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
		go t.serve(conn)
	}
}

func (t *Transport) serve(conn *quic.Conn) {
	defer t.wg.Done()
	from, err := peerName(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(1, "no name in certificate")
		return
	}
	t.met(from, conn.RemoteAddr().String())
	t.wg.Add(2)
	go t.datagrams(conn, from)
	go t.messages(conn, from)
	handle := t.opts.Handler.Open(conn.Context(), from)
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

// met remembers where a peer dials from. Peers dial from the socket they listen
// on, so this is where they can be reached. A fresh daemon whose platform is away
// has no list of instances, and learns everything from the peers that dial it.
func (t *Transport) met(peer crid.Daemon, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.callers) < maxCallers || t.callers[peer] != "" {
		t.callers[peer] = addr
	}
}

func (t *Transport) addrOf(peer crid.Daemon) (string, bool) {
	if addr, ok := (*t.addrs.Load())[peer]; ok {
		return addr, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	addr, ok := t.callers[peer]
	return addr, ok
}

func (t *Transport) datagrams(conn *quic.Conn, from crid.Daemon) {
	defer t.wg.Done()
	for {
		b, err := conn.ReceiveDatagram(t.ctx)
		if err != nil {
			return
		}
		t.deliver(from, b)
	}
}

func (t *Transport) messages(conn *quic.Conn, from crid.Daemon) {
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
	t.recv.Add(int64(len(b)))
	msg, err := t.opts.Registry.Decode(b)
	if err != nil {
		return
	}
	t.opts.Handler.Message(from, msg)
}

func peerName(state tls.ConnectionState) (crid.Daemon, error) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "", errors.New("peer certificate names no daemon")
	}
	return crid.Daemon(state.PeerCertificates[0].DNSNames[0]), nil
}
