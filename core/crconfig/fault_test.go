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

// The platform is down while one daemon is replaced. Its callers would meet a
// daemon that never gets ready, though all its peers have the configuration.
func TestStartWithPlatformDownIsReadyFromPeers(t *testing.T) {
	f := settled(t, 12, 3)
	f.plat.away = true
	f.kill("d0003")
	f.run(time.Second)
	f.start("d0003")
	took := f.until(t, 2, 10*time.Second)
	if d := f.daemons["d0003"]; !d.Ready() || !d.Trusted(f.clock("d0003")) {
		t.Errorf("not ready: %+v", d.Dump())
	}
	t.Logf("ready after %s", took)
}

// The platform is down and no peer has a configuration. A daemon that called
// itself ready would refuse every caller as unknown.
func TestStartWithNothingIsNotReady(t *testing.T) {
	f := newFleet(4, 2, quick())
	f.plat.publish(content{})
	f.plat.away = true
	f.start(f.names...)
	f.run(20 * time.Second)
	for _, d := range f.alive() {
		if f.daemons[d].Ready() {
			t.Errorf("%s is ready", d)
		}
	}
	f.plat.away = false
	f.until(t, 2, 40*time.Second)
}

// The platform comes back from a backup and shows an older revision, or flaps
// between two. Withdrawn keys would come to life again, for a while or for good.
func TestOlderRevisionIsIgnoredLoudly(t *testing.T) {
	f := settled(t, 12, 3)
	rev := f.plat.publish(content{Keys: []string{}})
	f.until(t, rev, 9*time.Second)
	calls := f.plat.calls
	for range 20 {
		f.plat.back = 1 - f.plat.back
		f.run(time.Second)
	}
	f.plat.back = 1
	f.run(10 * time.Second)
	loud := 0
	for _, d := range f.alive() {
		loud += f.daemons[d].reports[crconfig.EventStalePlatform]
		if f.daemons[d].Revision() != rev {
			t.Errorf("%s went back to %d", d, f.daemons[d].Revision())
		}
	}
	if loud == 0 {
		t.Error("nobody reported the stale platform")
	}
	if spent := f.plat.calls - calls; spent > 400 {
		t.Errorf("%d calls in 30 s of flapping", spent)
	}
	f.plat.back = 0
	f.until(t, f.plat.publish(content{Keys: []string{"new"}}), 60*time.Second)
}

// A publisher that skips the check, or has another version, publishes what does
// not pass. Half of it in force would refuse or admit the wrong callers.
func TestBadConfigurationIsRefusedWhole(t *testing.T) {
	f := settled(t, 12, 3)
	f.plat.publish(content{Bad: true})
	f.run(9 * time.Second)
	refused := 0
	for _, d := range f.alive() {
		refused += f.daemons[d].reports[crconfig.EventRejected]
		if f.daemons[d].Revision() != 2 || !f.daemons[d].Trusted(f.clock(d)) {
			t.Errorf("%s has %d", d, f.daemons[d].Revision())
		}
	}
	if refused == 0 {
		t.Error("nobody reported it")
	}
	f.until(t, f.plat.publish(content{}), 9*time.Second)
}

// The platform names a new configuration but can not give its values. Daemons
// that waited for it would refuse all callers in time; they must go on.
func TestNamedButUnreadableDoesNotStopTheFleet(t *testing.T) {
	f := settled(t, 12, 3)
	f.plat.lost = true
	rev := f.plat.publish(content{Keys: []string{"k", "l"}})
	f.run(3 * time.Second)
	f.plat.lost = false
	f.until(t, rev, 9*time.Second)
	f.plat.lost = true
	rev = f.plat.publish(content{Keys: []string{"k", "m"}})
	f.run(30 * time.Second)
	for _, d := range f.alive() {
		if !f.daemons[d].Trusted(f.clock(d)) || f.daemons[d].reports[crconfig.EventTrustLost] > 0 {
			t.Errorf("%s stopped trusting", d)
		}
	}
	f.plat.lost = false
	f.until(t, rev, 60*time.Second)
}

// Both readers of a domain die at once. Without others taking over, the domain
// would learn of changes late or never.
func TestReadersDieAndRankMovesOn(t *testing.T) {
	f := settled(t, 12, 1)
	former := f.readers()
	if len(former) != 2 {
		t.Fatalf("readers %v", former)
	}
	for _, d := range former {
		f.kill(d)
	}
	f.run(3 * time.Second)
	if now := f.readers(); len(now) != 2 || now[0] == former[0] || now[1] == former[1] {
		t.Errorf("readers %v after %v", now, former)
	}
	f.until(t, f.plat.publish(content{}), 9*time.Second)
}

