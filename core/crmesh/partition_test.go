package crmesh_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
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
	granted     []int // in each step
}

func newQuotaFleet(seed uint64, n int, rate, burst float64) *quotaFleet {
	f := &quotaFleet{rng: rand.New(rand.NewPCG(seed, 7)), rate: rate, burst: burst, byName: make(map[crid.Daemon]*quotaDaemon)} //nolint:gosec // a test must be reproducible
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
				if peer := f.byName[to]; peer.side == d.side {
					f.step(peer, crmesh.HeartbeatReceived{Now: ev.At(), From: d.name, Heartbeat: crmesh.Heartbeat{
						Incarnation: 1, Stopping: eff.Stopping, StoreUnavailable: eff.StoreUnavailable, RecordRevision: eff.RecordRevision, SilentMembers: eff.SilentMembers,
					}})
				}
			}
		}
	}
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
	if peer := f.byName[to]; peer.side == from.side {
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
			for _, d := range f.daemons {
				f.step(d, crevent.Tick{Now: now})
			}
		}
		perDaemon := 0.3 * f.rate / float64(len(f.daemons)) * quotaStep.Seconds()
		if t >= surgeAt {
			perDaemon *= 20
		}
		granted := 0
		for _, d := range f.daemons {
			for n := f.rng.ExpFloat64(); n < perDaemon; n += f.rng.ExpFloat64() {
				if f.request(now, d) {
					granted++
				}
			}
		}
		f.granted = append(f.granted, granted)
	}
}

// Guards against a side of a partition that grants an account's whole rate once the records of the other side have expired.
func TestSidesOfAPartitionShareTheRateAfterRecordsExpire(t *testing.T) {
	const n, cut = 29, 13
	f := newQuotaFleet(1, n, 88, 88)
	var lost []*quotaDaemon
	f.play(quotaDayLength, map[time.Duration]func(crid.Instant){
		4 * time.Second: func(now crid.Instant) { lost = f.cutOff(now, cut) },
		7 * time.Second: func(now crid.Instant) { f.expire(now, lost) },
		4*time.Second + cutLength: func(now crid.Instant) {
			if sum := f.fraction(0) + f.fraction(1); sum > 1.11 {
				t.Errorf("the sides grant %.2f of the rate", sum)
			}
			f.heal(now)
		},
	})
	if whole := f.fraction(0); whole != 1 {
		t.Errorf("%.2f of the rate is granted after the partition", whole)
	}
}

// fraction returns the fraction of the rate that the owner on a side grants.
func (f *quotaFleet) fraction(side int) float64 {
	i := slices.IndexFunc(f.daemons, func(d *quotaDaemon) bool { return d.side == side })
	return f.daemons[i].view.RateFraction(true)
}

