// Package crexit is the exit side of the daemon of io/crdaemon: it accepts
// forwards of io/crhop from entry daemons (its own included), admits them to the
// slots of its targets and runs them on the upstreams. Once a forward has been sent,
// only the exit can state that it did not run. The daemon of io/crmesh has its own
// exit, io/cregress, which serves a single target.
//
// # Usage
//
//	x := crexit.New(crexit.Options{Targets: cfg.Targets, PauseDetector: detector, Clock: crclock.Now})
//	x.Apply(snapshot)
//	serve := x.OpenSession(sessionCtx)                 // streams of another daemon
//	ex := x.Run(ctx, x.LocalLedger(), forward, body)   // this daemon's own entry
package crexit

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crhop"
	"camphorroad/io/crwire"
)

// TargetSpec describes an upstream that this daemon serves.
type TargetSpec struct {
	Name    crid.Target
	Service crid.Service
	Addr    string // host:port
}

// Options configure an Exit.
type Options struct {
	Targets         []TargetSpec
	PauseDetector   *crforward.PauseDetector
	Clock           func() crid.Instant
	BodyIdleTimeout time.Duration // longest gap between two reads of an upstream's response body; zero: no limit
	// Observe is called with the result of each run. It must not block and may be nil.
	Observe func(target crid.Target, account crid.Account, fault crhop.Fault, status int, took time.Duration)
	// Probe is called after each known-answer probe. It must not block and may be nil.
	Probe func(target crid.Target, ok bool, took time.Duration)
	// ReportedUnhealthy is called each second with what the target's health and load
	// pages report. It must not block and may be nil.
	ReportedUnhealthy func(target crid.Target, unhealthy bool)
	// Leaving is called when a target starts or stops reporting that it is draining. It
	// must not block and may be nil.
	Leaving func(target crid.Target, leaving bool)
}

// Exit runs forwards on this daemon's targets. It is safe for concurrent use.
type Exit struct {
	opts              Options
	targets           map[crid.Target]*target
	draining          atomic.Bool
	pendingDeliveries atomic.Int64 // responses to other daemons whose delivery is not confirmed

	mu       sync.Mutex
	local    *crforward.Ledger
	oldLocal *crforward.Ledger // the previous local ledger, kept for its running forwards
	ledgers  map[*crforward.Ledger]struct{}
}

// defaultRetryAfter is the least Retry-After of a refusal.
const defaultRetryAfter = time.Second

// New returns an Exit whose targets refuse all work until Apply is called.
func New(opts Options) *Exit {
	x := &Exit{
		opts:    opts,
		targets: make(map[crid.Target]*target, len(opts.Targets)),
		ledgers: make(map[*crforward.Ledger]struct{}),
	}
	for _, spec := range opts.Targets {
		x.targets[spec.Name] = newTarget(spec)
	}
	x.local = x.newLocalLedger()
	x.ledgers[x.local] = struct{}{}
	return x
}

// newLocalLedger returns a ledger for this daemon's own entry. The entry runs in
// the same process, so a process pause stops both, and the ledger needs no detector: a
// request that waited through a pause is refused by its deadline.
func (x *Exit) newLocalLedger() *crforward.Ledger {
	return crforward.NewLedger(crforward.DefaultLedgerParams(), 0, x.opts.Clock(), nil)
}

// LocalLedger returns the ledger for a forward of the daemon's own entry, which must
// revoke the forward in the same ledger. A ledger that has reached its limit of
// records is replaced by a new one; otherwise it would refuse all later forwards.
func (x *Exit) LocalLedger() *crforward.Ledger {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.local.ShouldRenew() {
		return x.local
	}
	delete(x.ledgers, x.oldLocal)
	x.oldLocal = x.local
	x.local = x.newLocalLedger()
	x.ledgers[x.local] = struct{}{}
	if x.draining.Load() {
		x.local.Drain()
	}
	return x.local
}

// Has reports whether this daemon serves the target.
func (x *Exit) Has(name crid.Target) bool { return x.targets[name] != nil }

// Apply sets the targets' limits from the active configuration. It returns the
// targets whose service the configuration does not have; their limits are not set.
func (x *Exit) Apply(snap *crpolicy.Snapshot) []crid.Target {
	var unknown []crid.Target
	for name, t := range x.targets {
		svc, ok := snap.Service(t.spec.Service)
		if !ok {
			unknown = append(unknown, name)
			continue
		}
		t.apply(svc, x.opts.Clock)
	}
	return unknown
}

// Drain refuses new work. Running requests may finish.
func (x *Exit) Drain() {
	x.draining.Store(true)
	x.mu.Lock()
	defer x.mu.Unlock()
	for l := range x.ledgers {
		l.Drain()
	}
	for _, t := range x.targets {
		t.drain()
	}
}

// InFlight returns the number of running and waiting requests.
func (x *Exit) InFlight() int64 {
	var n int64
	for _, t := range x.targets {
		n += t.inflight.Load()
	}
	return n
}

// PendingDeliveries returns the number of responses to other daemons whose delivery is
// not confirmed.
func (x *Exit) PendingDeliveries() int64 { return x.pendingDeliveries.Load() }

