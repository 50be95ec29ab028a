package croffer

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crid"
	"camphorroad/io/crlink"
)

const (
	// offerTimeout is how long an exit may take to answer an offer: a round
	// trip of 3 ms between domains, tens of milliseconds of a busy processor
	// that is stopped for the rest of a tenth of a second. A lost packet costs
	// 200 ms, and another exit is then quicker.
	offerTimeout = 180 * time.Millisecond
	// keepUnused is how long a connection to a peer is kept unused.
	keepUnused = 30 * time.Second
	// keepMost bounds the unused connections to a peer.
	keepMost = 8
)

// Client offers requests to the exits of other daemons. It is safe for
// concurrent use.
type Client struct {
	port  string
	mu    sync.Mutex
	pools map[crid.Daemon]*crlink.Pool
}

// NewClient returns a client of daemons that listen at a port.
func NewClient(port int) *Client {
	return &Client{port: strconv.Itoa(port), pools: make(map[crid.Daemon]*crlink.Pool)}
}

func (c *Client) pool(d crid.Daemon) *crlink.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[d]
	if p == nil {
		p = crlink.NewPool(string(d)+":"+c.port, crlink.Options{Connect: offerTimeout, Idle: keepUnused, Keep: keepMost})
		c.pools[d] = p
	}
	return p
}

// Keep closes the connections to all daemons but the given ones.
func (c *Client) Keep(daemons map[crid.Daemon]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for d, p := range c.pools {
		if !daemons[d] {
			p.Close()
			delete(c.pools, d)
			continue
		}
		p.Prune()
	}
}

// Grant is an offer that was taken.
type Grant struct {
	pool   *crlink.Pool
	conn   *crlink.Conn
	ticket uint64
}

// Offer makes an offer. An error means that the exit did not answer in time; the
// request has not left this daemon.
func (c *Client) Offer(ctx context.Context, d crid.Daemon, o Offer) (Reply, *Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	body, err := cbor.Marshal(o)
	if err != nil {
		return Reply{}, nil, fmt.Errorf("encode the offer: %w", err)
	}
	pool := c.pool(d)
	conn, err := pool.Get(ctx)
	if err != nil {
		return Reply{}, nil, err
	}
	var reply Reply
	err = call(ctx, conn, PathOffer, body, &reply)
	if err != nil && conn.Reused() && ctx.Err() == nil {
		// The peer restarted, and the connection had died with it.
		if conn, err = pool.Dial(ctx); err != nil {
			return Reply{}, nil, err
		}
		err = call(ctx, conn, PathOffer, body, &reply)
	}
	if err != nil {
		return Reply{}, nil, err
	}
	if !reply.Taken {
		pool.Put(conn)
		return reply, nil, nil
	}
	return reply, &Grant{pool: pool, conn: conn, ticket: reply.Ticket}, nil
}

// Run sends the request itself and waits for what becomes of it.
func (g *Grant) Run(ctx context.Context, r Request) Result {
	body, err := cbor.Marshal(r)
	if err != nil {
		g.conn.Close()
		return Result{Outcome: NotSent, Reason: "the request cannot be encoded"}
	}
	var result Result
	if err := call(ctx, g.conn, PathRun+strconv.FormatUint(g.ticket, 10), body, &result); err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: Late, Reason: "no answer of the exit in time"}
		}
		return Result{Outcome: Unknown, Reason: "the exit broke off: " + err.Error()}
	}
	g.pool.Put(g.conn)
	return result
}

// Fetch reads what a peer holds of the store beyond what this daemon has.
func (c *Client) Fetch(ctx context.Context, d crid.Daemon, have, into any) error {
	body, err := cbor.Marshal(have)
	if err != nil {
		return fmt.Errorf("encode the question: %w", err)
	}
	return c.page(ctx, d, PathCopy, body, into)
}

// Feed reads the store through a peer.
func (c *Client) Feed(ctx context.Context, d crid.Daemon, q FeedQuery) (FeedPage, error) {
	body, err := cbor.Marshal(q)
	if err != nil {
		return FeedPage{}, fmt.Errorf("encode the question: %w", err)
	}
	var p FeedPage
	err = c.page(ctx, d, PathFeed, body, &p)
	return p, err
}

func (c *Client) page(ctx context.Context, d crid.Daemon, path string, body []byte, into any) error {
	conn, err := c.pool(d).Get(ctx)
	if err != nil {
		return err
	}
	if err := call(ctx, conn, path, body, into); err != nil {
		return err
	}
	c.pool(d).Put(conn)
	return nil
}

func call(ctx context.Context, conn *crlink.Conn, path string, body []byte, into any) error {
	a, err := conn.Exchange(ctx, crlink.Request{Method: http.MethodPost, URI: path, Host: "peer", Body: body}, nil)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		conn.Close()
		return fmt.Errorf("the peer answered %d", a.Status)
	}
	if err := cbor.Unmarshal(a.Body, into); err != nil {
		conn.Close()
		return fmt.Errorf("decode the peer's answer: %w", err)
	}
	return nil
}
