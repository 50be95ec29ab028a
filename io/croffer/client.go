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
	// offerTimeout is how long an exit may take to answer an offer. It covers a
	// round trip of 3 ms between domains and the tens of milliseconds for which a
	// busy process is throttled until the end of a 100 ms period of its CPU quota. It
	// does not cover the retransmission of a lost packet after 200 ms, since an offer
	// to another exit is faster.
	offerTimeout = 180 * time.Millisecond
	// connIdleTimeout is how long an idle connection to a peer is kept.
	connIdleTimeout = 30 * time.Second
	// maxIdleConns bounds the idle connections to a peer.
	maxIdleConns = 8
)

// Client sends offers and store reads to other daemons. It is safe for concurrent
// use.
type Client struct {
	port  string
	mu    sync.Mutex
	pools map[crid.Daemon]*crlink.Pool
}

// NewClient returns a client for daemons that listen on the given port.
func NewClient(port int) *Client {
	return &Client{port: strconv.Itoa(port), pools: make(map[crid.Daemon]*crlink.Pool)}
}

func (c *Client) pool(d crid.Daemon) *crlink.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[d]
	if p == nil {
		p = crlink.NewPool(string(d)+":"+c.port, crlink.Options{ConnectTimeout: offerTimeout, IdleTimeout: connIdleTimeout, MaxIdle: maxIdleConns})
		c.pools[d] = p
	}
	return p
}

// Retain closes all connections to daemons other than the given ones. Of the connections
// to the given ones it closes those whose idle timeout has expired.
func (c *Client) Retain(daemons map[crid.Daemon]bool) {
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

// Reservation is an accepted offer.
type Reservation struct {
	pool   *crlink.Pool
	conn   *crlink.Conn
	ticket uint64
}

// Offer sends an offer. An error means that the exit did not answer in time; the
// request has not left this daemon. The reservation is nil if the offer is refused.
func (c *Client) Offer(ctx context.Context, d crid.Daemon, o Offer) (Reply, *Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	body, err := cbor.Marshal(o)
	if err != nil {
		return Reply{}, nil, fmt.Errorf("encode the offer: %w", err)
	}
	pool := c.pool(d)
	conn, err := pool.Get(ctx, "")
	if err != nil {
		return Reply{}, nil, err
	}
	uri := PathOffer + o.query()
	var reply Reply
	_, err = exchange(ctx, conn, uri, body, &reply)
	if err != nil && conn.Reused() && ctx.Err() == nil {
		// The peer may have closed the idle connection, for example at a restart.
		if conn, err = pool.Dial(ctx); err != nil {
			return Reply{}, nil, err
		}
		_, err = exchange(ctx, conn, uri, body, &reply)
	}
	if err != nil {
		return Reply{}, nil, err
	}
	if !reply.Accepted {
		pool.Put(conn)
		return reply, nil, nil
	}
	return reply, &Reservation{pool: pool, conn: conn, ticket: reply.Ticket}, nil
}

// Run sends the request itself and waits for its result.
func (rv *Reservation) Run(ctx context.Context, r Request) Result {
	body, err := cbor.Marshal(r)
	if err != nil {
		rv.conn.Close()
		return Result{Outcome: NotSent, Reason: "the request cannot be encoded"}
	}
	var result Result
	header, err := exchange(ctx, rv.conn, PathRun+strconv.FormatUint(rv.ticket, 10), body, &result)
	if err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: TimedOut, Reason: "no answer of the exit in time"}
		}
		return Result{Outcome: Unknown, Reason: "the exit broke off: " + err.Error()}
	}
	rv.pool.Put(rv.conn)
	result.Calls = decodeCalls(header.Get(headerCalls))
	if ended, err := strconv.ParseInt(header.Get(headerEnded), 10, 64); err == nil {
		result.EndedMillis = ended
	}
	return result
}

// Fetch reads the store data that a peer has and this daemon lacks. have is the
// crwatch.Revisions of this daemon, and into points to a crwatch.Update.
func (c *Client) Fetch(ctx context.Context, d crid.Daemon, have, into any) error {
	body, err := cbor.Marshal(have)
	if err != nil {
		return fmt.Errorf("encode the query: %w", err)
	}
	return c.post(ctx, d, PathCopy, body, into)
}

// Feed reads the store through a peer.
func (c *Client) Feed(ctx context.Context, d crid.Daemon, q FeedQuery) (FeedPage, error) {
	body, err := cbor.Marshal(q)
	if err != nil {
		return FeedPage{}, fmt.Errorf("encode the query: %w", err)
	}
	var p FeedPage
	err = c.post(ctx, d, PathFeed, body, &p)
	return p, err
}

func (c *Client) post(ctx context.Context, d crid.Daemon, path string, body []byte, into any) error {
	conn, err := c.pool(d).Get(ctx, "")
	if err != nil {
		return err
	}
	if _, err := exchange(ctx, conn, path, body, into); err != nil {
		return err
	}
	c.pool(d).Put(conn)
	return nil
}

// exchange sends a message, decodes the answer and returns its headers.
func exchange(ctx context.Context, conn *crlink.Conn, path string, body []byte, into any) (http.Header, error) {
	resp, err := conn.Exchange(ctx, crlink.Request{Method: http.MethodPost, URI: path, Host: "peer", Body: body})
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		conn.Close()
		return nil, fmt.Errorf("the peer answered %d", resp.Status)
	}
	if err := cbor.Unmarshal(resp.Body, into); err != nil {
		conn.Close()
		return nil, fmt.Errorf("decode the peer's answer: %w", err)
	}
	return resp.Header, nil
}
