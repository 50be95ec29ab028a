package crmesh_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crquota"
	"camphorroad/core/crregistry"
)

const (
	quotaStep      = 20 * time.Millisecond
	tokenBackoff   = time.Second // after an unanswered token request, as in io/crmesh
	relayAttempts  = 2
	quotaAccount   = crid.Account("survey")
	quotaSlack     = 20
	cutLength      = 12 * time.Second
	quotaDayLength = 24 * time.Second
)

var quotaTolerance = crquota.Tolerance{Window: 5 * time.Second, Overage: 0.25}

// quotaDaemon is a daemon that serves callers of one account.
type quotaDaemon struct {
	name     crid.Daemon
	side     int // of the partition; daemons reach those of their own side
	params   crmesh.Params
	state    *crmesh.State
	view     *crmesh.View
	owner    *crquota.OwnerLimiter
	fallback *crquota.FallbackLimiter
	backoff  map[crid.Daemon]crid.Instant
}

// quotaFleet is a fleet in virtual time whose daemons limit one account. It follows token
// requests as io/crmesh sends them.
type quotaFleet struct {
	rng         *rand.Rand
	rate, burst float64
	daemons     []*quotaDaemon
	byName      map[crid.Daemon]*quotaDaemon
	records     []crregistry.Change
	granted     []int                   // in each step
	loss        float64                 // share of the datagrams that are lost
	down        map[crid.Daemon]bool    // daemons that do not run
	blocked     map[[2]crid.Daemon]bool // sender and receiver between which all datagrams are lost
}

func newQuotaFleet(seed uint64, n int, rate, burst float64) *quotaFleet {
	f := &quotaFleet{rng: rand.New(rand.NewPCG(seed, 7)), rate: rate, burst: burst, byName: make(map[crid.Daemon]*quotaDaemon), down: make(map[crid.Daemon]bool), blocked: make(map[[2]crid.Daemon]bool)} //nolint:gosec // a test must be reproducible
	for i := range n {
		address := fmt.Sprintf("10.7.0.%d:80", i)
		target, domain := crid.Target(fmt.Sprintf("t%d", i)), crid.Domain("abc"[i%3:i%3+1])
		p := params()
		p.Seeds, p.Address, p.Self, p.Domain = nil, address, crmesh.DaemonOf(address), domain
		f.records = append(f.records, crregistry.Change{Key: string(target), Revision: 5, Record: &crregistry.Record{
			Target: target, Service: "booking", Address: address, Domain: domain, Slots: 4,
		}})
		d := &quotaDaemon{name: p.Self, params: p}
		f.daemons = append(f.daemons, d)
		f.byName[d.name] = d
	}
	for _, d := range f.daemons {
		f.start(start, d, f.records)
	}
	return f
}

// start starts a daemon that reads the given records.
func (f *quotaFleet) start(now crid.Instant, d *quotaDaemon, records []crregistry.Change) {
	d.state, d.view = crmesh.New(d.params), &crmesh.View{}
	d.owner, d.fallback = crquota.NewOwnerLimiter(quotaTolerance), crquota.NewFallbackLimiter(f.rng.Float64)
	d.backoff = make(map[crid.Daemon]crid.Instant)
	f.step(d, crmesh.RecordsListed{Now: now, Changes: records, Revision: 5})
}

func (f *quotaFleet) step(d *quotaDaemon, ev crevent.Event) {
	for _, eff := range d.state.Step(ev) {
		switch eff := eff.(type) {
		case crmesh.PublishView:
			d.view = eff.View
		case crmesh.SendHeartbeats:
			for _, to := range eff.To {
				if peer := f.byName[to]; f.delivers(d, peer) {
					f.step(peer, crmesh.HeartbeatReceived{Now: ev.At(), From: d.name, Heartbeat: crmesh.Heartbeat{
						Incarnation: 1, Stopping: eff.Stopping, StoreUnavailable: eff.StoreUnavailable, RecordRevision: eff.RecordRevision, SilentMembers: eff.SilentMembers, Unheard: eff.Unheard,
					}})
				}
			}
		}
	}
}

