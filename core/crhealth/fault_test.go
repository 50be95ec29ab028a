package crhealth

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
)

const unhealthy = crid.Target("t03")

// defaultWorld returns a world with 15 targets and one daemon beside each.
func defaultWorld(p Params) *world { return newWorld(p, 7, 15, 15, 10) }

// detect runs until all daemons treat the target as ejected, and returns the time
// taken, or zero after 15 s.
func detect(w *world, target crid.Target) time.Duration {
	start := w.now
	for w.now < start+15*time.Second {
		w.advance()
		if w.ejectedEverywhere(target) {
			return w.now - start
		}
	}
	return 0
}

func flapping(period time.Duration, bad behaviour) behaviour {
	return func(now time.Duration, account crid.Account, rng *rand.Rand) (Result, time.Duration) {
		if now/period%2 == 0 {
			return bad(now, account, rng)
		}
		return healthy(now, account, rng)
	}
}

// One target responds slowly or wrongly, fails or stalls while its health endpoint
// reports no fault. Callers get such responses for as long as it receives requests.
func TestUnhealthyTargetIsEjectedEverywhere(t *testing.T) {
	for name, act := range map[string]behaviour{
		"slow":     slowBy(5),
		"wrong":    endWith(ResultWrong, 0.3),
		"failing":  endWith(ResultFailed, 0.5),
		"stalling": endWith(ResultStalled, 1),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := defaultWorld(DefaultParams())
			w.run(5 * time.Second)
			w.behaviours[unhealthy] = act
			took := detect(w, unhealthy)
			g.Expect(took).To(gomega.BeNumerically(">", 0))
			g.Expect(took).To(gomega.BeNumerically("<=", 3*time.Second))
			w.run(3 * time.Second)
			g.Expect(w.ejected).To(gomega.HaveLen(1))
		})
	}
}

// A target fails again after each ejection. With a fixed ejection time, callers would
// reach it every few seconds for hours.
func TestFlappingTargetIsEjectedLongerEachTime(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 5, 6, 4)
	w.requestsPerStep = 4
	w.run(5 * time.Second)
	w.behaviours[unhealthy] = flapping(7*time.Second, endWith(ResultFailed, 0.8))
	w.run(3 * time.Minute)
	g.Expect(w.ejected[unhealthy]).To(gomega.BeNumerically(">=", 3))
	g.Expect(w.ejected[unhealthy]).To(gomega.BeNumerically("<=", 7), "ejection times double: 5, 10, 20, 40, 80 s")
	clear(w.behaviours)
	w.run(5 * time.Minute)
	g.Expect(w.ejectedSomewhere()).To(gomega.BeEmpty(), "the ejection of a healthy target must end")
}

// The health endpoint of a healthy target reports a fault, and that of an unhealthy
// one reports none. If either were trusted, healthy capacity would be ejected or
// callers would keep reaching the unhealthy target.
func TestMisleadingHealthReportsAreNotTrusted(t *testing.T) {
	g := gomega.NewWithT(t)
	w := defaultWorld(DefaultParams())
	for _, n := range w.nodes {
		n.recorder.SetReportedUnhealthy("t05", true)
		n.recorder.SetReportedUnhealthy(unhealthy, false)
	}
	w.run(10 * time.Second)
	g.Expect(w.ejected).To(gomega.BeEmpty())
	w.behaviours[unhealthy] = slowBy(5)
	g.Expect(detect(w, unhealthy)).To(gomega.BeNumerically(">", 0))
	g.Expect(w.ejected).To(gomega.HaveLen(1))
}

// A shared database slows down all targets. Ejecting the slowest would shift its load
// to the others until none is left.
func TestNothingIsEjectedWhenAllAreSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	w := defaultWorld(DefaultParams())
	w.run(5 * time.Second)
	for _, target := range w.targets {
		w.behaviours[target] = slowBy(20)
	}
	w.run(30 * time.Second)
	g.Expect(w.ejected).To(gomega.BeEmpty())
}

// The requests of one account fail on any target. Ejecting the targets that they reach
// would affect all other accounts.
func TestFailuresOfOneAccountEjectNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	w := defaultWorld(DefaultParams())
	w.failingAccount = "a3"
	w.run(30 * time.Second)
	g.Expect(w.ejected).To(gomega.BeEmpty())
}

// The failing requests of one account reach one target only, for example because they
// are bound to it. All other accounts are served well there.
func TestFailuresOfOneAccountDoNotEjectItsTarget(t *testing.T) {
	t.Parallel()
	failsOneAccount := func(now time.Duration, account crid.Account, rng *rand.Rand) (Result, time.Duration) {
		if account == "a3" {
			return ResultFailed, 0
		}
		return healthy(now, account, rng)
	}
	for _, corroborated := range []bool{true, false} {
		p := DefaultParams()
		if !corroborated {
			p.disabledGuards = guardCorroboration
		}
		w := defaultWorld(p)
		w.behaviours[unhealthy] = failsOneAccount
		w.requestsPerStep = 40
		w.run(20 * time.Second)
		gomega.NewWithT(t).Expect(len(w.ejected) == 0).To(gomega.Equal(corroborated), "guard %v: %v", corroborated, w.ejected)
	}
}

