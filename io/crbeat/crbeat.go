// Package crbeat sends heartbeats, the token requests of core/crquota and the retry
// requests of core/crbudget with their responses, between daemons, one per UDP datagram. A lost heartbeat is replaced by
// the next one; a lost request is sent again. io/crmesh uses it. Its peers are
// identified by address; io/crpeer has authenticated sessions over QUIC.
//
// # Usage
//
//	c, err := crbeat.Listen(crbeat.Options{Address: "10.0.0.1:7660", OnHeartbeat: onHeartbeat, Grant: grant})
//	go c.Run(ctx)
//	c.SendHeartbeat(peers, heartbeat)
//	ok, wait, err := c.RequestToken(ctx, owner, account, crquota.FromPeer)
package crbeat

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crbudget"
	"camphorroad/core/crcrash"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crquota"
)

const (
	// requestTimeout bounds the wait for a response: a round trip between domains
	// takes 3 ms, the rest allows for a busy processor.
	requestTimeout = 40 * time.Millisecond
	// requestAttempts is the number of times a request is sent.
	requestAttempts = 2
	// relayTimeout bounds the wait for a response through a relay, which sends the
	// request to the owner as often as this daemon would.
	relayTimeout = requestTimeout*requestAttempts + 20*time.Millisecond
	// maxConcurrentRelays bounds the requests that are relayed concurrently. Further
	// requests are dropped.
	maxConcurrentRelays = 64
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 1400
)

// ErrNoResponse reports that a peer did not respond to a request.
var ErrNoResponse = errors.New("no response from peer")

// message is the content of a datagram: a heartbeat, or one of the other fields.
type message struct {
	Heartbeat *crmesh.Heartbeat `cbor:"1,keyasint,omitempty"`
	Request   *tokenRequest     `cbor:"2,keyasint,omitempty"`
	Response  *tokenResponse    `cbor:"3,keyasint,omitempty"`
	Retry     *retryRequest     `cbor:"4,keyasint,omitempty"`
	// EvacuationRevision, SilentMembers, Unheard and Crashes are those of the heartbeat.
	EvacuationRevision crid.Revision `cbor:"5,keyasint,omitempty"`
	SilentMembers      int           `cbor:"6,keyasint,omitempty"`
	Unheard            bool          `cbor:"7,keyasint,omitempty"`

	Crashes []crcrash.Report `cbor:"8,keyasint,omitempty"`
}

type tokenRequest struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Account crid.Account
	Origin  crquota.Origin // limits how far the request is relayed
}

// retryRequest requests a retry from the pool of a service. Its response is a
// tokenResponse.
type retryRequest struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Service crid.Service
}

type tokenResponse struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	OK     bool
	Wait   time.Duration
}

// Options configure a Channel.
type Options struct {
	Address     string
	OnHeartbeat func(from crid.Daemon, hb crmesh.Heartbeat)
	// Grant takes a token for a peer. handled is false if another daemon has to be
	// queried.
	Grant func(a crid.Account, origin crquota.Origin) (ok bool, wait time.Duration, handled bool)
	// GrantRetry takes a retry from the pool of a service for a peer. handled is false if
	// another daemon owns the pool.
	GrantRetry func(s crid.Service) (ok, handled bool)
}

// RelayFunc requests a token from other daemons on behalf of a peer.
type RelayFunc func(ctx context.Context, a crid.Account, origin crquota.Origin) (ok bool, wait time.Duration, err error)

// Channel sends and receives messages. It is safe for concurrent use.
type Channel struct {
	opts       Options
	conn       *net.UDPConn
	port       uint16
	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan tokenResponse

	relay      RelayFunc     // nil: requests are not relayed
	relaySlots chan struct{} // semaphore of the requests being relayed
}

// Listen opens a channel at an address; peers listen at the same port.
func Listen(opts Options) (*Channel, error) {
	addr, err := netip.ParseAddrPort(opts.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for messages: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listen for messages: %w", err)
	}
	return &Channel{opts: opts, conn: conn, port: addr.Port(), pending: make(map[uint64]chan tokenResponse), relaySlots: make(chan struct{}, maxConcurrentRelays)}, nil
}

// Run receives messages until ctx is cancelled.
func (c *Channel) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue // for example a closed port of one peer, which does not affect the others
		}
		var m message
		if cbor.Unmarshal(buf[:n], &m) == nil {
			c.handle(ctx, from, m)
		}
	}
}

