package crconfig_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

// A daemon is replaced while the platform is unavailable. It must become ready
// from its peers, which have the configuration.
func TestReadyFromPeersWhilePlatformUnavailable(t *testing.T) {
	f := newSettledFleet(t, 12, 3)
	f.platform.unavailable = true
	f.kill("d0003")
	f.run(time.Second)
	f.start("d0003")
	took := f.runUntilApplied(t, 2, 10*time.Second)
	if d := f.daemons["d0003"]; !d.Ready() || !d.Trusted(f.clock("d0003")) {
		t.Errorf("not ready: %+v", d.Dump())
	}
	t.Logf("ready after %s", took)
}

// The platform is unavailable and no peer has a configuration. A daemon that
// became ready would refuse every caller as unknown.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	f := newFleet(4, 2, smallFleetParams())
	f.platform.publish(content{})
	f.platform.unavailable = true
	f.start(f.names...)
	f.run(20 * time.Second)
	for _, d := range f.running() {
		if f.daemons[d].Ready() {
			t.Errorf("%s is ready", d)
		}
	}
	f.platform.unavailable = false
	f.runUntilApplied(t, 2, 40*time.Second)
}

// The platform, restored from a backup, serves an older revision or alternates between
// two. Applying the older one would make withdrawn keys valid again.
func TestOlderRevisionIsIgnoredAndReported(t *testing.T) {
	f := newSettledFleet(t, 12, 3)
	rev := f.platform.publish(content{Keys: []string{}})
	f.runUntilApplied(t, rev, 9*time.Second)
	calls := f.platform.calls
	for range 20 {
		f.platform.lag = 1 - f.platform.lag
		f.run(time.Second)
	}
	f.platform.lag = 1
	f.run(10 * time.Second)
	reports := 0
	for _, d := range f.running() {
		reports += f.daemons[d].reports[crconfig.EventStalePlatform]
		if f.daemons[d].Revision() != rev {
			t.Errorf("%s went back to revision %d", d, f.daemons[d].Revision())
		}
	}
	if reports == 0 {
		t.Error("no daemon reported the stale platform")
	}
	if extra := f.platform.calls - calls; extra > 400 {
		t.Errorf("%d calls in 30 s of alternating revisions", extra)
	}
	f.platform.lag = 0
	f.runUntilApplied(t, f.platform.publish(content{Keys: []string{"new"}}), 60*time.Second)
}

// A publisher that skips validation, or has another version, publishes an invalid
// configuration. Applying a part of it would refuse or admit the wrong callers.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	f := newSettledFleet(t, 12, 3)
	f.platform.publish(content{Bad: true})
	f.run(9 * time.Second)
	reports := 0
	for _, d := range f.running() {
		reports += f.daemons[d].reports[crconfig.EventRejected]
		if f.daemons[d].Revision() != 2 || !f.daemons[d].Trusted(f.clock(d)) {
			t.Errorf("%s has revision %d", d, f.daemons[d].Revision())
		}
	}
	if reports == 0 {
		t.Error("no daemon reported the rejected configuration")
	}
	f.runUntilApplied(t, f.platform.publish(content{}), 9*time.Second)
}

// The platform announces a new configuration but cannot serve its values.
// Daemons that waited for it would eventually refuse all callers.
func TestUnreadableValuesDoNotStopTheFleet(t *testing.T) {
	f := newSettledFleet(t, 12, 3)
	f.platform.unreadable = true
	rev := f.platform.publish(content{Keys: []string{"k", "l"}})
	f.run(3 * time.Second)
	f.platform.unreadable = false
	f.runUntilApplied(t, rev, 9*time.Second)
	f.platform.unreadable = true
	rev = f.platform.publish(content{Keys: []string{"k", "m"}})
	f.run(30 * time.Second)
	for _, d := range f.running() {
		if !f.daemons[d].Trusted(f.clock(d)) || f.daemons[d].reports[crconfig.EventTrustLost] > 0 {
			t.Errorf("%s lost trust", d)
		}
	}
	f.platform.unreadable = false
	f.runUntilApplied(t, rev, 60*time.Second)
}

// Both readers of a domain fail at once. Unless standbys replace them, the domain
// receives changes late or never.
func TestStandbysReplaceFailedReaders(t *testing.T) {
	f := newSettledFleet(t, 12, 1)
	previous := f.readers()
	if len(previous) != 2 {
		t.Fatalf("readers %v", previous)
	}
	for _, d := range previous {
		f.kill(d)
	}
	f.run(3 * time.Second)
	if current := f.readers(); len(current) != 2 || current[0] == previous[0] || current[1] == previous[1] {
		t.Errorf("readers %v after %v", current, previous)
	}
	f.runUntilApplied(t, f.platform.publish(content{}), 9*time.Second)
}

