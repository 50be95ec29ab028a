package crmesh_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crregistry"
)

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

// Guards against an account that gets more than its limit while datagrams are lost, links work in one direction, and daemons are killed.
func TestAccountStaysWithinItsLimitWhileFaultsOverlap(t *testing.T) {
	const n, faults = 6, 5
	for seed := range uint64(150) {
		f := newQuotaFleet(seed, n, 15, 15)
		at := make(map[time.Duration]func(crid.Instant))
		for range faults {
			from := 2*time.Second + time.Duration(f.rng.Int64N(int64(14*time.Second))).Truncate(quotaStep)
			length := time.Second + time.Duration(f.rng.Int64N(int64(3*time.Second))).Truncate(quotaStep)
			begin, end := f.randomFault()
			at[from], at[from+length] = also(at[from], begin), also(at[from+length], end)
		}
		f.play(time.Second, at)
		if most, begin := f.most(); float64(most) > f.limit() {
			t.Errorf("seed %d: %d in the window at %v, %.0f allowed", seed, most, begin, f.limit())
		}
	}
}

// also returns a function that calls both.
func also(a, b func(crid.Instant)) func(crid.Instant) {
	return func(now crid.Instant) {
		if a != nil {
			a(now)
		}
		b(now)
	}
}

// Guards against a seed that counts for the accounts' rates for good after its machine was lost.
func TestLostSeedCountsForALimitedTime(t *testing.T) {
	s := crmesh.New(params())
	s.Step(recordsListed())
	seed := crmesh.HeartbeatReceived{Now: start, From: "10.0.0.9", Heartbeat: crmesh.Heartbeat{Incarnation: 1, RecordRevision: 5}}
	v := views(s.Step(seed))[0]
	members := func(after time.Duration) int {
		v = lastView(v, s.Step(crevent.Tick{Now: start.Add(after)}))
		return v.Confirmed
	}
	if n := members(time.Minute); n != 4 {
		t.Errorf("%d members a minute after the seed fell silent, it may be cut off and is the fourth", n)
	}
	if n := members(3 * time.Minute); n != 3 {
		t.Errorf("%d members three minutes after the seed fell silent, three have records", n)
	}
}
