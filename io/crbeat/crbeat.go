// Package crbeat carries the small messages between daemons, a datagram each:
// beats, and questions for an account's tokens with their answers. A lost one is
// made up for by the next beat, or by asking again.
//
// # Usage
//
//	c, err := crbeat.Listen(crbeat.Options{Address: "10.0.0.1:7660", Heard: heard, Grant: grant})
//	go c.Run(ctx)
//	c.Beat(peers, beat)
//	ok, wait, err := c.Ask(ctx, owner, account, crquota.FromPeer)
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

	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crquota"
)

const (
	// askTimeout is how long an answer to a question may take: a round trip
	// between domains of 3 ms, and some time for a busy processor.
	askTimeout = 40 * time.Millisecond
	// askTries is the number of times a question is sent.
	askTries = 2
	// relayTimeout is how long an answer through another daemon may take: it asks
	// the owner as often as this one would.
	relayTimeout = askTimeout*askTries + 20*time.Millisecond
	// relaysMost bounds the questions passed on at a time. One that is over it is
	// as good as lost.
	relaysMost = 64
	// maxDatagram bounds a message.
	maxDatagram = 1400
)

// ErrSilent tells that a peer did not answer a question.
var ErrSilent = errors.New("no answer")

// message is what a datagram holds: one of its parts.
type message struct {
	Beat   *crmesh.Heartbeat `cbor:"1,keyasint,omitempty"`
	Ask    *ask              `cbor:"2,keyasint,omitempty"`
	Answer *answer           `cbor:"3,keyasint,omitempty"`
}

type ask struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Account crid.Account
	As      crquota.Origin // how far it may go on
}

type answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	OK     bool
	Wait   time.Duration
}

// Options are the settings of a channel.
type Options struct {
	Address string
	Heard   func(from crid.Daemon, b crmesh.Heartbeat)
	// Grant gives a token, unless another daemon has to be asked.
	Grant func(a crid.Account, as crquota.Origin) (ok bool, wait time.Duration, mine bool)
}

// Asker asks other daemons for a token that a peer wants.
type Asker func(ctx context.Context, a crid.Account, as crquota.Origin) (ok bool, wait time.Duration, err error)

// Channel sends and receives messages. It is safe for concurrent use.
type Channel struct {
	opts Options
	conn *net.UDPConn
	port uint16
	mu   sync.Mutex
	next uint64
	open map[uint64]chan answer

	owner  Asker         // for peers that do not reach an owner; nil: none
	relays chan struct{} // holds a place for each question passed on
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
	return &Channel{opts: opts, conn: conn, port: addr.Port(), open: make(map[uint64]chan answer), relays: make(chan struct{}, relaysMost)}, nil
}

// Run receives messages until the context ends.
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
			continue // a peer's closed port shows here; it does not concern others
		}
		var m message
		if cbor.Unmarshal(buf[:n], &m) == nil {
			c.received(ctx, from, m)
		}
	}
}

func (c *Channel) received(ctx context.Context, from netip.AddrPort, m message) {
	switch {
	case m.Beat != nil:
		c.opts.Heard(crid.Daemon(from.Addr().Unmap().String()), *m.Beat)
	case m.Ask != nil:
		c.asked(ctx, from, *m.Ask)
	case m.Answer != nil:
		c.mu.Lock()
		waiting := c.open[m.Answer.Number]
		delete(c.open, m.Answer.Number)
		c.mu.Unlock()
		if waiting != nil {
			waiting <- *m.Answer
		}
	}
}

// Beat sends a beat to peers.
func (c *Channel) Beat(to []crid.Daemon, b crmesh.Heartbeat) {
	data, err := cbor.Marshal(message{Beat: &b})
	if err != nil {
		return
	}
	for _, d := range to {
		if addr, err := netip.ParseAddr(string(d)); err == nil {
			c.write(netip.AddrPortFrom(addr, c.port), data)
		}
	}
}

// asked answers a question, or passes it on to the owner. Two daemons may take
// different ones for the owner while a path is cut; if both granted, the account
// would get its rate twice.
func (c *Channel) asked(ctx context.Context, from netip.AddrPort, q ask) {
	ok, wait, mine := c.opts.Grant(q.Account, q.As)
	if !mine && q.As != crquota.FromRelay {
		c.passOn(ctx, from, q)
		return
	}
	if mine {
		c.send(from, message{Answer: &answer{Number: q.Number, OK: ok, Wait: wait}})
	}
}

// PassOn has questions about accounts that this daemon does not own passed on to
// their owner. It is to be called before Run.
func (c *Channel) PassOn(owner Asker) { c.owner = owner }

// passOn asks the owner for a peer, and answers it if the owner answered.
func (c *Channel) passOn(ctx context.Context, from netip.AddrPort, q ask) {
	if c.owner == nil {
		return
	}
	select {
	case c.relays <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.relays }()
		ctx, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		if ok, wait, err := c.owner(ctx, q.Account, q.As); err == nil {
			c.send(from, message{Answer: &answer{Number: q.Number, OK: ok, Wait: wait}})
		}
	}()
}

// Ask asks a daemon for a token of an account. The answer to a relayed question takes
// longer, as that daemon asks another one.
func (c *Channel) Ask(ctx context.Context, to crid.Daemon, a crid.Account, as crquota.Origin) (ok bool, wait time.Duration, err error) {
	if as == crquota.ToRelay {
		return c.question(ctx, to, ask{Account: a, As: as}, 1, relayTimeout)
	}
	return c.question(ctx, to, ask{Account: a, As: as}, askTries, askTimeout)
}

// question sends a question so many times and waits for the answer after each.
func (c *Channel) question(
	ctx context.Context, to crid.Daemon, q ask, tries int, timeout time.Duration,
) (ok bool, wait time.Duration, err error) {
	addr, err := netip.ParseAddr(string(to))
	if err != nil {
		return false, 0, err
	}
	waiting := make(chan answer, 1)
	c.mu.Lock()
	c.next++
	q.Number = c.next
	c.open[q.Number] = waiting
	c.mu.Unlock()
	defer c.forget(q.Number)
	for range tries {
		c.send(netip.AddrPortFrom(addr, c.port), message{Ask: &q})
		timer := time.NewTimer(timeout)
		select {
		case got := <-waiting:
			timer.Stop()
			return got.OK, got.Wait, nil
		case <-ctx.Done():
			timer.Stop()
			return false, 0, ctx.Err()
		case <-timer.C:
		}
	}
	return false, 0, ErrSilent
}

func (c *Channel) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, number)
}

func (c *Channel) send(to netip.AddrPort, m message) {
	if data, err := cbor.Marshal(m); err == nil {
		c.write(to, data)
	}
}

// write sends a datagram. An error means that it is lost, which any may be.
func (c *Channel) write(to netip.AddrPort, data []byte) {
	_, _ = c.conn.WriteToUDPAddrPort(data, to)
}