// Above 31 daemons membership hears most peers only now and then. Daemons that
// take whom they do not hear just now for gone would nearly all hold the watch:
// thousands of calls at each change, and the platform refuses those beyond its
// rate. Then readers die, those of whom membership tells and those of whom it
// does not, and in the end all that rank anywhere; somebody has to go on reading
// while the list still names them, or changes and withdrawals arrive no more.
func TestSampledFleetHasTwoReadersADomain(t *testing.T) {
	f := newFleet(200, 5, crconfig.DefaultParams())
	f.sampled = true
	rev := f.plat.publish(content{})
	f.start(f.names...)
	f.until(t, rev, 60*time.Second)
	expect := func(when string) {
		t.Helper()
		f.run(10 * time.Second)
		if n := len(f.readers()); n != 10 {
			t.Errorf("%d readers of 5 domains %s", n, when)
		}
	}
	f.run(20 * time.Second)
	expect("at rest")
	calls := f.plat.calls
	f.until(t, f.plat.publish(content{}), 9*time.Second)
	f.run(time.Second)
	if n := f.plat.calls - calls; n > 35 {
		t.Errorf("%d calls for a change", n)
	}
	voters := crmember.Voters(f.plat.list, 0, crmember.DefaultParams().MaxVoters)
	f.killIn("m0", voters)
	expect("after the voters of one died")
	f.killIn("m0", f.readers())
	expect("after two of whom membership does not tell died")
	weight := func(d crid.Daemon) uint64 { return xxhash.Sum64String("reader/" + string(d)) }
	byWeight := slices.SortedFunc(slices.Values(f.names), func(a, b crid.Daemon) int { return cmp.Compare(weight(a), weight(b)) })
	perDomain := make(map[crid.Domain]int)
	f.killIn("", slices.DeleteFunc(byWeight, func(d crid.Daemon) bool { // all that would rank if voters did not come first
		perDomain[f.domains[d]]++
		return perDomain[f.domains[d]] > 6
	}))
	f.run(5 * time.Second)
	f.until(t, f.plat.publish(content{}), 9*time.Second)
	f.killIn("", voters)
	f.run(time.Second)
	for _, d := range f.alive() {
		if life := f.daemons[d]; life != nil {
			f.killIn("", life.Dump().(crconfig.Dump).Ranked)
		}
	}
	f.until(t, f.plat.publish(content{}), 60*time.Second)
}

// killIn kills daemons of a domain, or of all for an empty one.
func (f *fleet) killIn(domain crid.Domain, names []crid.Daemon) {
	for _, d := range names {
		if domain == "" || f.domains[d] == domain {
			delete(f.daemons, d)
		}
	}
	f.membership()
}

func keyGone(t *testing.T, f *fleet, rev crid.Revision) {
	t.Helper()
	took := f.until(t, rev, 9*time.Second)
	for _, d := range f.alive() {
		if _, ok := f.daemons[d].Snapshot().AccountByKey(crpolicy.HashKey("k")); ok {
			t.Errorf("%s still takes the key", d)
		}
	}
	t.Logf("gone everywhere after %s", took)
}

// A key is withdrawn while callers use it. They must be refused within seconds
// at every daemon.
func TestWithdrawnKeyIsGoneEverywhere(t *testing.T) {
	f := settled(t, 24, 3)
	keyGone(t, f, f.plat.publish(content{Keys: []string{}}))
}

// The network loses three messages in ten. A withdrawn key would go on working
// at the daemons that are told last.
func TestWithdrawnKeyIsGoneUnderLoss(t *testing.T) {
	f := settled(t, 100, 3)
	f.loss = 0.3
	keyGone(t, f, f.plat.publish(content{Keys: []string{}}))
}

// Answers of the platform no longer reach one reader, though its own calls go
// out; its domain has another. The withdrawal must not wait for the deaf one.
func TestWithdrawnKeyIsGoneWithAReaderCutOneWay(t *testing.T) {
	for _, both := range []bool{false, true} {
		f := settled(t, 12, 1)
		f.plat.cutFrom = map[crid.Daemon]bool{f.readers()[0]: true}
		if both {
			f.plat.cutFrom[f.readers()[1]] = true
			f.run(6 * time.Second)
		}
		keyGone(t, f, f.plat.publish(content{Keys: []string{}}))
	}
}

// One daemon loses all its links. It can not hear of a withdrawal, so it must
// stop; the others, whose platform is away as well, must go on.
func TestCutOffAloneStopsTrustingWhileTheFleetGoesOn(t *testing.T) {
	f := settled(t, 12, 3)
	f.plat.away = true
	alone := crid.Daemon("d0005")
	f.cut = func(from, to crid.Daemon) bool { return from == alone || to == alone }
	f.membership()
	f.run(time.Hour / 60)
	for _, d := range f.alive() {
		if got := f.daemons[d].Trusted(f.clock(d)); got == (d == alone) {
			t.Errorf("%s trusts: %v", d, got)
		}
	}
	f.plat.away = false
	f.cut = nil
	f.membership()
	f.until(t, f.plat.publish(content{}), 60*time.Second)
	f.run(time.Second)
	if !f.daemons[alone].Trusted(f.clock(alone)) {
		t.Error("trust did not come back")
	}
}

