package crslot_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crslot"
)

func clock() func() crid.Instant {
	start := time.Now()
	return func() crid.Instant { return crid.Instant(time.Since(start)) + 1 }
}

// source sends requests of one account at a fixed rate.
type source struct {
	account  crid.Account
	interval time.Duration
	duration time.Duration
}

type served struct {
	waits   []time.Duration
	refused int
}

func (s *served) p99() time.Duration {
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100]
}

// simulate runs the sources against one queue on a virtual clock.
func simulate(p crslot.Params, sources []source, length, timeout time.Duration) map[crid.Account]*served {
	now := clock()
	q := crslot.New(p, now)
	var mu sync.Mutex
	var wg sync.WaitGroup
	result := make(map[crid.Account]*served)
	sendRequest := func(s source) {
		arrived := now()
		lease, err := q.Acquire(context.Background(), s.account, arrived.Add(timeout))
		mu.Lock()
		if err != nil {
			result[s.account].refused++
			mu.Unlock()
			return
		}
		result[s.account].waits = append(result[s.account].waits, now().Sub(arrived))
		mu.Unlock()
		time.Sleep(s.duration)
		lease.Release()
	}
	for _, s := range sources {
		result[s.account] = &served{}
	}
	for i, s := range sources {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 37 * time.Microsecond)
			for end := now().Add(length); now().Before(end); time.Sleep(s.interval) {
				wg.Go(func() { sendRequest(s) })
			}
		})
	}
	wg.Wait()
	return result
}

func eightAccounts(first source) []source {
	sources := []source{first}
	for i := range 7 {
		name := crid.Account(fmt.Sprintf("small%d", i))
		sources = append(sources, source{account: name, interval: 40 * time.Millisecond, duration: 20 * time.Millisecond})
	}
	return sources
}

func worstSmallAccount(r map[crid.Account]*served) (wait time.Duration, refused int) {
	for account, s := range r {
		if account != "large" {
			wait = max(wait, s.p99())
			refused = max(refused, s.refused)
		}
	}
	return wait, refused
}

var fairCases = []struct {
	name    string
	large   source
	wait    time.Duration // bound on the p99 of the worst small account
	refused int           // bound on its refusals, of 250
}{
	{"five times the rate", source{"large", 8 * time.Millisecond, 20 * time.Millisecond}, 40 * time.Millisecond, 0},
	{"ten times as long", source{"large", 40 * time.Millisecond, 200 * time.Millisecond}, 80 * time.Millisecond, 2},
	{"requests that hang", source{"large", 100 * time.Millisecond, 2 * time.Second}, 250 * time.Millisecond, 20},
}

// One account sends too many requests, long ones or ones that hang. Served in
// order of arrival, they fill slots and queue, and the others wait or are refused.
func TestOtherAccountsKeepTheirShare(t *testing.T) {
	p := crslot.Params{Slots: 5, MaxWaiting: 20}
	for _, c := range fairCases {
		for _, d := range []crslot.Discipline{crslot.DisciplineTime, crslot.DisciplineCount, crslot.DisciplineFIFO} {
			p.Discipline = d
			synctest.Test(t, func(t *testing.T) {
				wait, refused := worstSmallAccount(simulate(p, eightAccounts(c.large), 10*time.Second, time.Second))
				if d == crslot.DisciplineTime {
					g := gomega.NewWithT(t)
					g.Expect(wait).To(gomega.BeNumerically("<=", c.wait), c.name)
					g.Expect(refused).To(gomega.BeNumerically("<=", c.refused), c.name)
				}
				t.Logf("%s\tdiscipline %d\tworst small account: p99 wait %v, refused %d of 250", c.name, d, wait, refused)
			})
		}
	}
}

func acquire(t testing.TB, q *crslot.Queue, account crid.Account) *crslot.Lease {
	t.Helper()
	lease, err := q.Acquire(context.Background(), account, 0)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// All slots are held by slow requests. A request with 50 ms left must be refused
// at once, while it can still be sent to another target.
func TestUnreachableDeadlineRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		now := clock()
		q := crslot.New(crslot.Params{Slots: 1, MaxWaiting: 10, InitialServiceTime: 200 * time.Millisecond}, now)
		lease := acquire(t, q, "a")
		arrived := now()
		_, err := q.Acquire(context.Background(), "b", arrived.Add(50*time.Millisecond))
		g.Expect(err).To(gomega.MatchError(crslot.ErrExpired))
		g.Expect(err.(*crslot.Error).RetryAfter()).To(gomega.Equal(100 * time.Millisecond)) //nolint:errorlint // asserted above
		g.Expect(now()).To(gomega.Equal(arrived))
		lease.Release()
	})
}

// The running request hangs although such requests are usually short. The
// waiting request is refused at its deadline, and its place becomes free.
func TestDeadlinePassesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		now := clock()
		q := crslot.New(crslot.Params{Slots: 1, MaxWaiting: 1}, now)
		lease := acquire(t, q, "a")
		_, err := q.Acquire(context.Background(), "b", now().Add(50*time.Millisecond))
		g.Expect(err).To(gomega.MatchError(crslot.ErrExpired))
		g.Expect(q.Dump().Waiting).To(gomega.BeZero())
		lease.Release()
	})
}

