package crfeed_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/io/crfeed"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/io/crwatch"
)

const start = crid.Instant(time.Hour)

// fakeStore counts its calls.
type fakeStore struct {
	calls int
	err   error
}

func (s *fakeStore) List(context.Context, crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	s.calls++
	return []crwatch.Item{{Key: "direct", Revision: 9}}, 9, s.err
}

func (s *fakeStore) Watch(context.Context, crwatch.Scope, crid.Revision, time.Duration) ([]crwatch.Item, crid.Revision, error) {
	s.calls++
	return []crwatch.Item{{Key: "direct", Revision: 9}}, 9, s.err
}

// fakePeers answer queries with fixed pages; a peer without a page is unreachable.
type fakePeers struct {
	pages   map[crid.Daemon]croffer.FeedPage
	queried []crid.Daemon
}

func (p *fakePeers) Feed(_ context.Context, d crid.Daemon, _ croffer.FeedQuery) (croffer.FeedPage, error) {
	p.queried = append(p.queried, d)
	page, ok := p.pages[d]
	if !ok {
		return croffer.FeedPage{}, errors.New("no answer")
	}
	return page, nil
}

// fixture is a feed with fake dependencies.
type fixture struct {
	feed    *crfeed.Feed
	store   *fakeStore
	peers   *fakePeers
	readers []crid.Daemon
	now     crid.Instant
}

func newFixture(readers ...crid.Daemon) *fixture {
	f := &fixture{store: &fakeStore{}, peers: &fakePeers{pages: make(map[crid.Daemon]croffer.FeedPage)}, readers: readers, now: start}
	f.feed = crfeed.New(crfeed.Options{
		Self: "self", Store: f.store, Peers: f.peers, Readers: func() []crid.Daemon { return f.readers }, Clock: func() crid.Instant { return f.now },
		ReadersPending: func() bool { return false }, Log: crlog.New(io.Discard, "info", "self"),
	})
	return f
}

func (f *fixture) watch(t *testing.T) ([]crwatch.Item, crid.Revision, error) {
	t.Helper()
	return f.feed.Watch(t.Context(), crwatch.Records, 4, time.Second)
}

func servedPage() croffer.FeedPage {
	return croffer.FeedPage{State: croffer.FeedServed, Items: []crwatch.Item{{Key: "remote", Revision: 7}}, Revision: 7}
}

func TestADaemonReadsThroughAReader(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("a", "b")
	f.peers.pages["a"], f.peers.pages["b"] = servedPage(), servedPage()
	items, at, err := f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items).To(gomega.Equal([]crwatch.Item{{Key: "remote", Revision: 7}}))
	g.Expect(at).To(gomega.Equal(crid.Revision(7)))
	g.Expect(f.store.calls).To(gomega.Equal(0))
}

func TestAReaderReadsTheStoreDirectly(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("a", "self")
	items, _, err := f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("direct"))
	g.Expect(f.peers.queried).To(gomega.BeEmpty())
}

// Both readers of a domain fail. A withdrawn key would be accepted there until missed heartbeats show the failure,
// so each daemon reads the store directly at once, and does not query the failed readers again for a while.
func TestTheStoreIsReadDirectlyWhenNoReaderAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("a", "b")
	items, _, err := f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("direct"))
	g.Expect(f.peers.queried).To(gomega.HaveLen(2))
	f.now = f.now.Add(time.Second)
	_, _, err = f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.peers.queried).To(gomega.HaveLen(2))
	f.now = f.now.Add(3 * time.Second)
	_, _, err = f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.peers.queried).To(gomega.HaveLen(4))
}

