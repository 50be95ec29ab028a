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
	tick    = 50 * time.Millisecond
	latency = 2 * time.Millisecond // one-way latency between daemons, and to the platform
	lease   = 3 * time.Second      // for which a tick with a reachable peer extends contact
)

// bundle is one published configuration; it is invalid if its content is Bad.
type bundle struct {
	raw    []byte
	values map[crconfig.Digest][]byte
}

type content struct {
	Keys []string `json:"keys"`
	Bad  bool     `json:"bad"`
}

func newBundle(c content) bundle {
	data, _ := json.Marshal(c)
	d := crconfig.DigestOf(data)
	raw, _ := json.Marshal(crconfig.Manifest{Entries: []crconfig.Entry{{Name: d.String(), Size: len(data)}}})
	return bundle{raw: raw, values: map[crconfig.Digest][]byte{d: data, crconfig.DigestOf(raw): raw}}
}

func (b bundle) digest() crconfig.Digest { return crconfig.DigestOf(b.raw) }

// parse takes the digest from the entry's name, since JSON omits the digest.
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

type pendingWatch struct {
	after crid.Revision
	until time.Duration
}

// daemon is one run of a daemon process.
type daemon struct {
	*crconfig.State
	offset    time.Duration // of its clock
	reports   map[int]int
	watch     *pendingWatch
	applied   []crid.Revision
	peerCount int // reachable peers at the last membership update
}

// fleet runs reducers in simulated time. Its network has a fixed latency, and the
// reducers are given the true membership.
type fleet struct {
	now           time.Duration
	rng           *rand.Rand
	params        crconfig.Params
	names         []crid.Daemon
	domains       map[crid.Daemon]crid.Domain
	daemons       map[crid.Daemon]*daemon
	queue         map[time.Duration][]event // by millisecond
	platform      *fakePlatform
	blocked       func(from, to crid.Daemon) bool
	connected     bool    // links between daemons work
	sampled       bool    // membership samples peers, as in a large fleet
	loss          float64 // fraction of the messages between daemons
	messages      int
	instancesSent int // instances sent in list pushes
}

func newFleet(n, domains int, params crconfig.Params) *fleet {
	f := &fleet{
		rng:       rand.New(rand.NewPCG(1, 2)),
		params:    params,
		domains:   make(map[crid.Daemon]crid.Domain),
		daemons:   make(map[crid.Daemon]*daemon),
		queue:     make(map[time.Duration][]event),
		connected: true,
		platform:  &fakePlatform{listCalls: 1, heads: []crconfig.Head{{}}, values: make(map[crconfig.Digest][]byte), callsPerSecond: make(map[int]int)},
	}
	var instances []crinstance.Instance
	for i := range n {
		d := crid.Daemon(fmt.Sprintf("d%04d", i))
		f.names = append(f.names, d)
		f.domains[d] = crid.Domain(fmt.Sprintf("m%d", i%domains))
		instances = append(instances, crinstance.Instance{Daemon: d, Domain: f.domains[d], State: crinstance.StateLive})
	}
	f.platform.list = crinstance.NewList(1, instances)
	f.platform.heads = []crconfig.Head{{Rev: 1, List: 1}}
	return f
}

func smallFleetParams() crconfig.Params {
	p := crconfig.DefaultParams()
	p.FleetSize = 100
	return p
}

func (f *fleet) start(names ...crid.Daemon) {
	for _, d := range names {
		node := &daemon{
			State:   crconfig.New(f.params, parse, load),
			offset:  time.Duration(f.rng.Int64N(int64(time.Hour))),
			reports: make(map[int]int),
		}
		f.daemons[d] = node
		f.step(d, crevent.Started{Now: f.clock(d), Self: d, Domain: f.domains[d], Incarnation: 1, Seed: f.rng.Uint64()})
	}
	f.updateMembership()
}

func (f *fleet) kill(d crid.Daemon) {
	delete(f.daemons, d)
	f.updateMembership()
}

func (f *fleet) clock(d crid.Daemon) crid.Instant {
	return crid.Instant(f.now + f.daemons[d].offset)
}

