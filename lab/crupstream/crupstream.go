// Package crupstream is a stand-in for one upstream of the users: it has slots,
// a service time, health and load endpoints, a known answer for probes, sheds
// load, has a cold start, drains, and fails gray on request. It counts how
// often each request ran, which is what proofs of at-most-once compare with
// what callers were told.
//
// # Usage
//
//	u := crupstream.New(crupstream.Options{Name: "booking-1", Slots: 5, Service: 5 * time.Millisecond})
//	http.ListenAndServe("127.0.0.1:9100", u)
//
// Faults are switched by POST /lab/fault with a JSON [Fault]; GET /lab/runs
// tells what ran. A request's query may ask for work=MS of service time in place
// of the usual, for an answer of bytes=N more, and for that answer to come in
// parts over drip=MS.
package crupstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ProbeAnswer is the known answer of the probe path.
const ProbeAnswer = "known-answer"

// Header names of the stand-in's own protocol.
const (
	HeaderLabID    = "X-Lab-Id"       // the load tool's name of a request
	HeaderEcho     = "X-Request-Echo" // echoes the fleet's request identity
	headerRequest  = "Camphorroad-Request"
	headerAccount  = "Camphorroad-Account"
	headerDraining = "X-Draining"
	keyMark        = "crk_"
)

// Kind names a fault.
type Kind string

// The faults.
const (
	FaultNone   Kind = "none"
	FaultSlow   Kind = "slow"   // service time times Factor
	FaultWrong  Kind = "wrong"  // somebody else's answer
	FaultStall  Kind = "stall"  // no answer until the caller gives up
	FaultReset  Kind = "reset"  // the connection breaks within the body
	FaultError  Kind = "error"  // status 500
	FaultFlap   Kind = "flap"   // slow and well in turn, each for Period
	FaultLie    Kind = "lie"    // slow, while health and load report a well target
	FaultLate   Kind = "late"   // runs at once, answers after Factor service times
	FaultRefuse Kind = "refuse" // sheds every request
	FaultPoison Kind = "poison" // status 500 for the requests of one account
)

// Fault is a fault in force.
type Fault struct {
	Kind    Kind          `json:"kind"`
	Factor  float64       `json:"factor"`
	Period  time.Duration `json:"period"`
	Health  string        `json:"health"`  // what /health says while the fault lasts: "ok" or "sick"
	Account string        `json:"account"` // of poison
}

// Options configure an upstream.
type Options struct {
	Name    string
	Slots   int
	Queue   int           // waiting requests before it sheds
	Service time.Duration // service time of one request
	Cold    time.Duration // after start, service time falls from four times to one over this
}

// Upstream is an http.Handler.
type Upstream struct {
	opts     Options
	started  time.Time
	slots    chan struct{}
	inflight atomic.Int64
	leaks    atomic.Int64
	draining atomic.Bool
	fault    atomic.Pointer[Fault]
	since    atomic.Int64

	mu   sync.Mutex
	runs map[string]int
	by   map[string]int
	log  []Run
	peak int64
}

// Run is one request that ran.
type Run struct {
	ID      string // the load tool's name
	Account string
	At      time.Time
}

// New returns an upstream without a fault.
func New(opts Options) *Upstream {
	u := &Upstream{
		opts:    opts,
		started: time.Now(),
		slots:   make(chan struct{}, opts.Slots),
		runs:    make(map[string]int),
		by:      make(map[string]int),
	}
	u.SetFault(Fault{Kind: FaultNone})
	return u
}

// SetFault switches the fault.
func (u *Upstream) SetFault(f Fault) {
	u.since.Store(time.Now().UnixNano())
	u.fault.Store(&f)
}

// Drain makes the upstream finish what it has and shed all new work, for good.
func (u *Upstream) Drain() { u.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		u.health(w)
	case "/load":
		u.load(w)
	case "/probe":
		u.probe(w, r)
	case "/lab/fault":
		u.setFault(w, r)
	case "/lab/runs":
		u.reportRuns(w)
	case "/lab/drain":
		u.Drain()
	default:
		u.work(w, r)
	}
}

func (u *Upstream) health(w http.ResponseWriter) {
	f := u.fault.Load()
	sick := f.Health == "sick" || (f.Kind == FaultError && f.Health == "")
	if u.draining.Load() {
		w.Header().Set(headerDraining, "1")
	}
	if sick || u.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, "{}\n")
}

// Load is what the load endpoint reports.
type Load struct {
	InFlight int64 `json:"inflight"`
	Slots    int   `json:"slots"`
	Draining bool  `json:"draining"`
}

func (u *Upstream) load(w http.ResponseWriter) {
	n := u.inflight.Load()
	if u.fault.Load().Kind == FaultLie {
		n = 0
	}
	writeJSON(w, Load{InFlight: n, Slots: u.opts.Slots, Draining: u.draining.Load()})
}

func (u *Upstream) probe(w http.ResponseWriter, r *http.Request) {
	f := u.fault.Load()
	if !u.pause(r, u.serviceTime(f)) {
		return
	}
	if f.Kind == FaultWrong {
		_, _ = io.WriteString(w, "wrong")
		return
	}
	_, _ = io.WriteString(w, ProbeAnswer)
}

func (u *Upstream) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFault(f)
}