// Guards against daemons that stopped, or whose targets left, and that still count for the accounts' rates.
func TestDaemonsThatLeftWithNoticeDoNotReduceRates(t *testing.T) {
	s, peers := largeState(30)
	now := start.Add(time.Second)
	left, leaving := crmesh.RecordsChanged{Now: now, Revision: 7}, crmesh.RecordsChanged{Now: now, Revision: 6}
	for i := 1; i <= 10; i++ {
		r := &crregistry.Record{Target: crid.Target(fmt.Sprintf("t%d", i)), Service: "booking", Address: string(peers[i-1]) + ":80", Domain: crid.Domain("abcdef"[i%6 : i%6+1]), Slots: 5, Leaving: i <= 5}
		leaving.Changes = append(leaving.Changes, crregistry.Change{Key: string(r.Target), Revision: 6, Record: r})
		left.Changes = append(left.Changes, crregistry.Change{Key: string(r.Target), Revision: 7})
	}
	s.Step(leaving)
	for i := 5; i < 10; i++ {
		hb := received(peers[i], i, now, false)
		hb.Heartbeat.Stopping = true
		s.Step(hb)
	}
	v := views(s.Step(left))[0]
	for at := 2 * time.Second; at <= 15*time.Second; at += 100 * time.Millisecond {
		for i, d := range peers[10:] {
			v = lastView(v, s.Step(received(d, i+10, start.Add(at), false)))
		}
		v = lastView(v, s.Step(crevent.Tick{Now: start.Add(at)}))
	}
	if v.Confirmed != 20 || v.Reachable != 20 {
		t.Errorf("%d of %d daemons can be reached, 20 of 20 are left", v.Reachable, v.Confirmed)
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

// Guards against an account that gets more than its limit when a part of the fleet is cut off from the rest and from the store.
func TestAccountStaysWithinItsLimitOnBothSidesOfAPartition(t *testing.T) {
	const n, surgeAt, expiry = 29, 4 * time.Second, 3 * time.Second
	for _, burst := range []float64{22, 88, 264} {
		for _, cut := range []int{3, 13, 22} {
			for cutAt := 2 * time.Second; cutAt <= 9*time.Second; cutAt += 500 * time.Millisecond {
				f := newQuotaFleet(uint64(cutAt/time.Millisecond)+uint64(cut), n, 88, burst)
				var lost []*quotaDaemon
				f.play(surgeAt, map[time.Duration]func(crid.Instant){
					cutAt:             func(now crid.Instant) { lost = f.cutOff(now, cut) },
					cutAt + expiry:    func(now crid.Instant) { f.expire(now, lost) },
					cutAt + cutLength: f.heal,
				})
				if most, begin := f.most(); float64(most) > f.limit() {
					t.Errorf("burst %.0f, %d cut off %v after the surge: %d in the window at %v, %.0f allowed", burst, cut, cutAt-surgeAt, most, begin, f.limit())
				}
			}
		}
	}
}

// Guards against sides of a partition that together use more than the slack of the retry budget once records have expired.
func TestSidesOfAPartitionShareTheRetryBudget(t *testing.T) {
	const n, cut = 29, 13
	f := newQuotaFleet(1, n, 88, 88)
	var lost []*quotaDaemon
	f.play(quotaDayLength, map[time.Duration]func(crid.Instant){
		4 * time.Second: func(now crid.Instant) { lost = f.cutOff(now, cut) },
		7 * time.Second: func(now crid.Instant) { f.expire(now, lost) },
	})
	sum := 0.0
	for _, d := range f.daemons {
		sum += 1 / float64(d.view.FleetSize())
	}
	if sum > 1.01 {
		t.Errorf("the daemons use %.2f of the slack", sum)
	}
}

// Guards against an owner that starts again during a partition, and does not know of the daemons whose records have expired.
func TestRestartedOwnerCountsMembersThatFellSilent(t *testing.T) {
	const n, cut = 29, 13
	f := newQuotaFleet(1, n, 88, 88)
	var lost []*quotaDaemon
	f.play(4*time.Second, map[time.Duration]func(crid.Instant){
		4 * time.Second: func(now crid.Instant) { lost = f.cutOff(now, cut) },
		7 * time.Second: func(now crid.Instant) { f.expire(now, lost) },
		12 * time.Second: func(now crid.Instant) {
			var left []crregistry.Change
			for i, d := range f.daemons {
				if d.side == 0 {
					left = append(left, f.records[i])
				}
			}
			i := slices.IndexFunc(f.daemons, func(d *quotaDaemon) bool { return d.side == 0 })
			f.start(now, f.daemons[i], left)
		},
	})
	if sum := f.fraction(0) + f.fraction(1); sum > 1.11 {
		t.Errorf("the sides grant %.2f of the rate", sum)
	}
}

// Guards against refusals below the rate by a daemon that has just started and owns an account until it hears from its peers.
func TestDaemonReplacesOnlyOwnersThatItHasHeard(t *testing.T) {
	f := newQuotaFleet(1, 3, 500, 500)
	now := start.Add(quotaStep)
	for _, d := range f.daemons {
		f.start(now, d, f.records)
	}
	for _, d := range f.daemons {
		granted := 0
		for range 30 {
			if f.grant(now, d, false) {
				granted++
			}
		}
		if granted < 30 {
			t.Errorf("%d of 30 requests were granted at the start, at a rate of 500 and a burst of 500", granted)
		}
	}
}
