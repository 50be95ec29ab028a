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
	startTime     = crid.Instant(time.Hour) // virtual time at the start
	sweepInterval = 100 * time.Millisecond  // between sweeps of the gates and samples of detection
	localDelay    = 100 * time.Microsecond  // one-way delay within a domain
	failureDelay  = 3 * time.Millisecond    // after which an unhealthy target fails a request
	retryRatio    = 0.2                     // of retries to requests
	retrySlack    = 60                      // retries beyond the ratio, of the whole fleet
	budgetWindow  = 10 * time.Second        // of the retry budget
	maxAttempts   = 2                       // of one request, the first included
)

// event is a scheduled function. Events of the same instant run in the order of scheduling.
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

// world is the state of one simulation.
type world struct {
	x          *Experiment
	policy     policy
	now        crid.Instant
	nextOrder  int
	queue      events
	rng        *rand.Rand
	services   map[crid.Service][]*exit
	candidates map[crid.Service][]crplace.Candidate
	entries    []*entry
	exits      []*exit
	pool       *crbudget.Pool // of the fleet; asking its owner takes no time
	kinds      map[string]*Kind
	result     Result
}

// entry is the part of a daemon that receives requests and chooses targets.
type entry struct {
	world        *world
	domain       crid.Domain
	balancer     *crplace.Balancer
	budget       *crbudget.Budget
	reports      map[crid.Target]crplace.LoadReport
	estimators   map[crid.Target]*crjudge.Estimator
	failures     map[crid.Target]int
	ejectedUntil map[crid.Target]crid.Instant
}

// exit is the part of a daemon that sends requests to its local target, and the target itself.
type exit struct {
	world             *world
	service           crid.Service
	target            crid.Target
	domain            crid.Domain
	localEntry        *entry
	slots             int
	gate              *crgate.Gate
	estimator         *crjudge.Estimator
	reportedUnhealthy bool // as last broadcast
	lastProbe         crid.Instant
	waiting           []*attempt
	unhealthy         bool
	phaseStart        crid.Instant // last change of health
	detected          bool         // unhealthy, and detected by most entries
}

func (x *Experiment) simulate(name string, seed uint64) Result {
	w := &world{
		x: x, policy: policies[name], now: startTime, rng: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // a simulation must be reproducible
		services: make(map[crid.Service][]*exit), candidates: make(map[crid.Service][]crplace.Candidate), kinds: make(map[string]*Kind),
		result: Result{Policy: name, Seed: seed, Load: x.Load, Kinds: make(map[string]*Count)},
	}
	for i := range x.Kinds {
		w.kinds[x.Kinds[i].Name] = &x.Kinds[i]
		w.result.Kinds[x.Kinds[i].Name] = &Count{}
	}
	w.build()
	for i := range x.Kinds {
		if x.Kinds[i].Rate > 0 {
			w.scheduleArrival(&x.Kinds[i])
		}
	}
	w.sweep()
	end := startTime.Add(time.Duration(x.Length))
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

// build creates a daemon for each target and assigns the domains round robin.
func (w *world) build() {
	own, pooled := crbudget.Split(crbudget.Params{Ratio: retryRatio, Slack: retrySlack, Window: budgetWindow})
	w.pool = crbudget.NewPool(pooled)
	for _, s := range w.x.Services {
		for i := range s.Targets {
			domain := crid.Domain(fmt.Sprintf("d%d", i%w.x.Domains))
			e := &entry{
				world: w, domain: domain, balancer: crplace.NewBalancer(),
				budget:  crbudget.New(own, crbudget.Start{At: startTime.Add(-budgetWindow)}),
				reports: make(map[crid.Target]crplace.LoadReport), estimators: make(map[crid.Target]*crjudge.Estimator),
				failures: make(map[crid.Target]int), ejectedUntil: make(map[crid.Target]crid.Instant),
			}
			x := &exit{
				world: w, service: s.Name, target: crid.Target(fmt.Sprintf("%s-%d", s.Name, i)), domain: domain, localEntry: e,
				slots: s.Slots, gate: crgate.New(s.Slots), estimator: crjudge.New(startTime), phaseStart: startTime,
			}
			w.entries = append(w.entries, e)
			w.exits = append(w.exits, x)
			w.services[s.Name] = append(w.services[s.Name], x)
			w.candidates[s.Name] = append(w.candidates[s.Name], crplace.Candidate{Target: x.target, Daemon: crid.Daemon(x.target), Domain: domain, Slots: s.Slots})
		}
	}
	for _, x := range w.exits {
		if w.x.Faults.Share > 0 {
			x.startPhase(time.Duration(w.rng.Float64() * float64(w.x.Faults.Every)))
		}
		w.after(time.Duration(w.rng.Float64()*float64(w.x.Heartbeat)), x.heartbeat)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.nextOrder++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.nextOrder, do: do})
}

