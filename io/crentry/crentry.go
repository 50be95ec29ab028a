// Package crentry is the HTTP handler with which the daemon of io/crdaemon serves
// callers. It authenticates a caller by its key, removes the key from the request,
// applies the account's rate limit, finds the route, and forwards the request to a
// target by the protocol of io/crhop, with retries where they are safe. The caller gets
// the target's whole response, an aborted stream, or a refusal that states whether the
// request may have run. The daemon of io/crmesh uses io/cringress instead.
//
// # Usage
//
//	e := crentry.New(crentry.Options{View: view, Trusted: trusted, Admitter: limiter, Forwarder: forwarder, Clock: clock, Observe: observe})
//	srv := crentry.NewServer(e, crentry.ServerOptions{...})
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
	// Forward sends a request to a target and returns once it has the head of the
	// response. It calls sent just before it writes the first byte.
	Forward(ctx context.Context, to *crroute.Target, f *crhop.Forward, body BodySource, sent func(Revoker)) (*crhop.Exchange, error)
}

// Revoker makes the exit prevent the start of a forward, or report that it was started.
type Revoker interface {
	Revoke(ctx context.Context) crforward.RevokeResult
}

// Admitter takes one token from an account's fleet-wide rate limit. It waits only for an
// account without recent requests at this daemon, and only briefly.
type Admitter interface {
	Admit(ctx context.Context, account crid.Account, now crid.Instant) (ok bool, retryAfter time.Duration)
}

// AttemptOutcome is the result of one attempt on a target. The outcome of a whole request,
// which the caller gets, is a crforward.Outcome.
type AttemptOutcome uint8

// The outcomes of attempts, as health evidence about a target.
const (
	OutcomeOK          AttemptOutcome = iota + 1
	OutcomeFailed                     // 5xx response, or the connection failed
	OutcomeWrong                      // the response belongs to another request
	OutcomeStalled                    // no response in time
	OutcomeShed                       // rejected by the target or its exit because of overload
	OutcomeUnreachable                // this daemon could not reach the exit
)

// Options configure an Entry.
type Options struct {
	View            func() *crview.View         // returns nil until there is a configuration
	Trusted         func(now crid.Instant) bool // whether the view's keys and policy may still be used
	Admitter        Admitter
	Forwarder       Forwarder
	Clock           func() crid.Instant
	Observe         func(service crid.Service, target crid.Target, account crid.Account, o AttemptOutcome, took time.Duration)
	Picker          crroute.Picker[*crroute.Target] // nil: TwoChoices
	ReplayBytes     int                             // request body bytes buffered for another attempt
	MaxInFlight     int64                           // further requests are refused
	BodyIdleTimeout time.Duration                   // without progress on a request or response body
}

// Counters count requests by outcome, those refused for their key (Denied) or rate
// (Limited), and retries.
type Counters struct {
	Answered, NotRun, Unknown, Cut, Denied, Limited, Retried atomic.Int64
}

// Entry is the HTTP handler for callers. It is safe for concurrent use.
type Entry struct {
	opts     Options
	picker   crroute.Picker[*crroute.Target]
	budget   *crforward.RetryBudget
	inflight atomic.Int64
	draining atomic.Bool
	counters Counters
}

// New returns an Entry.
func New(opts Options) *Entry {
	if opts.Picker == nil {
		opts.Picker = crroute.TwoChoices[*crroute.Target]{}
	}
	return &Entry{
		opts:   opts,
		picker: opts.Picker,
		budget: crforward.NewRetryBudget(crforward.DefaultRetryBudgetParams(), opts.Clock()),
	}
}

// Counters returns the live counters.
func (e *Entry) Counters() *Counters { return &e.counters }

// InFlight returns the number of callers' requests being served.
func (e *Entry) InFlight() int64 { return e.inflight.Load() }

// Drain makes the entry refuse new requests; those in flight continue.
func (e *Entry) Drain() { e.draining.Store(true) }

const (
	defaultRetryAfter = time.Second     // Retry-After of a temporary refusal
	startupRetryAfter = 2 * time.Second // Retry-After until the daemon has its configuration
)

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := e.inflight.Add(1)
	defer e.inflight.Add(-1)
	// Without full duplex net/http reads the rest of a body before it writes
	// the response, and a refusal would wait for a slow upload.
	_ = http.NewResponseController(w).EnableFullDuplex()
	crlink.CloseAfterChunkedBody(w, r)
	body := newBody(w, r, e.opts.ReplayBytes, e.opts.BodyIdleTimeout)
	defer body.close()
	if refused := e.precheck(r, n); refused != nil {
		e.refuse(w, body, refused)
		return
	}
	req, refused := e.admit(r)
	if refused != nil {
		e.refuse(w, body, refused)
		return
	}
	e.serve(w, r, req, body)
}

// precheck applies the checks that do not need the configuration.
func (e *Entry) precheck(r *http.Request, inflight int64) *refusal {
	switch {
	case e.draining.Load():
		return &refusal{status: http.StatusServiceUnavailable, reason: "this daemon is stopping", retryAfter: defaultRetryAfter, close: true}
	case inflight > e.opts.MaxInFlight:
		return &refusal{status: http.StatusServiceUnavailable, reason: "too many requests in flight here", retryAfter: defaultRetryAfter}
	case !r.ProtoAtLeast(1, 1):
		// For an HTTP/1.0 client the end of the connection is the end of the
		// response, so a truncated response would look complete.
		return &refusal{status: http.StatusHTTPVersionNotSupported, reason: "HTTP/1.1 or later is needed", permanent: true}
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		return &refusal{status: http.StatusNotImplemented, reason: "tunnels and upgrades are not carried", permanent: true}
	}
	return nil
}

// admittedRequest is a request that was authenticated, matched to a route and admitted.
type admittedRequest struct {
	view    *crview.View
	account crid.Account
	service crid.Service
	route   crpolicy.Route
	id      crid.Request
	uri     string
	header  http.Header
	started crid.Instant
}

func (e *Entry) admit(r *http.Request) (*admittedRequest, *refusal) {
	now := e.opts.Clock()
	view := e.opts.View()
	if view == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: startupRetryAfter, close: true}
	}
	if !e.opts.Trusted(now) {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "cut off from the fleet", retryAfter: defaultRetryAfter, close: true}
	}
	cred, refused := readCredential(r)
	if refused != nil {
		e.counters.Denied.Add(1)
		return nil, refused
	}
	account, ok := view.Snapshot().AccountByKey(crpolicy.HashKey(cred.key))
	if !ok {
		e.counters.Denied.Add(1)
		return nil, &refusal{status: http.StatusUnauthorized, reason: "unknown or withdrawn key", permanent: true}
	}
	req := &admittedRequest{view: view, account: account.Name, started: now, uri: cred.uri, header: cred.header}
	if refused := req.match(r); refused != nil {
		return nil, refused
	}
	if ok, retry := e.opts.Admitter.Admit(r.Context(), account.Name, now); !ok {
		e.counters.Limited.Add(1)
		return nil, &refusal{status: http.StatusTooManyRequests, reason: "the account's rate is used up", retryAfter: retry}
	}
	req.id = newRequestID()
	return req, nil
}

func (a *admittedRequest) match(r *http.Request) *refusal {
	path := r.URL.EscapedPath()
	if err := crroute.CheckPath(path); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error(), permanent: true}
	}
	service, route, ok := a.view.Table().Match(r.Host, r.Method, path)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no route matches", permanent: true}
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
