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
)

// callerWait is how long a caller waits for its answer.
const callerWait = 2 * time.Second

// call is one request of a caller and what came of it.
type call struct {
	id      string
	machine int
	kind    kind
	path    string
	body    string
	account string
	key     string
	sent    time.Time
	took    time.Duration
	status  int    // zero: no whole answer came
	fault   string // what was wrong with a success
	err     string
}

// kind is a kind of request.
type kind struct {
	path    string
	method  string
	service string
	once    bool
	targets int // that a request may be sent to, at most
}

func kinds() []kind {
	return []kind{
		{path: "/look/", method: http.MethodGet, service: "s0", targets: 3},
		{path: "/hold/", method: http.MethodPost, service: "s0", once: true, targets: 3},
		{path: "/read/", method: http.MethodGet, service: "s1", targets: 2},
		{path: "/pay/", method: http.MethodPut, service: "s1", once: true, targets: 2},
	}
}

// book keeps all calls.
type book struct {
	next  atomic.Int64
	mu    sync.Mutex
	calls []call
}

func (b *book) add(c call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, c)
}

func (b *book) all() []call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]call(nil), b.calls...)
}

// keyring is the keys of the accounts over time.
type keyring struct {
	mu        sync.Mutex
	accounts  []crstage.Account
	owner     map[string]string
	issued    map[string]time.Time
	withdrawn map[string]time.Time
}

func newKeyring(accounts []crstage.Account) *keyring {
	k := &keyring{
		accounts: accounts, owner: make(map[string]string), issued: make(map[string]time.Time), withdrawn: make(map[string]time.Time),
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			k.owner[key] = a.Name
		}
	}
	return k
}

// oldShare is the part of the requests that bear a withdrawn key, if there is one.
const oldShare = 0.04

func (k *keyring) pick(r *rand.Rand) (name, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Float64() < oldShare {
		for key := range k.withdrawn {
			return k.owner[key], key
		}
	}
	a := k.accounts[r.IntN(len(k.accounts))]
	return a.Name, a.Keys[r.IntN(len(a.Keys))]
}

func (k *keyring) now() []crstage.Account {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]crstage.Account(nil), k.accounts...)
}

// replace withdraws the first key of an account and gives it another one; it
// returns the accounts as they then are.
func (k *keyring) replace(i int, key string) []crstage.Account {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := time.Now()
	a := &k.accounts[i]
	k.withdrawn[a.Keys[0]] = at
	k.issued[key] = at
	k.owner[key] = a.Name
	a.Keys = append(append([]string(nil), a.Keys[1:]...), key)
	return append([]crstage.Account(nil), k.accounts...)
}

// times returns when a key was issued and withdrawn; zero: at the start, and not.
func (k *keyring) times(key string) (issued, withdrawn time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.issued[key], k.withdrawn[key]
}

// caller sends requests at one machine one after the other. It keeps its
// connection open until the process at the other end is gone.
type caller struct {
	machine *machine
	book    *book
	keys    *keyring
	rand    *rand.Rand
	client  *http.Client
	pause   func() time.Duration
}

func newCaller(m *machine, b *book, k *keyring, seed uint64, pause func() time.Duration) *caller {
	return &caller{
		machine: m, book: b, keys: k, rand: rand.New(rand.NewPCG(seed, uint64(m.index))), pause: pause,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.call(ctx)
		wait := time.Duration((0.5 + c.rand.Float64()) * float64(c.pause()))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// call sends one request and books what came of it. The end of the run does not
// cut it.
func (c *caller) call(ctx context.Context) {
	all := kinds()
	k := all[c.rand.IntN(len(all))]
	name, key := c.keys.pick(c.rand)
	done := call{
		id: "q" + strconv.FormatInt(c.book.next.Add(1), 10), machine: c.machine.index, kind: k, account: name, key: key, sent: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerWait)
	defer cancel()
	done.path = k.path + strconv.Itoa(c.rand.IntN(100)) + "?a=1&b=%2F"
	if k.once {
		done.body = "body of " + done.id
	}
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+c.machine.plan.real(c.machine.index, crstage.PortCaller)+done.path, strings.NewReader(done.body))
	if err != nil {
		done.err = err.Error()
		c.book.add(done)
		return
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", done.id)
	req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(callerWait.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+key)
	c.answer(req, &done)
	done.took = time.Since(done.sent)
	c.book.add(done)
}

func (c *caller) answer(req *http.Request, done *call) {
	// A round trip alone: a client that sends again by itself would be two callers.
	resp, err := c.client.Transport.RoundTrip(req)
	if err != nil {
		done.err = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }() // it was read to its end
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		done.err = err.Error()
		return
	}
	done.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return
	}
	want := fmt.Sprintf("answer to %s %s %s\n", done.id, done.kind.method, done.path)
	switch {
	case resp.Header.Get("Response-Seal") == "":
		done.fault = "a success without the target's seal"
	case string(text) != want:
		done.fault = fmt.Sprintf("the answer is %q", text)
	}
}
