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
	"math/rand/v2"
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
	losses int                               // times that the store was found to have lost history
	cancel map[Scope]context.CancelCauseFunc // of the scopes' watches

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
		cancel: make(map[Scope]context.CancelCauseFunc),

		packs:   make(map[string]packed),
		away:    map[Scope]bool{Records: true, Configuration: true},
		changed: make(chan struct{}),
	}
}

// Run follows a scope until the context ends.
func (f *Follower) Run(ctx context.Context, scope Scope) error {
	t := &track{Follower: f, scope: scope}
	for ctx.Err() == nil {
		if err := t.round(ctx); err != nil && ctx.Err() == nil {
			t.failed(ctx, err)
		}
	}
	return nil
}

// Faults is the number of calls that failed, of the store or of a peer that
// reads it.
func (f *Follower) Faults() int64 { return f.faults.Load() }

// Have says what a daemon holds of the store, for a peer that it asks for more.
type Have struct {
	_             struct{} `cbor:",toarray"`
	Records       crid.Revision
	Configuration crid.Revision
}

// Have returns how far this daemon is.
func (f *Follower) Have() Have {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Have{Records: f.at[Records], Configuration: f.configuration()}
}

// configuration is the revision of the configuration held; zero: none.
func (f *Follower) configuration() crid.Revision {
	var r crid.Revision
	for _, i := range f.values[Configuration] {
		r = max(r, i.Revision)
	}
	return r
}

// Copy is what a daemon holds of the store that a peer lacks.
type Copy struct {
	Records         []Item        `cbor:"r"`
	RecordsRevision crid.Revision `cbor:"n"` // zero: the peer's are as new
	Configuration   []Item        `cbor:"c"`
}

// Copy returns what is newer than what a peer has. A list of records and a
// configuration are tens of kilobytes each; sent whole to all who lacked one of
// them, they filled the link of a daemon that many asked at a time.
func (f *Follower) Copy(peer Have) Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Copy{Configuration: f.pack(f.newer(peer.Configuration))}
	if f.at[Records] <= peer.Records {
		return c
	}
	c.RecordsRevision = f.at[Records]
	for _, i := range f.values[Records] {
		c.Records = append(c.Records, i)
	}
	return c
}

// Take takes what a peer held, where it is newer.
func (f *Follower) Take(c Copy) error {
	now := f.opts.Clock()
	configuration, err := Unpack(c.Configuration)
	if err != nil {
		return err
	}
	for _, i := range configuration {
		f.plan(now, i)
	}
	f.mu.Lock()
	newer := c.RecordsRevision > f.at[Records]
	if newer {
		f.store(Records, c.Records, c.RecordsRevision, true)
	}
	f.mu.Unlock()
	if newer {
		f.opts.Emit(crmesh.Listed{Now: now, Changes: f.changes(c.Records), Revision: c.RecordsRevision, Peer: true})
	}
	return nil
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
				f.opts.Log.Event(crlog.RecordBad, crlog.Fields{"key": i.Key, "rev": revision(i.Revision), "error": err.Error()})
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
		f.opts.Log.Event(crlog.PlanBad, crlog.Fields{"rev": revision(i.Revision), "error": err.Error()})
		return
	}
	f.mu.Lock()
	f.store(Configuration, []Item{i}, i.Revision, false)
	f.mu.Unlock()
	f.opts.Emit(crmesh.PlanRead{Now: now, Plan: p})
}