// The store rejects only the readers. If others only probed it, changes would come too late: a leaving target
// got requests for 2.6 s. After a successful probe, a daemon therefore reads the store directly for some seconds.
func TestADaemonWhoseReadersAreRejectedReadsTheStoreDirectly(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("a", "b")
	f.peers.pages["a"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	f.peers.pages["b"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	for range 3 {
		items, _, err := f.watch(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(items[0].Key).To(gomega.Equal("direct"))
		f.now = f.now.Add(time.Second)
	}
	g.Expect(f.peers.queried).To(gomega.HaveLen(2))
	f.now = f.now.Add(11 * time.Second)
	f.peers.pages["a"], f.peers.pages["b"] = servedPage(), servedPage()
	items, _, err := f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("remote"))
}

// The store is unavailable to all daemons. If each called it as often as the readers do,
// the calls of the whole fleet would hamper its recovery.
func TestADaemonSpacesItsProbesInAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("a", "b")
	f.store.err = errors.New("busy")
	f.peers.pages["a"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	f.peers.pages["b"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	_, _, err := f.watch(t)
	g.Expect(err).To(gomega.MatchError("busy"))
	_, _, err = f.watch(t)
	g.Expect(err).To(gomega.MatchError(crwatch.ErrUnavailable))
	g.Expect(f.store.calls).To(gomega.Equal(1))
	f.now = f.now.Add(3 * time.Second)
	_, _, err = f.watch(t)
	g.Expect(err).To(gomega.MatchError("busy"))
	g.Expect(f.store.calls).To(gomega.Equal(2))
}

// The store rejects one reader and serves the other, which has the changes.
func TestTheOtherReaderIsQueriedWhenOneIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("a", "b")
	f.peers.pages["a"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	f.peers.pages["b"] = servedPage()
	for range 2 {
		items, _, err := f.watch(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(items[0].Key).To(gomega.Equal("remote"))
	}
	g.Expect(f.store.calls).To(gomega.Equal(0))
}

// A reader has dropped the requested changes. Continuing from its newest change would miss
// what was removed in between, so the caller has to list the scope again.
func TestWatchReturnsCompactedWhenAReaderDroppedTheChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("a")
	f.peers.pages["a"] = croffer.FeedPage{State: croffer.FeedCompacted}
	_, _, err := f.watch(t)
	g.Expect(err).To(gomega.MatchError(crwatch.ErrCompacted))
}

// blockingSource returns no changes before the query is canceled.
type blockingSource struct{}

func (blockingSource) Snapshot(crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	return nil, 1, nil
}

func (blockingSource) ChangesAfter(ctx context.Context, _ crwatch.Scope, _ crid.Revision, _ time.Duration) ([]crwatch.Item, crid.Revision, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Two daemons that read through each other would both wait forever.
func TestOnlyAReaderServesQueries(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("a", "b")
	g.Expect(f.feed.Serve(t.Context(), blockingSource{}, croffer.FeedQuery{Scope: 1}).State).To(gomega.Equal(croffer.FeedNotReader))
}

// A reader is stopped while queries of peers wait for changes. If it waited until they time out,
// it would be killed, so it ends them at once.
func TestStopEndsPendingQueries(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("self")
	go func() {
		time.Sleep(30 * time.Millisecond)
		f.feed.Stop()
	}()
	g.Expect(f.feed.Serve(t.Context(), blockingSource{}, croffer.FeedQuery{Scope: 1, Wait: time.Minute}).State).To(gomega.Equal(croffer.FeedNotReader))
}

// A rolling replacement causes several changes a second. One watch every half second returns them all;
// one watch per change would be a billed call for each.
func TestDirectWatchesAreSpacedAfterChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture("self")
	_, _, err := f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err = f.feed.Watch(ctx, crwatch.Records, 9, time.Second)
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	g.Expect(f.store.calls).To(gomega.Equal(1))
	f.now = f.now.Add(600 * time.Millisecond)
	_, _, err = f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.store.calls).To(gomega.Equal(2))
}

// All daemons of a domain start at once, before any reader is found. Constant watches by all, answered for each new
// target, would exceed the store's rate limit, so they are spaced until a reader is found or none is expected.
func TestANewDaemonSpacesItsCallsUntilAReaderIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	pending := true
	f := &fixture{store: &fakeStore{}, peers: &fakePeers{pages: map[crid.Daemon]croffer.FeedPage{"a": servedPage()}}, readers: []crid.Daemon{"self"}, now: start}
	f.feed = crfeed.New(crfeed.Options{
		Self: "self", Store: f.store, Peers: f.peers, Readers: func() []crid.Daemon { return f.readers },
		Clock: func() crid.Instant { return f.now }, ReadersPending: func() bool { return pending }, Log: crlog.New(io.Discard, "info", "self"),
	})
	_, _, err := f.feed.List(t.Context(), crwatch.Records)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.store.calls).To(gomega.Equal(1))
	items, at, err := f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items).To(gomega.BeEmpty())
	g.Expect(at).To(gomega.Equal(crid.Revision(4)), "the watch continues from the same revision")
	g.Expect(f.store.calls).To(gomega.Equal(1))

	f.readers = []crid.Daemon{"a", "b"}
	items, _, err = f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("remote"))

	f.readers = []crid.Daemon{"self"}
	f.now = start.Add(1500 * time.Millisecond)
	items, _, err = f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("direct"))
	g.Expect(f.store.calls).To(gomega.Equal(2))
	items, _, err = f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items).To(gomega.BeEmpty())

	pending = false
	items, _, err = f.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("direct"), "no reader is expected")

	pending = true
	f.now = start.Add(6 * time.Second)
	for range 2 {
		items, _, err = f.watch(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(items[0].Key).To(gomega.Equal("direct"), "the startup time is over")
		f.now = f.now.Add(time.Second)
	}
}
