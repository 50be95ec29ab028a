package crfeed

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/io/crwatch"
)

const (
	// startupTime is how long a daemon counts as new. When all daemons start at the same
	// time, the readers are not determined yet, and each daemon receives the others'
	// targets one by one. If each of them watched the store like a reader during this
	// time, that would cost more calls than the rest of a day.
	startupTime = 6 * time.Second
	// startupInterval is the time between two calls of a new daemon that has found no
	// other reader. It is a part of the time within which a change must be in force.
	startupInterval = 1500 * time.Millisecond
	// startupPollInterval is the time between two checks for readers during startup.
	startupPollInterval = 100 * time.Millisecond
	// seedPatience is how long a new daemon waits for its seeds before it lists the store
	// directly. All daemons of a fleet start within a few hundred milliseconds, and a seed
	// on a busy machine takes as long again to list the store.
	seedPatience = time.Second
	// maxSeedWatches bounds the watches that a seed serves. In a fleet of thousands the
	// other new daemons call the store at startupInterval.
	maxSeedWatches = 256
)

// isNew reports whether this daemon started within startupTime.
func (f *Feed) isNew() bool { return f.opts.Clock().Sub(f.started) < startupTime }

func (f *Feed) isSeed() bool { return slices.Contains(f.opts.Seeds, f.opts.Self) }

// knowsReader reports whether a reader other than this daemon is known.
func (f *Feed) knowsReader() bool {
	return slices.ContainsFunc(f.opts.Readers(), func(d crid.Daemon) bool { return d != f.opts.Self })
}

// startingUp reports whether this daemon is new, has found no other reader yet, and has
// read the scope within startupInterval. The seeds watch the store for the other new
// daemons, and so without this interval.
func (f *Feed) startingUp(scope crwatch.Scope) bool {
	if f.isSeed() || !f.isNew() || f.knowsReader() || !f.opts.ReadersPending() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Clock().Sub(f.lastCall[scope]) < startupInterval
}

// readsThroughSeeds reports whether this daemon is new and reads through its seeds,
// since it knows no reader of its domain yet.
func (f *Feed) readsThroughSeeds() bool {
	return len(f.opts.Seeds) > 0 && !f.isSeed() && f.isNew() && !f.knowsReader() && f.opts.ReadersPending()
}

// seedsToQuery returns the seeds in an order that depends on this daemon.
func (f *Feed) seedsToQuery() []crid.Daemon {
	n := len(f.opts.Seeds)
	first := int(xxhash.Sum64String(string(f.opts.Self)) % uint64(n))
	return slices.Concat(f.opts.Seeds[first:], f.opts.Seeds[:first])
}

// readFromSeeds queries the seeds until one answers. Those of a fleet that starts have
// nothing to answer with at first, and a list is queried for until seedPatience is over.
// It returns errReadDirectly if no seed answers.
func (f *Feed) readFromSeeds(ctx context.Context, q croffer.FeedQuery) ([]crwatch.Item, crid.Revision, error) {
	for {
		for _, d := range f.seedsToQuery() {
			page, err := f.query(ctx, d, q)
			if ctx.Err() != nil {
				return nil, 0, ctx.Err()
			}
			if err == nil && page.State == croffer.FeedServed {
				f.recordRead(q.Scope)
				return f.decode(d, q, page)
			}
			if err == nil && page.State == croffer.FeedCompacted {
				return nil, 0, crwatch.ErrCompacted
			}
		}
		if !q.Full || !f.readsThroughSeeds() || f.opts.Clock().Sub(f.started) >= seedPatience {
			return nil, 0, errReadDirectly
		}
		if err := crclock.Sleep(ctx, startupPollInterval); err != nil {
			return nil, 0, err
		}
	}
}

// decode returns the content of a page. If it cannot be decoded, this daemon reads the
// store directly.
func (f *Feed) decode(from crid.Daemon, q croffer.FeedQuery, page croffer.FeedPage) ([]crwatch.Item, crid.Revision, error) {
	items, err := unpack(page)
	if err != nil {
		f.opts.Log.Event(crlog.ReaderUnresponsive, crlog.Fields{"reader": string(from), "scope": q.Scope.String(), "error": err.Error()})
		return nil, 0, errReadDirectly
	}
	return items, max(page.Revision, q.After), nil
}

func unpack(page croffer.FeedPage) ([]crwatch.Item, error) {
	if len(page.Packed) > 0 {
		return crwatch.Unpack(page.Packed)
	}
	return crwatch.Decompress(page.Items)
}

// recordRead records that a scope was read through a peer, so that a new daemon calls the
// store only startupInterval later.
func (f *Feed) recordRead(scope crwatch.Scope) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastCall[scope] = f.opts.Clock()
}

// servesWatches reports whether this daemon reads the store directly, as a reader of its
// domain or as a seed of a fleet that starts. No other daemon serves watches: two daemons
// that read through each other would both wait forever.
func (f *Feed) servesWatches() bool {
	if f.isSeed() && f.isNew() && !f.knowsReader() {
		return f.seedWatches.Load() < maxSeedWatches
	}
	return slices.Contains(f.opts.Readers(), f.opts.Self) && !f.readsThroughSeeds()
}

// packedList is the list of a scope at a revision, packed for transfer. When a fleet
// starts, a seed serves the same list to a hundred daemons.
type packedList struct {
	revision crid.Revision
	count    int
	data     []byte
}

// serveList serves a complete list. Any daemon with a copy may do so: a daemon that
// continues from an outdated list gets the changes since with its first watch.
func (f *Feed) serveList(source Source, scope crwatch.Scope) (croffer.FeedPage, error) {
	items, revision, err := source.Snapshot(scope)
	if err != nil || scope != crwatch.Records || len(items) == 0 {
		return croffer.FeedPage{State: croffer.FeedServed, Items: items, Revision: revision}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.packed.revision != revision || f.packed.count != len(items) {
		data, err := crwatch.Pack(items)
		if err != nil {
			return croffer.FeedPage{}, err
		}
		f.packed = packedList{revision: revision, count: len(items), data: data}
	}
	return croffer.FeedPage{State: croffer.FeedServed, Packed: f.packed.data, Revision: revision}, nil
}

// countWatch counts a served watch of a seed until the returned function is called.
func (f *Feed) countWatch() func() {
	f.seedWatches.Add(1)
	return func() { f.seedWatches.Add(-1) }
}
