// Package crfeed limits the number of daemons of io/crmesh that read the store. A
// daemon that is one of the readers of its failure domain reads the store directly; any
// other daemon reads it through one of the readers.
//
// The store counts and bills each call, and its rate limit does not grow with the
// fleet. With two readers per domain, the number of calls for each change does not
// grow with the number of daemons.
//
// A daemon whose readers do not answer reads the store directly, so that the failure of
// a reader causes more calls but no delay.
//
// A new daemon does not know the readers of its domain yet. It reads through its seeds,
// which read the store directly while they are new. So a fleet whose daemons all start at
// once does not call the store once for each of them.
//
// [Feed] implements [crwatch.Store] for the follower of io/crwatch, which keeps the
// local copy. [Feed.Serve] answers the queries of peers from that copy; io/croffer
// carries queries and answers between daemons.
//
// # Usage
//
//	feed := crfeed.New(crfeed.Options{
//		Self: self, Store: store, Peers: peers, Readers: readers, Clock: crclock.Now, ReadersPending: pending, Log: log,
//	})
//	items, revision, err := feed.Watch(ctx, crwatch.Records, after, wait)
//	page := feed.Serve(ctx, source, query)
package crfeed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/io/crwatch"
)

const (
	// readerWait is how long a query to a reader waits for changes. A reader that hangs
	// but still sends heartbeats is abandoned after this time plus readerTimeout; until
	// then, peers of other domains report changes.
	readerWait = 3 * time.Second
	// readerTimeout is the time that a reader may take beyond the wait. It allows for a
	// list of a megabyte over a slow link, on a busy processor.
	readerTimeout = 1200 * time.Millisecond
	// readerBackoff is how long a reader that did not answer is not queried again.
	readerBackoff = 2 * time.Second
	// batchInterval is the least time from a change to the next watch of the store. A
	// rolling replacement causes several changes a second, and one call returns them
	// all. It is a part of the two seconds within which a change must be in force.
	batchInterval = 500 * time.Millisecond
	// earlyTimeout is how long the answer to a watch may take beyond its wait before
	// the watch is abandoned early.
	earlyTimeout = 700 * time.Millisecond
	// probeInterval is the least time between two probes. A probe is a direct call while
	// the readers report the store as unavailable and it has not answered this daemon
	// either.
	probeInterval = 2 * time.Second
	// maxProbeWait bounds the wait of a watch that is a probe.
	maxProbeWait = 100 * time.Millisecond
	// directTime is how long a daemon reads the store directly after the store
	// answered it although its readers report the store as unavailable. A store that
	// rejects some machines does so for seconds.
	directTime = 10 * time.Second
)

// Peers queries other daemons.
type Peers interface {
	Feed(ctx context.Context, d crid.Daemon, q croffer.FeedQuery) (croffer.FeedPage, error)
}

// Source is the copy of the store that a reader serves to its peers.
type Source interface {
	Snapshot(scope crwatch.Scope) ([]crwatch.Item, crid.Revision, error)
	ChangesAfter(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error)
}

// Options are the dependencies of a feed.
type Options struct {
	Self           crid.Daemon
	Seeds          []crid.Daemon // the same at all daemons, usually
	Store          crwatch.Store
	Peers          Peers
	Readers        func() []crid.Daemon // of the own domain; empty: not determined yet
	Clock          func() crid.Instant
	ReadersPending func() bool // see crmesh.View.ReadersPending
	Log            *crlog.Logger
}

// Feed reads the store directly or through a reader. It is safe for concurrent use.
type Feed struct {
	opts          Options
	started       crid.Instant
	storeCalls    atomic.Int64
	queries       atomic.Int64
	mu            sync.Mutex
	backoffUntil  map[crid.Daemon]crid.Instant   // until when a reader is not queried
	lastProbe     map[crwatch.Scope]crid.Instant // the last direct call while the readers reported the store as unavailable
	lastChange    map[crwatch.Scope]crid.Instant // when the store last returned changes
	lastCall      map[crwatch.Scope]crid.Instant
	timedOutEarly map[crwatch.Scope]bool // the last watch was abandoned early
	directUntil   crid.Instant           // until when the store is read directly
	packed        map[bool]packedPage    // the last packed list (true) and changes (false)
	throughSeeds  atomic.Bool            // the last answer came from a seed
	failedSeeds   map[crid.Daemon]bool   // seeds that did not answer
	idleSeeds     map[crid.Daemon]bool   // seeds that serve no watches
	seedWatches   atomic.Int64
	stopping      context.Context //nolint:containedctx // ends the pending queries of peers
	stop          context.CancelFunc
}

