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

const sick = crid.Target("t03")

// beacon is a service of today's size: 15 targets, one daemon beside each.
func beacon(p Params) *world { return newWorld(p, 7, 15, 15, 10) }

// detect runs until all daemons hold the target ejected; zero: not in 15 s.
func detect(w *world, target crid.Target) time.Duration {
	start := w.now
	for w.now < start+15*time.Second {
		w.advance()
		if w.everywhere(target) {
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

// One target grows slow, answers wrongly, fails or stalls while its health
// endpoint goes on saying that all is well. Callers see slow or wrong answers
// for as long as it gets work.
func TestSickTargetIsEjectedEverywhere(t *testing.T) {
	for name, act := range map[string]behaviour{
		"slow":     slowBy(5),
		"wrong":    endsWith(ResultWrong, 0.3),
		"failing":  endsWith(ResultFailed, 0.5),
		"stalling": endsWith(ResultStalled, 1),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := beacon(DefaultParams())
			w.run(5 * time.Second)
			w.acts[sick] = act
			took := detect(w, sick)
			g.Expect(took).To(gomega.BeNumerically(">", 0))
			g.Expect(took).To(gomega.BeNumerically("<=", 3*time.Second))
			w.run(3 * time.Second)
			g.Expect(w.ejected).To(gomega.HaveLen(1))
		})
	}
}

// A target gets sick, is ejected, looks well, comes back and gets sick again.
// With a fixed hold-off callers would hit it every few seconds for hours.
func TestFlappingTargetIsHeldOffLongerEachTime(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 5, 6, 4)
	w.perStep = 4
	w.run(5 * time.Second)
	w.acts[sick] = flapping(7*time.Second, endsWith(ResultFailed, 0.8))
	w.run(3 * time.Minute)
	g.Expect(w.ejected[sick]).To(gomega.BeNumerically(">=", 3))
	g.Expect(w.ejected[sick]).To(gomega.BeNumerically("<=", 7), "holds double: 5, 10, 20, 40, 80 s")
	clear(w.acts)
	w.run(5 * time.Minute)
	g.Expect(w.inForce()).To(gomega.BeEmpty(), "a target that is well again comes back")
}

// The health endpoint of a good target says that it is ill, and that of a sick
// one that it is well. Believing either would take good capacity away or leave
// callers with the sick one.
func TestLyingHealthReports(t *testing.T) {
	g := gomega.NewWithT(t)
	w := beacon(DefaultParams())
	for _, n := range w.nodes {
		n.recorder.Hint("t05", true)
		n.recorder.Hint(sick, false)
	}
	w.run(10 * time.Second)
	g.Expect(w.ejected).To(gomega.BeEmpty())
	w.acts[sick] = slowBy(5)
	g.Expect(detect(w, sick)).To(gomega.BeNumerically(">", 0))
	g.Expect(w.ejected).To(gomega.HaveLen(1))
}

// A shared database slows all targets down in a burst. Ejecting the slowest
// would put more work on the others, until none is left.
func TestNothingIsEjectedWhenAllAreSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	w := beacon(DefaultParams())
	w.run(5 * time.Second)
	for _, target := range w.targets {
		w.acts[target] = slowBy(20)
	}
	w.run(30 * time.Second)
	g.Expect(w.ejected).To(gomega.BeEmpty())
}

// One account sends requests that fail wherever they run. Targets are not at
// fault; ejecting those it happened to hit would punish all other accounts.
func TestOneAccountsPoisonEjectsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	w := beacon(DefaultParams())
	w.poison = "a3"
	w.run(30 * time.Second)
	g.Expect(w.ejected).To(gomega.BeEmpty())
}

// An account's poison reaches one target only, as when its requests are bound
// to it. All other accounts are served well there and would lose it.
func TestPoisonOnOneTargetDoesNotEjectIt(t *testing.T) {
	t.Parallel()
	poisoned := func(now time.Duration, account crid.Account, rng *rand.Rand) (Result, time.Duration) {
		if account == "a3" {
			return ResultFailed, 0
		}
		return healthy(now, account, rng)
	}
	for _, guarded := range []bool{true, false} {
		p := DefaultParams()
		if !guarded {
			p.without = guardAccounts
		}
		w := beacon(p)
		w.acts[sick] = poisoned
		w.perStep = 40
		w.run(20 * time.Second)
		gomega.NewWithT(t).Expect(len(w.ejected) == 0).To(gomega.Equal(guarded), "guard %v: %v", guarded, w.ejected)
	}
}

