package crmember

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

func settled(without guard, list crinstance.List) *world {
	w := newWorld(without, 1)
	w.startAll(list)
	w.run(4 * time.Second)
	return w
}

// Each case lets a daemon act under a former list while others act under a
// newer one, unless one rule prevents it. A user would notice an account that
// gets more than its rate, since two sets of daemons mint for it.
func TestEachGuardPreventsAnOverlap(t *testing.T) {
	cases := map[string]struct {
		without guard
		play    func(*world)
	}{
		"late evidence":             {guardSent, lateEvidence},
		"woken process":             {guardSent, wokenProcess},
		"chained changes":           {guardChain, chainedChanges},
		"forgotten acknowledgement": {guardFresh, forgottenAck},
		"silence while waiting":     {guardSilence, silenceWhileWaiting},
		"unconfirmed early end":     {guardConfirm, unconfirmedEnd},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for _, without := range []guard{0, c.without} {
				w := settled(without, roll(1, "a", "b", "c", "d", "e"))
				g.Expect(w.holders()).To(gomega.HaveLen(5))
				c.play(w)
				if without == 0 {
					g.Expect(w.overlaps).To(gomega.BeEmpty())
					continue
				}
				g.Expect(w.overlaps).NotTo(gomega.BeEmpty(), "the check must be able to fail")
			}
		})
	}
}

// The beats of c, d and e to a lie in a queue for some seconds, while all but a
// move on to a list without it. They then arrive at a, which takes them for new.
func lateEvidence(w *world) {
	for _, d := range ds("c", "d", "e") {
		w.slow[link{d, "a"}] = 6 * time.Second
		w.cuts[link{"a", d}] = true
	}
	w.cut(ds("a"), ds("b"))
	w.run(time.Second)
	for _, d := range ds("b", "c", "d", "e") {
		w.read(d, roll(2, "b", "c", "d", "e"))
	}
	w.run(10 * time.Second)
}

// The process a is suspended, the others replace it, and a wakes up with a
// queue of beats from before the change.
func wokenProcess(w *world) {
	w.nodes["a"].paused = true
	w.run(time.Second)
	w.cut(ds("a"), ds("b", "c", "d", "e"))
	for _, d := range ds("b", "c", "d", "e") {
		w.read(d, roll(2, "b", "c", "d", "e"))
	}
	w.run(10 * time.Second)
	w.wake("a")
	w.run(time.Second)
}

// List 2 became active with the voices of a, b and c. Later c goes on to list 3
// together with d and e, which never saw list 2 and are a majority of list 1.
// Meanwhile a, b and the rest of list 2 are cut off and still answer for it.
func chainedChanges(w *world) {
	fresh := ds("x", "y", "z")
	for _, d := range fresh {
		w.start(d)
	}
	w.cut(ds("d", "e"), ds("a", "b", "c", "x", "y", "z"))
	second := roll(2, "a", "b", "x", "y", "z")
	for _, d := range ds("a", "b", "c", "x", "y", "z") {
		w.read(d, second)
	}
	w.cuts[link{"a", "c"}] = true
	w.cuts[link{"b", "c"}] = true
	w.run(time.Second)
	clear(w.cuts)
	w.cut(ds("a", "b", "x", "y", "z"), ds("c", "d", "e"))
	for _, d := range ds("c", "d", "e") {
		w.read(d, roll(3, "c", "d", "e"))
	}
	w.run(10 * time.Second)
}

// While a and e are cut off, the others make list 2 active. Then b restarts, is
// fed with list 1 and reaches a and e only: it would complete their majority.
func forgottenAck(w *world) {
	w.cut(ds("a", "e"), ds("b", "c", "d"))
	for _, d := range ds("b", "c", "d") {
		w.read(d, roll(2, "b", "c", "d"))
	}
	w.run(6 * time.Second)
	clear(w.cuts)
	w.cut(ds("a", "e", "b"), ds("c", "d"))
	w.start("b")
	w.read("b", roll(1, "a", "b", "c", "d", "e"))
	w.run(5 * time.Second)
}

// All but a move on to list 2 while a has just heard them answer for list 1.
func silenceWhileWaiting(w *world) {
	w.cut(ds("a"), ds("b", "c", "d", "e"))
	for _, d := range ds("b", "c", "d", "e") {
		w.read(d, roll(2, "b", "c", "d", "e"))
	}
	w.run(5 * time.Second)
}