var _ crwatch.Store = (*Feed)(nil)

// New returns a feed.
func New(opts Options) *Feed {
	stopping, stop := context.WithCancel(context.Background())
	return &Feed{
		opts: opts, started: opts.Clock(), backoffUntil: make(map[crid.Daemon]crid.Instant), lastProbe: make(map[crwatch.Scope]crid.Instant),
		lastChange: make(map[crwatch.Scope]crid.Instant), lastCall: make(map[crwatch.Scope]crid.Instant), timedOutEarly: make(map[crwatch.Scope]bool),
		packed:      make(map[bool]packedPage),
		failedSeeds: make(map[crid.Daemon]bool), idleSeeds: make(map[crid.Daemon]bool),
		stopping: stopping, stop: stop,
	}
}

// Stop ends the pending queries of peers, so that the peers query another daemon at
// once. Queries that wait for changes would delay a planned stop of this daemon.
func (f *Feed) Stop() { f.stop() }

// StoreCalls returns the number of direct calls of the store so far.
func (f *Feed) StoreCalls() int64 { return f.storeCalls.Load() }

// ReaderQueries returns the number of queries to readers so far.
func (f *Feed) ReaderQueries() int64 { return f.queries.Load() }

// List implements [crwatch.Store].
func (f *Feed) List(ctx context.Context, scope crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	items, revision, err := f.readThrough(ctx, croffer.FeedQuery{Scope: scope, Full: true})
	if !errors.Is(err, errReadDirectly) {
		return items, revision, err
	}
	f.recordCall(scope)
	items, revision, err = f.opts.Store.List(ctx, scope)
	f.finishProbe(scope, err)
	return items, revision, err
}

// Watch implements [crwatch.Store].
func (f *Feed) Watch(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	items, revision, err := f.readThrough(ctx, croffer.FeedQuery{Scope: scope, After: after, Wait: readerWait})
	if !errors.Is(err, errReadDirectly) {
		return items, revision, err
	}
	if f.startingUp(scope) {
		return nil, after, crclock.Sleep(ctx, startupPollInterval)
	}
	if err := f.awaitBatch(ctx, scope); err != nil {
		return nil, 0, err
	}
	f.recordCall(scope)
	items, revision, err = f.watchDirectly(ctx, scope, after, f.boundWait(scope, wait))
	f.finishProbe(scope, err)
	if len(items) > 0 {
		f.recordChange(scope)
	}
	return items, revision, err
}

// watchDirectly watches the store. A watch that was abandoned early is followed by one
// with the full timeout of the store's client, so that a slow store can still be read.
func (f *Feed) watchDirectly(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	early := f.endsEarly(scope)
	if early {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+earlyTimeout)
		defer cancel()
	}
	items, revision, err := f.opts.Store.Watch(ctx, scope, after, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timedOutEarly[scope] = early && errors.Is(err, context.DeadlineExceeded)
	return items, revision, err
}

// endsEarly reports whether earlyTimeout applies to the next watch.
func (f *Feed) endsEarly(scope crwatch.Scope) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.timedOutEarly[scope]
}

// awaitBatch waits until batchInterval has passed since the last change.
func (f *Feed) awaitBatch(ctx context.Context, scope crwatch.Scope) error {
	f.mu.Lock()
	last, ok := f.lastChange[scope]
	f.mu.Unlock()
	left := batchInterval - f.opts.Clock().Sub(last)
	if !ok || left <= 0 {
		return nil
	}
	return crclock.Sleep(ctx, left)
}

// recordCall counts a direct call of the store.
func (f *Feed) recordCall(scope crwatch.Scope) {
	f.storeCalls.Add(1)
	f.throughSeeds.Store(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastCall[scope] = f.opts.Clock()
}

// recordChange records that the store has returned changes.
func (f *Feed) recordChange(scope crwatch.Scope) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastChange[scope] = f.opts.Clock()
}

// errReadDirectly means that this daemon has to read the store directly.
var errReadDirectly = errors.New("no reader answers")