// Above 31 daemons, membership only samples most peers. If unsampled peers counted as lost, nearly
// all daemons would read and exceed the platform's rate. Ranked daemons that fail must be replaced.
func TestSampledFleetHasTwoReadersPerDomain(t *testing.T) {
	f := newFleet(200, 5, crconfig.DefaultParams())
	f.sampled = true
	rev := f.platform.publish(content{})
	f.start(f.names...)
	f.runUntilApplied(t, rev, 60*time.Second)
	expectTwoPerDomain := func(when string) {
		t.Helper()
		f.run(10 * time.Second)
		if n := len(f.readers()); n != 10 {
			t.Errorf("%d readers of 5 domains %s", n, when)
		}
	}
	f.run(20 * time.Second)
	expectTwoPerDomain("without faults")
	calls := f.platform.calls
	f.runUntilApplied(t, f.platform.publish(content{}), 9*time.Second)
	f.run(time.Second)
	if n := f.platform.calls - calls; n > 35 {
		t.Errorf("%d calls for a change", n)
	}
	voters := crmember.Voters(f.platform.list, 0, crmember.DefaultParams().MaxVoters)
	f.killInDomain("m0", voters)
	expectTwoPerDomain("after the voters of one failed")
	f.killInDomain("m0", f.readers())
	expectTwoPerDomain("after two sampled readers failed")
	weight := func(d crid.Daemon) uint64 { return xxhash.Sum64String("reader/" + string(d)) }
	byWeight := slices.SortedFunc(slices.Values(f.names), func(a, b crid.Daemon) int { return cmp.Compare(weight(a), weight(b)) })
	perDomain := make(map[crid.Domain]int)
	f.killInDomain("", slices.DeleteFunc(byWeight, func(d crid.Daemon) bool { // all daemons that would rank without the preference for voters
		perDomain[f.domains[d]]++
		return perDomain[f.domains[d]] > 6
	}))
	f.run(5 * time.Second)
	f.runUntilApplied(t, f.platform.publish(content{}), 9*time.Second)
	f.killInDomain("", voters)
	f.run(time.Second)
	for _, d := range f.running() {
		if node := f.daemons[d]; node != nil {
			f.killInDomain("", node.Dump().(crconfig.Dump).Ranked)
		}
	}
	f.runUntilApplied(t, f.platform.publish(content{}), 60*time.Second)
}

// killInDomain kills those of the named daemons that are in a domain, or all of
// them if domain is empty.
func (f *fleet) killInDomain(domain crid.Domain, names []crid.Daemon) {
	for _, d := range names {
		if domain == "" || f.domains[d] == domain {
			delete(f.daemons, d)
		}
	}
	f.updateMembership()
}

func expectKeyRejected(t *testing.T, f *fleet, rev crid.Revision) {
	t.Helper()
	took := f.runUntilApplied(t, rev, 9*time.Second)
	for _, d := range f.running() {
		if _, ok := f.daemons[d].Snapshot().AccountByKey(crpolicy.HashKey("k")); ok {
			t.Errorf("%s still accepts the key", d)
		}
	}
	t.Logf("rejected everywhere after %s", took)
}

// A key that callers use is withdrawn. Every daemon must refuse it within seconds.
func TestWithdrawnKeyIsRejectedEverywhere(t *testing.T) {
	f := newSettledFleet(t, 24, 3)
	expectKeyRejected(t, f, f.platform.publish(content{Keys: []string{}}))
}

// The network loses 30% of the messages. The withdrawal must still reach every daemon in time.
func TestWithdrawnKeyIsRejectedUnderMessageLoss(t *testing.T) {
	f := newSettledFleet(t, 100, 3)
	f.loss = 0.3
	expectKeyRejected(t, f, f.platform.publish(content{Keys: []string{}}))
}

// Responses of the platform do not reach one reader, or both, though their calls
// go out. The withdrawal must not wait for these readers.
func TestWithdrawnKeyIsRejectedWithOneWayPartition(t *testing.T) {
	for _, both := range []bool{false, true} {
		f := newSettledFleet(t, 12, 1)
		f.platform.unreachableFrom = map[crid.Daemon]bool{f.readers()[0]: true}
		if both {
			f.platform.unreachableFrom[f.readers()[1]] = true
			f.run(6 * time.Second)
		}
		expectKeyRejected(t, f, f.platform.publish(content{Keys: []string{}}))
	}
}

// One daemon is partitioned from all others while the platform is unavailable. It
// cannot learn of a withdrawal and must stop; the others must continue.
func TestIsolatedDaemonLosesTrust(t *testing.T) {
	f := newSettledFleet(t, 12, 3)
	f.platform.unavailable = true
	isolated := crid.Daemon("d0005")
	f.blocked = func(from, to crid.Daemon) bool { return from == isolated || to == isolated }
	f.updateMembership()
	f.run(time.Hour / 60)
	for _, d := range f.running() {
		if got := f.daemons[d].Trusted(f.clock(d)); got == (d == isolated) {
			t.Errorf("%s: Trusted() = %v", d, got)
		}
	}
	f.platform.unavailable = false
	f.blocked = nil
	f.updateMembership()
	f.runUntilApplied(t, f.platform.publish(content{}), 60*time.Second)
	f.run(time.Second)
	if !f.daemons[isolated].Trusted(f.clock(isolated)) {
		t.Error("trust was not regained")
	}
}