// OpenSession returns the function that serves the streams of a session that
// another daemon dialed. The session's ledger is created by its first stream, which
// carries the session ID.
func (x *Exit) OpenSession(ctx context.Context) func(ctx context.Context, s *quic.Stream) {
	s := &session{exit: x, openedAt: x.opts.Clock()}
	context.AfterFunc(ctx, s.close)
	return s.serve
}

type session struct {
	exit     *Exit
	openedAt crid.Instant

	mu     sync.Mutex
	ledger *crforward.Ledger
	id     crforward.SessionID
	closed bool
}

// ledgerFor returns the session's ledger. It returns nil if the session is closed, or if
// id is that of another session, whose forwards must not start here.
func (s *session) ledgerFor(id crforward.SessionID) *crforward.Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if s.ledger == nil {
		s.id = id
		s.ledger = crforward.NewLedger(crforward.DefaultLedgerParams(), id, s.openedAt, s.exit.opts.PauseDetector)
		s.exit.track(s.ledger)
	}
	if s.id != id {
		return nil
	}
	return s.ledger
}

func (s *session) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.ledger != nil {
		s.ledger.Close()
		s.exit.untrack(s.ledger)
	}
}

func (x *Exit) track(l *crforward.Ledger) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ledgers[l] = struct{}{}
	if x.draining.Load() {
		l.Drain()
	}
}

func (x *Exit) untrack(l *crforward.Ledger) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.ledgers, l)
}

// serve handles one stream. ctx ends when the entry cancels the stream.
func (s *session) serve(ctx context.Context, stream *quic.Stream) {
	defer stream.CancelRead(crhop.CodeCancelled)
	r := crwire.NewReader(stream)
	kind, err := r.Kind()
	if err != nil {
		stream.CancelWrite(crhop.CodeCancelled)
		return
	}
	switch kind {
	case crhop.StreamForward:
		s.serveForward(ctx, stream, r)
	case crhop.StreamRevoke:
		s.serveRevoke(stream, r)
	default:
		stream.CancelWrite(crhop.CodeCancelled)
	}
}

func (s *session) serveForward(ctx context.Context, stream *quic.Stream, r *crwire.Reader) {
	var f crhop.Forward
	if err := r.Value(&f); err != nil {
		stream.CancelWrite(crhop.CodeCancelled)
		return
	}
	var ex *crhop.Exchange
	if ledger := s.ledgerFor(f.Session); ledger == nil {
		ex = refusal(crforward.ReasonClosed.String(), true, defaultRetryAfter)
		ex.Response.RenewSession = true
	} else {
		ex = s.exit.Run(ctx, ledger, &f, r)
		ex.Response.RenewSession = ledger.ShouldRenew()
	}
	if f.Length == 0 {
		r.Release() // with a body, net/http may still read r after the response
	}
	s.exit.pendingDeliveries.Add(1)
	defer s.exit.pendingDeliveries.Add(-1)
	err := writeResponse(stream, ex)
	_ = ex.Body.Close() // frees the slot before the delivery, which may take long
	if err != nil {
		stream.CancelWrite(crhop.CodeAborted)
		return
	}
	_ = stream.Close()
	awaitDelivery(stream)
}

// awaitDelivery waits until the entry closes its side of the stream, which it does
// when it has read the whole response or given up, or until the session ends. A daemon
// that stopped right after the write would lose data still in the network or in the
// entry's buffer, and at every planned stop some callers would get truncated responses
// or an unknown outcome.
func awaitDelivery(stream *quic.Stream) { _, _ = io.Copy(io.Discard, stream) }

// writeResponse sends the response. If the body is truncated, it writes the abort mark:
// the entry still receives the head, and can distinguish a failed upstream from a failed
// connection.
func writeResponse(stream *quic.Stream, ex *crhop.Exchange) error {
	w := crwire.NewWriter(stream)
	defer w.Release()
	if err := w.Value(ex.Response); err != nil {
		return err
	}
	if err := crhop.CopyChunks(w, ex.Body); err != nil {
		return w.Abort()
	}
	return w.End()
}

func (s *session) serveRevoke(stream *quic.Stream, r *crwire.Reader) {
	var rv crhop.Revoke
	if err := r.Value(&rv); err != nil {
		stream.CancelWrite(crhop.CodeCancelled)
		return
	}
	result := crforward.RevokeResultUnknown
	if ledger := s.ledgerFor(rv.Session); ledger != nil {
		result = ledger.Revoke(rv.ID, rv.Session, s.exit.opts.Clock())
	}
	w := crwire.NewWriter(stream)
	defer w.Release()
	if w.Value(crhop.RevokeResponse{Result: result}) != nil || w.End() != nil {
		stream.CancelWrite(crhop.CodeCancelled)
		return
	}
	_ = stream.Close()
}

// noBody is an empty response body.
var noBody = io.NopCloser(eofReader{})

type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

func refusal(reason string, notRun bool, retryAfter time.Duration) *crhop.Exchange {
	return &crhop.Exchange{
		Response: crhop.Response{Kind: crhop.KindRefusal, NotRun: notRun, Reason: reason, RetryAfter: retryAfter},
		Body:     noBody,
	}
}

func failure(fault crhop.Fault, reason string) *crhop.Exchange {
	return &crhop.Exchange{
		Response: crhop.Response{Kind: crhop.KindFailure, Fault: fault, Reason: reason},
		Body:     noBody,
	}
}
