package crwatch_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/io/crlog"
	"camphorroad/io/crwatch"
)

// turn is the time between two watches of a daemon in a fleet of six that read the store.
const turn = 3 * time.Second

// mute answers lists, and no watch from the moment that it is silent.
type mute struct {
	mu     sync.Mutex
	waits  map[crwatch.Scope][]time.Duration
	began  map[crwatch.Scope][]time.Time
	silent bool
}

func newMute() *mute {
	return &mute{waits: make(map[crwatch.Scope][]time.Duration), began: make(map[crwatch.Scope][]time.Time)}
}

func (s *mute) List(context.Context, crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	return []crwatch.Item{{Key: "a", Revision: 4}}, 5, nil
}

func (s *mute) Watch(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	s.mu.Lock()
	s.waits[scope] = append(s.waits[scope], wait)
	s.began[scope] = append(s.began[scope], time.Now())
	silent := s.silent
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

func (s *mute) fallSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// play follows a store for a time of its own, with something done after it has settled.
func play(t *testing.T, s *mute, d time.Duration, do func(f *crwatch.Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		f := crwatch.New(crwatch.Options{
			Store: s, Decoder: decoder{}, Clock: func() crid.Instant { return crid.Instant(time.Hour + time.Since(began)) },
			Emit: func(crevent.Event) {}, ReaderCount: func() int { return 6 }, Log: crlog.New(io.Discard, "info", "test"),
		})
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		for _, scope := range []crwatch.Scope{crwatch.Records, crwatch.Configuration} {
			go func() {
				if err := f.Run(ctx, scope); err != nil {
					t.Error(err)
				}
			}()
		}
		time.Sleep(d / 2)
		do(f)
		<-ctx.Done()
		synctest.Wait()
	})
}

// Watches of a fleet that all end at one moment leave it deaf for a whole turn.
func TestWaitsAreDrawnAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newMute()
	play(t, s, 100*turn, func(*crwatch.Follower) {})
	short, long := 0, 0
	for _, wait := range s.waits[crwatch.Records][1:] {
		g.Expect(wait).To(gomega.BeNumerically("~", turn, turn/2))
		if wait < turn {
			short++
		} else {
			long++
		}
	}
	g.Expect(short).To(gomega.BeNumerically(">", 20))
	g.Expect(long).To(gomega.BeNumerically(">", 20))
}

// A silence right after a change swallows the watches of all daemons, and the first that ends finds it out.
func TestTheFirstWatchAfterNewsIsShort(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 20 {
		s := newMute()
		play(t, s, turn, func(*crwatch.Follower) {})
		g.Expect(s.waits[crwatch.Records][0]).To(gomega.BeNumerically("<=", turn))
	}
}

// A watch whose answer is lost keeps its daemon deaf although others know that it is lost.
func TestRenewSendsWaitingWatchesAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newMute()
	var renewed time.Time
	play(t, s, 10*turn, func(f *crwatch.Follower) {
		renewed = time.Now()
		f.RestartWatches()
		synctest.Wait()
	})
	for scope, began := range s.began {
		n := 0
		for i, at := range began {
			if at.Equal(renewed) && s.waits[scope][i] == 200*time.Millisecond {
				n++
			}
		}
		g.Expect(n).To(gomega.Equal(1), "one short watch of the %v", scope)
	}
}

// A renewal ends all daemons' watches together, and a silence right after it swallows all those that follow.
func TestTheFirstLongWatchAfterARenewalIsShort(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 20 {
		s := newMute()
		play(t, s, 10*turn, func(f *crwatch.Follower) {
			f.RestartWatches()
			synctest.Wait()
		})
		for scope, waits := range s.waits {
			at := slices.Index(waits, 200*time.Millisecond)
			g.Expect(at).To(gomega.BeNumerically(">=", 0))
			g.Expect(waits[at+1]).To(gomega.BeNumerically("<=", turn), "of the %v", scope)
		}
	}
}

// One scope's watch finds the store silent, and the other one stays deaf until its own wait is over.
func TestASilentWatchRenewsTheOther(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newMute()
	play(t, s, 10*turn, func(*crwatch.Follower) { s.fallSilent() })
	first := make(map[crwatch.Scope]time.Time)
	for scope, began := range s.began {
		for i, at := range began {
			if s.waits[scope][i] <= 200*time.Millisecond && first[scope].IsZero() {
				first[scope] = at
			}
		}
	}
	g.Expect(first[crwatch.Records]).To(gomega.BeTemporally("~", first[crwatch.Configuration], 100*time.Millisecond))
}

// A pause after each watch that found the store silent keeps its daemon deaf after the store's return.
func TestASilentStoreIsAskedAgainAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newMute()
	play(t, s, 20*turn, func(*crwatch.Follower) { s.fallSilent() })
	began, waits := s.began[crwatch.Records], s.waits[crwatch.Records]
	silent := 0
	for i := range waits[1:] {
		if waits[i] == 200*time.Millisecond && waits[i+1] == 200*time.Millisecond {
			silent++
			g.Expect(began[i+1].Sub(began[i])).To(gomega.BeNumerically("<=", 1300*time.Millisecond))
		}
	}
	g.Expect(silent).To(gomega.BeNumerically(">", 5))
}
