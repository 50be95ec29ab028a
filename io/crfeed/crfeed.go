// Package crfeed reads the store for a daemon: itself if it is a reader of its
// domain, and through one of the readers otherwise.
//
// The store counts and bills each call, and its rate does not grow with the
// fleet. With two readers a domain the calls that a change costs do not grow with
// the number of daemons.
//
// A daemon whose readers do not answer reads the store itself, so that a reader's
// fault costs calls and no time.
//
// # Usage
//
//	feed := crfeed.New(crfeed.Options{Self: self, Store: store, Peers: peers, Readers: readers, Clock: crclock.Now, Coming: coming, Log: log})
//	items, at, err := feed.Watch(ctx, crwatch.Records, after, wait)
//	page := feed.Serve(ctx, held, query)
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
	// feedWait is how long a question to a reader waits for changes. A reader
	// that hangs without losing its beats is left after this time; peers of
	// other domains tell of changes meanwhile.
	feedWait = 3 * time.Second
	// feedTimeout is the time that a reader may take beyond the wait: a list of
	// a megabyte over a slow link, on a busy processor.
	feedTimeout = 1200 * time.Millisecond
	// restTime is how long a reader that did not answer is not asked again.
	restTime = 2 * time.Second
	// gather is the pause between two watches of the store after changes: a
	// rolling replacement brings several changes a second, and one call takes
	// them all. It is a part of the two seconds in which a change must be in
	// force.
	gather = 500 * time.Millisecond
	// answerTime is how long the answer to a watch may take beyond its wait before the
	// watch is given up early.
	answerTime = 700 * time.Millisecond
	// lookTime is the least time between a daemon's own calls while its readers
	// say that the store is away and it answers this daemon neither.
	lookTime = 2 * time.Second
	// lookMost bounds the wait of such a call.
	lookMost = 100 * time.Millisecond
	// aloneTime is how long a daemon reads the store itself after its readers
	// said that the store is away and it answered this daemon: a store that
	// turns some machines away does so for seconds.
	aloneTime = 10 * time.Second
	// settle is how long a daemon counts as new. When all daemons start at one time
	// none knows readers yet, and all are told of each other's targets as these
	// come. If each watched the store as readers do meanwhile, that would cost more
	// calls than the rest of a day.
	settle = 6 * time.Second
	// settlePause is the time between two calls of a new daemon that knows no other
	// reader. It is a part of the time in which a change must be in force.
	settlePause = 1500 * time.Millisecond
	// settleStep is the time between looks for readers in it.
	settleStep = 100 * time.Millisecond
)

// Peers asks other daemons.
type Peers interface {
	Feed(ctx context.Context, d crid.Daemon, q croffer.FeedQuery) (croffer.FeedPage, error)
}

// Held is what a reader knows of the store.
type Held interface {
	Held(scope crwatch.Scope) ([]crwatch.Item, crid.Revision, error)
	Since(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error)
}

// Options are what a feed needs.
type Options struct {
	Self    crid.Daemon
	Store   crwatch.Store
	Peers   Peers
	Readers func() []crid.Daemon // of the own domain; none: not known yet
	Clock   func() crid.Instant
	Coming  func() bool // others of the own domain are to be heard for the first time
	Log     *crlog.Logger
}

// Feed is a store read by as few daemons as possible. It is safe for concurrent
// use.
type Feed struct {
	opts   Options
	began  crid.Instant
	calls  atomic.Int64
	asked  atomic.Int64
	mu     sync.Mutex
	rests  map[crid.Daemon]crid.Instant   // until when a reader is not asked
	looked map[crwatch.Scope]crid.Instant // the last own call while the readers said that the store is away
	news   map[crwatch.Scope]crid.Instant // when the store told changes last
	read   map[crwatch.Scope]crid.Instant // the last call
	gaveUp map[crwatch.Scope]bool         // the last watch was given up early
	alone  crid.Instant                   // until when no reader is asked
	ending context.Context                //nolint:containedctx // ends what waits here for peers
	end    context.CancelFunc
}

