package crexperiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"camphorroad/core/crbudget"
	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crplace"
)

const (
	begin     = crid.Instant(time.Hour) // of virtual time
	beatEvery = time.Second             // between beats of an exit
	sweepTime = 100 * time.Millisecond  // between sweeps of the gates, and looks at beliefs
	localHop  = 100 * time.Microsecond  // one way within a domain
	breakTime = 3 * time.Millisecond    // after which a sick target breaks a request off
	ratio     = 0.2                     // of repeats to requests
	slack     = 60                      // repeats besides, by the whole fleet
	window    = 10 * time.Second        // of the budget
	targetsOf = 2                       // that one request may be sent to
)

// event is what happens at an instant; events of one instant keep their order.
type event struct {
	at    crid.Instant
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(v any)   { *q = append(*q, v.(event)) } //nolint:forcetypeassert // only events are pushed
func (q *events) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// world is one play.
type world struct {
	x        *Experiment
	policy   policy
	now      crid.Instant
	order    int
	queue    events
	rng      *rand.Rand
	services map[crid.Service][]*exit
	list     map[crid.Service][]crplace.Candidate
	entries  []*entry
	exits    []*exit
	kinds    map[string]*Kind
	result   Result
}

// entry is the part of a daemon where requests come in.
type entry struct {
	world   *world
	domain  crid.Domain
	board   *crplace.Balancer
	budget  *crbudget.Budget
	told    map[crid.Target]crplace.LoadReport
	judges  map[crid.Target]*crjudge.Estimator
	strikes map[crid.Target]int
	out     map[crid.Target]crid.Instant
}

// exit is the part of a daemon beside its target, and the target.
type exit struct {
	world   *world
	service crid.Service
	target  crid.Target
	domain  crid.Domain
	beside  *entry
	slots   int
	gate    *crgate.Gate
	judge   *crjudge.Estimator
	held    bool // as last told to all
	trial   crid.Instant
	waiting []*send
	sick    bool
	since   crid.Instant // of the present phase
	known   bool         // to be sick, by most entries
}

func (x *Experiment) play(name string, seed uint64) Result {
	w := &world{
		x: x, policy: policies[name], now: begin, rng: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // a play must repeat
		services: make(map[crid.Service][]*exit), list: make(map[crid.Service][]crplace.Candidate), kinds: make(map[string]*Kind),
		result: Result{Policy: name, Seed: seed, Load: x.Load, Kinds: make(map[string]*Count)},
	}
	for i := range x.Kinds {
		w.kinds[x.Kinds[i].Name] = &x.Kinds[i]
		w.result.Kinds[x.Kinds[i].Name] = &Count{}
	}
	w.build()
	for i := range x.Kinds {
		if x.Kinds[i].Rate > 0 {
			w.arrivals(&x.Kinds[i])
		}
	}
	w.look()
	end := begin.Add(time.Duration(x.Length))
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(event) //nolint:forcetypeassert // only events are pushed
		if next.at >= end {
			break
		}
		w.now = next.at
		next.do()
	}
	return w.result
}

// build makes the daemons, one beside each target, the domains by turns.
func (w *world) build() {
	for _, s := range w.x.Services {
		for i := range s.Targets {
			domain := crid.Domain(fmt.Sprintf("d%d", i%w.x.Domains))
			e := &entry{
				world: w, domain: domain, board: crplace.NewBalancer(),
				budget: crbudget.New(crbudget.Params{Ratio: ratio, Slack: slack, Window: window}),
				told:   make(map[crid.Target]crplace.LoadReport), judges: make(map[crid.Target]*crjudge.Estimator),
				strikes: make(map[crid.Target]int), out: make(map[crid.Target]crid.Instant),
			}
			x := &exit{
				world: w, service: s.Name, target: crid.Target(fmt.Sprintf("%s-%d", s.Name, i)), domain: domain, beside: e,
				slots: s.Slots, gate: crgate.New(s.Slots), judge: crjudge.New(begin), since: begin,
			}
			w.entries = append(w.entries, e)
			w.exits = append(w.exits, x)
			w.services[s.Name] = append(w.services[s.Name], x)
			w.list[s.Name] = append(w.list[s.Name], crplace.Candidate{Target: x.target, Daemon: crid.Daemon(x.target), Domain: domain, Slots: s.Slots})
		}
	}
	for _, x := range w.exits {
		if w.x.Sick.Share > 0 {
			x.phase(time.Duration(w.rng.Float64() * float64(w.x.Sick.Every)))
		}
		w.after(time.Duration(w.rng.Float64()*float64(beatEvery)), x.beat)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.order, do: do})
}