// delivers reports whether a datagram arrives.
func (f *quotaFleet) delivers(from, to *quotaDaemon) bool {
	return from.side == to.side && !f.down[from.name] && !f.down[to.name] && !f.blocked[[2]crid.Daemon{from.name, to.name}] && f.rng.Float64() >= f.loss
}

// request handles a request of the account at a daemon, and reports whether it may run.
func (f *quotaFleet) request(now crid.Instant, d *quotaDaemon) bool {
	action := d.view.TokenAction(quotaAccount, d.name, crquota.FromCaller)
	if ok, answered := f.execute(now, d, action); answered {
		return ok
	}
	excluded := []crid.Daemon{action.To, d.name}
	for range relayAttempts {
		relay := crquota.Relay(quotaAccount, d.view.Live, excluded...)
		if relay == "" {
			break
		}
		if ok, answered := f.send(now, d, relay, crquota.ToRelay); answered {
			return ok
		}
		excluded = append(excluded, relay)
	}
	fraction := quotaTolerance.FallbackFraction(f.rate, f.burst, d.view.NoticeTime)
	ok, _ := d.fallback.Take(now, quotaAccount, f.rate*fraction, f.burst*fraction, d.view.FleetSize())
	return ok
}

func (f *quotaFleet) execute(now crid.Instant, d *quotaDaemon, action crquota.Action) (ok, answered bool) {
	if action.To != "" {
		ok, answered = f.send(now, d, action.To, action.Origin)
	}
	if !answered && action.Grant {
		return f.grant(now, d, false), true
	}
	return ok, answered
}

// send sends a token request to a peer.
func (f *quotaFleet) send(now crid.Instant, from *quotaDaemon, to crid.Daemon, origin crquota.Origin) (ok, answered bool) {
	if now.Before(from.backoff[to]) {
		return false, false
	}
	if peer := f.byName[to]; f.delivers(from, peer) && f.delivers(peer, from) {
		action := peer.view.TokenAction(quotaAccount, peer.name, origin)
		if action.To == "" && action.Grant {
			return f.grant(now, peer, true), true
		}
		if origin != crquota.FromRelay {
			ok, answered = f.execute(now, peer, action)
		}
	}
	if !answered {
		from.backoff[to] = now.Add(tokenBackoff)
		if origin != crquota.ToRelay {
			f.step(from, crmesh.TokenRequestUnanswered{Now: now, Peer: to})
		}
	}
	return ok, answered
}

func (f *quotaFleet) grant(now crid.Instant, d *quotaDaemon, forPeer bool) bool {
	fraction := d.view.RateFraction(forPeer)
	if d.view.ReplacesOwner(quotaAccount, d.name) {
		ok, _ := d.owner.TakeOver(now, quotaAccount, f.rate*fraction, f.burst*fraction, d.view.OwnersSince)
		return ok
	}
	ok, _ := d.owner.Take(now, quotaAccount, f.rate*fraction, f.burst*fraction)
	return ok
}

// cutOff separates a number of daemons from all others and from the store, and returns
// those whose records the store removes.
func (f *quotaFleet) cutOff(now crid.Instant, n int) []*quotaDaemon {
	cut := make([]*quotaDaemon, 0, n)
	for _, i := range f.rng.Perm(len(f.daemons))[:n] {
		d := f.daemons[i]
		d.side = 1
		f.step(d, crmesh.StoreUnavailable{Now: now})
		cut = append(cut, d)
	}
	return cut
}

// expire removes the records of daemons that the store has not heard from.
func (f *quotaFleet) expire(now crid.Instant, cut []*quotaDaemon) {
	changes := make([]crregistry.Change, 0, len(cut))
	for _, d := range cut {
		i := slices.Index(f.daemons, d)
		changes = append(changes, crregistry.Change{Key: f.records[i].Key, Revision: 6})
	}
	for _, d := range f.daemons {
		if d.side == 0 {
			f.step(d, crmesh.RecordsChanged{Now: now, Revision: 6, Changes: changes})
		}
	}
}

