package crfeed_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplan"
	"camphorroad/core/crregistry"
	"camphorroad/io/crfeed"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/io/crwatch"
)

const (
	localDelay     = time.Millisecond        // one way, within a domain
	remoteDelay    = 3 * time.Millisecond    // one way, between domains
	storeDelay     = 2 * time.Millisecond    // one way
	callTimeout    = 1500 * time.Millisecond // of a store call, beyond its wait
	maxStartDelay  = 300 * time.Millisecond
	localInterval  = 400 * time.Millisecond
	remoteInterval = time.Second
	recordGrace    = 1600 * time.Millisecond
	tick           = 100 * time.Millisecond
)

// outage is a period in which the store answers no daemon, or only some. Calls that are
// pending when it begins are not answered either, however long they wait.
type outage struct {
	from, until    time.Time
	only           map[crid.Daemon]bool // the daemons that get no answer; nil: all
	answersPending bool                 // calls that are received before it and end after it are answered
}

// virtualStore is a store in virtual time.
type virtualStore struct {
	mu          sync.Mutex
	revision    crid.Revision
	records     []crwatch.Item
	plan        crwatch.Item
	evacuations map[crid.Domain]crwatch.Item // with the removed ones
	changed     chan struct{}
	outages     []outage
	calls       int
}

func newVirtualStore() *virtualStore {
	return &virtualStore{changed: make(chan struct{}), evacuations: make(map[crid.Domain]crwatch.Item)}
}

func (s *virtualStore) publish(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.plan = crwatch.Item{Key: "plan", Value: []byte(strconv.Itoa(version)), Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

// evacuate starts or ends the evacuation of a domain.
func (s *virtualStore) evacuate(d crid.Domain, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.evacuations[d] = crwatch.Item{Key: "evacuate/" + string(d), Revision: s.revision, Removed: ended}
	close(s.changed)
	s.changed = make(chan struct{})
}

// register adds the record of a daemon's target before the fleet starts.
func (s *virtualStore) register(d *member) {
	s.revision++
	s.records = append(s.records, crwatch.Item{Key: string(d.id), Value: []byte(d.domain), Revision: s.revision})
}

// unanswered reports whether a call that was received at a given time is not answered now.
func (s *virtualStore) unanswered(caller crid.Daemon, receivedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, p := range s.outages {
		if p.answersPending && receivedAt.Before(p.from) && !now.Before(p.until) {
			continue
		}
		if (p.only == nil || p.only[caller]) && !now.Before(p.from) && receivedAt.Before(p.until) {
			return true
		}
	}
	return false
}

func (s *virtualStore) changesAfter(scope crwatch.Scope, after crid.Revision) ([]crwatch.Item, crid.Revision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []crwatch.Item
	for _, i := range s.items(scope) {
		if i.Revision > after && (after > 0 || !i.Removed) {
			out = append(out, i)
		}
	}
	return out, s.revision, s.changed
}

func (s *virtualStore) items(scope crwatch.Scope) []crwatch.Item {
	if scope == crwatch.Records {
		return s.records
	}
	return append(slices.Collect(maps.Values(s.evacuations)), s.plan)
}

// count counts a call and returns the time at which it was received.
func (s *virtualStore) count() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return time.Now()
}

// callCount returns the number of calls received so far.
func (s *virtualStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// storeClient is a daemon's client of the store.
type storeClient struct {
	*virtualStore
	caller crid.Daemon
}

func (c storeClient) List(ctx context.Context, scope crwatch.Scope) ([]crwatch.Item, crid.Revision, error) {
	return c.call(ctx, scope, 0, 0)
}

func (c storeClient) Watch(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	return c.call(ctx, scope, after, wait)
}

func (c storeClient) call(ctx context.Context, scope crwatch.Scope, after crid.Revision, wait time.Duration) ([]crwatch.Item, crid.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	time.Sleep(storeDelay)
	receivedAt := c.count()
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	for {
		items, at, changed := c.changesAfter(scope, after)
		if len(items) == 0 && wait > 0 {
			select {
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			case <-changed:
				continue
			case <-waitTimer.C:
			}
		}
		if c.unanswered(c.caller, receivedAt) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		time.Sleep(storeDelay)
		return items, at, ctx.Err()
	}
}

// versionDecoder decodes a plan from its version number alone.
type versionDecoder struct{}

func (versionDecoder) Record(i crwatch.Item) (crregistry.Record, error) {
	return crregistry.Record{Target: crid.Target("t-" + i.Key), Service: "s", Address: i.Key + ":1", Domain: crid.Domain(i.Value), Slots: 1}, nil
}

func (versionDecoder) Evacuation(i crwatch.Item) (crid.Domain, bool) {
	domain, ok := strings.CutPrefix(i.Key, "evacuate/")
	return crid.Domain(domain), ok
}

func (versionDecoder) Plan(value []byte) (*crplan.Plan, error) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, err
	}
	return crplan.New(n, nil, nil, nil, crplan.Limits{})
}

