package crsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"camphorroad/lab/crstage"
	"camphorroad/lab/crtarget"
)

// callerTimeout is the deadline of a caller's request.
const callerTimeout = 2 * time.Second

// call is one request of a caller and its result.
type call struct {
	id        string
	machine   int
	kind      requestKind
	path      string
	sum       string // of the request body
	size      int    // of the request body
	download  int    // bytes that the target adds to its response
	pipelined bool
	position  int  // in a batch of pipelined requests
	notRead   bool // behind a response that closes the connection
	broken    bool // the response broke off within its body
	account   string
	key       string
	sent      time.Time
	latency   time.Duration
	status    int    // zero: no complete response
	mismatch  string // how a 200 response differs from the expected one
	err       string
}

// requestKind is a route of the configuration that callers send requests to.
type requestKind struct {
	path          string
	method        string
	service       string
	nonIdempotent bool
	maxAttempts   int
	sizes         []int // of large bodies: of the request if non-idempotent, else of the response
}

func requestKinds() []requestKind {
	return []requestKind{
		{path: "/look/", method: http.MethodGet, service: "s0", maxAttempts: 3},
		{path: "/hold/", method: http.MethodPost, service: "s0", nonIdempotent: true, maxAttempts: 3},
		{path: "/read/", method: http.MethodGet, service: "s1", maxAttempts: 2},
		{path: "/pay/", method: http.MethodPut, service: "s1", nonIdempotent: true, maxAttempts: 2},
	}
}

// callLog records all calls of a run.
type callLog struct {
	nextID atomic.Int64
	mu     sync.Mutex
	calls  []call
}

func (l *callLog) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *callLog) snapshot() []call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]call(nil), l.calls...)
}

// keyring holds the accounts with their valid keys, and when keys were issued and
// withdrawn.
type keyring struct {
	mu          sync.Mutex
	accounts    []crstage.Account
	owners      map[string]string // account names by key
	issuedAt    map[string]time.Time
	withdrawnAt map[string]time.Time
}

func newKeyring(accounts []crstage.Account) *keyring {
	k := &keyring{
		accounts: accounts, owners: make(map[string]string), issuedAt: make(map[string]time.Time), withdrawnAt: make(map[string]time.Time),
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			k.owners[key] = a.Name
		}
	}
	return k
}

// withdrawnKeyShare is the share of requests with a withdrawn key, once there is one.
const withdrawnKeyShare = 0.04

func (k *keyring) pick(r *rand.Rand) (name, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Float64() < withdrawnKeyShare {
		for key := range k.withdrawnAt {
			return k.owners[key], key
		}
	}
	a := k.accounts[r.IntN(len(k.accounts))]
	return a.Name, a.Keys[r.IntN(len(a.Keys))]
}

func (k *keyring) current() []crstage.Account {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]crstage.Account(nil), k.accounts...)
}

// rotate withdraws the oldest key of account i, issues the given key in its place, and
// returns the updated accounts.
func (k *keyring) rotate(i int, key string) []crstage.Account {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := time.Now()
	a := &k.accounts[i]
	k.withdrawnAt[a.Keys[0]] = at
	k.issuedAt[key] = at
	k.owners[key] = a.Name
	a.Keys = append(append([]string(nil), a.Keys[1:]...), key)
	return append([]crstage.Account(nil), k.accounts...)
}

// validity returns when a key was issued and withdrawn. A zero issuedAt means that the
// key is valid from the start of the run; a zero withdrawnAt, that it was not withdrawn.
func (k *keyring) validity(key string) (issuedAt, withdrawnAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.issuedAt[key], k.withdrawnAt[key]
}

// caller sends requests to one machine, one at a time, over one keep-alive connection
// that stays open until the daemon exits.
type caller struct {
	machine  *machine
	kinds    []requestKind
	calls    *callLog
	keys     *keyring
	rand     *rand.Rand
	client   *http.Client
	interval func() time.Duration
}

func newCaller(m *machine, kinds []requestKind, l *callLog, k *keyring, seed uint64, interval func() time.Duration) *caller {
	return &caller{
		machine: m, kinds: kinds, calls: l, keys: k, rand: rand.New(rand.NewPCG(seed, uint64(m.index))), interval: interval,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context, send func(context.Context)) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		send(ctx)
		wait := time.Duration((0.5 + c.rand.Float64()) * float64(c.interval()))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// send sends one request and records its result. It does not inherit the cancellation
// of ctx, so that the end of the run does not abort the request.
func (c *caller) send(ctx context.Context) {
	result, body := c.newCall()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, result, body)
	if err != nil {
		result.err = err.Error()
		c.calls.add(result)
		return
	}
	c.roundTrip(req, &result)
	c.calls.add(result)
}

// newCall draws a call and its request body.
func (c *caller) newCall() (result call, body string) {
	k := c.kinds[c.rand.IntN(len(c.kinds))]
	name, key := c.keys.pick(c.rand)
	result = call{
		id: "q" + strconv.FormatInt(c.calls.nextID.Add(1), 10), machine: c.machine.index, kind: k, account: name, key: key, sent: time.Now(),
	}
	result.path = k.path + strconv.Itoa(c.rand.IntN(100)) + "?a=1&b=%2F"
	if k.nonIdempotent {
		body = "body of " + result.id
	}
	if len(k.sizes) > 0 {
		size := k.sizes[c.rand.IntN(len(k.sizes))]
		if k.nonIdempotent {
			body = crtarget.Answer(result.id, k.method, result.path, size)
		} else {
			result.path, result.download = result.path+"&bytes="+strconv.Itoa(size), size
		}
	}
	result.sum, result.size = crtarget.Sum(body), len(body)
	return result, body
}

// newRequest returns the request of a call. Large bodies are sent in chunks or with a length.
func (c *caller) newRequest(ctx context.Context, result call, body string) (*http.Request, error) {
	var reader io.Reader = strings.NewReader(body)
	if len(result.kind.sizes) > 0 && body != "" && c.rand.IntN(2) == 0 {
		reader = io.MultiReader(reader) // hides the length
	}
	req, err := http.NewRequestWithContext(ctx, result.kind.method, "http://"+c.machine.addrs.listenAddr(c.machine.index, crstage.PortCaller)+result.path, reader)
	if err != nil {
		return nil, err
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", result.id)
	req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+result.key)
	return req, nil
}

func (c *caller) roundTrip(req *http.Request, result *call) {
	// The transport is called directly: a client that repeats a request by itself would
	// count as two callers.
	resp, err := c.client.Transport.RoundTrip(req)
	if err != nil {
		result.err, result.latency = err.Error(), time.Since(result.sent)
		return
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	text, err := io.ReadAll(resp.Body)
	result.latency = time.Since(result.sent) // the comparison of a large body takes time, too
	if err != nil {
		result.err, result.broken = err.Error(), true
		return
	}
	result.received(resp.StatusCode, resp.Header, text)
}

// received records a complete response and compares it with the expected one.
func (c *call) received(status int, header http.Header, text []byte) {
	c.status = status
	if status != http.StatusOK {
		return
	}
	switch {
	case header.Get("Response-Seal") == "":
		c.mismatch = "200 response without Response-Seal"
	case string(text) != crtarget.Answer(c.id, c.kind.method, c.path, c.download):
		c.mismatch = fmt.Sprintf("unexpected response body of %d bytes, %.100q", len(text), text)
	}
}