// exponential draws a time with a mean.
func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *world) arrivals(k *Kind) {
	gap := time.Duration(float64(time.Second) / (k.Rate * w.x.Load))
	w.after(w.exponential(gap), func() {
		e := w.entries[w.rng.IntN(len(w.entries))]
		e.start(k, w.now.Add(time.Duration(k.Timeout)), false, func(bool) {})
		w.arrivals(k)
	})
}

// work draws a lognormal time.
func (w *world) work(k *Kind) time.Duration {
	mu := math.Log(time.Duration(k.Work).Seconds()) - k.Spread*k.Spread/2
	return time.Duration(math.Exp(mu+k.Spread*w.rng.NormFloat64()) * float64(time.Second))
}

// hop is the time of a message from an entry to an exit.
func (w *world) hop(e *entry, x *exit) time.Duration {
	if e == x.beside {
		return 0
	}
	if e.domain == x.domain {
		return localHop
	}
	return time.Duration(w.x.Delay)
}

// phase draws whether the target is sick until its next phase begins.
func (x *exit) phase(length time.Duration) {
	w := x.world
	if sick := w.rng.Float64() < w.x.Sick.Share; sick != x.sick {
		if x.sick && !x.known {
			w.result.Detection = append(w.result.Detection, w.now.Sub(x.since))
		}
		x.sick, x.since, x.known = sick, w.now, false
	}
	w.after(length, func() { x.phase(time.Duration(w.x.Sick.Every)) })
}

func (x *exit) told() crplace.LoadReport {
	l := x.gate.Load()
	return crplace.LoadReport{Load: l.Running + l.Waiting, Slots: l.Slots, UnhealthyProb: x.judge.UnhealthyProb(x.world.now), Typical: l.MeanTime}
}

func (x *exit) beat() {
	x.tell()
	x.world.after(beatEvery, x.beat)
}

// tell sends all entries what the exit holds of its target.
func (x *exit) tell() {
	told := x.told()
	for _, e := range x.world.entries {
		x.world.after(x.world.hop(e, x), func() { e.hear(x, told) })
	}
}

func (e *entry) hear(x *exit, told crplace.LoadReport) {
	e.told[x.target] = told
	e.board.Report(x.target, e.world.policy.believe(e, x, told))
}

// look sweeps the gates, and takes the measures of what entries believe.
func (w *world) look() {
	for _, x := range w.exits {
		x.gate.Sweep(w.now)
		x.grant()
		x.measure()
	}
	w.after(sweepTime, w.look)
}

// most is the share of entries that have to hold a target sick for it to count as
// found, and mistaken that for a well one to count as set aside.
const (
	most     = 0.9
	mistaken = 0.5
)

func (x *exit) measure() {
	w := x.world
	holds := 0
	for _, e := range w.entries {
		if w.policy.believe(e, x, e.told[x.target]).UnhealthyProb >= crjudge.Threshold {
			holds++
		}
	}
	share := float64(holds) / float64(len(w.entries))
	if !x.sick {
		w.result.Well++
		if share >= mistaken {
			w.result.Mistaken++
		}
		return
	}
	if !x.known && share >= most {
		x.known = true
		w.result.Detection = append(w.result.Detection, w.now.Sub(x.since))
	}
}
