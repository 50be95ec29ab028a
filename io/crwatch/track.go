package crwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
)

// track follows one scope.
type track struct {
	*Follower
	scope   Scope
	listed  bool
	seen    int // of the losses, when it was listed
	after   crid.Revision
	aligned bool         // the last watch ended together with those of the other daemons
	renewed bool         // the last watch was ended to be sent anew
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
	switch {
	case errors.Is(err, errInterrupted):
		return nil
	case errors.Is(err, ErrCompacted):
		t.lostHistory()
		return nil
	case err != nil:
		return err
	}
	t.succeeded()
	if at == 0 {
		return nil
	}
	t.after = max(at, t.after)
	if len(items) == 0 {
		t.reached(at)
	} else {
		t.aligned = true
		t.take(items, at, false)
	}
	t.setAway(t.scope, false)
	return nil
}

// reached notes that nothing changed up to a revision, so that a daemon that reads
// through this one can go on from there by itself.
func (t *track) reached(at crid.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store(t.scope, nil, at, false)
}

// errInterrupted tells that a watch ended before its time, without an answer.
var errInterrupted = errors.New("the watch was interrupted")

// watch waits for changes, or until it is interrupted.
func (t *track) watch(ctx context.Context) ([]Item, crid.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wait := t.waitTime()
	if wait > waitLeast {
		t.mu.Lock()
		t.cancel[t.scope] = cancel
		t.mu.Unlock()
	}
	items, at, err := t.opts.Store.Watch(ctx, t.scope, t.after, wait)
	cause := context.Cause(ctx)
	if err != nil && (errors.Is(cause, ErrCompacted) || errors.Is(cause, errRenewed)) {
		t.renewed = errors.Is(cause, errRenewed)
		return nil, 0, errInterrupted
	}
	return items, at, err
}

// waitTime is how long the next watch waits. A change ends all daemons' watches
// at one moment, and so does a renewal; the waits are drawn, so that they take turns
// again, and the first one is short: a silence right after that moment swallows all
// those that follow it, and the one that ends first finds that out for all daemons.
//
// While calls fail, a watch is to find out whether the store answers again. One that
// is sent while the store is silent gets no answer later either, and a long one would
// keep this daemon deaf for seconds after the store is back, beyond the time in
// which a new configuration has to be in force.
func (t *track) waitTime() time.Duration {
	if t.failing != 0 || t.renewed {
		t.renewed, t.aligned = false, true
		return waitLeast
	}
	turn := min(lookEvery*time.Duration(max(t.opts.Lookers(), 1)), waitMost*2/3)
	if t.aligned {
		t.aligned = false
		return waitLeast + rand.N(max(turn-waitLeast, 1))
	}
	return turn/2 + rand.N(turn)
}

// lostHistory has all scopes listed anew: the others' waiting watches may be
// deaf to changes of the same time, and would tell of it much later.
func (t *track) lostHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losses++
	t.interrupt(ErrCompacted)
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
	t.listed, t.after, t.seen, t.aligned = true, at, losses, true
	t.take(items, at, true)
	t.setAway(t.scope, false)
	if at == 0 {
		// The store told no revision to watch from.
		t.listed = false
		return crclock.Sleep(ctx, retryFirst)
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

// succeeded notes that the store has answered. Peers are told so only when its answer
// is taken in: one that asks before would be served a list without targets.
func (t *track) succeeded() {
	quiet := t.answered()
	t.failing, t.pause = 0, 0
	if !t.told {
		return
	}
	t.told, t.own = false, false
	t.opts.Log.Event(crlog.StoreRecovered, crlog.Fields{"scope": t.scope.String(), "quiet": rounded(quiet)})
	t.mark(false, false)
}

// answered notes an answer, and returns the time since the one before.
func (t *track) answered() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock()
	quiet := now.Sub(t.heard[t.scope])
	t.heard[t.scope] = now
	return quiet
}

func (t *track) failed(ctx context.Context, err error) {
	t.faults.Add(1)
	now := t.opts.Clock()
	if t.failing == 0 {
		t.failing = now
	}
	silent := errors.Is(err, context.DeadlineExceeded)
	if silent {
		t.Renew()
		t.pause = 0 // the call took long enough to spare the store
	}
	if silent || now.Sub(t.failing) >= lostAfter || errors.Is(err, ErrAway) {
		t.lost(err)
	}
	t.pause = min(max(2*t.pause, retryFirst), retryMost)
	_ = crclock.Sleep(ctx, t.pause/2+rand.N(t.pause/2+1)) // Run notices the end of the context
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
	t.opts.Log.Event(crlog.StoreLost, crlog.Fields{
		"scope": t.scope.String(), "error": err.Error(), "quiet": rounded(t.Quiet(t.scope)),
	})
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

func rounded(d time.Duration) string { return d.Round(time.Millisecond).String() }
