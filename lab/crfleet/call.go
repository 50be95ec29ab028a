package crfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crhealth"
	"camphorroad/core/crmember"
	"camphorroad/lab/crupstream"
)

// ErrNotReady tells that a daemon did not become ready in time.
var ErrNotReady = errors.New("the daemon is not ready")

const (
	startTime = 20 * time.Second
	callTime  = 5 * time.Second
	pollTime  = 50 * time.Millisecond
)

// Request is one caller's request.
type Request struct {
	Account Account
	Method  string
	Path    string
	Body    io.Reader
	Header  http.Header
	ID      string       // counted by [Fleet.Runs]
	Client  *http.Client // nil: the default client
}

// Reply is what the caller got.
type Reply struct {
	Status  int
	Outcome string // the Camphorroad-Outcome header
	Header  http.Header
	Body    []byte
	Err     error // no whole answer
}

// Get sends a GET.
func (d *Daemon) Get(a Account, path string) Reply {
	return d.Call(context.Background(), Request{Account: a, Method: http.MethodGet, Path: path})
}

// Call sends a request to this daemon and reads the whole answer.
func (d *Daemon) Call(ctx context.Context, r Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, d.URL()+r.Path, r.Body)
	if err != nil {
		return Reply{Err: err}
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+r.Account.Key())
	if r.ID != "" {
		req.Header.Set(crupstream.HeaderLabID, r.ID)
	}
	client := r.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Reply{
		Status: resp.StatusCode, Outcome: resp.Header.Get("Camphorroad-Outcome"), Header: resp.Header, Body: body, Err: err,
	}
}

// Ready reports nil once the daemon takes callers' work.
func (d *Daemon) Ready() error {
	ctx, cancel := context.WithTimeout(d.fleet.ctx, callTime)
	defer cancel()
	_, err := d.fetchAdmin(ctx, "/ready")
	return err
}

// State is the operators' dump of a daemon.
type State struct {
	Daemon   string                     `json:"daemon"`
	Standing bool                       `json:"standing"`
	Parts    map[string]json.RawMessage `json:"parts"`
	Raw      []byte                     `json:"-"` // the whole dump
}

// Member is the dump's part on membership.
func (s State) Member() (crmember.Dump, error) {
	var m crmember.Dump
	err := json.Unmarshal(s.Parts["member"], &m)
	return m, err
}

// Config is the dump's part on configuration.
func (s State) Config() (crconfig.Dumped, error) {
	var c crconfig.Dumped
	err := json.Unmarshal(s.Parts["config"], &c)
	return c, err
}

// Health is the dump's part on the targets' health.
func (s State) Health() (crhealth.Dump, error) {
	var h crhealth.Dump
	err := json.Unmarshal(s.Parts["health"], &h)
	return h, err
}

// Ejected names the targets to which the daemon sends no work as sick.
func (s State) Ejected() []string {
	h, err := s.Health()
	if err != nil {
		return nil
	}
	var names []string
	for _, service := range h.Services {
		for _, t := range service.Steered {
			if t.Ejected {
				names = append(names, string(t.Target))
			}
		}
	}
	return names
}

// Reaches reports whether the daemon has two-way contact with a peer.
func (s State) Reaches(peer string) bool {
	m, err := s.Member()
	if err != nil {
		return false
	}
	for _, p := range m.Peers {
		if string(p.Daemon) == peer {
			return p.Reachable
		}
	}
	return false
}

// State asks for the operators' dump.
func (d *Daemon) State(ctx context.Context) (State, error) {
	body, err := d.fetchAdmin(ctx, "/state")
	if err != nil {
		return State{}, err
	}
	s := State{Raw: body}
	if err := json.Unmarshal(body, &s); err != nil {
		return State{}, fmt.Errorf("state of %s: %w", d.name, err)
	}
	return s, nil
}

// fetchAdmin makes one request to the operators' pages, without keeping the
// connection: the daemon behind it may be killed next.
func (d *Daemon) fetchAdmin(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.AdminURL()+path, nil)
	if err != nil {
		return nil, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", d.name, resp.Status)
	}
	return body, err
}

// WaitReady waits until the daemon is ready.
func (d *Daemon) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := poll(ctx, d.Ready); err != nil {
		return fmt.Errorf("%w: %s: %w\n%s", ErrNotReady, d.name, err, d.Log())
	}
	return nil
}

// WaitReady waits until all daemons but the spares are ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, d := range f.daemons[:f.opts.daemons] {
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// WaitTokens waits until each account is admitted at each daemon but the spares: a fresh fleet
// mints nothing for as long as tokens of a former one might still be spent.
func (f *Fleet) WaitTokens(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, a := range f.accountsNow() {
		for _, d := range f.daemons[:f.opts.daemons] {
			err := poll(ctx, func() error { return d.admits(a) })
			if err != nil {
				return fmt.Errorf("%w: %s for %s: %w\n%s", ErrNotReady, d.name, a.Name, err, d.Log())
			}
		}
	}
	return nil
}

// warmPath is a path that no route needs to have; any status but a refusal will
// do.
const warmPath = "/kits/warm"

func (d *Daemon) admits(a Account) error {
	r := d.Get(a, warmPath)
	if r.Err != nil {
		return r.Err
	}
	if r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable || r.Status == http.StatusUnauthorized {
		return fmt.Errorf("status %d: %s", r.Status, r.Body)
	}
	return nil
}

func (f *Fleet) accountsNow() []Account {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Account(nil), f.accounts...)
}

// poll calls check until it returns nil or ctx ends, and returns its last error.
func poll(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollTime):
		}
	}
}