func (c *Channel) handle(ctx context.Context, from netip.AddrPort, m message) {
	switch {
	case m.Heartbeat != nil:
		hb := *m.Heartbeat
		hb.EvacuationRevision, hb.SilentMembers, hb.Unheard = m.EvacuationRevision, max(m.SilentMembers, 0), m.Unheard
		hb.Crashes = m.Crashes
		c.opts.OnHeartbeat(crid.Daemon(from.Addr().Unmap().String()), hb)
	case m.Request != nil:
		c.handleRequest(ctx, from, *m.Request)
	case m.Retry != nil:
		if ok, handled := c.opts.GrantRetry(m.Retry.Service); handled {
			c.send(from, message{Response: &tokenResponse{Number: m.Retry.Number, OK: ok}})
		}
	case m.Response != nil:
		c.mu.Lock()
		responses := c.pending[m.Response.Number]
		delete(c.pending, m.Response.Number)
		c.mu.Unlock()
		if responses != nil {
			responses <- *m.Response
		}
	}
}

// SendHeartbeat sends a heartbeat to peers.
func (c *Channel) SendHeartbeat(to []crid.Daemon, hb crmesh.Heartbeat) {
	data, err := cbor.Marshal(message{
		Heartbeat: &hb, EvacuationRevision: hb.EvacuationRevision, SilentMembers: hb.SilentMembers, Unheard: hb.Unheard, Crashes: hb.Crashes,
	})
	if err != nil {
		return
	}
	for _, d := range to {
		if addr, err := netip.ParseAddr(string(d)); err == nil {
			c.write(netip.AddrPortFrom(addr, c.port), data)
		}
	}
}

// handleRequest responds to a token request or relays it to the owner. During a network
// partition daemons may disagree about the owner of an account. If two of them granted
// tokens, the account would get twice its rate.
func (c *Channel) handleRequest(ctx context.Context, from netip.AddrPort, req tokenRequest) {
	ok, wait, handled := c.opts.Grant(req.Account, req.Origin)
	if !handled && req.Origin != crquota.FromRelay {
		c.relayRequest(ctx, from, req)
		return
	}
	if handled {
		c.send(from, message{Response: &tokenResponse{Number: req.Number, OK: ok, Wait: wait}})
	}
}

// SetRelay sets the function that relays requests for accounts that this daemon does
// not own. It must be called before Run.
func (c *Channel) SetRelay(relay RelayFunc) { c.relay = relay }

// relayRequest requests a token from the owner, and responds to the peer only if the
// owner did.
func (c *Channel) relayRequest(ctx context.Context, from netip.AddrPort, req tokenRequest) {
	if c.relay == nil {
		return
	}
	select {
	case c.relaySlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.relaySlots }()
		ctx, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		if ok, wait, err := c.relay(ctx, req.Account, req.Origin); err == nil {
			c.send(from, message{Response: &tokenResponse{Number: req.Number, OK: ok, Wait: wait}})
		}
	}()
}

// RequestToken requests a token of an account from a daemon. The response to a relayed
// request takes longer, as that daemon queries another one.
func (c *Channel) RequestToken(ctx context.Context, to crid.Daemon, a crid.Account, origin crquota.Origin) (ok bool, wait time.Duration, err error) {
	request := func(number uint64) message {
		return message{Request: &tokenRequest{Number: number, Account: a, Origin: origin}}
	}
	if origin == crquota.ToRelay {
		return c.roundTrip(ctx, to, request, 1, relayTimeout)
	}
	return c.roundTrip(ctx, to, request, requestAttempts, requestTimeout)
}

// RequestRetry requests a retry from the pool of a service. It is sent once: a second
// request could take a second retry.
func (c *Channel) RequestRetry(ctx context.Context, to crid.Daemon, s crid.Service) (bool, error) {
	ok, _, err := c.roundTrip(ctx, to, func(number uint64) message {
		return message{Retry: &retryRequest{Number: number, Service: s}}
	}, 1, crbudget.RetryTimeout)
	return ok, err
}

// roundTrip sends a request up to attempts times, and waits for the response after each.
func (c *Channel) roundTrip(
	ctx context.Context, to crid.Daemon, request func(number uint64) message, attempts int, timeout time.Duration,
) (ok bool, wait time.Duration, err error) {
	addr, err := netip.ParseAddr(string(to))
	if err != nil {
		return false, 0, err
	}
	responses := make(chan tokenResponse, 1)
	c.mu.Lock()
	c.lastNumber++
	number := c.lastNumber
	c.pending[number] = responses
	c.mu.Unlock()
	defer c.removePending(number)
	for range attempts {
		c.send(netip.AddrPortFrom(addr, c.port), request(number))
		timer := time.NewTimer(timeout)
		select {
		case resp := <-responses:
			timer.Stop()
			return resp.OK, resp.Wait, nil
		case <-ctx.Done():
			timer.Stop()
			return false, 0, ctx.Err()
		case <-timer.C:
		}
	}
	return false, 0, ErrNoResponse
}

func (c *Channel) removePending(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

func (c *Channel) send(to netip.AddrPort, m message) {
	if data, err := cbor.Marshal(m); err == nil {
		c.write(to, data)
	}
}

// write sends a datagram. Errors are ignored, as datagrams may be lost anyway.
func (c *Channel) write(to netip.AddrPort, data []byte) {
	_, _ = c.conn.WriteToUDPAddrPort(data, to)
}