// A key is withdrawn while a daemon is partitioned for a minute. After it
// reconnects, the daemon must not accept the key at any time.
func TestReconnectedDaemonNeverTrustsWithdrawnKey(t *testing.T) {
	f := newSettledFleet(t, 12, 3)
	isolated := crid.Daemon("d0005")
	f.blocked = func(from, to crid.Daemon) bool { return from == isolated || to == isolated }
	f.platform.unreachableFrom = map[crid.Daemon]bool{isolated: true}
	f.updateMembership()
	f.run(10 * time.Second)
	rev := f.platform.publish(content{Keys: []string{}})
	f.run(50 * time.Second)
	f.blocked = nil
	f.updateMembership()
	d := f.daemons[isolated]
	for range 5000 {
		f.run(time.Millisecond)
		if d.Trusted(f.clock(isolated)) && d.Revision() < rev {
			t.Fatal("the daemon trusts the previous configuration")
		}
	}
	if !d.Trusted(f.clock(isolated)) {
		t.Errorf("trust was not regained: %+v", d.Dump())
	}
}

// The platform is unavailable and one of three daemons is lost. The other two, though
// partitioned for a while and one then replaced, must continue with only each other to query.
func TestTwoOfThreeContinueWithoutPlatform(t *testing.T) {
	f := newSettledFleet(t, 3, 3)
	f.platform.unavailable = true
	f.kill("d0002")
	f.run(5 * time.Second)
	f.connected = false
	f.updateMembership()
	f.run(10 * time.Second)
	f.connected = true
	f.updateMembership()
	f.run(3 * time.Second)
	f.kill("d0001")
	f.start("d0001")
	f.run(3 * time.Second)
	for _, d := range f.running() {
		if !f.daemons[d].Ready() || !f.daemons[d].Trusted(f.clock(d)) {
			t.Errorf("%s does not continue: %+v", d, f.daemons[d].Dump())
		}
	}
}

// After a power failure all daemons start at the same time, at first without known peers.
// Above its rate the platform refuses calls, also those of other clients.
func TestSimultaneousStartStaysWithinPlatformRate(t *testing.T) {
	const n, domains, secondsWithoutPeers = 600, 9, 35
	f := newFleet(n, domains, crconfig.DefaultParams())
	rev := f.platform.publish(content{})
	f.platform.listCalls = 3 // as for 5,500 instances
	f.connected = false
	f.start(f.names...)
	f.run(secondsWithoutPeers * time.Second) // no daemon has a peer before all daemons have a list
	f.connected = true
	f.updateMembership()
	f.runUntilApplied(t, rev, 60*time.Second)
	f.run(5 * time.Second)
	peakWithoutPeers, peakWithPeers := 0, 0
	for second, calls := range f.platform.callsPerSecond {
		if second < secondsWithoutPeers {
			peakWithoutPeers = max(peakWithoutPeers, calls)
		} else {
			peakWithPeers = max(peakWithPeers, calls)
		}
	}
	t.Logf("%d daemons: %d calls in %s; busiest second %d without peers, %d with", n, f.platform.calls, f.now, peakWithoutPeers, peakWithPeers)
	// Confirmed readers make at most 2 calls a tick: 18 of them make 720 a second,
	// whatever the size of the fleet. That leaves 1,280 a second for 5,500 others.
	if limit := 1280 * n / 5500; peakWithoutPeers > limit {
		t.Errorf("%d calls in one second, more than %d", peakWithoutPeers, limit)
	}
	if limit := 1280*n/5500 + 720; peakWithPeers > limit {
		t.Errorf("%d calls in one second, more than %d", peakWithPeers, limit)
	}
}

// maxApplyTime is the time within which a published change must be applied everywhere.
const maxApplyTime = 9 * time.Second

// A short outage leaves watches unanswered, and their readers get no changes until the wait is over.
func TestChangeIsAppliedInTimeAfterUnresponsivePlatform(t *testing.T) {
	for _, n := range []int{3, 12, 120} {
		f := newSettledFleet(t, n, 3)
		f.platform.unresponsive = true
		f.run(time.Second)
		f.platform.unresponsive = false
		f.runUntilApplied(t, f.platform.publish(content{Keys: []string{"new"}}), maxApplyTime)
	}
}

// The backoff grows in a long outage, and all readers wait for it after the platform has recovered.
func TestChangeIsAppliedInTimeAfterLongOutage(t *testing.T) {
	f := newSettledFleet(t, 3, 3)
	for range 12 {
		f.platform.unavailable = true
		f.run(2*time.Minute + time.Duration(f.rng.Int64N(int64(time.Minute))))
		f.platform.unavailable = false
		f.runUntilApplied(t, f.platform.publish(content{Keys: []string{"new"}}), maxApplyTime)
	}
}
