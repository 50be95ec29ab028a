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

// store plays what a test hands it.
type store struct {
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

func (s *store) List(context.Context, crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list, s.at, nil
}

func (s *store) Watch(ctx context.Context, _ crwatch.Scope, _ crid.Revision, _ time.Duration) ([]crwatch.Item, crid.Revision, error) {
	select {
	case a := <-s.watch:
		return a.items, a.at, a.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

type decoder struct{}

func (decoder) Record(i crwatch.Item) (crregistry.Record, error) {
	return crregistry.Record{Target: crid.Target(i.Key)}, nil
}

func (decoder) Plan([]byte) (*crplan.Plan, error) { return nil, errors.New("no plan") }

func follow(t *testing.T, s crwatch.Store) *crwatch.Follower {
	t.Helper()
	q := crlog.NewQueue()
	f := crwatch.New(crwatch.Options{
		Store: s, Decoder: decoder{}, Clock: crclock.Now, Emit: func(crevent.Event) {}, ReaderCount: func() int { return 6 },
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

func TestPeersAreToldOfChangesInTheirOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	s.watch <- answer{items: []crwatch.Item{{Key: "b", Revision: 6}, {Key: "a", Revision: 7, Removed: true}}, at: 8}
	items, at, err := f.Since(t.Context(), crwatch.Records, 5, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(keys(items)).To(gomega.Equal([]string{"b", "a"}))
	g.Expect(at).To(gomega.Equal(crid.Revision(8)))
	items, _, err = f.Since(t.Context(), crwatch.Records, 6, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(keys(items)).To(gomega.Equal([]string{"a"}))
	whole, _, err := f.Held(crwatch.Records)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(keys(whole)).To(gomega.Equal([]string{"b"}))
}

// A list tells what there is and not what went before it. A peer that asks for
// changes from before the list would keep what was removed for ever.
func TestChangesFromBeforeAListAreNotTold(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	g.Eventually(func() error {
		_, _, err := f.Since(t.Context(), crwatch.Records, 3, time.Millisecond)
		return err
	}).Should(gomega.MatchError(crwatch.ErrCompacted))
}

// The store is lost while a peer waits for changes through this daemon. Records
// that run out in the outage do not mean that their targets leave, so the peer
// must hear of the outage at once, before it hears of them.
func TestAWaitingPeerIsToldThatTheStoreIsLost(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	g.Eventually(func() error { _, _, err := f.Held(crwatch.Records); return err }).Should(gomega.Succeed())
	told := make(chan error, 1)
	go func() {
		_, _, err := f.Since(t.Context(), crwatch.Records, 5, time.Minute)
		told <- err
	}()
	for range 6 {
		select {
		case s.watch <- answer{err: errors.New("reset")}:
		case err := <-told:
			told <- err
		}
	}
	g.Eventually(told, 3*time.Second).Should(gomega.Receive(gomega.MatchError(crwatch.ErrUnavailable)))
}

// A reader that has not listed yet knows nothing, which must not look like a store
// without targets.
func TestNothingIsServedBeforeTheFirstList(t *testing.T) {
	g := gomega.NewWithT(t)
	f := crwatch.New(crwatch.Options{})
	_, _, err := f.Held(crwatch.Records)
	g.Expect(err).To(gomega.MatchError(crwatch.ErrUnavailable))
}

// Many daemons lack a change at one time. Each is sent only what is newer than
// what it has; whole lists to all of them filled the link of the one that was
// asked.
func TestACopyHoldsOnlyWhatThePeerLacks(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	g.Eventually(func() error { _, _, err := f.Held(crwatch.Records); return err }).Should(gomega.Succeed())
	c := f.UpdateFor(crwatch.Revisions{Records: 3})
	g.Expect(keys(c.Records)).To(gomega.Equal([]string{"a"}))
	g.Expect(c.RecordsRevision).To(gomega.Equal(crid.Revision(5)))
	c = f.UpdateFor(crwatch.Revisions{Records: 5})
	g.Expect(c.Records).To(gomega.BeEmpty())
	g.Expect(c.RecordsRevision).To(gomega.BeZero())
}

// A configuration of half a megabyte goes from a reader to a dozen daemons over a
// link of 10 Mbit/s. Sent as it is, the last of them had it five seconds later.
func TestLargeValuesTravelPacked(t *testing.T) {
	g := gomega.NewWithT(t)
	large := []byte(strings.Repeat(`{"name":"route","path-prefix":"/abc/"},`, 10000))
	s := &store{list: []crwatch.Item{{Key: "a", Revision: 4, Value: large}, {Key: "b", Revision: 5, Value: []byte("small")}}, at: 5, watch: make(chan answer)}
	f := follow(t, s)
	g.Eventually(func() error { _, _, err := f.Held(crwatch.Records); return err }).Should(gomega.Succeed())
	for range 2 {
		items, _, err := f.Held(crwatch.Records)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		size := 0
		for _, i := range items {
			size += len(i.Value)
		}
		g.Expect(size).To(gomega.BeNumerically("<", len(large)/10))
		whole, err := crwatch.Decompress(items)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(whole).To(gomega.ConsistOf(
			crwatch.Item{Key: "a", Revision: 4, Value: large}, crwatch.Item{Key: "b", Revision: 5, Value: []byte("small")},
		))
	}
}

// A damaged value must not be taken for a configuration.
func TestADamagedValueIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := crwatch.Decompress([]crwatch.Item{{Key: "op", Value: []byte("no such form"), Compressed: true}})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("op")))
}

// waits records how long each watch of a silent store would wait.
type waits struct {
	store
	asked chan time.Duration
}

func (s *waits) Watch(ctx context.Context, _ crwatch.Scope, _ crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	select {
	case s.asked <- wait:
	case <-ctx.Done():
	}
	return nil, 0, errors.New("no answer")
}

// The store is silent for some seconds, and a watch that is sent then is never
// answered. A daemon that waits three seconds for each learns of a configuration
// only long after the store is back, and refuses callers by an old one meanwhile.
func TestWatchesOfASilentStoreAreShort(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &waits{store: store{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5}, asked: make(chan time.Duration)}
	follow(t, s)
	<-s.asked
	for range 3 {
		g.Expect(<-s.asked).To(gomega.BeNumerically("<=", 200*time.Millisecond))
	}
}

// late fails its first calls, and then lists.
type late struct {
	store
	mu    sync.Mutex
	calls int
}

func (s *late) List(ctx context.Context, scope crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls++; s.calls <= 6 {
		return nil, 0, errors.New("no answer")
	}
	return s.store.List(ctx, scope)
}

// A reader starts while the store is away, and peers ask it all the while. At the
// moment at which the store answers it has no list yet; told an empty one, its peers
// would refuse all callers for want of targets.
func TestAListIsServedOnlyOnceItIsTakenIn(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &late{store: store{list: []crwatch.Item{{Key: "a", Revision: 4}}, at: 5, watch: make(chan answer)}}
	q := crlog.NewQueue()
	var f *crwatch.Follower
	served := make(chan int, 1)
	f = crwatch.New(crwatch.Options{
		Store: s, Decoder: decoder{}, Clock: crclock.Now, ReaderCount: func() int { return 1 }, Log: crlog.New(q, "info", "test"),
		Emit: func(ev crevent.Event) {
			if _, ok := ev.(crmesh.StoreBack); !ok {
				return
			}
			items, _, err := f.Held(crwatch.Records)
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