// The target also fails a few requests of other accounts, which must not corroborate
// all failures of one account.
func TestFailuresOfOneAccountBesideFewOthersEjectNothing(t *testing.T) {
	t.Parallel()
	for _, result := range []Result{ResultWrong, ResultFailed} {
		w := defaultWorld(DefaultParams())
		w.requestsPerStep = 1
		for _, target := range w.targets {
			w.behaviours[target] = endWith(ResultFailed, 0.05)
		}
		w.behaviours[unhealthy] = func(now time.Duration, account crid.Account, rng *rand.Rand) (Result, time.Duration) {
			if account == "a3" {
				return result, 0
			}
			return endWith(ResultFailed, 0.05)(now, account, rng)
		}
		w.run(2 * time.Minute)
		gomega.NewWithT(t).Expect(w.ejected).To(gomega.BeEmpty(), "%v", result)
	}
}

// In an asymmetric partition, three of fifteen entries receive no responses from a
// target. They avoid it locally; the other twelve can still use it.
func TestAsymmetricPartitionOfFewEntriesEjectsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	w := defaultWorld(DefaultParams())
	for _, name := range w.names[:3] {
		w.noResponse[name] = unhealthy
	}
	w.run(20 * time.Second)
	g.Expect(w.ejected).To(gomega.BeEmpty())
}

// Two targets become unhealthy, and the floor allows one ejection, then none. The one
// with the higher score is ejected; event 402 reports the other.
func TestFloorKeepsTheLessUnhealthyTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 6, 6, 5)
	w.run(5 * time.Second)
	w.behaviours["t01"] = endWith(ResultWrong, 0.6)
	w.behaviours["t04"] = slowBy(5)
	g.Expect(detect(w, "t01")).To(gomega.BeNumerically(">", 0))
	w.run(3 * time.Second)
	g.Expect(w.ejectedSomewhere()).To(gomega.HaveLen(1))
	g.Expect(w.reports[EventKeptForFloor]).To(gomega.BeNumerically(">=", 1))

	tight := newWorld(DefaultParams(), 7, 6, 6, 6)
	tight.behaviours["t01"] = endWith(ResultWrong, 1)
	tight.run(10 * time.Second)
	g.Expect(tight.ejected).To(gomega.BeEmpty())
}

// Other targets leave while one is ejected, and the arbiter may receive the new list
// later than the entries. Unless the entries end the ejection, the service stays below
// its floor.
func TestLossOfCapacityEndsEjections(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 6, 6, 5)
	w.run(5 * time.Second)
	w.behaviours["t01"] = endWith(ResultWrong, 1)
	g.Expect(detect(w, "t01")).To(gomega.BeNumerically(">", 0))
	entry := w.nodes["d00"]
	if entry == w.arbiter() {
		entry = w.nodes["d02"]
	}
	w.step(entry, crinstance.ListUpdated{Now: entry.clock(w.now), List: w.list(2, "t05")})
	g.Expect(entry.routing[booking].Targets).To(gomega.BeEmpty(), "the entry itself ends the ejection at once")
	for _, n := range w.nodes {
		w.step(n, crinstance.ListUpdated{Now: n.clock(w.now), List: w.list(2, "t05")})
	}
	w.run(time.Second)
	g.Expect(w.ejectedSomewhere()).To(gomega.BeEmpty())
}

// The arbiter is suspended. Its ejections must end within ValidFor at every entry, and
// the next arbiter must detect the unhealthy target itself.
func TestSuspendedArbiterIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	w := defaultWorld(DefaultParams())
	w.run(5 * time.Second)
	w.behaviours[unhealthy] = endWith(ResultFailed, 1)
	g.Expect(detect(w, unhealthy)).To(gomega.BeNumerically(">", 0))
	former := w.arbiter()
	former.suspended = true
	w.run(2 * time.Second)
	g.Expect(w.ejectedSomewhere()).To(gomega.BeEmpty())
	var rest []crid.Daemon
	for _, name := range w.names {
		if name != former.name {
			rest = append(rest, name)
		}
	}
	w.changeMembers(rest)
	w.run(6 * time.Second)
	g.Expect(w.ejectedSomewhere()).To(gomega.HaveKey(unhealthy))

	// The former arbiter resumes with a full inbox and the old list.
	before := w.ejected[unhealthy]
	former.suspended = false
	former.isolated = true
	w.run(3 * time.Second)
	g.Expect(w.ejected[unhealthy]).To(gomega.Equal(before))
	g.Expect(w.floorBreached()).To(gomega.BeFalse())
}