func (f *fleet) connectedTo(a, b crid.Daemon) bool {
	return f.connected && (f.blocked == nil || (!f.blocked(a, b) && !f.blocked(b, a)))
}

// updateMembership gives every daemon its peers: those linked in both directions.
func (f *fleet) updateMembership() {
	if f.sampled {
		f.updateSampledMembership()
		return
	}
	for _, d := range f.running() {
		var peers []crmember.Peer
		for _, p := range f.running() {
			if p != d && f.connectedTo(d, p) {
				peers = append(peers, crmember.Peer{Daemon: p, Domain: f.domains[p], Reachable: true})
			}
		}
		f.daemons[d].peerCount = len(peers)
		f.step(d, crmember.PeersChanged{Now: f.clock(d), Peers: peers})
	}
}

// updateSampledMembership gives every daemon its peers as crmember does above
// MaxVoters: all listed peers, with the true reachability of voters. Other peers
// are reachable only if they were in a sample within the last horizon.
func (f *fleet) updateSampledMembership() {
	params := crmember.DefaultParams()
	voters := crmember.Voters(f.platform.list, 0, params.MaxVoters)
	n := len(f.names)
	sampled := make([]bool, n*n)
	for i := range f.names {
		for range params.SampleSize * int(params.ContactTimeout/params.Interval) {
			j := f.rng.IntN(n)
			sampled[i*n+j], sampled[j*n+i] = true, true
		}
	}
	up := func(d, p crid.Daemon) bool { return f.daemons[p] != nil && (p == d || f.connectedTo(d, p)) }
	for i, d := range f.names {
		if f.daemons[d] == nil {
			continue
		}
		reachableVoters := 0
		peers := make([]crmember.Peer, 0, n)
		_, isVoter := slices.BinarySearch(voters, d)
		for j, p := range f.names {
			_, voter := slices.BinarySearch(voters, p)
			reachable := up(d, p) && (voter || isVoter || sampled[i*n+j])
			if reachable && voter {
				reachableVoters++
			}
			if p != d {
				peers = append(peers, crmember.Peer{Daemon: p, Domain: f.domains[p], Reachable: reachable, Sampled: !voter})
			}
		}
		f.daemons[d].peerCount = max(0, reachableVoters-len(voters)/2) // a majority of the voters
		f.step(d, crmember.PeersChanged{Now: f.clock(d), Peers: peers})
	}
}

func (f *fleet) running() []crid.Daemon {
	var running []crid.Daemon
	for _, d := range f.names {
		if f.daemons[d] != nil {
			running = append(running, d)
		}
	}
	return running
}

func (f *fleet) schedule(delay time.Duration, to crid.Daemon, ev crevent.Event) {
	at := f.now + delay
	f.queue[at] = append(f.queue[at], event{to: to, ev: ev})
}

func (f *fleet) step(d crid.Daemon, ev crevent.Event) {
	node := f.daemons[d]
	for _, e := range node.Step(ev) {
		switch e := e.(type) {
		case crevent.Send:
			f.messages++
			if push, ok := e.Msg.(crconfig.ListPush); ok {
				f.instancesSent += len(push.Instances)
			}
			if f.daemons[e.To] != nil && f.delivers(d, e.To) {
				f.schedule(latency, e.To, received{from: d, msg: e.Msg})
			}
		case crevent.Report:
			node.reports[e.Number]++
		case crconfig.Applied:
			node.applied = append(node.applied, e.Snapshot.Revision())
		case crconfig.WatchPlatform:
			f.countCall()
			node.watch = &pendingWatch{after: e.After, until: f.now + e.Wait}
		case crconfig.ReadPlatform:
			f.countCall()
			data, ok := f.platform.values[e.Digest]
			f.respond(d, response{digest: e.Digest, data: data, unreadable: !ok || f.platform.unreadable})
		case crconfig.ReadList:
			for range f.platform.listCalls {
				f.countCall()
			}
			f.respond(d, response{list: f.platform.list})
		}
	}
}

// delivers reports whether the network delivers a message, at random under loss.
func (f *fleet) delivers(from, to crid.Daemon) bool {
	if !f.connected || (f.blocked != nil && f.blocked(from, to)) {
		return false
	}
	return f.loss == 0 || f.rng.Float64() >= f.loss
}