func revision(r crid.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// track follows one scope.
type track struct {
	*Follower
	scope   Scope
	listed  bool
	seen    int // of the losses, when it was listed
	after   crid.Revision
	inTurn  bool         // the daemons' watches of this scope end one after the other
	failing crid.Instant // since when calls fail; zero: they do not
	told    bool         // that the store is away
	own     bool         // told so by calls of this daemon's own
	pause   time.Duration
}

func (t *track) round(ctx context.Context) error {
	if !t.upToDate() {
		return t.list(ctx)
	}
	items, at, err := t.watch(ctx)
	if errors.Is(err, ErrCompacted) {
		t.lostHistory()
		return nil
	}
	if err != nil {
		return err
	}
	t.succeeded()
	if at == 0 {
		return nil
	}
	t.after = max(at, t.after)
	if len(items) == 0 {
		t.reached(at)
		return nil
	}
	t.inTurn = false
	t.take(items, at, false)
	return nil
}

// reached notes that nothing changed up to a revision, so that a daemon that reads
// through this one can go on from there by itself.
func (t *track) reached(at crid.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store(t.scope, nil, at, false)
}

// watch waits for changes, or until another scope finds that history was lost.
func (t *track) watch(ctx context.Context) ([]Item, crid.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.mu.Lock()
	t.cancel[t.scope] = cancel
	t.mu.Unlock()
	items, at, err := t.opts.Store.Watch(ctx, t.scope, t.after, t.waitTime())
	if err != nil && errors.Is(context.Cause(ctx), ErrCompacted) {
		return nil, 0, nil
	}
	return items, at, err
}

// waitTime is how long the next watch waits. A change ends all daemons' watches
// at one moment; the first one after it is drawn, so that they take turns again.
func (t *track) waitTime() time.Duration {
	turn := min(lookEvery*time.Duration(max(t.opts.Lookers(), 1)), waitMost)
	if t.inTurn {
		return turn
	}
	t.inTurn = true
	return waitLeast + rand.N(max(turn-waitLeast, 1))
}

// lostHistory has all scopes listed anew: the others' waiting watches may be
// deaf to changes of the same time, and would tell of it much later.
func (t *track) lostHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losses++
	for scope, cancel := range t.cancel {
		if scope != t.scope {
			cancel(ErrCompacted)
		}
	}
}

// upToDate reports whether the scope was listed since history was lost last.
func (t *track) upToDate() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed && t.seen == t.losses
}

func (t *track) list(ctx context.Context) error {
	t.mu.Lock()
	losses := t.losses
	t.mu.Unlock()
	items, at, err := t.opts.Store.List(ctx, t.scope)
	if err != nil {
		return err
	}
	t.succeeded()
	t.listed, t.after, t.seen, t.inTurn = true, at, losses, false
	t.take(items, at, true)
	if at == 0 {
		// The store told no revision to watch from.
		t.listed = false
		wait(ctx, retryFirst)
	}
	return nil
}

func (t *track) take(items []Item, at crid.Revision, whole bool) {
	now := t.opts.Clock()
	if t.scope == Configuration {
		for _, i := range items {
			t.plan(now, i)
		}
		return
	}
	t.mu.Lock()
	t.store(Records, items, at, whole)
	t.mu.Unlock()
	changes := t.changes(items)
	if whole {
		t.opts.Emit(crmesh.Listed{Now: now, Changes: changes, Revision: at})
		return
	}
	t.opts.Emit(crmesh.Changed{Now: now, Changes: changes, Revision: at})
}

func (t *track) succeeded() {
	t.failing, t.pause = 0, 0
	t.setAway(t.scope, false)
	if !t.told {
		return
	}
	t.told, t.own = false, false
	t.opts.Log.Event(crlog.StoreBack, crlog.Fields{"scope": t.scope.String()})
	t.mark(false, false)
}

func (t *track) failed(ctx context.Context, err error) {
	t.faults.Add(1)
	now := t.opts.Clock()
	if t.failing == 0 {
		t.failing = now
	}
	if now.Sub(t.failing) >= lostAfter || errors.Is(err, ErrAway) {
		t.lost(err)
	}
	t.pause = min(max(2*t.pause, retryFirst), retryMost)
	wait(ctx, t.pause/2+rand.N(t.pause/2+1))
}

// lost notes that the store cannot be read: once as peers say, and once more as
// this daemon's own calls show.
func (t *track) lost(err error) {
	peers := errors.Is(err, ErrAway)
	if t.told && (t.own || peers) {
		return
	}
	t.told, t.own = true, !peers
	t.setAway(t.scope, true)
	t.opts.Log.Event(crlog.StoreLost, crlog.Fields{"scope": t.scope.String(), "error": err.Error()})
	t.mark(true, peers)
}

// mark tells the control side when the list of records is cut off from the
// store, and when it is not any more; peers says that those said so which read it
// for this daemon.
func (t *track) mark(down, peers bool) {
	if t.scope != Records {
		return
	}
	now := t.opts.Clock()
	if down {
		t.opts.Emit(crmesh.StoreLost{Now: now, Peers: peers})
		return
	}
	t.opts.Emit(crmesh.StoreBack{Now: now})
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