// heal ends the partition; the cut off daemons read the store again.
func (f *quotaFleet) heal(now crid.Instant) {
	for _, d := range f.daemons {
		d.side = 0
	}
	for _, d := range f.daemons {
		f.step(d, crmesh.StoreAvailable{Now: now})
		f.step(d, crmesh.RecordsListed{Now: now, Revision: 7, Changes: f.records})
	}
}

// play runs the fleet for a day. From surgeAt on, the account requests more than its rate at each daemon.
func (f *quotaFleet) play(surgeAt time.Duration, at map[time.Duration]func(now crid.Instant)) {
	for t := time.Duration(0); t < quotaDayLength; t += quotaStep {
		now := start.Add(t)
		if do := at[t]; do != nil {
			do(now)
		}
		if t%(100*time.Millisecond) == 0 {
			for _, d := range f.running() {
				f.step(d, crevent.Tick{Now: now})
			}
		}
		perDaemon := 0.3 * f.rate / float64(len(f.daemons)) * quotaStep.Seconds()
		if t >= surgeAt {
			perDaemon *= 20
		}
		granted := 0
		for _, d := range f.running() {
			for n := f.rng.ExpFloat64(); n < perDaemon; n += f.rng.ExpFloat64() {
				if f.request(now, d) {
					granted++
				}
			}
		}
		f.granted = append(f.granted, granted)
	}
}

// most returns the most that ran in one window, and when the window began.
func (f *quotaFleet) most() (most int, begin time.Duration) {
	width, sum := int(quotaTolerance.Window/quotaStep), 0
	for i, n := range f.granted {
		sum += n
		if i >= width {
			sum -= f.granted[i-width]
		}
		if sum > most {
			most, begin = sum, time.Duration(max(i-width+1, 0))*quotaStep
		}
	}
	return most, begin
}

func (f *quotaFleet) limit() float64 {
	return (f.rate*quotaTolerance.Window.Seconds()+f.burst)*(1+quotaTolerance.Overage) + quotaSlack
}

// fraction returns the fraction of the rate that the owner on a side grants.
func (f *quotaFleet) fraction(side int) float64 {
	i := slices.IndexFunc(f.daemons, func(d *quotaDaemon) bool { return d.side == side })
	return f.daemons[i].view.RateFraction(true)
}

func (f *quotaFleet) running() []*quotaDaemon {
	return slices.DeleteFunc(slices.Clone(f.daemons), func(d *quotaDaemon) bool { return f.down[d.name] })
}

// some returns one to n daemons.
func (f *quotaFleet) some(n int) []*quotaDaemon {
	var out []*quotaDaemon
	for _, i := range f.rng.Perm(len(f.daemons))[:1+f.rng.IntN(n)] {
		out = append(out, f.daemons[i])
	}
	return out
}

// randomFault returns the start and the end of a fault: lost datagrams, links of some daemons
// that are blocked in one direction, or daemons that are killed and start again.
func (f *quotaFleet) randomFault() (begin, end func(now crid.Instant)) {
	switch affected := f.some(3); f.rng.IntN(3) {
	case 0:
		loss := 0.1 + 0.4*f.rng.Float64()
		return func(crid.Instant) { f.loss = loss }, func(crid.Instant) { f.loss = 0 }
	case 1:
		incoming := f.rng.IntN(2) == 0
		return func(crid.Instant) { f.block(affected, incoming, true) }, func(crid.Instant) { f.block(affected, incoming, false) }
	default:
		return func(crid.Instant) { f.kill(affected) }, func(now crid.Instant) { f.restart(now, affected) }
	}
}

func (f *quotaFleet) block(affected []*quotaDaemon, incoming, blocked bool) {
	for _, d := range affected {
		for _, other := range f.daemons {
			link := [2]crid.Daemon{d.name, other.name}
			if incoming {
				link[0], link[1] = link[1], link[0]
			}
			f.blocked[link] = blocked
		}
	}
}

func (f *quotaFleet) kill(affected []*quotaDaemon) {
	for _, d := range affected {
		f.down[d.name] = true
	}
}

func (f *quotaFleet) restart(now crid.Instant, affected []*quotaDaemon) {
	for _, d := range affected {
		if f.down[d.name] {
			f.down[d.name] = false
			f.start(now, d, f.records)
		}
	}
}