// Another instance is replaced while a target is ejected; the arbiter is the same
// under both lists. If its verdicts ended with the handover, callers would reach the
// unhealthy target at every change of the list.
func TestEjectionPersistsThroughHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	w := defaultWorld(DefaultParams())
	w.run(5 * time.Second)
	w.behaviours[unhealthy] = endWith(ResultFailed, 1)
	g.Expect(detect(w, unhealthy)).To(gomega.BeNumerically(">", 0))
	arbiter := w.arbiter()
	var rest []crid.Daemon
	for _, name := range w.names {
		if name == arbiter.name || len(rest) < len(w.names)-2 {
			rest = append(rest, name)
		}
	}
	w.changeMembers(rest)
	for range 40 {
		w.run(100 * time.Millisecond)
		g.Expect(w.ejectedSomewhere()).To(gomega.HaveKey(unhealthy))
	}
	g.Expect(w.arbiter().name).To(gomega.Equal(arbiter.name))
	g.Expect(w.floorBreached()).To(gomega.BeFalse())
}

// With 30 % of the digests and verdicts lost, entries differ for a while, but the
// unhealthy target is still ejected everywhere.
func TestMessageLossOnlyDelaysEjection(t *testing.T) {
	g := gomega.NewWithT(t)
	w := defaultWorld(DefaultParams())
	w.loss = 0.3
	w.run(5 * time.Second)
	w.behaviours[unhealthy] = endWith(ResultFailed, 1)
	g.Expect(detect(w, unhealthy)).To(gomega.BeNumerically(">", 0))
}

// A target that has just started, or whose ejection has ended, would fail again under
// full load.
func TestColdTargetsGetSlowStart(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 6, 6, 3)
	n := w.nodes["d00"]
	w.step(n, crinstance.ListUpdated{Now: n.clock(w.now), List: w.list(2, "t05")})
	w.step(n, crinstance.ListUpdated{Now: n.clock(w.now), List: w.list(3)})
	g.Expect(n.routing[booking].Targets).To(gomega.Equal([]TargetState{{Target: "t05", Weight: 100}}))
	w.run(6 * time.Second)
	g.Expect(n.routing[booking].Targets[0].Weight).To(gomega.BeNumerically("~", 550, 100))
	w.run(5 * time.Second)
	g.Expect(n.routing[booking].Targets).To(gomega.BeEmpty())

	w.step(n, crmember.PeersChanged{Now: n.clock(w.now), Peers: []crmember.Peer{{Daemon: "d01", Reachable: true, Incarnation: 1}}})
	w.step(n, crmember.PeersChanged{Now: n.clock(w.now), Peers: []crmember.Peer{{Daemon: "d01", Reachable: true, Incarnation: 2}}})
	g.Expect(n.routing[booking].Targets).To(gomega.Equal([]TargetState{{Target: "t01", Weight: 100}}))
}

// A known-answer probe still fails when the ejection time ends. Callers sent to the
// target would get wrong responses.
func TestFailedProbesExtendTheEjection(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 6, 6, 3)
	w.run(5 * time.Second)
	w.behaviours[unhealthy] = endWith(ResultWrong, 1)
	g.Expect(detect(w, unhealthy)).To(gomega.BeNumerically(">", 0))
	for range 200 {
		w.nodes["d03"].recorder.Record(unhealthy, ResultWrong, 0, ProbeAccount)
		w.advance()
	}
	g.Expect(w.reports[EventEjectionExtended]).To(gomega.BeNumerically(">=", 1))
	g.Expect(w.ejected[unhealthy]).To(gomega.Equal(1))
}

// Shed requests mean that a target is full, not that it is unhealthy.
func TestShedResponsesAreNotFailures(t *testing.T) {
	w := defaultWorld(DefaultParams())
	w.behaviours[unhealthy] = endWith(ResultShed, 0.9)
	w.run(10 * time.Second)
	gomega.NewWithT(t).Expect(w.ejected).To(gomega.BeEmpty())
}

func TestDumpListsArbiterAndUnhealthyTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	w := defaultWorld(DefaultParams())
	w.behaviours[unhealthy] = endWith(ResultFailed, 1)
	g.Expect(detect(w, unhealthy)).To(gomega.BeNumerically(">", 0))
	dump := w.arbiter().state.Dump().(Dump)
	g.Expect(dump.Services[0].Arbiter).To(gomega.Equal(w.arbiter().name))
	g.Expect(dump.Services[0].Targets).To(gomega.HaveLen(1))
	g.Expect(Messages()).To(gomega.ConsistOf(Digest{}, Verdict{}))
}