// readThrough queries the readers one after the other until one has the answer. It
// returns errReadDirectly if the store has to be called directly.
func (f *Feed) readThrough(ctx context.Context, q croffer.FeedQuery) ([]crwatch.Item, crid.Revision, error) {
	if f.readsThroughSeeds() {
		items, revision, err := f.readFromSeeds(ctx, q)
		if !errors.Is(err, errReadDirectly) {
			return items, revision, err
		}
	}
	unavailable := false
	for _, d := range f.readersToQuery() {
		page, err := f.query(ctx, d, q)
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		var items []crwatch.Item
		if err == nil {
			items, err = unpack(page)
		}
		switch {
		case err != nil:
			f.opts.Log.Event(crlog.ReaderUnresponsive, crlog.Fields{"reader": string(d), "scope": q.Scope.String(), "error": err.Error()})
			f.backOff(d)
		case page.State == croffer.FeedServed:
			return items, max(page.Revision, q.After), nil
		case page.State == croffer.FeedCompacted:
			return nil, 0, crwatch.ErrCompacted
		case page.State == croffer.FeedUnavailable:
			unavailable = true
		}
	}
	if unavailable && !f.startProbe(q.Scope) {
		return nil, 0, crwatch.ErrUnavailable
	}
	return nil, 0, errReadDirectly
}

func (f *Feed) query(ctx context.Context, d crid.Daemon, q croffer.FeedQuery) (croffer.FeedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+readerTimeout)
	defer cancel()
	f.queries.Add(1)
	return f.opts.Peers.Feed(ctx, d, q)
}

// readersToQuery returns the readers to query, in an order that depends on this daemon,
// so that each of two readers serves half of the others. It returns none if this daemon
// is a reader itself.
func (f *Feed) readersToQuery() []crid.Daemon {
	readers := f.opts.Readers()
	if slices.Contains(readers, f.opts.Self) || f.watchesForOthers() {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock()
	if now.Before(f.directUntil) {
		return nil
	}
	out := make([]crid.Daemon, 0, len(readers))
	first := int(xxhash.Sum64String(string(f.opts.Self)) % uint64(max(len(readers), 1)))
	for i := range readers {
		d := readers[(first+i)%len(readers)]
		if !now.Before(f.backoffUntil[d]) {
			out = append(out, d)
		}
	}
	return out
}

// backOff excludes a reader from queries for readerBackoff.
func (f *Feed) backOff(d crid.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock()
	for other, until := range f.backoffUntil {
		if until < now {
			delete(f.backoffUntil, other)
		}
	}
	f.backoffUntil[d] = now.Add(readerBackoff)
}

// finishProbe makes this daemon read the store directly for directTime if a probe has
// succeeded, since the store then answers this daemon although the readers report it as
// unavailable.
func (f *Feed) finishProbe(scope crwatch.Scope, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.lastProbe[scope] != 0 {
		f.directUntil = f.opts.Clock().Add(directTime)
		delete(f.lastProbe, scope)
	}
}

// boundWait bounds the wait of a watch that is a probe, so that the store answers it
// without waiting for a change.
func (f *Feed) boundWait(scope crwatch.Scope, wait time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastProbe[scope] != 0 {
		return min(wait, maxProbeWait)
	}
	return wait
}

// startProbe reports whether a probe is due, and records that the next direct call is one.
func (f *Feed) startProbe(scope crwatch.Scope) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock()
	if last := f.lastProbe[scope]; last != 0 && now.Sub(last) < probeInterval {
		return false
	}
	f.lastProbe[scope] = now
	return true
}

// Serve answers the query of a daemon that reads through this one.
func (f *Feed) Serve(ctx context.Context, source Source, q croffer.FeedQuery) croffer.FeedPage {
	if !q.Full && !f.servesWatches() {
		return croffer.FeedPage{State: croffer.FeedNotReader}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.stopping, cancel)()
	page, err := f.answer(ctx, source, q)
	switch {
	case errors.Is(err, crwatch.ErrCompacted):
		return croffer.FeedPage{State: croffer.FeedCompacted}
	case ctx.Err() != nil:
		return croffer.FeedPage{State: croffer.FeedNotReader}
	case err != nil:
		return croffer.FeedPage{State: croffer.FeedUnavailable}
	}
	return page
}

func (f *Feed) answer(ctx context.Context, source Source, q croffer.FeedQuery) (croffer.FeedPage, error) {
	// Any daemon with a copy serves a list: one that continues from an outdated list gets
	// the changes since with its first watch.
	if q.Full {
		items, revision, err := source.Snapshot(q.Scope)
		if err != nil {
			return croffer.FeedPage{}, err
		}
		return f.page(q, items, revision)
	}
	defer f.countWatch()()
	items, revision, err := source.ChangesAfter(ctx, q.Scope, q.After, min(q.Wait, readerWait))
	if err != nil {
		return croffer.FeedPage{}, err
	}
	return f.page(q, items, revision)
}