func (f *fleet) countCall() {
	f.platform.calls++
	f.platform.callsPerSecond[int(f.now/time.Second)]++
}

func (f *fleet) respond(d crid.Daemon, r response) {
	if f.platform.unresponsive {
		return
	}
	r.unavailable = f.platform.unavailable || f.platform.unreachableFrom[d]
	f.schedule(2*latency, d, r)
}

// received and response get their timestamps on delivery, from the receiver's clock.
type received struct {
	crevent.Event
	from crid.Daemon
	msg  crevent.Message
}

type response struct {
	crevent.Event
	digest      crconfig.Digest
	data        []byte
	list        crinstance.List
	head        *crconfig.Head
	unreadable  bool
	unavailable bool
}

func (f *fleet) deliver(e event) {
	if f.daemons[e.to] == nil {
		return
	}
	now := f.clock(e.to)
	switch ev := e.ev.(type) {
	case received:
		f.step(e.to, crevent.Received{Now: now, From: ev.from, Msg: ev.msg})
	case response:
		f.step(e.to, ev.at(now))
	}
}

func (r response) at(now crid.Instant) crevent.Event {
	fault := crconfig.FaultNone
	switch {
	case r.unavailable:
		fault = crconfig.FaultUnavailable
	case r.unreadable:
		fault = crconfig.FaultMissing
	}
	switch {
	case r.head != nil:
		return crconfig.WatchResult{Now: now, Head: *r.head, Fault: fault}
	case r.list.Revision() > 0:
		return crconfig.ListResult{Now: now, List: r.list, Fault: fault}
	}
	return crconfig.ReadResult{Now: now, Digest: r.digest, Data: r.data, Fault: fault}
}

// run advances the simulated time. All daemons tick at the same time, which is
// the worst case for the platform's rate.
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
		f.updateMembership()
	}
	for _, d := range f.running() {
		node := f.daemons[d]
		if node.peerCount > 0 {
			now := f.clock(d)
			f.step(d, crmember.Lease{Now: now, Active: 1, Members: f.names, ContactUntil: now.Add(lease)})
		}
		f.step(d, crevent.Tick{Now: f.clock(d)})
		f.completeWatch(d)
	}
}

func (f *fleet) completeWatch(d crid.Daemon) {
	node := f.daemons[d]
	w := node.watch
	if w == nil {
		return
	}
	if f.platform.unresponsive {
		node.watch = nil
		return
	}
	head := f.platform.head()
	if f.platform.unavailable || f.platform.unreachableFrom[d] || head.Rev != w.after || f.now >= w.until {
		node.watch = nil
		f.respond(d, response{head: &head})
	}
}

// runUntilApplied runs until all running daemons have applied the revision, and
// returns the time that it took.
func (f *fleet) runUntilApplied(t testing.TB, rev crid.Revision, limit time.Duration) time.Duration {
	t.Helper()
	from := f.now
	for f.now-from < limit {
		if !slices.ContainsFunc(f.running(), func(d crid.Daemon) bool { return f.daemons[d].Revision() < rev }) {
			return f.now - from
		}
		f.run(tick)
	}
	for _, d := range f.running() {
		if f.daemons[d].Revision() < rev {
			t.Fatalf("%s has revision %d, want %d, after %s: %+v", d, f.daemons[d].Revision(), rev, limit, f.daemons[d].Dump())
		}
	}
	return limit
}

func (f *fleet) readers() []crid.Daemon {
	var readers []crid.Daemon
	for _, d := range f.running() {
		if f.daemons[d].Reader() {
			readers = append(readers, d)
		}
	}
	return readers
}

// newSettledFleet returns a fleet in which every daemon has applied one configuration.
func newSettledFleet(t testing.TB, n, domains int) *fleet {
	t.Helper()
	f := newFleet(n, domains, smallFleetParams())
	rev := f.platform.publish(content{Keys: []string{"k"}})
	f.start(f.names...)
	f.runUntilApplied(t, rev, 30*time.Second)
	f.run(3 * time.Second)
	return f
}
