// Package crwatch keeps a local copy of a store that can be listed and watched, and
// turns its changes into events of the control plane.
//
// One goroutine follows each [Scope], a part of the store: it lists the scope,
// watches it from the revision of the list, and lists it again when the store has
// compacted the history in between. An outage is logged once. Failed calls are
// retried with backoff, so that a fleet does not overload a store that has just
// recovered.
//
// A daemon of io/crmesh creates one [Follower]. Its [Store] is io/crfeed, which
// reads the store directly or through another daemon; package platform implements
// the direct calls and the [Decoder]. Peers read what a follower holds with
// [Follower.Snapshot], [Follower.ChangesAfter] and [Follower.UpdateFor].
//
// # Usage
//
//	f := crwatch.New(crwatch.Options{
//		Store: store, Decoder: decoder, Clock: crclock.Now, Emit: events.Send, ReaderCount: readers, ReadsFirst: first, Log: log,
//	})
//	err := f.Run(ctx, crwatch.Records)
package crwatch

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphorroad/core/crevacuation"
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
	// Records are the records of targets.
	Records Scope = iota + 1
	// Configuration is what the operator writes: the newest plan, and evacuations.
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
	Key        string        `cbor:"k"`
	Value      []byte        `cbor:"v"`
	Revision   crid.Revision `cbor:"r"`
	Removed    bool          `cbor:"d,omitempty"`
	Compressed bool          `cbor:"z,omitempty"` // the value is compressed for transfer between daemons
}

// ErrCompacted means that the store has discarded the requested history.
var ErrCompacted = errors.New("the store has compacted the requested history")

// Store is a store that can be listed and watched.
type Store interface {
	// List returns all items of a scope, and the revision to watch from. A watch
	// from there returns every change that the list may lack.
	List(ctx context.Context, scope Scope) ([]Item, crid.Revision, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none when the wait is over, and the revision to continue from.
	Watch(ctx context.Context, scope Scope, after crid.Revision, wait time.Duration) ([]Item, crid.Revision, error)
}

// Decoder decodes the values of items.
type Decoder interface {
	Record(i Item) (crregistry.Record, error)
	// Evacuation returns the domain that an item of the configuration evacuates. It
	// returns false for the plan.
	Evacuation(i Item) (crid.Domain, bool)
	Plan(value []byte) (*crplan.Plan, error)
}

const (
	// fleetWatchInterval is the mean time between the starts of two watches of a
	// scope, over all daemons that read the store. The store may fail to deliver some
	// changes to pending watches. A new watch then fails with ErrCompacted, and peers
	// detect the change from the revisions in heartbeats. Each call is billed, so the
	// readers take turns.
	fleetWatchInterval = 500 * time.Millisecond
	// firstWaitSpread bounds the wait of the first reader's watch after a change, beyond
	// minWait.
	firstWaitSpread = 500 * time.Millisecond
	// minWait and maxWait bound the wait of a watch. The store allows no wait above
	// maxWait.
	minWait = 200 * time.Millisecond
	maxWait = 30 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call. A daemon has to
	// be in contact again within three seconds of the store's recovery, so the store has
	// to be reached well within that time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// verifyInterval is the time after which the first reader lists a scope again. A watch
	// whose answer passed over a change returns none of it later, and no other daemon has it.
	verifyInterval = 10 * time.Second
	// minVerifyInterval is the least time between two lists of the first reader while a peer
	// has a change that this daemon lacks. Each list is billed.
	minVerifyInterval = 2 * time.Second
	// outageThreshold is the time of continuous failures after which the store counts
	// as unavailable. A single connection reset is no outage.
	outageThreshold = 300 * time.Millisecond
)

// Options are the dependencies of a follower.
type Options struct {
	Store       Store
	Decoder     Decoder
	Clock       func() crid.Instant
	Emit        func(crevent.Event)
	ReaderCount func() int  // daemons of the fleet that read the store
	ReadsFirst  func() bool // whether this daemon is the first of them
	Log         *crlog.Logger
}

// Follower follows a store. It is safe for concurrent use.
type Follower struct {
	opts        Options
	mu          sync.Mutex
	values      map[Scope]map[string]Item
	revisions   map[Scope]crid.Revision // that the watches have reached
	recordsAt   crid.Revision           // revision of the latest list or change of the records, which the watches may have passed
	verifyDue   map[Scope]bool          // a peer has a change that the watches may have passed over
	failures    atomic.Int64
	lastRead    map[Scope]crid.Instant            // of the last answer, or of the start of Run
	compactions int                               // times that the store reported compacted history
	cancels     map[Scope]context.CancelCauseFunc // of the scopes' long watches

	history     history                    // of the records
	compressed  map[string]compressedValue // by key
	unavailable map[Scope]bool             // the scope cannot be read at present, or was not read yet
	changed     chan struct{}              // closed at the next change
}

// New returns a follower.
func New(opts Options) *Follower {
	return &Follower{
		opts:      opts,
		values:    map[Scope]map[string]Item{Records: {}, Configuration: {}},
		revisions: make(map[Scope]crid.Revision),
		lastRead:  make(map[Scope]crid.Instant),
		cancels:   make(map[Scope]context.CancelCauseFunc),
		verifyDue: make(map[Scope]bool),

		compressed:  make(map[string]compressedValue),
		unavailable: map[Scope]bool{Records: true, Configuration: true},
		changed:     make(chan struct{}),
	}
}

// Run follows a scope until the context ends.
func (f *Follower) Run(ctx context.Context, scope Scope) error {
	s := &scopeFollower{Follower: f, scope: scope}
	s.recordAnswer()
	for ctx.Err() == nil {
		if err := s.poll(ctx); err != nil && ctx.Err() == nil {
			s.handleFailure(ctx, err)
		}
	}
	return nil
}

// errRestarted is the cause that cancels a watch which is to be sent again.
var errRestarted = errors.New("the watch is sent again")

// RestartWatches cancels the pending watches and sends them again. A daemon whose
// watch was lost would otherwise receive no change until the wait of that watch is
// over.
func (f *Follower) RestartWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatches(errRestarted)
}

