package crwatch

import (
	"context"
	"errors"
	"time"

	"camphorroad/core/crid"
)

// ErrUnavailable tells that the store cannot be read at present.
var ErrUnavailable = errors.New("the store is away")

// firstRevision is the least revision of a store that was ever written to.
const firstRevision crid.Revision = 1

// historyMost bounds the changes kept for peers that read through this daemon.
// A peer asks again within milliseconds; one that missed more lists anew.
const historyMost = 2000

// history is the last changes of the records, in the order in which they came.
type history struct {
	items []Item
	from  crid.Revision // the oldest revision that can be gone on from
}

// add keeps changes that came up to a revision.
func (h *history) add(items []Item) {
	h.items = append(h.items, items...)
	if drop := len(h.items) - historyMost; drop > 0 {
		h.from = h.items[drop-1].Revision
		h.items = append([]Item(nil), h.items[drop:]...)
	}
}

// restart forgets all: a whole list, as of a revision, does not tell what was
// removed before it.
func (h *history) restart(at crid.Revision) { h.items, h.from = nil, at }

// after returns the changes after a revision, or that they are not known.
func (h *history) after(r crid.Revision) ([]Item, error) {
	if r < h.from {
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

// Held returns all items of a scope, packed, for a peer that reads through this
// daemon.
func (f *Follower) Held(scope Scope) ([]Item, crid.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away[scope] {
		return nil, 0, ErrUnavailable
	}
	items := make([]Item, 0, len(f.values[scope]))
	for _, i := range f.values[scope] {
		items = append(items, i)
	}
	return f.pack(items), max(f.at[scope], firstRevision), nil
}

// Since returns the changes of a scope after a revision, packed, as soon as there
// are any, or none after the wait. It ends at once with [ErrUnavailable] when the store is lost:
// records that run out then do not mean that their targets leave, and a peer has
// to know.
func (f *Follower) Since(ctx context.Context, scope Scope, after crid.Revision, wait time.Duration) ([]Item, crid.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		items, at, changed, err := f.since(scope, after)
		if err != nil {
			return nil, 0, err
		}
		if len(items) > 0 {
			return items, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, at, nil
		case <-changed:
		}
	}
}

// since returns what is known to have changed after a revision, and the revision
// up to which that is all.
func (f *Follower) since(scope Scope, after crid.Revision) (items []Item, at crid.Revision, changed <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items = f.newer(after)
	switch {
	case scope == Configuration && len(items) > 0:
		// A newer one counts wherever it came from: a peer, as a rule, if the
		// store is away.
	case f.away[scope]:
		return nil, 0, nil, ErrUnavailable
	case scope == Records:
		items, err = f.history.after(after)
	}
	return f.pack(items), max(f.at[scope], after), f.changed, err
}

// newer returns the configuration if it came after a revision.
func (f *Follower) newer(after crid.Revision) []Item {
	var out []Item
	for _, i := range f.values[Configuration] {
		if i.Revision > after {
			out = append(out, i)
		}
	}
	return out
}

// setAway notes whether a scope can be read, and tells those who wait.
func (f *Follower) setAway(scope Scope, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away[scope] != away {
		f.away[scope] = away
		f.wake()
	}
}

// wake tells all who wait that something has changed.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}