// exponential draws an exponentially distributed time.
func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// drawEntry draws the entry of a request. With a skew above 1, requests of other domains are
// moved to the first one.
func (w *world) drawEntry() *entry {
	for {
		e := w.entries[w.rng.IntN(len(w.entries))]
		if w.x.Skew <= 1 || e.domain == w.entries[0].domain || w.rng.Float64() < 1/w.x.Skew {
			return e
		}
	}
}

func (w *world) scheduleArrival(k *Kind) {
	gap := time.Duration(float64(time.Second) / (k.Rate * w.x.Load))
	w.after(w.exponential(gap), func() {
		e := w.drawEntry()
		e.start(k, w.now.Add(time.Duration(k.Timeout)), false, func(bool) {})
		w.scheduleArrival(k)
	})
}

// workTime draws a lognormally distributed work time.
func (w *world) workTime(k *Kind) time.Duration {
	mu := math.Log(time.Duration(k.Work).Seconds()) - k.Spread*k.Spread/2
	return time.Duration(math.Exp(mu+k.Spread*w.rng.NormFloat64()) * float64(time.Second))
}

// delay is the one-way delay between an entry and an exit.
func (w *world) delay(e *entry, x *exit) time.Duration {
	if e == x.localEntry {
		return 0
	}
	if e.domain == x.domain {
		return localDelay
	}
	return time.Duration(w.x.Delay)
}

// startPhase draws the health of the target and schedules the next draw after length.
func (x *exit) startPhase(length time.Duration) {
	w := x.world
	if unhealthy := w.rng.Float64() < w.x.Faults.Share; unhealthy != x.unhealthy {
		if x.unhealthy && !x.detected {
			w.result.Detection = append(w.result.Detection, w.now.Sub(x.phaseStart))
		}
		x.unhealthy, x.phaseStart, x.detected = unhealthy, w.now, false
	}
	w.after(length, func() { x.startPhase(time.Duration(w.x.Faults.Every)) })
}

func (x *exit) loadReport() crplace.LoadReport {
	l := x.gate.Load(x.world.now)
	return crplace.LoadReport{Load: l.Running + l.Waiting, Slots: l.Slots, UnhealthyProb: x.estimator.UnhealthyProb(x.world.now), Typical: l.MeanTime}
}

func (x *exit) heartbeat() {
	x.broadcast()
	x.world.after(time.Duration(x.world.x.Heartbeat), x.heartbeat)
}

// broadcast sends the load report of the target to all entries.
func (x *exit) broadcast() {
	report := x.loadReport()
	for _, e := range x.world.entries {
		x.world.after(x.world.delay(e, x), func() { e.receive(x, report) })
	}
}

func (e *entry) receive(x *exit, report crplace.LoadReport) {
	e.reports[x.target] = report
	e.balancer.Report(x.target, e.world.policy.view(e, x, report))
}

// sweep sweeps the gates and samples detection, and schedules the next sweep.
func (w *world) sweep() {
	for _, x := range w.exits {
		x.gate.Sweep(w.now)
		x.runAdmitted()
		x.measureDetection()
	}
	w.after(sweepInterval, w.sweep)
}

// An unhealthy target counts as detected if the share detectedShare of the entries take it for
// unhealthy. A healthy one counts as a false positive from the share falsePositiveShare on.
const (
	detectedShare      = 0.9
	falsePositiveShare = 0.5
)

func (x *exit) measureDetection() {
	w := x.world
	unhealthyCount := 0
	for _, e := range w.entries {
		if w.policy.view(e, x, e.reports[x.target]).UnhealthyProb >= crjudge.Threshold {
			unhealthyCount++
		}
	}
	share := float64(unhealthyCount) / float64(len(w.entries))
	if !x.unhealthy {
		w.result.HealthySamples++
		if share >= falsePositiveShare {
			w.result.FalsePositives++
		}
		return
	}
	if !x.detected && share >= detectedShare {
		x.detected = true
		w.result.Detection = append(w.result.Detection, w.now.Sub(x.phaseStart))
	}
}
