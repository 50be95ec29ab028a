package crhealth

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
)

var seeds = flag.Uint64("seeds", 1, "number of seeds of TestMeasure; with more than one, baselines run as well")

// measureLength is the duration of the fault in one run.
const measureLength = 15 * time.Second

type measureCase struct {
	name           string
	unhealthy      []crid.Target
	behaviour      behaviour
	failingAccount crid.Account
	allTargets     bool
	localAvoidance bool // entries choose by load and avoid locally, as in production
}

var measureCases = []measureCase{
	{name: "calm"},
	{name: "slow x5", unhealthy: []crid.Target{unhealthy}, behaviour: slowBy(5)},
	{name: "slow x3", unhealthy: []crid.Target{unhealthy}, behaviour: slowBy(3)},
	{name: "wrong 5%", unhealthy: []crid.Target{unhealthy}, behaviour: endWith(ResultWrong, 0.05)},
	{name: "failing 30%", unhealthy: []crid.Target{unhealthy}, behaviour: endWith(ResultFailed, 0.3)},
	{name: "flapping 3 s", unhealthy: []crid.Target{unhealthy}, behaviour: flapping(3*time.Second, endWith(ResultFailed, 0.8))},
	{name: "two slow", unhealthy: []crid.Target{unhealthy, "t01"}, behaviour: slowBy(5)},
	{name: "all slow x20", allTargets: true, behaviour: slowBy(20)},
	{name: "poison", failingAccount: "a3"},
	{name: "stalling", unhealthy: []crid.Target{unhealthy}, behaviour: endWith(ResultStalled, 1), localAvoidance: true},
	{name: "all stall", allTargets: true, behaviour: flapping(3*time.Second, endWith(ResultStalled, 1)), localAvoidance: true},
}

// shape is a service with one daemon beside each target; all daemons are entries.
type shape struct {
	name            string
	targets         int
	floor           int
	requestsPerStep int
}

var shapes = []shape{{"booking", 15, 10, 4}, {"booking, thin", 15, 10, 1}, {"ledger", 5, 3, 1}}

func policies() map[string]Params {
	params := DefaultParams()
	return map[string]Params{"chosen": params, "fixed": FixedLocal(params), "none": NoEjection(params)}
}

type measured struct {
	detectionTimes []time.Duration // of the runs in which all daemons ejected all unhealthy targets
	runs           int
	falseEjections int // ejections of targets that were not unhealthy
}

func (m *measured) String() string {
	if len(m.detectionTimes) == 0 {
		return fmt.Sprintf("0/%d\t-\t-\t%d", m.runs, m.falseEjections)
	}
	slices.Sort(m.detectionTimes)
	n := len(m.detectionTimes)
	return fmt.Sprintf("%d/%d\t%v\t%v\t%d", n, m.runs, m.detectionTimes[n/2], m.detectionTimes[n-1], m.falseEjections)
}

func (m *measured) run(p Params, s shape, c measureCase, seed uint64) {
	w := newWorld(p, seed, s.targets, s.targets, s.floor)
	w.requestsPerStep = s.requestsPerStep
	if c.localAvoidance {
		w.enableLocalAvoidance(time.Second)
	}
	w.run(6 * time.Second)
	w.failingAccount = c.failingAccount
	if c.allTargets {
		for _, target := range w.targets {
			w.behaviours[target] = c.behaviour
		}
	}
	for _, target := range c.unhealthy {
		w.behaviours[target] = c.behaviour
	}
	start := w.now
	var detectedAfter time.Duration
	for w.now < start+measureLength {
		w.advance()
		if detectedAfter == 0 && len(c.unhealthy) > 0 && !slices.ContainsFunc(c.unhealthy, func(t crid.Target) bool { return !w.ejectedEverywhere(t) }) {
			detectedAfter = w.now - start
			m.detectionTimes = append(m.detectionTimes, detectedAfter)
		}
	}
	m.runs++
	for target, n := range w.ejected {
		if !slices.Contains(c.unhealthy, target) {
			m.falseEjections += n
		}
	}
}

// TestMeasure prints the detection time (until no entry sends requests to an unhealthy
// target) and the false ejections, of the default parameters and of the baselines.
func TestMeasure(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	fmt.Println("service\tcase\tpolicy\tfound\tmedian\tmost\tfalse ejections")
	for _, s := range shapes {
		for _, c := range measureCases {
			for _, name := range []string{"chosen", "fixed", "none"} {
				if name != "chosen" && *seeds == 1 {
					continue
				}
				var m measured
				for seed := range *seeds {
					m.run(policies()[name], s, c, seed)
				}
				fmt.Printf("%s\t%s\t%s\t%s\n", s.name, c.name, name, m.String())
				if name == "chosen" {
					g.Expect(m.falseEjections).To(gomega.BeZero(), c.name)
				}
			}
		}
	}
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record("booking-7", ResultOK, 21*time.Millisecond, "survey-firm")
		}
	})
}

func BenchmarkBegin(b *testing.B) {
	r := NewRecorder()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Begin("booking-7", "survey-firm", 1).End()
		}
	})
}

// BenchmarkArbiterTick measures one judgement of 26 targets by an arbiter with 26
// entries.
func BenchmarkArbiterTick(b *testing.B) {
	w := newWorld(DefaultParams(), 1, 26, 26, 10)
	w.run(12 * time.Second)
	n := w.arbiter()
	now := n.clock(w.now)
	b.ReportAllocs()
	for b.Loop() {
		n.state.now = now.Add(DefaultParams().JudgeEvery)
		for _, r := range n.state.detectors[booking].records {
			r.updated = true
		}
		n.state.judge(booking, n.state.detectors[booking])
	}
}
