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

// store counts its calls.
type store struct {
	calls int
	err   error
}

func (s *store) List(context.Context, crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	s.calls++
	return []crwatch.Item{{Key: "own", Revision: 9}}, 9, s.err
}

func (s *store) Watch(context.Context, crwatch.Scope, crid.Revision, time.Duration) ([]crwatch.Item, crid.Revision, error) {
	s.calls++
	return []crwatch.Item{{Key: "own", Revision: 9}}, 9, s.err
}

// peers answer as told; one without an answer is unreachable.
type peers struct {
	pages map[crid.Daemon]croffer.FeedPage
	asked []crid.Daemon
}

func (p *peers) Feed(_ context.Context, d crid.Daemon, _ croffer.FeedQuery) (croffer.FeedPage, error) {
	p.asked = append(p.asked, d)
	page, ok := p.pages[d]
	if !ok {
		return croffer.FeedPage{}, errors.New("no answer")
	}
	return page, nil
}

// rig is a feed with its surroundings.
type rig struct {
	feed    *crfeed.Feed
	store   *store
	peers   *peers
	readers []crid.Daemon
	now     crid.Instant
}

func newRig(readers ...crid.Daemon) *rig {
	r := &rig{store: &store{}, peers: &peers{pages: make(map[crid.Daemon]croffer.FeedPage)}, readers: readers, now: start}
	r.feed = crfeed.New(crfeed.Options{
		Self: "self", Store: r.store, Peers: r.peers, Readers: func() []crid.Daemon { return r.readers }, Clock: func() crid.Instant { return r.now },
		Coming: func() bool { return false }, Log: crlog.New(io.Discard, "info", "self"),
	})
	return r
}

func (r *rig) watch(t *testing.T) ([]crwatch.Item, crid.Revision, error) {
	t.Helper()
	return r.feed.Watch(t.Context(), crwatch.Records, 4, time.Second)
}

func served() croffer.FeedPage {
	return croffer.FeedPage{State: croffer.FeedServed, Items: []crwatch.Item{{Key: "far", Revision: 7}}, Revision: 7}
}

func TestADaemonReadsThroughItsReaders(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("a", "b")
	r.peers.pages["a"], r.peers.pages["b"] = served(), served()
	items, at, err := r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items).To(gomega.Equal([]crwatch.Item{{Key: "far", Revision: 7}}))
	g.Expect(at).To(gomega.Equal(crid.Revision(7)))
	g.Expect(r.store.calls).To(gomega.Equal(0))
}

func TestAReaderReadsTheStoreItself(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("a", "self")
	items, _, err := r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("own"))
	g.Expect(r.peers.asked).To(gomega.BeEmpty())
}

// Both readers of a domain die at one time. Nobody there would hear of a withdrawn
// key until their beats are missed; so each daemon reads the store itself at once,
// and does not try the dead ones again for a while.
func TestWithoutReadersTheStoreIsReadAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("a", "b")
	items, _, err := r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("own"))
	g.Expect(r.peers.asked).To(gomega.HaveLen(2))
	r.now = r.now.Add(time.Second)
	_, _, err = r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.peers.asked).To(gomega.HaveLen(2))
	r.now = r.now.Add(3 * time.Second)
	_, _, err = r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.peers.asked).To(gomega.HaveLen(4))
}