// member is a daemon of a fleet in virtual time: its control plane without traffic.
type member struct {
	id       crid.Daemon
	domain   crid.Domain
	fleet    *fleet
	state    *crmesh.State
	events   chan crevent.Event
	view     atomic.Pointer[crmesh.View]
	feed     *crfeed.Feed
	follower *crwatch.Follower
	mu       sync.Mutex
	inForce  map[uint64]time.Time
}

// fleet is a number of daemons that read one store.
type fleet struct {
	store   *virtualStore
	members map[crid.Daemon]*member
	seeds   []crid.Daemon
	failed  map[crid.Daemon]bool // daemons that do not run
	hung    map[crid.Daemon]bool // daemons that do not answer queries
	started time.Time

	readerCount int // of the fleet, by which watches draw their waits; zero: as it is
}

// newFleet returns a fleet with one domain per size.
func newFleet(sizes ...int) *fleet { return newSeededFleet(nil, sizes...) }

// newSeededFleet returns a fleet whose daemons all have the given seeds.
func newSeededFleet(seeds []crid.Daemon, sizes ...int) *fleet {
	f := &fleet{
		store: newVirtualStore(), members: make(map[crid.Daemon]*member), seeds: seeds, failed: make(map[crid.Daemon]bool), hung: make(map[crid.Daemon]bool), started: time.Now(),
	}
	for n, size := range sizes {
		for i := range size {
			f.add(crid.Daemon(fmt.Sprintf("10.%d.0.%d", n+1, i+1)), crid.Domain("d"+strconv.Itoa(n)))
		}
	}
	f.store.publish(1)
	return f
}

func (f *fleet) now() crid.Instant { return crid.Instant(time.Hour + time.Since(f.started)) }

func (f *fleet) add(id crid.Daemon, domain crid.Domain) {
	m := &member{id: id, domain: domain, fleet: f, events: make(chan crevent.Event, 1024), inForce: make(map[uint64]time.Time)}
	m.state = crmesh.New(crmesh.Params{
		Self: id, Domain: domain, Service: "s", Address: string(id) + ":1", Seeds: f.seeds, LocalInterval: localInterval, RemoteInterval: remoteInterval, RecordGrace: recordGrace,
	})
	m.view.Store(&crmesh.View{Size: 1, Confirmed: 1, Reachable: 1, ReadersPending: true})
	log := crlog.New(io.Discard, "info", string(id))
	m.feed = crfeed.New(crfeed.Options{
		Self: id, Seeds: f.seeds, Store: storeClient{f.store, id}, Peers: m, Clock: f.now, Log: log,
		Readers: func() []crid.Daemon { return m.view.Load().Readers }, ReadersPending: func() bool { return m.view.Load().ReadersPending },
	})
	m.follower = crwatch.New(crwatch.Options{
		Store: m.feed, Decoder: versionDecoder{}, Clock: f.now, Emit: m.emit, Log: log, ReaderCount: m.countReaders,
		ReadsFirst: func() bool { return m.view.Load().ReadsFirst },
	})
	f.members[id] = m
	f.store.register(m)
}

