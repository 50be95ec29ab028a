// Package crexit is the exit side of a daemon: it takes forwards from entry
// daemons (its own included), admits them to its targets' slots, runs them on
// the upstream, and is the one place that can say "not run" truthfully after a
// forward was sent.
//
// # Usage
//
//	x := crexit.New(crexit.Options{Targets: cfg.Targets, Pulse: pulse, Clock: crclock.Now})
//	x.Apply(snapshot)
//	serve := x.OpenSession(openedAt)           // streams of other daemons
//	ex := x.Run(ctx, x.Own(), forward, body)   // this daemon's own entry
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

// Spec names an upstream beside this daemon.
type Spec struct {
	Name    crid.Target
	Service crid.Service
	Addr    string // host:port
}

// Options configure an Exit.
type Options struct {
	Targets []Spec
	Pulse   *crforward.PauseDetector
	Clock   func() crid.Instant
	Idle    time.Duration // longest silence of an upstream within its answer; zero: no bound
	// Observe is told of each finished run; it must not block.
	Observe func(target crid.Target, account crid.Account, fault crhop.Fault, status int, took time.Duration)
	// Probe is told of each known-answer probe, Hint each second what a target's
	// own pages say, and Leaving when a target begins or ceases to say that it
	// is draining. They must not block; nil ones are not called.
	Probe   func(target crid.Target, ok bool, took time.Duration)
	Hint    func(target crid.Target, bad bool)
	Leaving func(target crid.Target, leaving bool)
}

// Exit runs forwards on this daemon's targets. It is safe for concurrent use.
type Exit struct {
	opts       Options
	targets    map[crid.Target]*target
	draining   atomic.Bool
	delivering atomic.Int64 // answers written and not yet known to have arrived

	mu      sync.Mutex
	own     *crforward.Ledger
	former  *crforward.Ledger // the own one before, until its forwards have ended
	ledgers map[*crforward.Ledger]struct{}
}

// refusedRetry is when to come back after a refusal that has no better word.
const refusedRetry = time.Second

// New returns an Exit whose targets take no work until Apply.
func New(opts Options) *Exit {
	x := &Exit{
		opts:    opts,
		targets: make(map[crid.Target]*target, len(opts.Targets)),
		ledgers: make(map[*crforward.Ledger]struct{}),
	}
	for _, spec := range opts.Targets {
		x.targets[spec.Name] = newTarget(spec)
	}
	x.own = x.newOwn()
	x.ledgers[x.own] = struct{}{}
	return x
}

// newOwn returns a ledger for the own entry. It shares this process's life and
// pauses, so the ledger has no pulse: a request that waited through a pause is
// caught by its deadline.
func (x *Exit) newOwn() *crforward.Ledger {
	return crforward.NewLedger(crforward.DefaultLedgerParams(), 0, x.opts.Clock(), nil)
}

// Own is the ledger for a forward of the daemon's own entry, which must also
// revoke it there. At its bound of records the ledger is followed by a new one;
// without that the own entry's work would be refused from then on.
func (x *Exit) Own() *crforward.Ledger {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.own.ShouldRenew() {
		return x.own
	}
	delete(x.ledgers, x.former)
	x.former = x.own
	x.own = x.newOwn()
	x.ledgers[x.own] = struct{}{}
	if x.draining.Load() {
		x.own.Drain()
	}
	return x.own
}

// Has reports whether the target stands beside this daemon.
func (x *Exit) Has(name crid.Target) bool { return x.targets[name] != nil }

// Apply takes the targets' limits from a configuration in force. It returns the
// targets whose service the configuration does not have; they take no work.
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

// Drain refuses new work; what runs may finish.
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

// InFlight is the number of requests running or waiting here.
func (x *Exit) InFlight() int64 {
	var n int64
	for _, t := range x.targets {
		n += t.inflight.Load()
	}
	return n
}

// Delivering is the number of answers to other daemons that are not known to
// have arrived.
func (x *Exit) Delivering() int64 { return x.delivering.Load() }

// OpenSession returns the function that serves the streams of one session that
// another daemon dialled. The ledger begins with the session's first stream,
// which tells the session's number.
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
	number crforward.SessionID
	closed bool
}

// ledgerFor returns the session's ledger, or nil for a number that is not the
// session's: the forward belongs to another session and must not start here.
func (s *session) ledgerFor(number crforward.SessionID) *crforward.Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if s.ledger == nil {
		s.number = number
		s.ledger = crforward.NewLedger(crforward.DefaultLedgerParams(), number, s.openedAt, s.exit.opts.Pulse)
		s.exit.track(s.ledger)
	}
	if s.number != number {
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

// serve handles one stream. Its context ends when the entry gives up.
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
		ex = refusal(crforward.ReasonClosed.String(), true, refusedRetry)
		ex.Response.RenewSession = true
	} else {
		ex = s.exit.Run(ctx, ledger, &f, r)
		ex.Response.RenewSession = ledger.ShouldRenew()
	}
	if f.Length == 0 {
		r.Release() // with a body, net/http may read on after its answer
	}
	s.exit.delivering.Add(1)
	defer s.exit.delivering.Add(-1)
	err := writeAnswer(stream, ex)
	_ = ex.Body.Close() // frees the slot, whatever the delivery takes
	if err != nil {
		stream.CancelWrite(crhop.CodeAborted)
		return
	}
	_ = stream.Close()
	awaitDelivery(stream)
}

// awaitDelivery waits until the entry has read the whole answer or given up: it
// ends its side of the stream then, and the end of the session ends the wait. A
// daemon that stopped once it had written would lose what the network or the
// entry's buffer still held, and the callers would see answers cut and fates
// unknown at every planned stop.
func awaitDelivery(stream *quic.Stream) { _, _ = io.Copy(io.Discard, stream) }

// writeAnswer sends the answer; a body that breaks off ends with its mark, so
// that the entry has the head and knows whose fault it was.
func writeAnswer(stream *quic.Stream, ex *crhop.Exchange) error {
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
	verdict := crforward.RevokeResultUnknown
	if ledger := s.ledgerFor(rv.Session); ledger != nil {
		verdict = ledger.Revoke(rv.ID, rv.Session, s.exit.opts.Clock())
	}
	w := crwire.NewWriter(stream)
	defer w.Release()
	if w.Value(crhop.RevokeResponse{Result: verdict}) != nil || w.End() != nil {
		stream.CancelWrite(crhop.CodeCancelled)
		return
	}
	_ = stream.Close()
}

// noBody is an empty answer body.
var noBody = io.NopCloser(eofReader{})

type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

func refusal(reason string, notRun bool, retry time.Duration) *crhop.Exchange {
	return &crhop.Exchange{
		Response: crhop.Response{Kind: crhop.KindRefusal, NotRun: notRun, Reason: reason, RetryAfter: retry},
		Body:     noBody,
	}
}

func failure(fault crhop.Fault, reason string) *crhop.Exchange {
	return &crhop.Exchange{
		Response: crhop.Response{Kind: crhop.KindFailure, Fault: fault, Reason: reason},
		Body:     noBody,
	}
}
