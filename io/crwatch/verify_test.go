package crwatch_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/io/crlog"
	"camphorroad/io/crwatch"
)

// forgetfulStore has a new record after a while, and its watches pass over it.
type forgetfulStore struct {
	changed atomic.Bool
	lists   atomic.Int64
}

func (s *forgetfulStore) List(context.Context, crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	s.lists.Add(1)
	if s.changed.Load() {
		return []crwatch.Item{{Key: "a", Revision: 4}, {Key: "b", Revision: 6}}, 6, nil
	}
	return []crwatch.Item{{Key: "a", Revision: 4}}, 5, nil
}

func (s *forgetfulStore) Watch(ctx context.Context, _ crwatch.Scope, _ crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
	}
	if s.changed.Load() {
		return nil, 6, nil
	}
	return nil, 5, nil
}

// Guards against a withdrawn key that stays in force since no watch returns the change.
func TestFirstReaderFindsAChangeThatItsWatchesPassedOver(t *testing.T) {
	for _, first := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, start := &forgetfulStore{}, time.Now()
			targets := 0
			f := crwatch.New(crwatch.Options{
				Store: s, Decoder: fakeDecoder{}, Clock: func() crid.Instant { return crid.Instant(time.Hour + time.Since(start)) },
				Emit: func(ev crevent.Event) {
					if l, ok := ev.(crmesh.RecordsListed); ok {
						targets = len(l.Changes)
					}
				},
				ReaderCount: func() int { return 6 }, ReadsFirst: func() bool { return first }, Log: crlog.New(io.Discard, "info", "test"),
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			time.AfterFunc(5*time.Second, func() { s.changed.Store(true) })
			g.Expect(f.Run(ctx, crwatch.Records)).To(gomega.Succeed())
			if !first {
				g.Expect(s.lists.Load()).To(gomega.Equal(int64(1)), "others do not list again")
				return
			}
			g.Expect(targets).To(gomega.Equal(2))
			g.Expect(s.lists.Load()).To(gomega.BeNumerically("<=", 13), "a list each ten seconds at most")
		})
	}
}

// Guards against a daemon whose watches passed over a change, and which peers then cannot tell of it.
func TestPeersDeliverAChangeThatTheWatchesPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s, start := &forgetfulStore{}, time.Now()
		follow := func(targets *int) *crwatch.Follower {
			return crwatch.New(crwatch.Options{
				Store: s, Decoder: fakeDecoder{}, Clock: func() crid.Instant { return crid.Instant(time.Hour + time.Since(start)) },
				Emit: func(ev crevent.Event) {
					if l, ok := ev.(crmesh.RecordsListed); ok {
						*targets = len(l.Changes)
					}
				},
				ReaderCount: func() int { return 6 }, ReadsFirst: func() bool { return false }, Log: crlog.New(io.Discard, "info", "test"),
			})
		}
		behindTargets, currentTargets := 0, 0
		behind, current := follow(&behindTargets), follow(&currentTargets)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		time.AfterFunc(5*time.Second, func() {
			s.changed.Store(true)
			_ = current.Run(ctx, crwatch.Records) // a daemon that starts after the change
		})
		g.Expect(behind.Run(ctx, crwatch.Records)).To(gomega.Succeed())
		g.Expect(currentTargets).To(gomega.Equal(2))
		g.Expect(behindTargets).To(gomega.Equal(1))
		g.Expect(behind.Apply(current.UpdateFor(behind.Revisions()))).To(gomega.Succeed())
		g.Expect(behindTargets).To(gomega.Equal(2))
		g.Expect(current.UpdateFor(behind.Revisions()).Records).To(gomega.BeEmpty(), "nothing is copied twice")
	})
}

// peerStore lists what a peer holds.
type peerStore struct {
	forgetfulStore

	peer *crwatch.Follower
}

func (s *peerStore) List(_ context.Context, scope crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	return s.peer.Snapshot(scope)
}

// Guards against a daemon that lists through a peer which missed a change, and then claims to have it.
func TestListOfAPeerThatMissedAChangeDoesNotHideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s, start := &forgetfulStore{}, time.Now()
		follow := func(store crwatch.Store) *crwatch.Follower {
			return crwatch.New(crwatch.Options{
				Store: store, Decoder: fakeDecoder{}, Clock: func() crid.Instant { return crid.Instant(time.Hour + time.Since(start)) },
				Emit: func(crevent.Event) {}, ReaderCount: func() int { return 6 }, ReadsFirst: func() bool { return false }, Log: crlog.New(io.Discard, "info", "test"),
			})
		}
		behind := follow(s)
		through, current := &peerStore{peer: behind}, follow(s)
		started := follow(through)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		time.AfterFunc(5*time.Second, func() {
			s.changed.Store(true)
			through.changed.Store(true)
			_ = current.Run(ctx, crwatch.Records)
		})
		time.AfterFunc(30*time.Second, func() { _ = started.Run(ctx, crwatch.Records) })
		g.Expect(behind.Run(ctx, crwatch.Records)).To(gomega.Succeed())
		g.Expect(started.UpdateFor(behind.Revisions()).Records).To(gomega.BeEmpty(), "it has nothing that the peer lacks")
		g.Expect(current.UpdateFor(started.Revisions()).Records).To(gomega.HaveLen(2))
	})
}

// Guards against a change that a peer is known to have had, and that no daemon finds for ten seconds.
func TestFirstReaderListsAgainWhenAPeerHasAChangeItLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s, start := &forgetfulStore{}, time.Now()
		var found time.Duration
		f := crwatch.New(crwatch.Options{
			Store: s, Decoder: fakeDecoder{}, Clock: func() crid.Instant { return crid.Instant(time.Hour + time.Since(start)) },
			Emit: func(ev crevent.Event) {
				if l, ok := ev.(crmesh.RecordsListed); ok && len(l.Changes) == 2 && found == 0 {
					found = time.Since(start)
				}
			},
			ReaderCount: func() int { return 6 }, ReadsFirst: func() bool { return true }, Log: crlog.New(io.Discard, "info", "test"),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		time.AfterFunc(2500*time.Millisecond, func() { s.changed.Store(true) })
		time.AfterFunc(8*time.Second, f.RecordMissedChange)
		g.Expect(f.Run(ctx, crwatch.Records)).To(gomega.Succeed())
		g.Expect(found).To(gomega.BeNumerically("~", 8*time.Second, 500*time.Millisecond))
	})
}
