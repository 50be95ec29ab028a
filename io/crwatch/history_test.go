package crwatch_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplan"
	"camphorroad/core/crregistry"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
	"camphorroad/io/crwatch"
)

// fakeStore lists fixed items, and answers each watch with the next answer of a test.
type fakeStore struct {
	mu    sync.Mutex
	list  []crwatch.Item
	at    crid.Revision
	watch chan answer
}

type answer struct {
	items []crwatch.Item
	at    crid.Revision
	err   error
}

func (s *fakeStore) List(context.Context, crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list, s.at, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ crwatch.Scope, _ crid.Revision, _ time.Duration) ([]crwatch.Item, crid.Revision, error) {
	select {
	case a := <-s.watch:
		return a.items, a.at, a.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

type fakeDecoder struct{}

func (fakeDecoder) Record(i crwatch.Item) (crregistry.Record, error) {
	return crregistry.Record{Target: crid.Target(i.Key)}, nil
}

func (fakeDecoder) Evacuation(crwatch.Item) (crid.Domain, bool) { return "", false }

func (fakeDecoder) Plan([]byte) (*crplan.Plan, error) { return nil, errors.New("no plan") }

func follow(t *testing.T, s crwatch.Store) *crwatch.Follower {
	t.Helper()
	q := crlog.NewQueue()
	f := crwatch.New(crwatch.Options{
		Store: s, Decoder: fakeDecoder{}, Clock: crclock.Now, Emit: func(crevent.Event) {}, ReaderCount: func() int { return 6 }, ReadsFirst: func() bool { return false },
		Log: crlog.New(q, "info", "test"),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { _ = f.Run(ctx, crwatch.Records); done <- struct{}{} }()
	go func() { _ = q.Run(ctx, io.Discard); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	return f
}

func keys(items []crwatch.Item) []string {
	out := make([]string, 0, len(items))
	for _, i := range items {
		out = append(out, i.Key)
	}
	return out
}

func TestChangesAfterKeepsTheOrderOfChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &fakeStore{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	s.watch <- answer{items: []crwatch.Item{{Key: "b", Revision: 6}, {Key: "a", Revision: 7, Removed: true}}, at: 8}
	items, at, err := f.ChangesAfter(t.Context(), crwatch.Records, 5, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(keys(items)).To(gomega.Equal([]string{"b", "a"}))
	g.Expect(at).To(gomega.Equal(crid.Revision(8)))
	items, _, err = f.ChangesAfter(t.Context(), crwatch.Records, 6, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(keys(items)).To(gomega.Equal([]string{"a"}))
	snapshot, _, err := f.Snapshot(crwatch.Records)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(keys(snapshot)).To(gomega.Equal([]string{"b"}))
}

// A list does not contain what was removed before it. A peer that continued from an
// earlier revision would keep the removed items forever.
func TestChangesBeforeAListAreCompacted(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &fakeStore{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	g.Eventually(func() error {
		_, _, err := f.ChangesAfter(t.Context(), crwatch.Records, 3, time.Millisecond)
		return err
	}).Should(gomega.MatchError(crwatch.ErrCompacted))
}

// The store fails while a peer waits for changes through this daemon. The peer must be notified
// before records expire, or it would treat their targets as leaving.
func TestChangesAfterEndsWhenTheStoreBecomesUnavailable(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &fakeStore{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	g.Eventually(func() error { _, _, err := f.Snapshot(crwatch.Records); return err }).Should(gomega.Succeed())
	result := make(chan error, 1)
	go func() {
		_, _, err := f.ChangesAfter(t.Context(), crwatch.Records, 5, time.Minute)
		result <- err
	}()
	for range 6 {
		select {
		case s.watch <- answer{err: errors.New("reset")}:
		case err := <-result:
			result <- err
		}
	}
	g.Eventually(result, 3*time.Second).Should(gomega.Receive(gomega.MatchError(crwatch.ErrUnavailable)))
}

// The empty state of a reader before its first list must not be served as a store
// without targets.
func TestSnapshotIsUnavailableBeforeTheFirstList(t *testing.T) {
	g := gomega.NewWithT(t)
	f := crwatch.New(crwatch.Options{})
	_, _, err := f.Snapshot(crwatch.Records)
	g.Expect(err).To(gomega.MatchError(crwatch.ErrUnavailable))
}

// Many daemons lack a change at the same time. Complete lists for all of them would
// saturate the link of the daemon that they query.
func TestAnUpdateContainsOnlyWhatThePeerLacks(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &fakeStore{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	g.Eventually(func() error { _, _, err := f.Snapshot(crwatch.Records); return err }).Should(gomega.Succeed())
	u := f.UpdateFor(crwatch.Revisions{Records: 3})
	g.Expect(keys(u.Records)).To(gomega.Equal([]string{"a"}))
	g.Expect(u.RecordsRevision).To(gomega.Equal(crid.Revision(5)))
	u = f.UpdateFor(crwatch.Revisions{Records: 5})
	g.Expect(u.Records).To(gomega.BeEmpty())
	g.Expect(u.RecordsRevision).To(gomega.BeZero())
}

// A reader sends a configuration of half a megabyte to a dozen daemons over a link of
// 10 Mbit/s. Uncompressed, the last of them would receive it after five seconds.
func TestLargeValuesAreSentCompressed(t *testing.T) {
	g := gomega.NewWithT(t)
	large := []byte(strings.Repeat(`{"name":"route","path-prefix":"/abc/"},`, 10000))
	s := &fakeStore{list: []crwatch.Item{{Key: "a", Revision: 4, Value: large}, {Key: "b", Revision: 5, Value: []byte("small")}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	g.Eventually(func() error { _, _, err := f.Snapshot(crwatch.Records); return err }).Should(gomega.Succeed())
	for range 2 {
		items, _, err := f.Snapshot(crwatch.Records)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		size := 0
		for _, i := range items {
			size += len(i.Value)
		}
		g.Expect(size).To(gomega.BeNumerically("<", len(large)/10))
		decompressed, err := crwatch.Decompress(items)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(decompressed).To(gomega.ConsistOf(
			crwatch.Item{Key: "a", Revision: 4, Value: large}, crwatch.Item{Key: "b", Revision: 5, Value: []byte("small")},
		))
	}
}

// A corrupt value must not be used as a configuration.
func TestDecompressRejectsACorruptValue(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := crwatch.Decompress([]crwatch.Item{{Key: "op", Value: []byte("not compressed"), Compressed: true}})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("op")))
}

// watchRecorder records the waits of watches, and answers none of them.
type watchRecorder struct {
	fakeStore
	waits chan time.Duration
}

func (s *watchRecorder) Watch(ctx context.Context, _ crwatch.Scope, _ crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	select {
	case s.waits <- wait:
	case <-ctx.Done():
	}
	return nil, 0, errors.New("no answer")
}

// A watch that is sent during an outage is never answered. With a wait of three seconds, a daemon would apply
// an old configuration to callers long after the store has recovered.
func TestWatchesAreShortWhileTheStoreDoesNotAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &watchRecorder{fakeStore: fakeStore{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5}, waits: make(chan time.Duration)}
	follow(t, s)
	<-s.waits
	for range 3 {
		g.Expect(<-s.waits).To(gomega.BeNumerically("<=", 200*time.Millisecond))
	}
}

// recoveringStore fails its first lists, and then answers.
type recoveringStore struct {
	fakeStore
	mu    sync.Mutex
	calls int
}

func (s *recoveringStore) List(ctx context.Context, scope crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls++; s.calls <= 6 {
		return nil, 0, errors.New("no answer")
	}
	return s.fakeStore.List(ctx, scope)
}

// A reader starts during an outage and is queried all the time. If it served its empty list between the store's
// first answer and the application of that answer, its peers would have no targets and refuse all callers.
func TestAListIsServedOnlyAfterItIsApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &recoveringStore{fakeStore: fakeStore{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}}
	q := crlog.NewQueue()
	var f *crwatch.Follower
	served := make(chan int, 1)
	f = crwatch.New(crwatch.Options{
		Store: s, Decoder: fakeDecoder{}, Clock: crclock.Now, ReaderCount: func() int { return 1 }, ReadsFirst: func() bool { return false }, Log: crlog.New(q, "info", "test"),
		Emit: func(ev crevent.Event) {
			if _, ok := ev.(crmesh.StoreAvailable); !ok {
				return
			}
			items, _, err := f.Snapshot(crwatch.Records)
			if errors.Is(err, crwatch.ErrUnavailable) {
				served <- 1
				return
			}
			served <- len(items)
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = f.Run(ctx, crwatch.Records); close(done) }()
	g.Eventually(served, 5*time.Second).Should(gomega.Receive(gomega.Equal(1)))
	cancel()
	<-done
}