// The daemon a acknowledges list 2 to e, restarts with list 1, and recovers from
// b, c and d, which move on only then. To e it seems that everybody has moved on.
func unconfirmedEnd(w *world) {
	second := roll(2, "a", "b", "c", "d", "e")
	w.cut(ds("a", "e"), ds("b", "c", "d"))
	w.read("e", second)
	w.read("a", second)
	w.run(400 * time.Millisecond)
	w.start("a")
	clear(w.cuts)
	w.cut(ds("e"), ds("a", "b", "c", "d"))
	w.packets = nil
	w.read("a", roll(1, "a", "b", "c", "d", "e"))
	w.run(400 * time.Millisecond)
	clear(w.cuts)
	w.cut(ds("a"), ds("b", "c", "d", "e"))
	for _, d := range ds("b", "c", "d") {
		w.read(d, second)
	}
	w.run(5 * time.Second)
}

// A link carries beats from b to a but not back. Only b is deaf, yet a must know
// as well, or it would go on sending requests whose answers never come.
func TestOneWayCutIsSeenOnBothSides(t *testing.T) {
	g := gomega.NewWithT(t)
	w := settled(0, roll(1, "a", "b", "c"))
	g.Expect(w.nodes["a"].peers["b"].Reachable).To(gomega.BeTrue())
	w.cuts[link{"a", "b"}] = true
	w.run(2300 * time.Millisecond)
	g.Expect(w.nodes["a"].peers["b"].Reachable).To(gomega.BeFalse())
	g.Expect(w.nodes["b"].peers["a"].Reachable).To(gomega.BeFalse())
	g.Expect(w.holders()).To(gomega.HaveLen(3))
}

// All daemons start at once, as after a power cut, and nobody remembers
// anything. Users are refused until the wait is over, and then no longer.
func TestColdStartOfAllAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(0, 1)
	w.startAll(roll(1, "a", "b", "c", "d", "e"))
	w.run(2 * time.Second)
	g.Expect(w.holders()).To(gomega.BeEmpty())
	w.run(time.Second)
	g.Expect(w.holders()).To(gomega.HaveLen(5))
}

// The platform is away for ten minutes: no list comes. Users notice nothing.
func TestPlatformAwayKeepsStanding(t *testing.T) {
	g := gomega.NewWithT(t)
	w := settled(0, roll(1, "a", "b", "c"))
	for range 600 {
		w.run(time.Second)
		g.Expect(w.holders()).To(gomega.HaveLen(3))
	}
}

// One daemon is cut off from all others. It has to refuse within the horizon,
// as it no longer learns which keys were withdrawn; the others go on.
func TestCutOffAloneLosesStanding(t *testing.T) {
	g := gomega.NewWithT(t)
	w := settled(0, roll(1, "a", "b", "c"))
	w.cut(ds("a"), ds("b", "c"))
	w.run(w.params.Horizon)
	g.Expect(w.holders()).To(gomega.Equal(ds("b", "c")))
	clear(w.cuts)
	w.run(500 * time.Millisecond)
	g.Expect(w.holders()).To(gomega.HaveLen(3))
}

// A daemon is asked to stop. The platform's list lags by minutes, so the daemon
// says so itself; until the peers know, they send it work that it refuses.
func TestLeavingIsToldAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	w := settled(0, roll(1, "a", "b", "c"))
	w.step("a", crevent.Stopping{Now: w.nodes["a"].clock(w.now)})
	w.run(10 * time.Millisecond)
	g.Expect(w.nodes["b"].peers["a"].Leaving).To(gomega.BeTrue())
	w.start("a")
	w.read("a", roll(1, "a", "b", "c"))
	w.run(time.Second)
	g.Expect(w.nodes["b"].peers["a"].Leaving).To(gomega.BeFalse())
	g.Expect(w.holds("a")).To(gomega.BeTrue())
}

// A list is replaced. While it is handed over nobody has standing and users are
// refused: for a few beats where every daemon answers, and for the silence
// where one is dead, which might as well be cut off and still act.
func TestHandoverGap(t *testing.T) {
	cases := map[string]struct {
		dead  bool
		bound time.Duration
	}{
		"all answer": {false, time.Second},
		"one dead":   {true, 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := settled(0, roll(1, "a", "b", "c", "d", "e"))
			w.nodes["e"].paused = c.dead
			w.run(5 * time.Second)
			w.start("f")
			second := roll(2, "a", "b", "c", "d", "f")
			w.read("f", second)
			w.read("a", second)
			gap := time.Duration(0)
			for len(w.holders()) < 5 {
				w.run(10 * time.Millisecond)
				gap += 10 * time.Millisecond
				g.Expect(gap).To(gomega.BeNumerically("<", c.bound))
			}
			t.Logf("gap at a list change: %v", gap)
			g.Expect(w.overlaps).To(gomega.BeEmpty())
		})
	}
}