func (m *member) countReaders() int { return cmp.Or(m.fleet.readerCount, m.view.Load().StoreReaders) }

// run runs the fleet for a duration of virtual time.
func (f *fleet) run(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	var tasks sync.WaitGroup
	for _, m := range f.members {
		if f.failed[m.id] {
			continue
		}
		delay := rand.N(maxStartDelay)
		tasks.Go(func() { m.run(ctx) })
		for _, scope := range []crwatch.Scope{crwatch.Records, crwatch.Configuration} {
			tasks.Go(func() {
				time.Sleep(delay)
				if err := m.follower.Run(ctx, scope); err != nil {
					t.Error(err)
				}
			})
		}
	}
	tasks.Wait()
	time.Sleep(time.Minute) // messages in flight
}

func (m *member) emit(ev crevent.Event) { m.events <- ev }

func (m *member) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-m.events:
			m.step(ctx, ev)
		case <-ticker.C:
			m.step(ctx, crevent.Tick{Now: m.fleet.now()})
		}
	}
}

func (m *member) step(ctx context.Context, ev crevent.Event) {
	for _, eff := range m.state.Step(ev) {
		switch eff := eff.(type) {
		case crmesh.PublishView:
			m.applyView(eff.View)
		case crmesh.SendHeartbeats:
			m.sendHeartbeats(eff)
		case crmesh.Pull:
			go m.pull(ctx, eff.From)
		case crmesh.RenewWatches:
			if eff.Missed {
				m.follower.RecordMissedChange()
			} else {
				m.follower.RestartWatches()
			}
		}
	}
}

func (m *member) applyView(v *crmesh.View) {
	m.view.Store(v)
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Plan != nil && m.inForce[v.Plan.Version()].IsZero() {
		m.inForce[v.Plan.Version()] = time.Now()
	}
}

// inForceSince returns when this version or a later one was first in force, or zero if
// none was.
func (m *member) inForceSince(version int) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first time.Time
	for v, at := range m.inForce {
		if v >= uint64(version) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (m *member) delay(d *member) time.Duration {
	if m.domain == d.domain {
		return localDelay
	}
	return remoteDelay
}

func (m *member) sendHeartbeats(eff crmesh.SendHeartbeats) {
	for _, id := range eff.To {
		d := m.fleet.members[id]
		if m.fleet.failed[id] {
			continue
		}
		b := crmesh.Heartbeat{
			Incarnation: 1, Target: crid.Target("t-" + m.id), Slots: 1, Stopping: eff.Stopping, StoreUnavailable: eff.StoreUnavailable,
			PlanVersion: eff.PlanVersion, RecordRevision: eff.RecordRevision, EvacuationRevision: eff.EvacuationRevision,
		}
		time.AfterFunc(m.delay(d), func() {
			select {
			case d.events <- crmesh.HeartbeatReceived{Now: m.fleet.now(), From: m.id, Heartbeat: b}:
			default:
			}
		})
	}
}

func (m *member) pull(ctx context.Context, from crid.Daemon) {
	d := m.fleet.members[from]
	have := m.follower.Revisions()
	time.Sleep(2 * m.delay(d))
	if ctx.Err() != nil {
		return
	}
	_ = m.follower.Apply(d.follower.UpdateFor(have)) // all values of virtualStore can be decoded
}

var errNoAnswer = errors.New("no answer")

// Feed implements crfeed.Peers.
func (m *member) Feed(ctx context.Context, id crid.Daemon, q croffer.FeedQuery) (croffer.FeedPage, error) {
	d := m.fleet.members[id]
	if d == nil || m.fleet.failed[id] {
		return croffer.FeedPage{}, errNoAnswer
	}
	if m.fleet.hung[id] {
		<-ctx.Done()
		return croffer.FeedPage{}, ctx.Err()
	}
	time.Sleep(m.delay(d))
	page := d.feed.Serve(ctx, d.follower, q)
	time.Sleep(m.delay(d))
	return page, ctx.Err()
}