// Runs is what ran so far.
type Runs struct {
	Name     string         `json:"name"`
	Total    int            `json:"total"`
	Requests map[string]int `json:"requests"` // runs by the load tool's request name
	Accounts map[string]int `json:"accounts"`
	Leaks    int64          `json:"leaks"` // requests that carried a client key
	Peak     int64          `json:"peak"`  // most in flight at once
}

// Runs returns what ran so far.
func (u *Upstream) Runs() Runs {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := Runs{Name: u.opts.Name, Requests: make(map[string]int), Accounts: make(map[string]int), Leaks: u.leaks.Load(), Peak: u.peak}
	for id, n := range u.runs {
		out.Requests[id] = n
		out.Total += n
	}
	for a, n := range u.by {
		out.Accounts[a] = n
	}
	return out
}

func (u *Upstream) reportRuns(w http.ResponseWriter) { writeJSON(w, u.Runs()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (u *Upstream) work(w http.ResponseWriter, r *http.Request) {
	n := u.inflight.Add(1)
	defer u.inflight.Add(-1)
	f := u.fault.Load()
	if u.draining.Load() || f.Kind == FaultRefuse || n > int64(u.opts.Slots+u.opts.Queue) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.record(r, n)
	if !u.pause(r, u.timeFor(r, f)) {
		return
	}
	u.answer(w, r, f, body)
}

func (u *Upstream) record(r *http.Request, n int64) {
	if carriesKey(r) {
		u.leaks.Add(1)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[r.Header.Get(HeaderLabID)]++
	u.by[r.Header.Get(headerAccount)]++
	u.log = append(u.log, Run{ID: r.Header.Get(HeaderLabID), Account: r.Header.Get(headerAccount), At: time.Now()})
	u.peak = max(u.peak, n)
}

// Log returns every run in the order of its start.
func (u *Upstream) Log() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.log)
}

func carriesKey(r *http.Request) bool {
	uri, _ := url.QueryUnescape(r.RequestURI)
	if strings.Contains(uri, keyMark) || r.Header.Get("Authorization") != "" {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if strings.Contains(v, keyMark) {
				return true
			}
		}
	}
	return false
}

func (u *Upstream) serviceTime(f *Fault) time.Duration {
	d := u.opts.Service
	switch f.Kind {
	case FaultSlow, FaultLie, FaultLate:
		d = time.Duration(float64(d) * f.Factor)
	case FaultStall:
		d = time.Hour
	case FaultFlap:
		since := time.Since(time.Unix(0, u.since.Load()))
		if f.Period > 0 && (since/f.Period)%2 == 0 {
			d = time.Duration(float64(d) * f.Factor)
		}
	case FaultNone, FaultWrong, FaultReset, FaultError, FaultRefuse, FaultPoison:
	}
	if age := time.Since(u.started); age < u.opts.Cold {
		d += time.Duration(3 * float64(d) * (1 - float64(age)/float64(u.opts.Cold)))
	}
	return d
}

// timeFor is the service time of one request; the fault's part in it stays.
func (u *Upstream) timeFor(r *http.Request, f *Fault) time.Duration {
	asked, ok := millis(r, "work")
	if !ok || u.opts.Service == 0 {
		return u.serviceTime(f)
	}
	return time.Duration(float64(u.serviceTime(f)) / float64(u.opts.Service) * float64(asked))
}

func millis(r *http.Request, name string) (time.Duration, bool) {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	return time.Duration(n) * time.Millisecond, err == nil && n > 0
}

// pause reports false when the caller has given up meanwhile.
func (u *Upstream) pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Answer is the body of every answer.
type Answer struct {
	ID       string `json:"id"` // the request's X-Lab-Id
	Account  string `json:"account"`
	Upstream string `json:"upstream"`
	Length   int    `json:"length"` // bytes of the request's body
	Fill     string `json:"fill,omitempty"`
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, f *Fault, body []byte) {
	if f.Kind == FaultError || (f.Kind == FaultPoison && f.Account == r.Header.Get(headerAccount)) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	a := Answer{ID: r.Header.Get(HeaderLabID), Account: r.Header.Get(headerAccount), Upstream: u.opts.Name, Length: len(body)}
	echo := r.Header.Get(headerRequest)
	if f.Kind == FaultWrong {
		a.ID, echo = "another", "another"
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n > 0 {
		a.Fill = strings.Repeat("x", n)
	}
	b, err := json.Marshal(a)
	if err != nil {
		panic(fmt.Sprintf("marshal answer: %v", err))
	}
	w.Header().Set(HeaderEcho, echo)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if f.Kind == FaultReset {
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if over, ok := millis(r, "drip"); ok {
		u.drip(w, r, b, over)
		return
	}
	_, _ = w.Write(b)
}

// dripParts is the number of parts of an answer that comes slowly.
const dripParts = 20

func (u *Upstream) drip(w http.ResponseWriter, r *http.Request, b []byte, over time.Duration) {
	rc := http.NewResponseController(w)
	size := max(1, len(b)/dripParts)
	for part := range slices.Chunk(b, size) {
		if _, err := w.Write(part); err != nil || rc.Flush() != nil {
			return
		}
		if !u.pause(r, over/dripParts) {
			return
		}
	}
}