// The store turns the readers away and serves everybody else. What a daemon then
// learns only now and then comes too late: a leaving target got requests for 2.6 s.
// So once the store has answered, it reads the store itself for some seconds.
func TestADaemonWhoseReadersAreTurnedAwayReadsTheStoreItself(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("a", "b")
	r.peers.pages["a"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	r.peers.pages["b"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	for range 3 {
		items, _, err := r.watch(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(items[0].Key).To(gomega.Equal("own"))
		r.now = r.now.Add(time.Second)
	}
	g.Expect(r.peers.asked).To(gomega.HaveLen(2))
	r.now = r.now.Add(11 * time.Second)
	r.peers.pages["a"], r.peers.pages["b"] = served(), served()
	items, _, err := r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("far"))
}

// The store is away for all. If each daemon tried as often as its readers do, the
// calls of a whole fleet would meet the store on its return.
func TestInAnOutageForAllADaemonLooksNowAndThen(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("a", "b")
	r.store.err = errors.New("busy")
	r.peers.pages["a"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	r.peers.pages["b"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	_, _, err := r.watch(t)
	g.Expect(err).To(gomega.MatchError("busy"))
	_, _, err = r.watch(t)
	g.Expect(err).To(gomega.MatchError(crwatch.ErrAway))
	g.Expect(r.store.calls).To(gomega.Equal(1))
	r.now = r.now.Add(3 * time.Second)
	_, _, err = r.watch(t)
	g.Expect(err).To(gomega.MatchError("busy"))
	g.Expect(r.store.calls).To(gomega.Equal(2))
}

// One reader is turned away by the store and the other is served: it has the news.
func TestTheOtherReaderIsAskedWhenOneIsTurnedAway(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("a", "b")
	r.peers.pages["a"] = croffer.FeedPage{State: croffer.FeedUnavailable}
	r.peers.pages["b"] = served()
	for range 2 {
		items, _, err := r.watch(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(items[0].Key).To(gomega.Equal("far"))
	}
	g.Expect(r.store.calls).To(gomega.Equal(0))
}

// A reader has forgotten the changes asked for. Going on from its newest one would
// miss what was removed in between, so that the caller has to list anew.
func TestForgottenChangesAreListedAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("a")
	r.peers.pages["a"] = croffer.FeedPage{State: croffer.FeedCompacted}
	_, _, err := r.watch(t)
	g.Expect(err).To(gomega.MatchError(crwatch.ErrCompacted))
}

// held waits until its question is taken back.
type held struct{}

func (held) Held(crwatch.Scope) ([]crwatch.Item, crid.Revision, error) { return nil, 1, nil }

func (held) Since(ctx context.Context, _ crwatch.Scope, _ crid.Revision, _ time.Duration) ([]crwatch.Item, crid.Revision, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Two daemons that read through each other would both wait for ever.
func TestOnlyAReaderServes(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("a", "b")
	g.Expect(r.feed.Serve(t.Context(), held{}, croffer.FeedQuery{Scope: 1}).State).To(gomega.Equal(croffer.FeedNotReader))
}

// A reader is told to stop while others wait through it for changes. It would stay
// until their time is up and be killed; they are sent elsewhere at once.
func TestAStoppingReaderSendsItsDaemonsElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("self")
	go func() {
		time.Sleep(30 * time.Millisecond)
		r.feed.Stop()
	}()
	g.Expect(r.feed.Serve(t.Context(), held{}, croffer.FeedQuery{Scope: 1, Wait: time.Minute}).State).To(gomega.Equal(croffer.FeedNotReader))
}

// A rolling replacement brings several changes a second. A watch after each would
// be a paid call for each; one each half second takes them all.
func TestWatchesOfTheStoreAreSpacedAfterChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("self")
	_, _, err := r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err = r.feed.Watch(ctx, crwatch.Records, 9, time.Second)
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	g.Expect(r.store.calls).To(gomega.Equal(1))
	r.now = r.now.Add(600 * time.Millisecond)
	_, _, err = r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.store.calls).To(gomega.Equal(2))
}

// All machines of a domain start at one time, and none knows who reads the store for
// it. Each would watch for itself, and be told of the others' targets one by one; the
// store turns away what is above its rate. A new daemon looks for changes now and
// then until a reader is heard, and watches all the time only if none is.
func TestANewDaemonWaitsForItsReaders(t *testing.T) {
	g := gomega.NewWithT(t)
	coming := true
	r := &rig{store: &store{}, peers: &peers{pages: map[crid.Daemon]croffer.FeedPage{"a": served()}}, readers: []crid.Daemon{"self"}, now: start}
	r.feed = crfeed.New(crfeed.Options{
		Self: "self", Store: r.store, Peers: r.peers, Readers: func() []crid.Daemon { return r.readers },
		Clock: func() crid.Instant { return r.now }, Coming: func() bool { return coming }, Log: crlog.New(io.Discard, "info", "self"),
	})
	_, _, err := r.feed.List(t.Context(), crwatch.Records)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.store.calls).To(gomega.Equal(1))
	items, at, err := r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items).To(gomega.BeEmpty())
	g.Expect(at).To(gomega.Equal(crid.Revision(4)), "it goes on from where it was")
	g.Expect(r.store.calls).To(gomega.Equal(1))

	r.readers = []crid.Daemon{"a", "b"}
	items, _, err = r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("far"))

	r.readers = []crid.Daemon{"self"}
	r.now = start.Add(1500 * time.Millisecond)
	items, _, err = r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("own"))
	g.Expect(r.store.calls).To(gomega.Equal(2))
	items, _, err = r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items).To(gomega.BeEmpty())

	coming = false
	items, _, err = r.watch(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(items[0].Key).To(gomega.Equal("own"), "there is nobody to wait for")

	coming = true
	r.now = start.Add(6 * time.Second)
	for range 2 {
		items, _, err = r.watch(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(items[0].Key).To(gomega.Equal("own"), "it is not new any more")
		r.now = r.now.Add(time.Second)
	}
}