var _ crwatch.Store = (*Feed)(nil)

// New returns a feed.
func New(opts Options) *Feed {
	ending, end := context.WithCancel(context.Background())
	return &Feed{
		opts: opts, began: opts.Clock(), rests: make(map[crid.Daemon]crid.Instant), looked: make(map[crwatch.Scope]crid.Instant),
		news: make(map[crwatch.Scope]crid.Instant), read: make(map[crwatch.Scope]crid.Instant), gaveUp: make(map[crwatch.Scope]bool),
		ending: ending, end: end,
	}
}

// Stop sends the daemons that read through this one elsewhere, at once. Waiting
// for changes they would hold up its planned stop.
func (f *Feed) Stop() { f.end() }

// Calls is the number of calls of the store itself so far.
func (f *Feed) Calls() int64 { return f.calls.Load() }

// Asked is the number of questions to readers so far.
func (f *Feed) Asked() int64 { return f.asked.Load() }

// List implements [crwatch.Store].
func (f *Feed) List(ctx context.Context, scope crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	items, at, err := f.through(ctx, croffer.FeedQuery{Scope: scope, Full: true})
	if !errors.Is(err, errDirect) {
		return items, at, err
	}
	f.call(scope)
	items, at, err = f.opts.Store.List(ctx, scope)
	f.answered(scope, err)
	return items, at, err
}

// Watch implements [crwatch.Store].
func (f *Feed) Watch(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	items, at, err := f.through(ctx, croffer.FeedQuery{Scope: scope, After: after, Wait: feedWait})
	if !errors.Is(err, errDirect) {
		return items, at, err
	}
	if f.settling(scope) {
		return nil, after, crclock.Sleep(ctx, settleStep)
	}
	if err := f.pause(ctx, scope); err != nil {
		return nil, 0, err
	}
	f.call(scope)
	items, at, err = f.direct(ctx, scope, after, f.lookWait(scope, wait))
	f.answered(scope, err)
	if len(items) > 0 {
		f.told(scope)
	}
	return items, at, err
}

// direct watches the store itself. A watch that is given up early is followed by one
// with all the time of the store's client, so that a slow store is still read.
func (f *Feed) direct(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	early := f.early(scope)
	if early {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+answerTime)
		defer cancel()
	}
	items, at, err := f.opts.Store.Watch(ctx, scope, after, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gaveUp[scope] = early && errors.Is(err, context.DeadlineExceeded)
	return items, at, err
}

// early reports whether the next watch is to be given up early.
func (f *Feed) early(scope crwatch.Scope) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.gaveUp[scope]
}

// pause waits until the store may be watched again after changes.
func (f *Feed) pause(ctx context.Context, scope crwatch.Scope) error {
	f.mu.Lock()
	last, ok := f.news[scope]
	f.mu.Unlock()
	left := gather - f.opts.Clock().Sub(last)
	if !ok || left <= 0 {
		return nil
	}
	return crclock.Sleep(ctx, left)
}

// settling reports whether this daemon is new, knows no other reader yet, and has just
// read a scope.
func (f *Feed) settling(scope crwatch.Scope) bool {
	f.mu.Lock()
	last, now := f.read[scope], f.opts.Clock()
	f.mu.Unlock()
	if now.Sub(f.began) >= settle || now.Sub(last) >= settlePause || !f.opts.Coming() {
		return false
	}
	return !slices.ContainsFunc(f.opts.Readers(), func(d crid.Daemon) bool { return d != f.opts.Self })
}

// call counts a call of the store itself.
func (f *Feed) call(scope crwatch.Scope) {
	f.calls.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.read[scope] = f.opts.Clock()
}

// told notes that the store has told changes.
func (f *Feed) told(scope crwatch.Scope) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.news[scope] = f.opts.Clock()
}

// errDirect tells that the store has to be read by this daemon itself.
var errDirect = errors.New("no reader answers")