// A caller disconnects while its request waits. Unless its place becomes free
// at once, other callers are refused because of it.
func TestCancelWhileWaitingFreesPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		q := crslot.New(crslot.Params{Slots: 1, MaxWaiting: 1}, clock())
		lease := acquire(t, q, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() {
			_, err := q.Acquire(ctx, "b", 0)
			done <- err
		}()
		synctest.Wait()
		_, err := q.Acquire(context.Background(), "b", 0)
		g.Expect(err).To(gomega.MatchError(crslot.ErrFull))
		cancel()
		g.Expect(<-done).To(gomega.MatchError(crslot.ErrCancelled))
		g.Expect(q.Dump().Waiting).To(gomega.BeZero())
		lease.Release()
		g.Expect(q.Dump().InFlight).To(gomega.BeZero())
	})
}

// The process is paused beyond a waiting request's deadline, and a slot becomes
// free. The caller may have received the response that the request did not run.
func TestNothingStartsAfterDeadlineDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var paused time.Duration
		now := clock()
		q := crslot.New(crslot.Params{Slots: 1, MaxWaiting: 1}, func() crid.Instant { return now().Add(paused) })
		lease := acquire(t, q, "a")
		done := make(chan error)
		go func() {
			_, err := q.Acquire(context.Background(), "b", now().Add(time.Second))
			done <- err
		}()
		synctest.Wait()
		paused = time.Minute
		lease.Release()
		g.Expect(<-done).To(gomega.MatchError(crslot.ErrExpired))
		g.Expect(q.Dump().InFlight).To(gomega.BeZero())
	})
}

// One account has filled the queue when another sends its first request. That
// request must be queued, and the newest one of the first account is refused at once.
func TestFullQueueDisplacesAccountAboveItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		q := crslot.New(crslot.Params{Slots: 1, MaxWaiting: 4}, clock())
		lease := acquire(t, q, "large")
		results := make(chan string, 5)
		wait := func(account crid.Account) {
			l, err := q.Acquire(context.Background(), account, 0)
			if err != nil {
				results <- "refused " + string(account)
				return
			}
			results <- "ran " + string(account)
			l.Release()
		}
		for range 4 {
			go wait("large")
		}
		synctest.Wait()
		go wait("small")
		g.Expect(<-results).To(gomega.Equal("refused large"))
		lease.Release()
		g.Expect(<-results).To(gomega.Equal("ran small"), "this account has used less slot time")
	})
}

// The target is stopping. Running and waiting requests finish, new ones are
// refused, and Drained reports the end.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		q := crslot.New(crslot.Params{Slots: 1, MaxWaiting: 1}, clock())
		lease := acquire(t, q, "a")
		done := make(chan *crslot.Lease)
		go func() {
			l, _ := q.Acquire(context.Background(), "b", 0)
			done <- l
		}()
		synctest.Wait()
		q.Drain()
		_, err := q.Acquire(context.Background(), "c", 0)
		g.Expect(err).To(gomega.MatchError(crslot.ErrDraining))
		lease.Release()
		waited := <-done
		g.Expect(q.Drained()).NotTo(gomega.BeClosed())
		waited.Release()
		waited.Release()
		g.Expect(q.Drained()).To(gomega.BeClosed())
		g.Expect(q.Dump().InFlight).To(gomega.BeZero(), "a second release has no effect")
	})
}

// The target answers a burst with 503. Without a reduction it would reject more;
// with one for each response, its slots would drop to one for seconds.
func TestOverloadResponsesReduceSlotsTemporarily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		q := crslot.New(crslot.Params{Slots: 10, MaxWaiting: 1}, clock())
		for range 10 {
			q.RecordOverload()
		}
		g.Expect(q.Dump().Slots).To(gomega.Equal(7))
		time.Sleep(time.Second)
		for range 100 {
			acquire(t, q, "a").Release()
		}
		g.Expect(q.Dump().Slots).To(gomega.Equal(10))
		q.SetSlots(2)
		g.Expect(q.Dump().Slots).To(gomega.Equal(2))
	})
}

func BenchmarkUncontended(b *testing.B) {
	start := time.Now()
	q := crslot.New(crslot.Params{Slots: 5, MaxWaiting: 20}, func() crid.Instant { return crid.Instant(time.Since(start)) })
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		lease, err := q.Acquire(ctx, "a", 0)
		if err != nil {
			b.Fatal(err)
		}
		lease.Release()
	}
}

func BenchmarkContended(b *testing.B) {
	start := time.Now()
	q := crslot.New(crslot.Params{Slots: 5, MaxWaiting: 1000}, func() crid.Instant { return crid.Instant(time.Since(start)) })
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			lease, err := q.Acquire(context.Background(), "a", 0)
			if err == nil {
				lease.Release()
			}
		}
	})
}