// A daemon that is cut off reads list after list and can hand over none. Its
// memory must not grow, and once healed it must get on with the others.
func TestListsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	w := settled(0, roll(1, "a", "b", "c"))
	w.cut(ds("a"), ds("b", "c"))
	for rev := range crid.Revision(40) {
		for _, d := range w.names() {
			w.read(d, roll(rev+2, "a", "b", "c"))
		}
		w.run(3 * time.Second)
	}
	g.Expect(len(w.nodes["a"].state.revs)).To(gomega.BeNumerically("<=", 2))
	for rev := range crid.Revision(100) {
		rolls := []Roll{{Rev: rev + 100}}
		ev := crevent.Received{Now: w.nodes["a"].state.now, From: "b", Msg: Lists{Rolls: rolls}}
		w.nodes["a"].state.Step(ev)
	}
	g.Expect(w.nodes["a"].state.revs).To(gomega.HaveLen(w.params.MaxLists))
}

// A daemon that was cut off while many lists went by gets on with the others
// once healed, without having seen the lists between.
func TestHealedDaemonSkipsLists(t *testing.T) {
	g := gomega.NewWithT(t)
	w := settled(0, roll(1, "a", "b", "c"))
	w.cut(ds("a"), ds("b", "c"))
	for rev := range crid.Revision(40) {
		for _, d := range w.names() {
			w.read(d, roll(rev+2, "a", "b", "c"))
		}
		w.run(3 * time.Second)
	}
	clear(w.cuts)
	w.run(2 * time.Second)
	g.Expect(w.holders()).To(gomega.HaveLen(3))
	g.Expect(w.nodes["a"].tenure.Active).To(gomega.Equal(crid.Revision(41)))
	g.Expect(w.overlaps).To(gomega.BeEmpty())
}

// A new list replaces most daemons at once, so that most of its voters have
// nobody of their own list to recover from; they must not wait for ever.
func TestMostVotersReplacedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	w := settled(0, roll(1, "a", "b", "c", "d", "e"))
	second := roll(2, "a", "b", "x", "y", "z")
	for _, d := range ds("x", "y", "z") {
		w.start(d)
	}
	for _, d := range w.names() {
		w.read(d, second)
	}
	w.run(5 * time.Second)
	g.Expect(w.holders()).To(gomega.Equal(ds("a", "b", "x", "y", "z")))
	g.Expect(w.overlaps).To(gomega.BeEmpty())
}

// A daemon that no list names sends beats, say an instance of another fleet.
func TestUnknownSenderIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	w := settled(0, roll(1, "a", "b", "c"))
	s := w.nodes["a"].state
	beat := Beat{Seq: 1, Inc: 9, Cur: 7, Floor: 7}
	for _, msg := range []crevent.Message{beat, Fetch{}, Lists{Rolls: []Roll{{Rev: 9}}}} {
		ev := crevent.Received{Now: s.now, From: "stranger", Msg: msg}
		g.Expect(s.Step(ev)).To(gomega.BeEmpty())
	}
	g.Expect(s.cur).To(gomega.Equal(crid.Revision(1)))
}

// In a large fleet only voters and a sample get beats. If answers were answered,
// the pairs would add up until control traffic took a daemon's whole allowance.
func TestBeatsStayBoundedInLargeFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	names := manyNames(48)
	list := roll(1, names...)
	w := newWorld(0, 1)
	w.startAll(list)
	w.run(6 * time.Second)
	g.Expect(w.holders()).To(gomega.HaveLen(48))
	plain := known{voters: Voters(list, 0, w.params.MaxVoters)}
	for _, d := range names {
		if plain.hasVoter(d) {
			continue
		}
		w.nodes[d].sent = nil
		w.run(2 * time.Second)
		perRound := w.params.MaxVoters + 3*w.params.Sample
		g.Expect(len(w.nodes[d].sent)).To(gomega.BeNumerically("<", 11*perRound))
		return
	}
}

// A faulty peer asks for the lists again and again.
func TestFetchIsAnsweredOnceAnInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	w := settled(0, roll(1, "a", "b", "c"))
	s := w.nodes["a"].state
	ask := crevent.Received{Now: s.now, From: "b", Msg: Fetch{}}
	g.Expect(s.Step(ask)).To(gomega.HaveLen(1))
	g.Expect(s.Step(ask)).To(gomega.BeEmpty())
}

// A large list has a bounded set of voters, spread over the domains, of which a
// small change of the list replaces few.
func TestVotersAreBoundedAndStable(t *testing.T) {
	g := gomega.NewWithT(t)
	names := manyNames(500)
	before := Voters(roll(1, names...), 0, 31)
	after := Voters(roll(2, names[:499]...), 0, 31)
	g.Expect(before).To(gomega.HaveLen(31))
	kept := 0
	for _, d := range after {
		if (known{voters: before}).hasVoter(d) {
			kept++
		}
	}
	g.Expect(kept).To(gomega.BeNumerically(">=", 30))
}