// through asks the readers one after the other.
func (f *Feed) through(ctx context.Context, q croffer.FeedQuery) ([]crwatch.Item, crid.Revision, error) {
	away := false
	for _, d := range f.sources() {
		page, err := f.ask(ctx, d, q)
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		var items []crwatch.Item
		if err == nil {
			items, err = crwatch.Unpack(page.Items)
		}
		switch {
		case err != nil:
			f.opts.Log.Event(crlog.ReaderSilent, crlog.Fields{"reader": string(d), "scope": q.Scope.String(), "error": err.Error()})
			f.rest(d)
		case page.State == croffer.FeedServed:
			return items, max(page.Revision, q.After), nil
		case page.State == croffer.FeedCompacted:
			return nil, 0, crwatch.ErrCompacted
		case page.State == croffer.FeedUnavailable:
			away = true
		}
	}
	if away && !f.mayLook(q.Scope) {
		return nil, 0, crwatch.ErrAway
	}
	return nil, 0, errDirect
}

func (f *Feed) ask(ctx context.Context, d crid.Daemon, q croffer.FeedQuery) (croffer.FeedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+feedTimeout)
	defer cancel()
	f.asked.Add(1)
	return f.opts.Peers.Feed(ctx, d, q)
}

// sources are the readers to ask, in this daemon's order, so that each has half
// of the others; none if this daemon is a reader itself.
func (f *Feed) sources() []crid.Daemon {
	readers := f.opts.Readers()
	if slices.Contains(readers, f.opts.Self) {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock()
	if now.Before(f.alone) {
		return nil
	}
	out := make([]crid.Daemon, 0, len(readers))
	first := int(xxhash.Sum64String(string(f.opts.Self)) % uint64(max(len(readers), 1)))
	for i := range readers {
		d := readers[(first+i)%len(readers)]
		if !now.Before(f.rests[d]) {
			out = append(out, d)
		}
	}
	return out
}

func (f *Feed) rest(d crid.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock()
	for other, until := range f.rests {
		if until < now {
			delete(f.rests, other)
		}
	}
	f.rests[d] = now.Add(restTime)
}

// answered notes that the store answers this daemon although its readers say that
// it is away.
func (f *Feed) answered(scope crwatch.Scope, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.looked[scope] != 0 {
		f.alone = f.opts.Clock().Add(aloneTime)
		delete(f.looked, scope)
	}
}

// lookWait is how long a watch waits that is to find out whether the store
// answers this daemon: it must not wait for a change to know.
func (f *Feed) lookWait(scope crwatch.Scope, wait time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.looked[scope] != 0 {
		return min(wait, lookMost)
	}
	return wait
}

func (f *Feed) mayLook(scope crwatch.Scope) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock()
	if last := f.looked[scope]; last != 0 && now.Sub(last) < lookTime {
		return false
	}
	f.looked[scope] = now
	return true
}

// Serve answers a daemon that reads through this one. One that reads through
// others itself must not: two daemons that read through each other would both
// wait for ever.
func (f *Feed) Serve(ctx context.Context, held Held, q croffer.FeedQuery) croffer.FeedPage {
	if !slices.Contains(f.opts.Readers(), f.opts.Self) {
		return croffer.FeedPage{State: croffer.FeedNotReader}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.ending, cancel)()
	var items []crwatch.Item
	var at crid.Revision
	var err error
	if q.Full {
		items, at, err = held.Held(q.Scope)
	} else {
		items, at, err = held.Since(ctx, q.Scope, q.After, min(q.Wait, feedWait))
	}
	switch {
	case errors.Is(err, crwatch.ErrCompacted):
		return croffer.FeedPage{State: croffer.FeedCompacted}
	case ctx.Err() != nil:
		return croffer.FeedPage{State: croffer.FeedNotReader}
	case err != nil:
		return croffer.FeedPage{State: croffer.FeedUnavailable}
	}
	return croffer.FeedPage{State: croffer.FeedServed, Items: items, Revision: at}
}
