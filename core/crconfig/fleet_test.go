package crconfig_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

const (
	tick  = 50 * time.Millisecond
	hop   = 2 * time.Millisecond // one way between daemons, and to the platform
	lease = 3 * time.Second      // of standing, while a peer is heard
)

// bundle is one published configuration; bad ones fail validation.
type bundle struct {
	raw    []byte
	values map[crconfig.Digest][]byte
}

type content struct {
	Keys []string `json:"keys"`
	Bad  bool     `json:"bad"`
}

func makeBundle(c content) bundle {
	data, _ := json.Marshal(c)
	d := crconfig.DigestOf(data)
	raw, _ := json.Marshal(crconfig.Manifest{Entries: []crconfig.Entry{{Name: d.String(), Size: len(data)}}})
	return bundle{raw: raw, values: map[crconfig.Digest][]byte{d: data, crconfig.DigestOf(raw): raw}}
}

func (b bundle) digest() crconfig.Digest { return crconfig.DigestOf(b.raw) }

// parse takes the digest from the entry's name, as JSON leaves it out.
func parse(raw []byte) (crconfig.Manifest, error) {
	var m crconfig.Manifest
	if err := json.Unmarshal(raw, &m); err != nil {
		return m, err
	}
	for i := range m.Entries {
		if err := m.Entries[i].Digest.UnmarshalText([]byte(m.Entries[i].Name)); err != nil {
			return m, err
		}
	}
	return m, nil
}

var errBad = errors.New("bad content")

func load(rev crid.Revision, m crconfig.Manifest, values map[string][]byte) (*crpolicy.Snapshot, error) {
	acct := crpolicy.Account{Name: "one", Rate: 1, Burst: 1}
	for _, e := range m.Entries {
		var c content
		if err := json.Unmarshal(values[e.Name], &c); err != nil || c.Bad {
			return nil, errBad
		}
		for _, k := range c.Keys {
			acct.Keys = append(acct.Keys, crpolicy.HashKey(k))
		}
	}
	return crpolicy.NewSnapshot(rev, nil, []crpolicy.Account{acct}), nil
}

type event struct {
	to crid.Daemon
	ev crevent.Event
}

type waiter struct {
	after crid.Revision
	until time.Duration
}

// daemon is one life of a daemon.
type daemon struct {
	*crconfig.State
	offset  time.Duration // of its clock
	reports map[int]int
	waits   *waiter
	inForce []crid.Revision
	peersAt int // peers at the last notice
}

// fleet runs reducers in simulated time. It is a small fake: its network has one
// delay, and membership is told to the reducers as it is.
type fleet struct {
	now     time.Duration
	rng     *rand.Rand
	params  crconfig.Params
	names   []crid.Daemon
	domains map[crid.Daemon]crid.Domain
	daemons map[crid.Daemon]*daemon
	queue   map[time.Duration][]event // by millisecond
	plat    *platform
	cut     func(from, to crid.Daemon) bool
	peers   bool    // membership works
	sampled bool    // membership is told as in a large fleet
	loss    float64 // of messages between daemons
	msgs    int
	listed  int // instances sent between daemons
}

func newFleet(n, domains int, params crconfig.Params) *fleet {
	f := &fleet{
		rng:     rand.New(rand.NewPCG(1, 2)),
		params:  params,
		domains: make(map[crid.Daemon]crid.Domain),
		daemons: make(map[crid.Daemon]*daemon),
		queue:   make(map[time.Duration][]event),
		peers:   true,
		plat:    &platform{pages: 1, heads: []crconfig.Head{{}}, values: make(map[crconfig.Digest][]byte), perSec: make(map[int]int)},
	}
	var instances []crinstance.Instance
	for i := range n {
		d := crid.Daemon(fmt.Sprintf("d%04d", i))
		f.names = append(f.names, d)
		f.domains[d] = crid.Domain(fmt.Sprintf("m%d", i%domains))
		instances = append(instances, crinstance.Instance{Daemon: d, Domain: f.domains[d], State: crinstance.StateLive})
	}
	f.plat.list = crinstance.NewList(1, instances)
	f.plat.heads = []crconfig.Head{{Rev: 1, List: 1}}
	return f
}

func quick() crconfig.Params {
	p := crconfig.DefaultParams()
	p.Fleet = 100
	return p
}