// A daemon was cut off for a minute, in which a key was withdrawn, and is linked
// again. Not for a moment may it take the key once it acts again.
func TestRelinkedDaemonNeverTrustsTheWithdrawnKey(t *testing.T) {
	f := settled(t, 12, 3)
	alone := crid.Daemon("d0005")
	f.cut = func(from, to crid.Daemon) bool { return from == alone || to == alone }
	f.plat.cutFrom = map[crid.Daemon]bool{alone: true}
	f.membership()
	f.run(10 * time.Second)
	rev := f.plat.publish(content{Keys: []string{}})
	f.run(50 * time.Second)
	f.cut = nil
	f.membership()
	d := f.daemons[alone]
	for range 5000 {
		f.run(time.Millisecond)
		if d.Trusted(f.clock(alone)) && d.Revision() < rev {
			t.Fatal("it trusts the former configuration")
		}
	}
	if !d.Trusted(f.clock(alone)) {
		t.Errorf("trust did not come back: %+v", d.Dump())
	}
}

// Of three daemons one is dead and the platform is away; then the link between
// the two others breaks and comes back, and one of them is replaced. Nobody is
// left to ask but the other one, and callers depend on both.
func TestTwoOfThreeGoOnWithoutThePlatform(t *testing.T) {
	f := settled(t, 3, 3)
	f.plat.away = true
	f.kill("d0002")
	f.run(5 * time.Second)
	f.peers = false
	f.membership()
	f.run(10 * time.Second)
	f.peers = true
	f.membership()
	f.run(3 * time.Second)
	f.kill("d0001")
	f.start("d0001")
	f.run(3 * time.Second)
	for _, d := range f.alive() {
		if !f.daemons[d].Ready() || !f.daemons[d].Trusted(f.clock(d)) {
			t.Errorf("%s does not go on: %+v", d, f.daemons[d].Dump())
		}
	}
}

// Every daemon of a fleet starts in the same instant, after a power cut say,
// first without knowing a peer. The platform would refuse calls over its rate,
// and with them the calls of everybody else.
func TestAllStartAtOnceStaysWithinTheRate(t *testing.T) {
	const n, domains, peerless = 600, 9, 35
	f := newFleet(n, domains, crconfig.DefaultParams())
	rev := f.plat.publish(content{})
	f.plat.pages = 3 // as of 5,500
	f.peers = false
	f.start(f.names...)
	f.run(peerless * time.Second) // nobody has a peer before everybody has a list
	f.peers = true
	f.membership()
	f.until(t, rev, 60*time.Second)
	f.run(5 * time.Second)
	alone, later := 0, 0
	for second, calls := range f.plat.perSec {
		if second < peerless {
			alone = max(alone, calls)
		} else {
			later = max(later, calls)
		}
	}
	t.Logf("%d daemons: %d calls in %s; busiest second %d without peers, %d with", n, f.plat.calls, f.now, alone, later)
	// Settled readers keep to 2 calls a tick: 18 of them make 720 a second,
	// whatever the size. That leaves 1,280 a second for 5,500 others.
	if limit := 1280 * n / 5500; alone > limit {
		t.Errorf("%d calls in one second, more than %d", alone, limit)
	}
	if limit := 1280*n/5500 + 720; later > limit {
		t.Errorf("%d calls in one second, more than %d", later, limit)
	}
}

// applyTime is the time in which what was published has to be in force everywhere.
const applyTime = 9 * time.Second

// Watches that a short silence swallowed leave their readers deaf until their wait is over.
func TestAChangeIsInForceInTimeAfterASilentPlatform(t *testing.T) {
	for _, n := range []int{3, 12, 120} {
		f := settled(t, n, 3)
		f.plat.silent = true
		f.run(time.Second)
		f.plat.silent = false
		f.until(t, f.plat.publish(content{Keys: []string{"new"}}), applyTime)
	}
}

// Pauses that grew in a long outage keep all readers away from a platform that is back.
func TestAChangeIsInForceInTimeAfterALongOutage(t *testing.T) {
	f := settled(t, 3, 3)
	for range 12 {
		f.plat.away = true
		f.run(2*time.Minute + time.Duration(f.rng.Int64N(int64(time.Minute))))
		f.plat.away = false
		f.until(t, f.plat.publish(content{Keys: []string{"new"}}), applyTime)
	}
}
