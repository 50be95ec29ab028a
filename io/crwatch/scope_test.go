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

// meanWait is the mean wait of the watches of a daemon in a fleet with six readers.
const meanWait = 3 * time.Second

// unresponsiveStore answers lists, and does not answer watches while unresponsive is set.
type unresponsiveStore struct {
	mu           sync.Mutex
	waits        map[crwatch.Scope][]time.Duration
	starts       map[crwatch.Scope][]time.Time
	unresponsive bool
}

func newUnresponsiveStore() *unresponsiveStore {
	return &unresponsiveStore{waits: make(map[crwatch.Scope][]time.Duration), starts: make(map[crwatch.Scope][]time.Time)}
}

func (s *unresponsiveStore) List(context.Context, crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	return []crwatch.Item{{Key: "a", Revision: 4}}, 5, nil
}

func (s *unresponsiveStore) Watch(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	s.mu.Lock()
	s.waits[scope] = append(s.waits[scope], wait)
	s.starts[scope] = append(s.starts[scope], time.Now())
	unresponsive := s.unresponsive
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if unresponsive {
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

func (s *unresponsiveStore) stopAnswering() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = true
}

// followFor follows a store for a duration of virtual time, and calls atHalf after half of it.
func followFor(t *testing.T, s *unresponsiveStore, d time.Duration, atHalf func(f *crwatch.Follower)) {
	t.Helper()
	followAs(t, s, d, false, atHalf)
}

// followAs does the same as a daemon that is the first reader of the fleet, or is not.
func followAs(t *testing.T, s *unresponsiveStore, d time.Duration, first bool, atHalf func(f *crwatch.Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := crwatch.New(crwatch.Options{
			Store: s, Decoder: fakeDecoder{}, Clock: func() crid.Instant { return crid.Instant(time.Hour + time.Since(start)) },
			Emit: func(crevent.Event) {}, ReaderCount: func() int { return 6 }, ReadsFirst: func() bool { return first }, Log: crlog.New(io.Discard, "info", "test"),
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
		atHalf(f)
		<-ctx.Done()
		synctest.Wait()
	})
}

// If the watches of all daemons ended at the same moment, a change could stay undetected for a whole wait.
func TestWatchWaitsAreRandomized(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newUnresponsiveStore()
	followFor(t, s, 100*meanWait, func(*crwatch.Follower) {})
	short, long := 0, 0
	for _, wait := range s.waits[crwatch.Records][1:] {
		g.Expect(wait).To(gomega.BeNumerically("~", meanWait, meanWait/2))
		if wait < meanWait {
			short++
		} else {
			long++
		}
	}
	g.Expect(short).To(gomega.BeNumerically(">", 20))
	g.Expect(long).To(gomega.BeNumerically(">", 20))
}

// If the store stops answering right after a change, all watches are lost. The first to time out detects the outage.
func TestTheFirstWatchAfterAChangeIsShort(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 20 {
		s := newUnresponsiveStore()
		followFor(t, s, meanWait, func(*crwatch.Follower) {})
		g.Expect(s.waits[crwatch.Records][0]).To(gomega.BeNumerically("<=", meanWait))
	}
}

// All readers may draw long waits after a change. That of the first reader must be short.
func TestTheFirstReaderSoonChecksTheStoreAfterAChange(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 20 {
		s := newUnresponsiveStore()
		followAs(t, s, meanWait, true, func(*crwatch.Follower) {})
		g.Expect(s.waits[crwatch.Records][0]).To(gomega.BeNumerically("<=", 700*time.Millisecond))
	}
}

// A daemon whose watch was lost receives no change, although other daemons have detected the outage.
func TestRestartWatchesSendsPendingWatchesAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newUnresponsiveStore()
	var restarted time.Time
	followFor(t, s, 10*meanWait, func(f *crwatch.Follower) {
		restarted = time.Now()
		f.RestartWatches()
		synctest.Wait()
	})
	for scope, starts := range s.starts {
		n := 0
		for i, at := range starts {
			if at.Equal(restarted) && s.waits[scope][i] == 200*time.Millisecond {
				n++
			}
		}
		g.Expect(n).To(gomega.Equal(1), "one short watch of the %v", scope)
	}
}

// A restart ends the watches of all daemons together. If the store stops answering right after it, all that follow are lost.
func TestTheFirstLongWatchAfterARestartIsShort(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 20 {
		s := newUnresponsiveStore()
		followFor(t, s, 10*meanWait, func(f *crwatch.Follower) {
			f.RestartWatches()
			synctest.Wait()
		})
		for scope, waits := range s.waits {
			at := slices.Index(waits, 200*time.Millisecond)
			g.Expect(at).To(gomega.BeNumerically(">=", 0))
			g.Expect(waits[at+1]).To(gomega.BeNumerically("<=", meanWait), "of the %v", scope)
		}
	}
}

// The watch of one scope times out. The other scope would receive no change until its own wait is over.
func TestATimedOutWatchRestartsTheOther(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newUnresponsiveStore()
	followFor(t, s, 10*meanWait, func(*crwatch.Follower) { s.stopAnswering() })
	first := make(map[crwatch.Scope]time.Time)
	for scope, starts := range s.starts {
		for i, at := range starts {
			if s.waits[scope][i] <= 200*time.Millisecond && first[scope].IsZero() {
				first[scope] = at
			}
		}
	}
	g.Expect(first[crwatch.Records]).To(gomega.BeTemporally("~", first[crwatch.Configuration], 100*time.Millisecond))
}

// A backoff after each watch that timed out would delay changes after the store has recovered.
func TestATimedOutWatchIsSentAgainAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newUnresponsiveStore()
	followFor(t, s, 20*meanWait, func(*crwatch.Follower) { s.stopAnswering() })
	starts, waits := s.starts[crwatch.Records], s.waits[crwatch.Records]
	timedOut := 0
	for i := range waits[1:] {
		if waits[i] == 200*time.Millisecond && waits[i+1] == 200*time.Millisecond {
			timedOut++
			g.Expect(starts[i+1].Sub(starts[i])).To(gomega.BeNumerically("<=", 1300*time.Millisecond))
		}
	}
	g.Expect(timedOut).To(gomega.BeNumerically(">", 5))
}
