// Package crentry is the entry side of a daemon: an HTTP handler that knows the
// caller by its key, takes the key off, admits the request against the
// account's rate, finds route and target, forwards, and tells the caller only
// what is true.
//
// # Usage
//
//	e := crentry.New(crentry.Options{View: holder.Load, Trusted: trusted, Admit: wallet, Hop: hop})
//	http.Server{Handler: e}
package crentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crroute"
	"camphorroad/core/crview"
	"camphorroad/io/crhop"
	"camphorroad/io/crlink"
)

// Forwarder forwards one attempt.
type Forwarder interface {
	// Forward sends a request to a target and returns once the head of the
	// answer is there. sent is called just before anything goes out.
	Forward(ctx context.Context, to *crroute.Target, f *crhop.Forward, body BodySource, sent func(Revoker)) (*crhop.Exchange, error)
}

// Revoker asks the exit to say whether a forward was started.
type Revoker interface {
	Revoke(ctx context.Context) crforward.RevokeResult
}

// Admitter takes one request from an account's fleet-wide limit. It never waits
// longer than a moment, and only for an account not seen here lately.
type Admitter interface {
	Admit(ctx context.Context, account crid.Account, now crid.Instant) (ok bool, retryAfter time.Duration)
}

// Outcome is what an attempt showed of a target.
type Outcome uint8

// The outcomes of attempts, as evidence on a target.
const (
	OutcomeOK          Outcome = iota + 1
	OutcomeFailed              // status 5xx, or the connection broke
	OutcomeWrong               // another request's answer
	OutcomeStalled             // no answer in time
	OutcomeShed                // the target or its exit refused for load
	OutcomeUnreachable         // the exit daemon could not be reached from here
)

// Options configure an Entry.
type Options struct {
	View            func() *crview.View // nil until there is a configuration
	Trusted         func(now crid.Instant) bool
	Admitter        Admitter
	Forwarder       Forwarder
	Clock           func() crid.Instant
	Observe         func(service crid.Service, target crid.Target, account crid.Account, o Outcome, took time.Duration)
	Picker          crroute.Picker[*crroute.Target] // nil: TwoChoices
	ReplayBytes     int                             // bytes of a body kept for another attempt
	MaxInFlight     int64                           // requests in flight at most
	BodyIdleTimeout time.Duration                   // longest silence of a caller within a body, either way
}

// Counters count requests by outcome.
type Counters struct {
	Answered, NotRun, Unknown, Cut, Denied, Limited, Retried atomic.Int64
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	opts     Options
	chooser  crroute.Picker[*crroute.Target]
	budget   *crforward.RetryBudget
	inflight atomic.Int64
	stopping atomic.Bool
	counters Counters
}

// New returns an Entry.
func New(opts Options) *Entry {
	if opts.Picker == nil {
		opts.Picker = crroute.TwoChoices[*crroute.Target]{}
	}
	return &Entry{
		opts:    opts,
		chooser: opts.Picker,
		budget:  crforward.NewRetryBudget(crforward.DefaultRetryBudgetParams(), opts.Clock()),
	}
}

// Counters returns the live counters.
func (e *Entry) Counters() *Counters { return &e.counters }

// InFlight is the number of callers' requests being served.
func (e *Entry) InFlight() int64 { return e.inflight.Load() }

// Drain makes the entry refuse new requests; those in flight go on.
func (e *Entry) Drain() { e.stopping.Store(true) }

const (
	soon          = time.Second     // when to come back after a passing trouble
	whileStarting = 2 * time.Second // until a daemon has its configuration
)

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := e.inflight.Add(1)
	defer e.inflight.Add(-1)
	// Without full duplex net/http reads the rest of a body before it writes
	// the answer, and a refusal would wait for a slow caller's upload.
	_ = http.NewResponseController(w).EnableFullDuplex()
	crlink.CloseAfterChunks(w, r)
	body := newBody(w, r, e.opts.ReplayBytes, e.opts.BodyIdleTimeout)
	defer body.close()
	if refused := e.gate(r, n); refused != nil {
		e.refuse(w, body, refused)
		return
	}
	req, refused := e.accept(r)
	if refused != nil {
		e.refuse(w, body, refused)
		return
	}
	e.serve(w, r, req, body)
}

// gate refuses what needs no look at the configuration.
func (e *Entry) gate(r *http.Request, inflight int64) *refusal {
	switch {
	case e.stopping.Load():
		return &refusal{status: http.StatusServiceUnavailable, reason: "this daemon is stopping", retry: soon, close: true}
	case inflight > e.opts.MaxInFlight:
		return &refusal{status: http.StatusServiceUnavailable, reason: "too many requests in flight here", retry: soon}
	case !r.ProtoAtLeast(1, 1):
		// An HTTP/1.0 caller takes the end of the connection for the end of
		// the answer, so it could not tell an answer that was cut from a whole one.
		return &refusal{status: http.StatusHTTPVersionNotSupported, reason: "HTTP/1.1 or later is needed", final: true}
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		return &refusal{status: http.StatusNotImplemented, reason: "tunnels and upgrades are not carried", final: true}
	}
	return nil
}

// accepted is a request that was authenticated, matched and admitted.
type accepted struct {
	view    *crview.View
	account crid.Account
	service crid.Service
	route   crpolicy.Route
	id      crid.Request
	uri     string
	header  http.Header
	started crid.Instant
}

func (e *Entry) accept(r *http.Request) (*accepted, *refusal) {
	now := e.opts.Clock()
	view := e.opts.View()
	if view == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retry: whileStarting, close: true}
	}
	if !e.opts.Trusted(now) {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "cut off from the fleet", retry: soon, close: true}
	}
	cred, refused := readCredential(r)
	if refused != nil {
		e.counters.Denied.Add(1)
		return nil, refused
	}
	account, ok := view.Snapshot().AccountByKey(crpolicy.HashKey(cred.key))
	if !ok {
		e.counters.Denied.Add(1)
		return nil, &refusal{status: http.StatusUnauthorized, reason: "unknown or withdrawn key", final: true}
	}
	req := &accepted{view: view, account: account.Name, started: now, uri: cred.uri, header: cred.header}
	if refused := req.match(r); refused != nil {
		return nil, refused
	}
	if ok, retry := e.opts.Admitter.Admit(r.Context(), account.Name, now); !ok {
		e.counters.Limited.Add(1)
		return nil, &refusal{status: http.StatusTooManyRequests, reason: "the account's rate is used up", retry: retry}
	}
	req.id = newRequestID()
	return req, nil
}

func (a *accepted) match(r *http.Request) *refusal {
	path := r.URL.EscapedPath()
	if err := crroute.CheckPath(path); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error(), final: true}
	}
	service, route, ok := a.view.Table().Match(r.Host, r.Method, path)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no route matches", final: true}
	}
	a.service = service
	a.route = route
	return nil
}

func newRequestID() crid.Request {
	var id crid.Request
	a, b := rand.Uint64(), rand.Uint64()
	for i := range 8 {
		id[i] = byte(a >> (8 * i))
		id[8+i] = byte(b >> (8 * i))
	}
	return id
}