// A few failures of other accounts, as on a busy machine, bear out all those of one.
func TestPoisonBesideAFewOtherFailuresEjectsNothing(t *testing.T) {
	t.Parallel()
	for _, result := range []Result{ResultWrong, ResultFailed} {
		w := beacon(DefaultParams())
		w.perStep = 1
		for _, target := range w.targets {
			w.acts[target] = endsWith(ResultFailed, 0.05)
		}
		w.acts[sick] = func(now time.Duration, account crid.Account, rng *rand.Rand) (Result, time.Duration) {
			if account == "a3" {
				return result, 0
			}
			return endsWith(ResultFailed, 0.05)(now, account, rng)
		}
		w.run(2 * time.Minute)
		gomega.NewWithT(t).Expect(w.ejected).To(gomega.BeEmpty(), "%v", result)
	}
}

// A one-way cut keeps three of fifteen entries from a target's answers. They
// avoid it by themselves; the twelve others still have good use of it.
func TestOneWayCutOfAFewEntriesEjectsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	w := beacon(DefaultParams())
	for _, name := range w.names[:3] {
		w.blind[name] = sick
	}
	w.run(20 * time.Second)
	g.Expect(w.ejected).To(gomega.BeEmpty())
}

// Two targets get sick at once where the floor leaves room for one, and then
// for none. The worse one goes; the other keeps its work, and operators read
// why in event 402.
func TestFloorKeepsTheLessSick(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 6, 6, 5)
	w.run(5 * time.Second)
	w.acts["t01"] = endsWith(ResultWrong, 0.6)
	w.acts["t04"] = slowBy(5)
	g.Expect(detect(w, "t01")).To(gomega.BeNumerically(">", 0))
	w.run(3 * time.Second)
	g.Expect(w.inForce()).To(gomega.HaveLen(1))
	g.Expect(w.reports[EventFloorHolds]).To(gomega.BeNumerically(">=", 1))

	tight := newWorld(DefaultParams(), 7, 6, 6, 6)
	tight.acts["t01"] = endsWith(ResultWrong, 1)
	tight.run(10 * time.Second)
	g.Expect(tight.ejected).To(gomega.BeEmpty())
}

// While a target is ejected, others leave with a rack. Entries hear it at once
// and the arbiter may be slow; the ejected one must take work again, or the
// service would stay below its floor by the ejection.
func TestCapacityThatLeavesBringsTheEjectedBack(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 6, 6, 5)
	w.run(5 * time.Second)
	w.acts["t01"] = endsWith(ResultWrong, 1)
	g.Expect(detect(w, "t01")).To(gomega.BeNumerically(">", 0))
	entry := w.nodes["d00"]
	if entry == w.arbiter() {
		entry = w.nodes["d02"]
	}
	w.step(entry, crinstance.ListUpdated{Now: entry.clock(w.now), List: w.list(2, "t05")})
	g.Expect(entry.steer[booking].Targets).To(gomega.BeEmpty(), "by its own view, at once")
	for _, n := range w.nodes {
		w.step(n, crinstance.ListUpdated{Now: n.clock(w.now), List: w.list(2, "t05")})
	}
	w.run(time.Second)
	g.Expect(w.inForce()).To(gomega.BeEmpty())
}

// The arbiter dies. Its ejections end within ValidFor at every entry, and the
// next arbiter finds the sick target by itself.
func TestDeadArbiterIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	w := beacon(DefaultParams())
	w.run(5 * time.Second)
	w.acts[sick] = endsWith(ResultFailed, 1)
	g.Expect(detect(w, sick)).To(gomega.BeNumerically(">", 0))
	dead := w.arbiter()
	dead.paused = true
	w.run(2 * time.Second)
	g.Expect(w.inForce()).To(gomega.BeEmpty())
	var rest []crid.Daemon
	for _, name := range w.names {
		if name != dead.name {
			rest = append(rest, name)
		}
	}
	w.change(rest)
	w.run(6 * time.Second)
	g.Expect(w.inForce()).To(gomega.HaveKey(sick))

	// It wakes up with a full inbox, still taking itself for the arbiter.
	before := w.ejected[sick]
	dead.paused = false
	dead.isolated = true
	w.run(3 * time.Second)
	g.Expect(w.ejected[sick]).To(gomega.Equal(before))
	g.Expect(w.breach()).To(gomega.BeFalse())
}

