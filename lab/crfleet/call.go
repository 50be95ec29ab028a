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

// ErrNotReady reports that a daemon did not become ready within the timeout.
var ErrNotReady = errors.New("the daemon is not ready")

const (
	startTimeout = 20 * time.Second
	callTimeout  = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Request is a request of a client account.
type Request struct {
	Account Account
	Method  string
	Path    string
	Body    io.Reader
	Header  http.Header
	ID      string       // by which [Fleet.Runs] counts the runs; empty: not counted
	Client  *http.Client // nil: the default client
}

// Response is the response to a [Request].
type Response struct {
	Status  int
	Outcome string // the Camphorroad-Outcome header
	Header  http.Header
	Body    []byte
	Err     error // the response is missing or incomplete
}

// Get sends a GET request.
func (d *Daemon) Get(a Account, path string) Response {
	return d.Call(context.Background(), Request{Account: a, Method: http.MethodGet, Path: path})
}

// Call sends a request to this daemon and reads the whole response.
func (d *Daemon) Call(ctx context.Context, r Request) Response {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, d.URL()+r.Path, r.Body)
	if err != nil {
		return Response{Err: err}
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
		return Response{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Response{
		Status: resp.StatusCode, Outcome: resp.Header.Get("Camphorroad-Outcome"), Header: resp.Header, Body: body, Err: err,
	}
}

// Ready returns nil if the daemon accepts client requests.
func (d *Daemon) Ready() error {
	ctx, cancel := context.WithTimeout(d.fleet.ctx, callTimeout)
	defer cancel()
	_, err := d.fetchAdmin(ctx, "/ready")
	return err
}

// ErrIncompleteDump reports that a state dump lacks a part that this package reads.
var ErrIncompleteDump = errors.New("the state dump lacks a part")

// State holds the parts of a daemon's state dump that tests read.
type State struct {
	Daemon   string
	Standing bool  // the daemon may use its keys and policies
	Revision int64 // of the applied configuration
	Member   crmember.Dump
	Config   crconfig.Dump
	Health   crhealth.Dump
	Raw      []byte // the whole dump
}

// readState decodes a state dump. A missing part is an error: otherwise a test
// for the absence of ejections would pass on an empty part.
func readState(raw []byte) (State, error) {
	var dump struct {
		Daemon   string                     `json:"daemon"`
		Standing bool                       `json:"standing"`
		Revision int64                      `json:"revision"`
		Parts    map[string]json.RawMessage `json:"parts"`
	}
	if err := json.Unmarshal(raw, &dump); err != nil {
		return State{}, err
	}
	s := State{Daemon: dump.Daemon, Standing: dump.Standing, Revision: dump.Revision, Raw: raw}
	for name, part := range map[string]any{"member": &s.Member, "config": &s.Config, "health": &s.Health} {
		if len(dump.Parts[name]) == 0 {
			return State{}, fmt.Errorf("%w: %s", ErrIncompleteDump, name)
		}
		if err := json.Unmarshal(dump.Parts[name], part); err != nil {
			return State{}, fmt.Errorf("part %s: %w", name, err)
		}
	}
	return s, nil
}

// Ejected returns the names of the targets that the daemon has ejected as unhealthy.
func (s State) Ejected() []string {
	var names []string
	for _, service := range s.Health.Services {
		for _, t := range service.Routing {
			if t.Ejected {
				names = append(names, string(t.Target))
			}
		}
	}
	return names
}

// Reaches reports whether the daemon has two-way contact with a peer.
func (s State) Reaches(peer string) bool {
	for _, p := range s.Member.Peers {
		if string(p.Daemon) == peer {
			return p.Reachable
		}
	}
	return false
}

// State fetches the state dump from the admin listener.
func (d *Daemon) State(ctx context.Context) (State, error) {
	body, err := d.fetchAdmin(ctx, "/state")
	if err != nil {
		return State{}, err
	}
	s, err := readState(body)
	if err != nil {
		return State{}, fmt.Errorf("state of %s: %w", d.name, err)
	}
	return s, nil
}

// fetchAdmin makes one request to the admin listener. It does not keep the
// connection open, because the daemon may be killed before the next request.
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
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := poll(ctx, d.Ready); err != nil {
		return fmt.Errorf("%w: %s: %w\n%s", ErrNotReady, d.name, err, d.Log())
	}
	return nil
}

// WaitReady waits until all daemons except the spares are ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, d := range f.daemons[:f.opts.daemons] {
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// WaitTokens waits until each daemon except the spares admits each account. A new fleet
// does not refill buckets while tokens of a previous fleet might still be spent.
func (f *Fleet) WaitTokens(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, a := range f.currentAccounts() {
		for _, d := range f.daemons[:f.opts.daemons] {
			err := poll(ctx, func() error { return d.checkAdmitted(a) })
			if err != nil {
				return fmt.Errorf("%w: %s for %s: %w\n%s", ErrNotReady, d.name, a.Name, err, d.Log())
			}
		}
	}
	return nil
}

// probePath does not need a route: any status but 401, 429 and 503 shows that the
// account is admitted.
const probePath = "/kits/warm"

func (d *Daemon) checkAdmitted(a Account) error {
	r := d.Get(a, probePath)
	if r.Err != nil {
		return r.Err
	}
	if r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable || r.Status == http.StatusUnauthorized {
		return fmt.Errorf("status %d: %s", r.Status, r.Body)
	}
	return nil
}

func (f *Fleet) currentAccounts() []Account {
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
		case <-time.After(pollInterval):
		}
	}
}