func (f *fleet) start(names ...crid.Daemon) {
	for _, d := range names {
		life := &daemon{
			State:   crconfig.New(f.params, parse, load),
			offset:  time.Duration(f.rng.Int64N(int64(time.Hour))),
			reports: make(map[int]int),
		}
		f.daemons[d] = life
		f.step(d, crevent.Started{Now: f.clock(d), Self: d, Domain: f.domains[d], Incarnation: 1, Seed: f.rng.Uint64()})
	}
	f.membership()
}

func (f *fleet) kill(d crid.Daemon) {
	delete(f.daemons, d)
	f.membership()
}

func (f *fleet) clock(d crid.Daemon) crid.Instant {
	return crid.Instant(f.now + f.daemons[d].offset)
}

func (f *fleet) linked(a, b crid.Daemon) bool {
	return f.peers && (f.cut == nil || (!f.cut(a, b) && !f.cut(b, a)))
}

// membership tells every daemon its peers: those linked both ways.
func (f *fleet) membership() {
	if f.sampled {
		f.sampleMembership()
		return
	}
	for _, d := range f.alive() {
		var peers []crmember.Peer
		for _, p := range f.alive() {
			if p != d && f.linked(d, p) {
				peers = append(peers, crmember.Peer{Daemon: p, Domain: f.domains[p], Reachable: true})
			}
		}
		f.daemons[d].peersAt = len(peers)
		f.step(d, crmember.PeersChanged{Now: f.clock(d), Peers: peers})
	}
}

// sampleMembership tells peers as crmember does above MaxVoters: whom the list
// names, truly whether a voter is reachable, and of the others only who was in a
// sample within the last horizon.
func (f *fleet) sampleMembership() {
	params := crmember.DefaultParams()
	voters := crmember.Voters(f.plat.list, 0, params.MaxVoters)
	n := len(f.names)
	near := make([]bool, n*n)
	for i := range f.names {
		for range params.SampleSize * int(params.ContactTimeout/params.Interval) {
			j := f.rng.IntN(n)
			near[i*n+j], near[j*n+i] = true, true
		}
	}
	up := func(d, p crid.Daemon) bool { return f.daemons[p] != nil && (p == d || f.linked(d, p)) }
	for i, d := range f.names {
		if f.daemons[d] == nil {
			continue
		}
		heard := 0
		peers := make([]crmember.Peer, 0, n)
		_, votes := slices.BinarySearch(voters, d)
		for j, p := range f.names {
			_, voter := slices.BinarySearch(voters, p)
			reachable := up(d, p) && (voter || votes || near[i*n+j])
			if reachable && voter {
				heard++
			}
			if p != d {
				peers = append(peers, crmember.Peer{Daemon: p, Domain: f.domains[p], Reachable: reachable, Sampled: !voter})
			}
		}
		f.daemons[d].peersAt = max(0, heard-len(voters)/2) // a majority of the voters
		f.step(d, crmember.PeersChanged{Now: f.clock(d), Peers: peers})
	}
}

func (f *fleet) alive() []crid.Daemon {
	var alive []crid.Daemon
	for _, d := range f.names {
		if f.daemons[d] != nil {
			alive = append(alive, d)
		}
	}
	return alive
}

func (f *fleet) post(delay time.Duration, to crid.Daemon, ev crevent.Event) {
	at := f.now + delay
	f.queue[at] = append(f.queue[at], event{to: to, ev: ev})
}

func (f *fleet) step(d crid.Daemon, ev crevent.Event) {
	life := f.daemons[d]
	for _, e := range life.Step(ev) {
		switch e := e.(type) {
		case crevent.Send:
			f.msgs++
			if push, ok := e.Msg.(crconfig.ListPush); ok {
				f.listed += len(push.Instances)
			}
			if f.daemons[e.To] != nil && f.carries(d, e.To) {
				f.post(hop, e.To, received{from: d, msg: e.Msg})
			}
		case crevent.Report:
			life.reports[e.Number]++
		case crconfig.InForce:
			life.inForce = append(life.inForce, e.Snapshot.Revision())
		case crconfig.WatchPlatform:
			f.call()
			life.waits = &waiter{after: e.After, until: f.now + e.Wait}
		case crconfig.ReadPlatform:
			f.call()
			data, ok := f.plat.values[e.Digest]
			f.reply(d, answer{digest: e.Digest, data: data, bad: !ok || f.plat.lost})
		case crconfig.ReadList:
			for range f.plat.pages {
				f.call()
			}
			f.reply(d, answer{list: f.plat.list})
		}
	}
}