// Another instance is replaced while a target is ejected. The arbiter is the
// same under the former list and the new one; did its verdicts end with the
// handover, callers would meet the sick target at every change of the list.
func TestEjectionGoesOnThroughAHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	w := beacon(DefaultParams())
	w.run(5 * time.Second)
	w.acts[sick] = endsWith(ResultFailed, 1)
	g.Expect(detect(w, sick)).To(gomega.BeNumerically(">", 0))
	arbiter := w.arbiter()
	var rest []crid.Daemon
	for _, name := range w.names {
		if name == arbiter.name || len(rest) < len(w.names)-2 {
			rest = append(rest, name)
		}
	}
	w.change(rest)
	for range 40 {
		w.run(100 * time.Millisecond)
		g.Expect(w.inForce()).To(gomega.HaveKey(sick))
	}
	g.Expect(w.arbiter().name).To(gomega.Equal(arbiter.name))
	g.Expect(w.breach()).To(gomega.BeFalse())
}

// Half of all digests and verdicts are lost. Entries then differ for a while,
// but the sick target is found and most hold it ejected.
func TestLostMessagesOnlyDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	w := beacon(DefaultParams())
	w.loss = 0.3
	w.run(5 * time.Second)
	w.acts[sick] = endsWith(ResultFailed, 1)
	g.Expect(detect(w, sick)).To(gomega.BeNumerically(">", 0))
}

// A target has just started, or has come back after an ejection. Full work at
// once would make it fail again.
func TestColdTargetsStartSlowly(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 6, 6, 3)
	n := w.nodes["d00"]
	w.step(n, crinstance.ListUpdated{Now: n.clock(w.now), List: w.list(2, "t05")})
	w.step(n, crinstance.ListUpdated{Now: n.clock(w.now), List: w.list(3)})
	g.Expect(n.steer[booking].Targets).To(gomega.Equal([]TargetState{{Target: "t05", Weight: 100}}))
	w.run(6 * time.Second)
	g.Expect(n.steer[booking].Targets[0].Weight).To(gomega.BeNumerically("~", 550, 100))
	w.run(5 * time.Second)
	g.Expect(n.steer[booking].Targets).To(gomega.BeEmpty())

	w.step(n, crmember.PeersChanged{Now: n.clock(w.now), Peers: []crmember.Peer{{Daemon: "d01", Reachable: true, Incarnation: 1}}})
	w.step(n, crmember.PeersChanged{Now: n.clock(w.now), Peers: []crmember.Peer{{Daemon: "d01", Reachable: true, Incarnation: 2}}})
	g.Expect(n.steer[booking].Targets).To(gomega.Equal([]TargetState{{Target: "t01", Weight: 100}}))
}

// A known-answer probe still fails when the hold-off of a target ends. Callers
// would be sent there for nothing.
func TestFailedProbesExtendTheHold(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(DefaultParams(), 7, 6, 6, 3)
	w.run(5 * time.Second)
	w.acts[sick] = endsWith(ResultWrong, 1)
	g.Expect(detect(w, sick)).To(gomega.BeNumerically(">", 0))
	for range 200 {
		w.nodes["d03"].recorder.Record(sick, ResultWrong, 0, ProbeAccount)
		w.advance()
	}
	g.Expect(w.reports[EventHoldExtended]).To(gomega.BeNumerically(">=", 1))
	g.Expect(w.ejected[sick]).To(gomega.Equal(1))
}

// A burst of shed answers says that a target is full, not that it is sick.
func TestShedAnswersAreNoSickness(t *testing.T) {
	w := beacon(DefaultParams())
	w.acts[sick] = endsWith(ResultShed, 0.9)
	w.run(10 * time.Second)
	gomega.NewWithT(t).Expect(w.ejected).To(gomega.BeEmpty())
}

func TestDumpNamesTheArbiterAndTheSick(t *testing.T) {
	g := gomega.NewWithT(t)
	w := beacon(DefaultParams())
	w.acts[sick] = endsWith(ResultFailed, 1)
	g.Expect(detect(w, sick)).To(gomega.BeNumerically(">", 0))
	dump := w.arbiter().state.Dump().(Dump)
	g.Expect(dump.Services[0].Arbiter).To(gomega.Equal(w.arbiter().name))
	g.Expect(dump.Services[0].Targets).To(gomega.HaveLen(1))
	g.Expect(Messages()).To(gomega.ConsistOf(Digest{}, Verdict{}))
}
