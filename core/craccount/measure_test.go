package craccount

import (
	"fmt"
	"math"
	"testing"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

const (
	warmUp         = 6 * time.Second
	measuredTime   = 20 * time.Second
	loadFraction   = 0.8
	fleetSize      = 25
	surgingAccount = crid.Account("large1")
)

func benchAccounts() []crpolicy.Account {
	var all []crpolicy.Account
	for i := range 4 {
		all = append(all, crpolicy.Account{Name: crid.Account(fmt.Sprintf("small%d", i)), Rate: 5, Burst: 10})
	}
	for i := range 2 {
		all = append(all, crpolicy.Account{Name: crid.Account(fmt.Sprintf("middle%d", i)), Rate: 50, Burst: 100})
	}
	for i := range 2 {
		all = append(all, crpolicy.Account{Name: crid.Account(fmt.Sprintf("large%d", i)), Rate: 400, Burst: 800})
	}
	return all
}

// idealBucket compares one account with a single token bucket of its limit.
type idealBucket struct {
	limit    crpolicy.Account
	level    float64
	at       time.Duration
	offered  int
	ideal    int
	admitted int
}

func (b *idealBucket) offer(at time.Duration) {
	b.level = min(b.limit.Burst, b.level+b.limit.Rate*(at-b.at).Seconds())
	b.at = at
	b.offered++
	if b.level >= 1 {
		b.level--
		b.ideal++
	}
}

func (b *idealBucket) wrongfulRefusals() int { return max(0, b.ideal-b.admitted) }

type results struct {
	offered, wrongfulRefusals int     // refused, although a single bucket would have admitted them
	wrongfulElsewhere         int     // wrongful refusals, without the account that surges
	worst                     float64 // least fraction of its ideal admissions that an account got
	messages, bytes           float64 // per second, whole fleet
	waited                    float64 // fraction of requests
	wait                      time.Duration
	maxExcess                 float64
}

type scenario struct {
	name         string
	oneEntry     bool
	loseOne      bool
	leaveOne     bool // the lost daemon stops as planned, and exits a second later
	surge        float64
	burstSeconds float64 // burst in seconds of the rate; zero: two
}

// runScenario offers Poisson arrivals at loadFraction of each account's rate.
func runScenario(seed uint64, shares int, sc scenario) results {
	params := DefaultParams()
	accounts := benchAccounts()
	for i := range accounts {
		if sc.burstSeconds > 0 {
			accounts[i].Burst = math.Max(1, accounts[i].Rate*sc.burstSeconds)
		}
	}
	params.MaxShares = max(1, shares)
	w := newTestNet(seed, fleetSize, params, accounts...)
	for _, nd := range w.nodes {
		nd.split = NewLocalSplit(fleetSize, w.limit)
	}
	buckets := map[crid.Account]*idealBucket{}
	lostDaemon := ownerOf(accounts[len(accounts)-1], w.members, params)
	for i, a := range accounts {
		b := &idealBucket{limit: a, level: a.Burst, at: warmUp}
		buckets[a.Name] = b
		var arrive func()
		arrive = func() {
			nd := w.nodes[w.pickEntry(sc, i)]
			counted := w.now >= warmUp && w.now < warmUp+measuredTime
			done := func(ok bool) {
				if ok && counted {
					b.admitted++
				}
			}
			if counted {
				b.offer(w.now)
			}
			if shares == 0 {
				d := nd.split.Take(a.Name, w.clock(nd))
				done(d.Outcome == Admitted)
			} else {
				w.request(nd, a.Name, done)
			}
			w.at(w.nextArrival(a, sc), arrive)
		}
		w.at(3*time.Second, arrive)
	}
	w.run(warmUp)
	w.measure = shares > 0
	w.at(5*time.Second, func() {
		if sc.leaveOne {
			w.stopPlanned(lostDaemon)
			w.at(time.Second, func() { w.failDaemon(lostDaemon) })
		}
		if sc.loseOne {
			w.failDaemon(lostDaemon)
		}
	})
	w.run(measuredTime)
	return w.collect(buckets)
}

func ownerOf(a crpolicy.Account, members []crid.Daemon, params Params) crid.Daemon {
	return shareOwners(a.Name, newMemberSet(members), params.shareCount(len(members), a))[0]
}

// stopPlanned stops a daemon as planned: it notifies its peers, and accepts requests for 300 ms
// more, as a real daemon does.
func (w *testNet) stopPlanned(name crid.Daemon) {
	for _, nd := range w.nodes {
		if nd.name == name {
			nd.leaving = true
			w.at(300*time.Millisecond, func() { nd.closed = true })
			w.step(nd, crevent.Stopping{Now: w.clock(nd)})
		}
	}
	w.at(5*time.Millisecond, w.sendPeers)
}

// failDaemon kills a daemon. The list without it becomes active two seconds later.
func (w *testNet) failDaemon(name crid.Daemon) {
	var rest []crid.Daemon
	for _, nd := range w.nodes {
		if nd.name == name {
			w.kill(nd)
			continue
		}
		rest = append(rest, nd.name)
	}
	w.at(2*time.Second, func() { w.beginHandover(rest, 0) })
}

func (w *testNet) limit(name crid.Account) crpolicy.Account {
	a, _ := w.snap.Account(name)
	return a
}

// pickEntry selects an entry daemon that accepts requests: callers move to another address at once.
func (w *testNet) pickEntry(sc scenario, account int) int {
	i := account % fleetSize
	if !sc.oneEntry {
		i = w.rng.IntN(fleetSize)
	}
	for w.nodes[i].killed || w.nodes[i].closed {
		i = (i + 1) % fleetSize
	}
	return i
}

func (w *testNet) nextArrival(a crpolicy.Account, sc scenario) time.Duration {
	rate := a.Rate * loadFraction
	inSurge := w.now > warmUp+5*time.Second && w.now < warmUp+15*time.Second
	if sc.surge > 0 && inSurge && a.Name == surgingAccount {
		rate = a.Rate * sc.surge
	}
	return time.Duration(-math.Log(1-w.rng.Float64()) / rate * float64(time.Second))
}

func (w *testNet) collect(buckets map[crid.Account]*idealBucket) results {
	r := results{worst: 1}
	for name, b := range buckets {
		r.offered += b.offered
		r.wrongfulRefusals += b.wrongfulRefusals()
		if name != surgingAccount {
			r.wrongfulElsewhere += b.wrongfulRefusals()
		}
		r.worst = min(r.worst, float64(b.admitted)/float64(b.ideal))
		r.maxExcess = max(r.maxExcess, w.oracles[name].maxExcess)
	}
	r.messages = float64(w.messages) / measuredTime.Seconds()
	r.bytes = float64(w.bytes) / measuredTime.Seconds()
	r.waited = float64(w.waited) / float64(r.offered)
	if w.waited > 0 {
		r.wait = w.waitSum / time.Duration(w.waited)
	}
	return r
}

// runSeeds adds up the runs of five seeds; worst is the mean of the runs.
func runSeeds(shares int, sc scenario) results {
	const seeds = 5
	var sum results
	for seed := range uint64(seeds) {
		r := runScenario(seed+1, shares, sc)
		sum.offered += r.offered
		sum.wrongfulRefusals += r.wrongfulRefusals
		sum.wrongfulElsewhere += r.wrongfulElsewhere
		sum.worst += r.worst / seeds
		sum.messages += r.messages / seeds
		sum.bytes += r.bytes / seeds
		sum.waited += r.waited / seeds
		sum.wait += r.wait / seeds
		sum.maxExcess = max(sum.maxExcess, r.maxExcess)
	}
	return sum
}

// BenchmarkCompare prints the table of docs/design/03-account-rate.md.
func BenchmarkCompare(b *testing.B) {
	for _, oneEntry := range []bool{false, true} {
		for _, sc := range []scenario{{name: "calm"}, {name: "lost", loseOne: true}, {name: "leave", leaveOne: true}, {name: "surge", surge: 5}} {
			sc.oneEntry = oneEntry
			for _, shares := range []int{0, 1, 4} {
				name := fmt.Sprintf("oneEntry=%v/%s/shares=%d", oneEntry, sc.name, shares)
				b.Run(name, func(b *testing.B) { benchmarkSeeds(b, shares, sc) })
			}
		}
	}
}

// BenchmarkBurst shows the cost of a burst that is small against the rate.
func BenchmarkBurst(b *testing.B) {
	for _, seconds := range []float64{0.1, 0.25, 0.5, 1, 2} {
		b.Run(fmt.Sprintf("seconds=%v", seconds), func(b *testing.B) {
			benchmarkSeeds(b, DefaultParams().MaxShares, scenario{burstSeconds: seconds})
		})
	}
}

func benchmarkSeeds(b *testing.B, shares int, sc scenario) {
	var r results
	for b.Loop() {
		r = runSeeds(shares, sc)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*float64(r.wrongfulRefusals)/float64(r.offered), "%wrongful")
	b.ReportMetric(100*float64(r.wrongfulElsewhere)/float64(r.offered), "%others")
	b.ReportMetric(100*r.worst, "%worst")
	b.ReportMetric(r.messages, "msg/s")
	b.ReportMetric(r.bytes, "B/s")
	b.ReportMetric(100*r.waited, "%waited")
	b.ReportMetric(float64(r.wait.Microseconds()), "us-wait")
	b.ReportMetric(r.maxExcess, "over")
}
