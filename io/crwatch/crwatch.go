// Package crwatch follows a store that can be read and watched, and turns what
// it says into events of the control side.
//
// One goroutine follows each [Scope]: it lists, then watches from there, and
// lists again when the store has lost the history in between. Failures are told
// once, and the calls are spaced so that a fleet does not overwhelm a store that
// has just come back.
//
// # Usage
//
//	f := crwatch.New(crwatch.Options{Store: store, Decoder: decoder, Clock: crclock.Now, Emit: events.Send, Log: log})
//	err := f.Run(ctx, crwatch.Records)
package crwatch

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplan"
	"camphorroad/core/crregistry"
	"camphorroad/io/crlog"
)

// Scope is a part of the store.
type Scope uint8

// The scopes.
const (
	// Records are what targets say of themselves.
	Records Scope = iota + 1
	// Configuration is the operator's newest plan.
	Configuration
)

// String names the scope in logs.
func (s Scope) String() string {
	if s == Configuration {
		return "configuration"
	}
	return "records"
}

// Item is a key with its value.
type Item struct {
	Key      string        `cbor:"k"`
	Value    []byte        `cbor:"v"`
	Revision crid.Revision `cbor:"r"`
	Removed  bool          `cbor:"d,omitempty"`
	Packed   bool          `cbor:"z,omitempty"` // the value is packed, on its way between daemons
}

// ErrCompacted tells that the store no longer has the history asked for.
var ErrCompacted = errors.New("the store has lost this history")

// Store is a store that can be read and watched.
type Store interface {
	// List returns all items of a scope, and the revision from which a watch
	// tells whatever the list may lack.
	List(ctx context.Context, scope Scope) ([]Item, crid.Revision, error)
	// Watch returns the changes after a revision, as soon as there are any, or
	// none after the wait; and the revision to go on from.
	Watch(ctx context.Context, scope Scope, after crid.Revision, wait time.Duration) ([]Item, crid.Revision, error)
}

// Decoder turns values into what the project knows.
type Decoder interface {
	Record(i Item) (crregistry.Record, error)
	Plan(value []byte) (*crplan.Plan, error)
}

const (
	// lookEvery is the time between two fresh watches of the whole fleet. A
	// store may leave waiting watches deaf to some changes; a fresh one learns
	// that their history is gone, and peers then learn of the change by beats.
	// Each call is paid for, so that the daemons that read the store take turns.
	lookEvery = 500 * time.Millisecond
	// waitLeast and waitMost bound the time for which a watch waits; the store
	// allows no more than the latter.
	waitLeast = 200 * time.Millisecond
	waitMost  = 30 * time.Second
	// retryFirst and retryMost bound the pause after a failed call. The store
	// has to be found again well within the time after its return in which
	// daemons count as in touch, three seconds.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// lostAfter is the time of failures after which the store counts as away:
	// a single reset is no outage.
	lostAfter = 300 * time.Millisecond
)

// Options are what a follower needs.
type Options struct {
	Store   Store
	Decoder Decoder
	Clock   func() crid.Instant
	Emit    func(crevent.Event)
	Lookers func() int // daemons of the fleet that read the store
	Log     *crlog.Logger
}

// Follower follows a store. Its methods may be called from several goroutines.
type Follower struct {
	opts   Options
	mu     sync.Mutex
	values map[Scope]map[string]Item
	at     map[Scope]crid.Revision
	faults atomic.Int64
	heard  map[Scope]crid.Instant            // the last answer, or the start of the scope
	losses int                               // times that the store was found to have lost history
	cancel map[Scope]context.CancelCauseFunc // of the scopes' long watches

	history history           // of the records
	packs   map[string]packed // by key
	away    map[Scope]bool    // cannot be read at present, or was not read yet
	changed chan struct{}     // closed at the next change
}

// New returns a follower.
func New(opts Options) *Follower {
	return &Follower{
		opts:   opts,
		values: map[Scope]map[string]Item{Records: {}, Configuration: {}},
		at:     make(map[Scope]crid.Revision),
		heard:  make(map[Scope]crid.Instant),
		cancel: make(map[Scope]context.CancelCauseFunc),

		packs:   make(map[string]packed),
		away:    map[Scope]bool{Records: true, Configuration: true},
		changed: make(chan struct{}),
	}
}

// Run follows a scope until the context ends.
func (f *Follower) Run(ctx context.Context, scope Scope) error {
	t := &track{Follower: f, scope: scope}
	t.answered()
	for ctx.Err() == nil {
		if err := t.round(ctx); err != nil && ctx.Err() == nil {
			t.failed(ctx, err)
		}
	}
	return nil
}

// errRenewed ends a watch that is to be sent anew.
var errRenewed = errors.New("the watch is sent anew")

// Renew sends the watches anew that wait for changes. One whose answer will never
// come leaves this daemon deaf until its wait is over.
func (f *Follower) Renew() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt(errRenewed)
}

// interrupt ends the watches that wait. The caller holds the lock.
func (f *Follower) interrupt(cause error) {
	for _, cancel := range f.cancel {
		cancel(cause)
	}
}

// Faults is the number of calls that failed, of the store or of a peer that
// reads it.
func (f *Follower) Faults() int64 { return f.faults.Load() }

// Quiet is the time since a scope was read last, from the store or a reader.
func (f *Follower) Quiet(scope Scope) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Clock().Sub(f.heard[scope])
}

// store keeps raw items; whole says that they are all there are.
func (f *Follower) store(scope Scope, items []Item, at crid.Revision, whole bool) {
	if whole {
		f.values[scope] = make(map[string]Item, len(items))
	}
	for _, i := range items {
		if i.Removed {
			delete(f.values[scope], i.Key)
			continue
		}
		f.values[scope][i.Key] = i
	}
	f.at[scope] = max(f.at[scope], at)
	switch {
	case scope == Records && whole:
		f.history.restart(at)
	case scope == Records:
		f.history.add(items)
	}
	if len(items) > 0 || whole {
		f.wake()
	}
}

func (f *Follower) changes(items []Item) []crregistry.Change {
	out := make([]crregistry.Change, 0, len(items))
	for _, i := range items {
		c := crregistry.Change{Key: i.Key, Revision: i.Revision}
		if !i.Removed {
			r, err := f.opts.Decoder.Record(i)
			if err != nil {
				f.opts.Log.Event(crlog.RecordInvalid, crlog.Fields{"key": i.Key, "rev": revision(i.Revision), "error": err.Error()})
			} else {
				c.Record = &r
			}
		}
		out = append(out, c)
	}
	return out
}

// plan decodes a configuration; one that is refused leaves the former in force.
func (f *Follower) plan(now crid.Instant, i Item) {
	if i.Removed {
		return
	}
	p, err := f.opts.Decoder.Plan(i.Value)
	if err != nil {
		f.opts.Log.Event(crlog.PlanRejected, crlog.Fields{"rev": revision(i.Revision), "error": err.Error()})
		return
	}
	f.mu.Lock()
	f.store(Configuration, []Item{i}, i.Revision, false)
	f.mu.Unlock()
	f.opts.Emit(crmesh.PlanRead{Now: now, Plan: p})
}

func revision(r crid.Revision) string { return strconv.FormatUint(uint64(r), 10) }
