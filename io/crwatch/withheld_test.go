package crwatch_test

import (
	"context"
	"io"
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

// withholdingStore withholds a change from watches for a second, and then drops its history.
// Watches that are waiting then end without the change.
type withholdingStore struct {
	start    time.Time
	changeAt time.Duration // the change is made here, and withheld for a second
	lists    int
}

const withheldFor = time.Second

func (s *withholdingStore) revision() crid.Revision {
	if time.Since(s.start) >= s.changeAt {
		return 6
	}
	return 5
}

func (s *withholdingStore) List(context.Context, crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	s.lists++
	items := []crwatch.Item{{Key: "a", Revision: 4}}
	if s.revision() == 6 {
		items = append(items, crwatch.Item{Key: "b", Revision: 6})
	}
	return items, s.revision(), nil
}

func (s *withholdingStore) Watch(ctx context.Context, _ crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	if after < 6 && time.Since(s.start) >= s.changeAt+withheldFor {
		return nil, 0, crwatch.ErrCompacted
	}
	reached := s.revision()
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
	}
	return nil, reached, nil
}

// Guards against a change that no daemon finds for ten seconds, because all watches ended while the store withheld it.
func TestWatchFindsAChangeThatWasWithheldFromTheOneBefore(t *testing.T) {
	for i := range 50 {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &withholdingStore{start: time.Now(), changeAt: 5*time.Second + time.Duration(i)*20*time.Millisecond}
			var found time.Duration
			f := crwatch.New(crwatch.Options{
				Store: s, Decoder: fakeDecoder{}, Clock: func() crid.Instant { return crid.Instant(time.Hour + time.Since(s.start)) },
				Emit: func(ev crevent.Event) {
					if l, ok := ev.(crmesh.RecordsListed); ok && len(l.Changes) == 2 && found == 0 {
						found = time.Since(s.start)
					}
				},
				ReaderCount: func() int { return 1 }, ReadsFirst: func() bool { return false }, Log: crlog.New(io.Discard, "info", "test"),
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			g.Expect(f.Run(ctx, crwatch.Records)).To(gomega.Succeed())
			g.Expect(found).To(gomega.BeNumerically("~", s.changeAt+withheldFor, time.Second), "in force within two seconds")
			g.Expect(s.lists).To(gomega.Equal(2), "listed at the start and after the compaction")
		})
	}
}

// otherKeysStore answers watches at once with a change of a key outside the scope, which its client leaves out.
type otherKeysStore struct {
	start   time.Time
	watches int
}

func (*otherKeysStore) List(context.Context, crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	return []crwatch.Item{{Key: "a", Revision: 4}}, 5, nil
}

func (s *otherKeysStore) Watch(ctx context.Context, _ crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	s.watches++
	reached := crid.Revision(5)
	if time.Since(s.start) >= 5*time.Second {
		reached = 6
	}
	if after < reached {
		wait = 4 * time.Millisecond
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
	}
	return nil, reached, nil
}

// Guards against a store that is called hundreds of times a second after a change of a key outside the scope.
func TestChangeOutsideTheScopeIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &otherKeysStore{start: time.Now()}
		f := crwatch.New(crwatch.Options{
			Store: s, Decoder: fakeDecoder{}, Clock: func() crid.Instant { return crid.Instant(time.Hour + time.Since(s.start)) },
			Emit: func(crevent.Event) {}, ReaderCount: func() int { return 6 }, ReadsFirst: func() bool { return false }, Log: crlog.New(io.Discard, "info", "test"),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		gomega.NewWithT(t).Expect(f.Run(ctx, crwatch.Records)).To(gomega.Succeed())
		gomega.NewWithT(t).Expect(s.watches).To(gomega.BeNumerically("<=", 15), "one watch each 1.5 s at most, and a few")
	})
}
