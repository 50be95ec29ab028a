// Package crupstream implements a fake upstream. It has slots and a queue, a service
// time, health, load and probe endpoints, load shedding, a warm-up and a drain, and
// it injects partial failures. It counts how often it executed each request; the
// checks of at-most-once execution compare this with the responses that callers got.
// crfleet, crload, the command "camphorlab upstream" and the tests of io/crexit and
// e2e use it. crtarget is the fake of a target on the users' platform, with the
// platform's seals and headers.
//
// # Usage
//
//	u := crupstream.New(crupstream.Options{Name: "booking-1", Slots: 5, ServiceTime: 5 * time.Millisecond})
//	http.ListenAndServe("127.0.0.1:9100", u)
//
// POST /lab/fault with a JSON [Fault] sets the fault, POST /lab/drain starts the drain,
// and GET /lab/runs returns the executed requests as [Runs]. Query parameters of a
// request: work=MS replaces the service time, bytes=N adds N bytes to the response, and
// drip=MS sends the response in parts over that time.
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

// ProbeBody is the response body of the probe path.
const ProbeBody = "known-answer"

// Names of headers, and the prefix of client keys.
const (
	HeaderLabID     = "X-Lab-Id"       // the load generator's ID of a request
	HeaderEcho      = "X-Request-Echo" // returns the value of Camphorroad-Request
	headerRequest   = "Camphorroad-Request"
	headerAccount   = "Camphorroad-Account"
	headerDraining  = "X-Draining"
	clientKeyPrefix = "crk_"
)

// Kind is a kind of fault.
type Kind string

// The faults.
const (
	FaultNone   Kind = "none"
	FaultSlow   Kind = "slow"   // service time multiplied by Factor
	FaultWrong  Kind = "wrong"  // response to another request
	FaultStall  Kind = "stall"  // no response until the caller cancels
	FaultReset  Kind = "reset"  // connection closed within the response body
	FaultError  Kind = "error"  // status 500
	FaultFlap   Kind = "flap"   // alternates between slow and no fault, each for Period
	FaultLie    Kind = "lie"    // slow, while health and load report a healthy, idle upstream
	FaultLate   Kind = "late"   // executes at once and responds after the service time multiplied by Factor
	FaultRefuse Kind = "refuse" // sheds every request
	FaultPoison Kind = "poison" // status 500 for the requests of one account
)

// Fault configures a fault.
type Fault struct {
	Kind    Kind          `json:"kind"`
	Factor  float64       `json:"factor"`  // of the service time, for FaultSlow, FaultFlap, FaultLie and FaultLate
	Period  time.Duration `json:"period"`  // nanoseconds, for FaultFlap
	Health  string        `json:"health"`  // result of /health during the fault: "ok" or "sick"; empty: sick only with the error kind
	Account string        `json:"account"` // for FaultPoison
}

// Options configure an upstream.
type Options struct {
	Name        string
	Slots       int
	Queue       int // maximum number of waiting requests; more are shed
	ServiceTime time.Duration
	Warmup      time.Duration // time after the start in which the service time falls from four times ServiceTime to ServiceTime
}

// Upstream is the fake upstream, an http.Handler. It is safe for concurrent use.
type Upstream struct {
	opts       Options
	started    time.Time
	slots      chan struct{}
	inflight   atomic.Int64
	leaks      atomic.Int64
	draining   atomic.Bool
	fault      atomic.Pointer[Fault]
	faultSince atomic.Int64

	mu        sync.Mutex
	runs      map[string]int
	byAccount map[string]int
	runLog    []Run
	peak      int64
}

// Run is an executed request.
type Run struct {
	ID      string // value of HeaderLabID
	Account string
	At      time.Time
}

// New returns an upstream without a fault.
func New(opts Options) *Upstream {
	u := &Upstream{
		opts:      opts,
		started:   time.Now(),
		slots:     make(chan struct{}, opts.Slots),
		runs:      make(map[string]int),
		byAccount: make(map[string]int),
	}
	u.SetFault(Fault{Kind: FaultNone})
	return u
}

// SetFault replaces the fault and restarts the periods of FaultFlap.
func (u *Upstream) SetFault(f Fault) {
	u.faultSince.Store(time.Now().UnixNano())
	u.fault.Store(&f)
}

// Drain makes the upstream finish its accepted requests and shed all later ones. It
// cannot be undone.
func (u *Upstream) Drain() { u.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		u.serveHealth(w)
	case "/load":
		u.serveLoad(w)
	case "/probe":
		u.serveProbe(w, r)
	case "/lab/fault":
		u.serveSetFault(w, r)
	case "/lab/runs":
		u.serveRuns(w)
	case "/lab/drain":
		u.Drain()
	default:
		u.serveRequest(w, r)
	}
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	f := u.fault.Load()
	unhealthy := f.Health == "sick" || (f.Kind == FaultError && f.Health == "")
	if u.draining.Load() {
		w.Header().Set(headerDraining, "1")
	}
	if unhealthy || u.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, "{}\n")
}

// Load is the response of the load endpoint.
type Load struct {
	InFlight int64 `json:"inflight"`
	Slots    int   `json:"slots"`
	Draining bool  `json:"draining"`
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	n := u.inflight.Load()
	if u.fault.Load().Kind == FaultLie {
		n = 0
	}
	writeJSON(w, Load{InFlight: n, Slots: u.opts.Slots, Draining: u.draining.Load()})
}

func (u *Upstream) serveProbe(w http.ResponseWriter, r *http.Request) {
	f := u.fault.Load()
	if !u.sleep(r, u.serviceTime(f)) {
		return
	}
	if f.Kind == FaultWrong {
		_, _ = io.WriteString(w, "wrong")
		return
	}
	_, _ = io.WriteString(w, ProbeBody)
}