// carries reports whether a message gets through.
func (f *fleet) carries(from, to crid.Daemon) bool {
	if !f.peers || (f.cut != nil && f.cut(from, to)) {
		return false
	}
	return f.loss == 0 || f.rng.Float64() >= f.loss
}

func (f *fleet) call() {
	f.plat.calls++
	f.plat.perSec[int(f.now/time.Second)]++
}

func (f *fleet) reply(d crid.Daemon, a answer) {
	if f.plat.silent {
		return
	}
	a.away = f.plat.away || f.plat.cutFrom[d]
	f.post(2*hop, d, a)
}

// received and answer get their instants on delivery, on the receiver's clock.
type received struct {
	crevent.Event
	from crid.Daemon
	msg  crevent.Message
}

type answer struct {
	crevent.Event
	digest crconfig.Digest
	data   []byte
	list   crinstance.List
	head   *crconfig.Head
	bad    bool
	away   bool
}

func (f *fleet) deliver(e event) {
	if f.daemons[e.to] == nil {
		return
	}
	now := f.clock(e.to)
	switch ev := e.ev.(type) {
	case received:
		f.step(e.to, crevent.Received{Now: now, From: ev.from, Msg: ev.msg})
	case answer:
		f.step(e.to, ev.at(now))
	}
}

func (a answer) at(now crid.Instant) crevent.Event {
	fault := crconfig.FaultNone
	switch {
	case a.away:
		fault = crconfig.FaultAway
	case a.bad:
		fault = crconfig.FaultMissing
	}
	switch {
	case a.head != nil:
		return crconfig.WatchResult{Now: now, Head: *a.head, Fault: fault}
	case a.list.Revision() > 0:
		return crconfig.ListRead{Now: now, List: a.list, Fault: fault}
	}
	return crconfig.Read{Now: now, Digest: a.digest, Data: a.data, Fault: fault}
}

// run lets time pass; all ticks come at one moment, which is the worst for the
// platform's rate.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += time.Millisecond
		for _, e := range f.queue[f.now] {
			f.deliver(e)
		}
		delete(f.queue, f.now)
		if f.now%tick == 0 {
			f.tick()
		}
	}
}

func (f *fleet) tick() {
	if f.sampled && f.now%time.Second == 0 {
		f.membership()
	}
	for _, d := range f.alive() {
		life := f.daemons[d]
		if life.peersAt > 0 {
			now := f.clock(d)
			f.step(d, crmember.Lease{Now: now, Active: 1, Members: f.names, ContactUntil: now.Add(lease)})
		}
		f.step(d, crevent.Tick{Now: f.clock(d)})
		f.wake(d)
	}
}

func (f *fleet) wake(d crid.Daemon) {
	life := f.daemons[d]
	w := life.waits
	if w == nil {
		return
	}
	if f.plat.silent {
		life.waits = nil
		return
	}
	head := f.plat.head()
	if f.plat.away || f.plat.cutFrom[d] || head.Rev != w.after || f.now >= w.until {
		life.waits = nil
		f.reply(d, answer{head: &head})
	}
}

// until runs until all living daemons have the revision, and returns the time.
func (f *fleet) until(t testing.TB, rev crid.Revision, limit time.Duration) time.Duration {
	t.Helper()
	from := f.now
	for f.now-from < limit {
		if !slices.ContainsFunc(f.alive(), func(d crid.Daemon) bool { return f.daemons[d].Revision() < rev }) {
			return f.now - from
		}
		f.run(tick)
	}
	for _, d := range f.alive() {
		if f.daemons[d].Revision() < rev {
			t.Fatalf("%s has %d, not %d, after %s: %+v", d, f.daemons[d].Revision(), rev, limit, f.daemons[d].Dump())
		}
	}
	return limit
}

func (f *fleet) readers() []crid.Daemon {
	var readers []crid.Daemon
	for _, d := range f.alive() {
		if f.daemons[d].Reader() {
			readers = append(readers, d)
		}
	}
	return readers
}

// settled is a fleet with one configuration in force everywhere.
func settled(t testing.TB, n, domains int) *fleet {
	t.Helper()
	f := newFleet(n, domains, quick())
	rev := f.plat.publish(content{Keys: []string{"k"}})
	f.start(f.names...)
	f.until(t, rev, 30*time.Second)
	f.run(3 * time.Second)
	return f
}
