package crwatch

import (
	"context"
	"errors"
	"time"

	"camphorroad/core/crid"
)

// ErrUnavailable means that the store cannot be read at present.
var ErrUnavailable = errors.New("store unavailable")

// firstRevision is the lowest revision of a store that was ever written to.
const firstRevision crid.Revision = 1

// maxHistory bounds the number of changes kept for peers that read through this
// daemon. A peer sends its next request within milliseconds; one that has missed more
// changes lists the records again.
const maxHistory = 2000

// history contains the latest changes of the records, in the order of their arrival.
type history struct {
	items         []Item
	completeAfter crid.Revision // all changes after this revision are kept
	listedAt      crid.Revision // revision of the list that the changes follow; a peer that listed here continues from it
}

// add appends changes and drops the oldest ones beyond maxHistory.
func (h *history) add(items []Item) {
	h.items = append(h.items, items...)
	if drop := len(h.items) - maxHistory; drop > 0 {
		h.completeAfter, h.listedAt = h.items[drop-1].Revision, 0
		h.items = append([]Item(nil), h.items[drop:]...)
	}
}

// reset drops all changes. A complete list does not show what was removed before its
// revision. The watches may have reached a later one.
func (h *history) reset(reached, listedAt crid.Revision) {
	h.items, h.completeAfter, h.listedAt = nil, reached, listedAt
}

// after returns the changes after a revision, or [ErrCompacted] if some were dropped.
func (h *history) after(r crid.Revision) ([]Item, error) {
	if r < h.completeAfter && r != h.listedAt {
		return nil, ErrCompacted
	}
	var out []Item
	for _, i := range h.items {
		if i.Revision > r {
			out = append(out, i)
		}
	}
	return out, nil
}

// Snapshot returns all items of a scope, compressed, for a peer that reads through
// this daemon.
func (f *Follower) Snapshot(scope Scope) ([]Item, crid.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable[scope] {
		return nil, 0, ErrUnavailable
	}
	items := make([]Item, 0, len(f.values[scope]))
	for _, i := range f.values[scope] {
		items = append(items, i)
	}
	at := f.revisions[scope]
	if scope == Records {
		at = f.recordsAt // the watches may have passed over a change
	}
	return f.compress(items), max(at, firstRevision), nil
}

// ChangesAfter returns the changes of a scope after a revision, compressed, as soon as
// there are any, or none when the wait is over. It returns [ErrUnavailable] at once
// when the store becomes unavailable: records that expire during an outage do not
// mean that their targets leave, so the peer has to be notified of the outage.
func (f *Follower) ChangesAfter(ctx context.Context, scope Scope, after crid.Revision, wait time.Duration) ([]Item, crid.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		items, revision, changed, err := f.changesAfter(scope, after)
		if err != nil {
			return nil, 0, err
		}
		if len(items) > 0 {
			return items, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// changesAfter returns the known changes after a revision, the revision up to which
// they are complete, and a channel that is closed at the next change.
func (f *Follower) changesAfter(scope Scope, after crid.Revision) (items []Item, revision crid.Revision, changed <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items = f.configurationAfter(after)
	switch {
	case scope == Configuration && len(items) > 0:
		// A newer configuration is served even while the store is unavailable. It
		// then usually comes from a peer.
	case f.unavailable[scope]:
		return nil, 0, nil, ErrUnavailable
	case scope == Records:
		items, err = f.history.after(after)
	}
	return f.compress(items), max(f.revisions[scope], after), f.changed, err
}

// configurationAfter returns the configuration if it is newer than a revision.
func (f *Follower) configurationAfter(after crid.Revision) []Item {
	var out []Item
	for _, i := range f.values[Configuration] {
		if i.Revision > after {
			out = append(out, i)
		}
	}
	return out
}

// setUnavailable records whether a scope is unavailable, and notifies the waiters if
// this has changed.
func (f *Follower) setUnavailable(scope Scope, unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable[scope] != unavailable {
		f.unavailable[scope] = unavailable
		f.notifyWaiters()
	}
}

// notifyWaiters wakes all calls of [Follower.ChangesAfter]. The caller holds the lock.
func (f *Follower) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}