func (u *Upstream) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFault(f)
}

// Runs summarizes the executed requests.
type Runs struct {
	Name     string         `json:"name"`
	Total    int            `json:"total"`
	Requests map[string]int `json:"requests"` // executions by HeaderLabID
	Accounts map[string]int `json:"accounts"`
	Leaks    int64          `json:"leaks"` // requests that carried a client key
	Peak     int64          `json:"peak"`  // maximum number of concurrent requests, waiting ones included
}

// Runs returns a summary of the requests executed so far.
func (u *Upstream) Runs() Runs {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := Runs{Name: u.opts.Name, Requests: make(map[string]int), Accounts: make(map[string]int), Leaks: u.leaks.Load(), Peak: u.peak}
	for id, n := range u.runs {
		out.Requests[id] = n
		out.Total += n
	}
	for a, n := range u.byAccount {
		out.Accounts[a] = n
	}
	return out
}

func (u *Upstream) serveRuns(w http.ResponseWriter) { writeJSON(w, u.Runs()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	inflight := u.inflight.Add(1)
	defer u.inflight.Add(-1)
	f := u.fault.Load()
	if u.draining.Load() || f.Kind == FaultRefuse || inflight > int64(u.opts.Slots+u.opts.Queue) {
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
	u.record(r, inflight)
	if !u.sleep(r, u.requestTime(r, f)) {
		return
	}
	u.respond(w, r, f, body)
}

func (u *Upstream) record(r *http.Request, inflight int64) {
	if hasClientKey(r) {
		u.leaks.Add(1)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[r.Header.Get(HeaderLabID)]++
	u.byAccount[r.Header.Get(headerAccount)]++
	u.runLog = append(u.runLog, Run{ID: r.Header.Get(HeaderLabID), Account: r.Header.Get(headerAccount), At: time.Now()})
	u.peak = max(u.peak, inflight)
}

// Log returns the executed requests in the order of their start.
func (u *Upstream) Log() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.runLog)
}

func hasClientKey(r *http.Request) bool {
	uri, _ := url.QueryUnescape(r.RequestURI)
	if strings.Contains(uri, clientKeyPrefix) || r.Header.Get("Authorization") != "" {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if strings.Contains(v, clientKeyPrefix) {
				return true
			}
		}
	}
	return false
}

func (u *Upstream) serviceTime(f *Fault) time.Duration {
	d := u.opts.ServiceTime
	switch f.Kind {
	case FaultSlow, FaultLie, FaultLate:
		d = time.Duration(float64(d) * f.Factor)
	case FaultStall:
		d = time.Hour
	case FaultFlap:
		since := time.Since(time.Unix(0, u.faultSince.Load()))
		if f.Period > 0 && (since/f.Period)%2 == 0 {
			d = time.Duration(float64(d) * f.Factor)
		}
	case FaultNone, FaultWrong, FaultReset, FaultError, FaultRefuse, FaultPoison:
	}
	if age := time.Since(u.started); age < u.opts.Warmup {
		d += time.Duration(3 * float64(d) * (1 - float64(age)/float64(u.opts.Warmup)))
	}
	return d
}

// requestTime returns the service time of a request. The fault and the warm-up scale a
// time given by the work parameter, too.
func (u *Upstream) requestTime(r *http.Request, f *Fault) time.Duration {
	given, ok := millis(r, "work")
	if !ok || u.opts.ServiceTime == 0 {
		return u.serviceTime(f)
	}
	return time.Duration(float64(u.serviceTime(f)) / float64(u.opts.ServiceTime) * float64(given))
}

func millis(r *http.Request, name string) (time.Duration, bool) {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	return time.Duration(n) * time.Millisecond, err == nil && n > 0
}

// sleep waits for d and reports false if the caller cancels first.
func (u *Upstream) sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Response is the JSON body of every successful response.
type Response struct {
	ID       string `json:"id"` // value of HeaderLabID in the request
	Account  string `json:"account"`
	Upstream string `json:"upstream"`
	Length   int    `json:"length"`         // bytes of the request body
	Fill     string `json:"fill,omitempty"` // as many bytes as the bytes parameter asks for
}

func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, f *Fault, body []byte) {
	if f.Kind == FaultError || (f.Kind == FaultPoison && f.Account == r.Header.Get(headerAccount)) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	resp := Response{ID: r.Header.Get(HeaderLabID), Account: r.Header.Get(headerAccount), Upstream: u.opts.Name, Length: len(body)}
	echo := r.Header.Get(headerRequest)
	if f.Kind == FaultWrong {
		resp.ID, echo = "another", "another"
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n > 0 {
		resp.Fill = strings.Repeat("x", n)
	}
	b, err := json.Marshal(resp)
	if err != nil {
		panic(fmt.Sprintf("encode the response: %v", err))
	}
	w.Header().Set(HeaderEcho, echo)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if f.Kind == FaultReset {
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if duration, ok := millis(r, "drip"); ok {
		u.writeSlowly(w, r, b, duration)
		return
	}
	_, _ = w.Write(b)
}

// slowParts is the number of parts in which writeSlowly sends a response.
const slowParts = 20

func (u *Upstream) writeSlowly(w http.ResponseWriter, r *http.Request, b []byte, duration time.Duration) {
	rc := http.NewResponseController(w)
	size := max(1, len(b)/slowParts)
	for part := range slices.Chunk(b, size) {
		if _, err := w.Write(part); err != nil || rc.Flush() != nil {
			return
		}
		if !u.sleep(r, duration/slowParts) {
			return
		}
	}
}