// RecordMissedChange sends the pending watches again because a peer has a change that this
// daemon lacks. The first reader lists the scopes again, since the watches may have passed
// over it.
func (f *Follower) RecordMissedChange() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.verifyDue[Records], f.verifyDue[Configuration] = true, true
	f.cancelWatches(errRestarted)
}

// cancelWatches cancels the pending watches. The caller holds the lock.
func (f *Follower) cancelWatches(cause error) {
	for _, cancel := range f.cancels {
		cancel(cause)
	}
}

// Failures returns the number of failed calls, of the store or of a peer that
// reads it.
func (f *Follower) Failures() int64 { return f.failures.Load() }

// SinceLastRead returns the time since a scope was last read, from the store or
// through a reader.
func (f *Follower) SinceLastRead(scope Scope) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Clock().Sub(f.lastRead[scope])
}

// storeItems stores the items as they were read. If complete is set, they replace all
// items of the scope. Removed items of the configuration are kept, so that peers receive
// the removal. The caller holds the lock.
func (f *Follower) storeItems(scope Scope, items []Item, revision crid.Revision, complete bool) {
	if complete {
		f.values[scope] = make(map[string]Item, len(items))
	}
	for _, i := range items {
		if i.Removed && scope == Records {
			delete(f.values[scope], i.Key)
			continue
		}
		f.values[scope][i.Key] = i
	}
	f.revisions[scope] = max(f.revisions[scope], revision)
	if scope == Records && (complete || len(items) > 0) {
		f.recordsAt = max(f.recordsAt, revision)
	}
	switch {
	case scope == Records && complete:
		f.history.reset(f.revisions[scope], f.recordsAt)
	case scope == Records:
		f.history.add(items)
	}
	if len(items) > 0 || complete {
		f.notifyWaiters()
	}
}

func (f *Follower) decodeChanges(items []Item) []crregistry.Change {
	out := make([]crregistry.Change, 0, len(items))
	for _, i := range items {
		c := crregistry.Change{Key: i.Key, Revision: i.Revision}
		if !i.Removed {
			r, err := f.opts.Decoder.Record(i)
			if err != nil {
				f.opts.Log.Event(crlog.RecordInvalid, crlog.Fields{"key": i.Key, "rev": formatRevision(i.Revision), "error": err.Error()})
			} else {
				c.Record = &r
			}
		}
		out = append(out, c)
	}
	return out
}

// applyConfiguration applies items of the configuration: the plan and evacuations. If
// complete is set, they are all that the store has at a revision. A daemon uses its target
// from the first plan on, so evacuations go first.
func (f *Follower) applyConfiguration(now crid.Instant, items []Item, revision crid.Revision, complete bool) {
	if complete {
		items = append(slices.Clone(items), f.endedEvacuations(items, revision)...)
	}
	var changes []crevacuation.Change
	plans := make([]Item, 0, 1)
	for _, i := range items {
		domain, ok := f.opts.Decoder.Evacuation(i)
		if !ok {
			plans = append(plans, i)
			continue
		}
		f.storeEvacuation(i)
		changes = append(changes, crevacuation.Change{Domain: domain, Revision: i.Revision, Ended: i.Removed})
	}
	if len(changes) > 0 {
		f.opts.Emit(crmesh.EvacuationsChanged{Now: now, Changes: changes})
	}
	for _, i := range plans {
		f.applyPlan(now, i)
	}
}

// storeEvacuation stores an evacuation, or its end, unless a later change is held.
func (f *Follower) storeEvacuation(i Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.values[Configuration][i.Key].Revision < i.Revision {
		f.storeItems(Configuration, []Item{i}, i.Revision, false)
	}
}

// endedEvacuations returns the ends of the evacuations that this daemon holds and a
// complete list does not contain.
func (f *Follower) endedEvacuations(list []Item, revision crid.Revision) []Item {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ended []Item
	for key, i := range f.values[Configuration] {
		if _, ok := f.opts.Decoder.Evacuation(i); !ok || i.Removed || i.Revision >= revision {
			continue
		}
		if !slices.ContainsFunc(list, func(other Item) bool { return other.Key == key }) {
			ended = append(ended, Item{Key: key, Revision: revision, Removed: true})
		}
	}
	return ended
}

// applyPlan decodes a configuration. One that is rejected leaves the previous one in
// force.
func (f *Follower) applyPlan(now crid.Instant, i Item) {
	if i.Removed {
		return
	}
	p, err := f.opts.Decoder.Plan(i.Value)
	if err != nil {
		f.opts.Log.Event(crlog.PlanRejected, crlog.Fields{"rev": formatRevision(i.Revision), "error": err.Error()})
		return
	}
	f.mu.Lock()
	f.storeItems(Configuration, []Item{i}, i.Revision, false)
	f.mu.Unlock()
	f.opts.Emit(crmesh.PlanReceived{Now: now, Plan: p})
}

func formatRevision(r crid.Revision) string { return strconv.FormatUint(uint64(r), 10) }
