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
	// minSeedTime is how long a new daemon reads through its seeds at least, and
	// seedTimeSpread the time within which the daemons of a fleet change to their readers.
	minSeedTime    = 3500 * time.Millisecond
	seedTimeSpread = 1500 * time.Millisecond
	// seedServiceTime is how long a seed watches the store for new daemons.
	seedServiceTime = 8 * time.Second
	// maxSeedWatches bounds the watches that a seed serves. In a fleet of thousands the
	// other new daemons call the store at startupInterval.
	maxSeedWatches = 400
)

// isNew reports whether this daemon started within startupTime.
func (f *Feed) isNew() bool { return f.opts.Clock().Sub(f.started) < startupTime }

// watchesForOthers reports whether this daemon is a seed of a fleet that starts.
func (f *Feed) watchesForOthers() bool {
	return f.isSeed() && f.opts.Clock().Sub(f.started) < seedServiceTime
}

// patienceOver reports whether seedPatience has passed since the start.
func (f *Feed) patienceOver() bool { return f.opts.Clock().Sub(f.started) >= seedPatience }

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

// readsThroughSeeds reports whether this daemon has just started and reads through its
// seeds. The records of a fleet that starts appear one by one, and until they are complete
// its daemons do not agree on their readers. The readers read directly first; each other
// daemon changes to them at another moment.
func (f *Feed) readsThroughSeeds() bool {
	if len(f.opts.Seeds) == 0 || f.isSeed() {
		return false
	}
	age := f.opts.Clock().Sub(f.started)
	if slices.Contains(f.opts.Readers(), f.opts.Self) {
		return age < minSeedTime
	}
	spread := time.Duration(xxhash.Sum64String(string(f.opts.Self)) % uint64(seedTimeSpread))
	return age < minSeedTime+readerWait/2+spread
}

// seedsToQuery returns the seeds that may answer a query, in an order that depends on this
// daemon.
func (f *Feed) seedsToQuery(q croffer.FeedQuery) []crid.Daemon {
	n := len(f.opts.Seeds)
	first := int(xxhash.Sum64String(string(f.opts.Self)) % uint64(n))
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Concat(f.opts.Seeds[first:], f.opts.Seeds[:first]), func(d crid.Daemon) bool {
		return f.failedSeeds[d] || (!q.Full && f.idleSeeds[d])
	})
}

// readFromSeeds queries the seeds until one answers. Those of a fleet that starts have
// nothing to answer with at first, and a list is queried for until seedPatience is over.
// It returns errReadDirectly if no seed answers.
func (f *Feed) readFromSeeds(ctx context.Context, q croffer.FeedQuery) ([]crwatch.Item, crid.Revision, error) {
	for {
		for _, d := range f.seedsToQuery(q) {
			if q.Full && f.patienceOver() {
				break
			}
			page, err := f.query(ctx, d, q)
			if ctx.Err() != nil {
				return nil, 0, ctx.Err()
			}
			if err == nil && page.State == croffer.FeedServed {
				f.recordRead(q.Scope)
				f.throughSeeds.Store(true)
				return f.decode(d, q, page)
			}
			if err == nil && page.State == croffer.FeedCompacted {
				return nil, 0, crwatch.ErrCompacted
			}
			f.recordSeedFailure(d, q, err)
		}
		if !q.Full || f.patienceOver() {
			return nil, 0, errReadDirectly
		}
		if err := crclock.Sleep(ctx, startupPollInterval); err != nil {
			return nil, 0, err
		}
	}
}

// recordSeedFailure excludes a seed from queries that it did not answer or does not serve.
// Before seedPatience is over, it may not have started yet.
func (f *Feed) recordSeedFailure(d crid.Daemon, q croffer.FeedQuery, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil:
		f.failedSeeds[d] = f.patienceOver()
	case !q.Full:
		f.idleSeeds[d] = true
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
	if f.watchesForOthers() {
		return f.seedWatches.Load() < maxSeedWatches
	}
	return slices.Contains(f.opts.Readers(), f.opts.Self) && !f.throughSeeds.Load()
}

// minPackedItems is the number of records from which a page is packed.
const minPackedItems = 4

// packedPage is the content of a page, packed for transfer. When a fleet starts, a seed serves
// the same list, and then the same changes, to a hundred daemons.
type packedPage struct {
	after, revision crid.Revision // zero after: a list
	count           int
	data            []byte
}

// page returns a page with items, packed if they are many records.
func (f *Feed) page(q croffer.FeedQuery, items []crwatch.Item, revision crid.Revision) (croffer.FeedPage, error) {
	if q.Scope != crwatch.Records || len(items) < minPackedItems {
		return croffer.FeedPage{State: croffer.FeedServed, Items: items, Revision: revision}, nil
	}
	after := q.After
	if q.Full {
		after = 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.packed[q.Full]; p.after != after || p.revision != revision || p.count != len(items) {
		data, err := crwatch.Pack(items)
		if err != nil {
			return croffer.FeedPage{}, err
		}
		f.packed[q.Full] = packedPage{after: after, revision: revision, count: len(items), data: data}
	}
	return croffer.FeedPage{State: croffer.FeedServed, Packed: f.packed[q.Full].data, Revision: revision}, nil
}

// countWatch counts a served watch of a seed until the returned function is called.
func (f *Feed) countWatch() func() {
	f.seedWatches.Add(1)
	return func() { f.seedWatches.Add(-1) }
}
