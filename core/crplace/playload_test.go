package crplace_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crjudge"
	"camphorroad/core/crpace"
	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
)

// loadKind is a kind of requests of a load. All are idempotent.
type loadKind struct {
	bytes     int
	rate      float64 // requests a second of all domains
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	nested    bool
}

// load is a load that is played without a network: entries with balancers, exits with gates,
// and offers, replies and heartbeats that travel with a delay.
type load struct {
	domains      []loadDomain
	slots        int
	kinds        []loadKind
	unhealthy    float64 // share of the time for which a target fails 0.85 of its requests
	period       time.Duration
	swing        float64 // of all rates around their means, over the period
	length       time.Duration
	warmup       time.Duration // not counted
	sizesUnknown bool          // entries know no sizes, as after a restart
	lost         time.Duration // when the targets of the first domain end; zero: never
	faultTime    time.Duration // mean time for which a target fails; zero: meanFaultTime
	seed         uint64
	each         func(choice crplace.Choice, req crplace.Request) // if set, gets each choice
}

type loadDomain struct {
	targets int
	demand  float64
	entries int
}

const (
	nearInterval      = 400 * time.Millisecond // of load reports within the domain
	farInterval       = time.Second
	nearDelay         = 200 * time.Microsecond
	farDelay          = 3900 * time.Microsecond
	failureTime       = time.Millisecond
	faultShare        = 0.85
	meanFaultTime     = 6 * time.Second
	sweepTime         = 20 * time.Millisecond
	workSpread        = 0.5 // of the logarithm of the work
	maxRuns           = 4
	loadTrialInterval = time.Second // of an exit
)

// played is what was counted of one kind.
type played struct {
	runs, requests, cross, refused, failed, late int
	waits                                        []time.Duration
	crossBySecond, bySecond                      []int
}

func (p *played) crossShare() float64 { return float64(p.cross) / float64(max(p.requests, 1)) }

func (p *played) refusedShare() float64 { return float64(p.refused) / float64(max(p.requests, 1)) }

func (p *played) wait(quantile float64) time.Duration {
	slices.Sort(p.waits)
	if len(p.waits) == 0 {
		return 0
	}
	return p.waits[int(quantile*float64(len(p.waits)-1))]
}

func (p *played) String() string {
	return fmt.Sprintf("%d requests, runs %.3f, cross %.3f, refused %.4f, failed %.4f, late %.4f, wait p50 %v p90 %v p99 %v", p.requests, float64(p.runs)/float64(max(p.requests, 1)), p.crossShare(), p.refusedShare(),
		float64(p.failed)/float64(max(p.requests, 1)), float64(p.late)/float64(max(p.requests, 1)), p.wait(0.5).Round(time.Millisecond), p.wait(0.9).Round(time.Millisecond), p.wait(0.99).Round(time.Millisecond))
}

type loadEvent struct {
	at    crid.Instant
	order int
	do    func()
}

type loadEvents []loadEvent

func (q loadEvents) Len() int { return len(q) }
func (q loadEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q loadEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *loadEvents) Push(v any)   { *q = append(*q, v.(loadEvent)) } //nolint:forcetypeassert // only events are pushed
func (q *loadEvents) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

type loadEntry struct {
	domain   crid.Domain
	balancer *crplace.Balancer
}

type loadExit struct {
	crplace.Candidate
	gate      *crgate.Gate
	estimator *crjudge.Estimator
	waiting   []*loadRequest
	running   int
	failing   bool
	ended     bool
	unhealthy bool // as last broadcast
	lastTrial crid.Instant
	busyTime  float64 // slots times seconds, after the warm-up
}

type loadRequest struct {
	kind    int
	entry   *loadEntry
	started crid.Instant
	tried   []crid.Target
	busy    int
	offers  int
	runs    int
	cross   bool // the latest target is in another domain
	ticket  *crgate.Ticket
}

// player plays a load in virtual time.
type player struct {
	load
	now        crid.Instant
	rng        *rand.Rand
	events     loadEvents
	order      int
	entries    [][]*loadEntry
	all        []*loadEntry
	exits      []*loadExit
	candidates []crplace.Candidate
	played     []*played
	busiest    []float64 // busiest healthy target over the mean, by second
}

func play(l load) *player {
	p := &player{load: l, now: start, rng: rand.New(rand.NewPCG(l.seed, 5))} //nolint:gosec // a test must be reproducible
	if p.faultTime == 0 {
		p.faultTime = meanFaultTime
	}
	for i, d := range l.domains {
		name := crid.Domain(fmt.Sprint("d", i))
		entries := make([]*loadEntry, d.entries)
		for k := range entries {
			entries[k] = &loadEntry{domain: name, balancer: crplace.NewBalancer()}
		}
		p.entries, p.all = append(p.entries, entries), append(p.all, entries...)
		for k := range d.targets {
			c := crplace.Candidate{Target: crid.Target(fmt.Sprint("t", i, "-", k)), Daemon: crid.Daemon(fmt.Sprint("m", i, "-", k)), Domain: name, Slots: l.slots}
			p.exits = append(p.exits, &loadExit{Candidate: c, gate: crgate.New(l.slots), estimator: crjudge.New(start)})
			p.candidates = append(p.candidates, c)
		}
	}
	for _, x := range p.exits {
		for _, near := range []bool{true, false} {
			p.after(time.Duration(p.rng.Float64()*float64(nearInterval)), func() { p.beat(x, near) })
		}
		if l.unhealthy > 0 {
			p.changeHealth(x, p.rng.Float64() < l.unhealthy)
		}
	}
	for k := range l.kinds {
		p.played = append(p.played, &played{bySecond: make([]int, int(l.length/time.Second)+1), crossBySecond: make([]int, int(l.length/time.Second)+1)})
		for d := range l.domains {
			p.arrive(k, d)
		}
	}
	if l.lost > 0 {
		p.after(l.lost, p.loseDomain)
	}
	p.sweep()
	for end := start.Add(l.length); len(p.events) > 0 && p.events[0].at < end; {
		e := heap.Pop(&p.events).(loadEvent) //nolint:forcetypeassert // only events are pushed
		p.now = e.at
		e.do()
	}
	return p
}

func (p *player) after(d time.Duration, do func()) {
	p.order++
	heap.Push(&p.events, loadEvent{at: p.now.Add(d), order: p.order, do: do})
}

func (p *player) counts() bool { return p.now.Sub(start) >= p.warmup }

// rate is the factor of all rates at this time.
func (p *player) rate() float64 {
	if p.period == 0 {
		return 1
	}
	return 1 + p.swing*math.Sin(2*math.Pi*p.now.Sub(start).Seconds()/p.period.Seconds())
}

// arrive schedules the requests of a kind in a domain, by thinning of the highest rate.
func (p *player) arrive(kind, domain int) {
	total := 0.0
	for _, d := range p.domains {
		total += d.demand
	}
	highest := p.kinds[kind].rate * p.domains[domain].demand / total * (1 + p.swing)
	p.after(time.Duration(p.rng.ExpFloat64()/highest*float64(time.Second)), func() {
		if p.rng.Float64()*(1+p.swing) < p.rate() {
			entries := p.entries[domain]
			p.next(&loadRequest{kind: kind, entry: entries[p.rng.IntN(len(entries))], started: p.now})
		}
		p.arrive(kind, domain)
	})
}

func (p *player) changeHealth(x *loadExit, failing bool) {
	x.failing = failing
	mean := p.faultTime
	if !failing {
		mean = time.Duration(float64(p.faultTime) * (1 - p.unhealthy) / p.unhealthy)
	}
	p.after(time.Duration((0.5+p.rng.Float64())*float64(mean)), func() { p.changeHealth(x, !failing) })
}

// loseDomain ends the targets of the first domain. Its entries go on. The others notice by the
// offers that get no reply.
func (p *player) loseDomain() {
	for _, x := range p.exits {
		if x.Domain == "d0" {
			x.ended = true
			x.gate.Close()
			p.runDecided(x)
		}
	}
}

func (p *player) delay(e *loadEntry, x *loadExit) time.Duration {
	if e.domain == x.Domain {
		return nearDelay
	}
	return farDelay
}

func (p *player) report(x *loadExit) crplace.LoadReport {
	l := x.gate.Load(p.now)
	return crplace.LoadReport{Load: l.Running + l.Waiting, Slots: l.Slots, UnhealthyProb: x.estimator.UnhealthyProb(p.now), Typical: l.MeanTime}
}

// beat sends the load report of an exit to the entries of its domain, or to all others.
func (p *player) beat(x *loadExit, near bool) {
	if x.ended {
		return
	}
	interval := farInterval
	if near {
		interval = nearInterval
	}
	p.broadcast(x, func(e *loadEntry) bool { return (e.domain == x.Domain) == near })
	p.after(interval, func() { p.beat(x, near) })
}

func (p *player) broadcast(x *loadExit, to func(*loadEntry) bool) {
	report := p.report(x)
	for _, e := range p.all {
		if to(e) {
			p.after(p.delay(e, x), func() { e.balancer.Report(x.Target, report) })
		}
	}
}

func (p *player) sweep() {
	loads, healthy, most := 0.0, 0.0, 0.0
	for _, x := range p.exits {
		x.gate.Sweep(p.now)
		p.runDecided(x)
		if p.counts() && !x.failing && !x.ended {
			n := float64(x.running)
			loads, healthy, most = loads+n, healthy+1, max(most, n)
			x.busyTime += n * sweepTime.Seconds()
		}
	}
	if loads > 0 {
		p.busiest = append(p.busiest, most/(loads/healthy))
	}
	p.after(sweepTime, p.sweep)
}

func (p *player) next(r *loadRequest) {
	k := p.kinds[r.kind]
	left := k.deadline - p.now.Sub(r.started)
	if left < 60*time.Millisecond || r.offers-r.busy >= 8 || r.runs >= maxRuns {
		p.finish(r, false)
		return
	}
	req := crplace.Request{
		Service: "s1", Class: crpolicy.ClassRepeat, Domain: r.entry.domain, Tried: r.tried, Rand: p.rng.Float64, NoRetry: r.runs+1 >= maxRuns,
		Nested: k.nested, Busy: r.busy, FleetSize: len(p.all),
	}
	if !p.sizesUnknown {
		req.Bytes, req.Slack = k.bytes, k.objective-p.now.Sub(r.started)-k.work
		req.HasLarge = slices.ContainsFunc(p.kinds, func(k loadKind) bool { return k.bytes >= 32<<10 })
	}
	c, ok := r.entry.balancer.Choose(p.now, p.candidates, req)
	if !ok {
		p.finish(r, false)
		return
	}
	if p.each != nil {
		p.each(c, req)
	}
	x := p.exits[slices.IndexFunc(p.exits, func(x *loadExit) bool { return x.Target == c.Target })]
	r.offers++
	r.entry.balancer.Begin(x.Target)
	p.after(p.delay(r.entry, x), func() { p.offer(r, x, c) })
}

// reply sends a reply with a load report to the entry.
func (p *player) reply(r *loadRequest, x *loadExit, then func()) {
	report := p.report(x)
	p.after(p.delay(r.entry, x), func() {
		r.entry.balancer.Report(x.Target, report)
		then()
	})
}

func (p *player) offer(r *loadRequest, x *loadExit, c crplace.Choice) {
	again := func() { p.next(r) }
	if x.ended {
		p.after(100*time.Millisecond, func() {
			r.entry.balancer.NoResponse(p.now, x.Target)
			r.entry.balancer.End(x.Target)
			r.tried = append(r.tried, x.Target)
			p.next(r)
		})
		return
	}
	if x.estimator.UnhealthyProb(p.now) >= crjudge.Threshold && !c.LastResort {
		if p.now.Sub(x.lastTrial) < loadTrialInterval {
			r.tried = append(r.tried, x.Target)
			p.reply(r, x, again)
			return
		}
		x.lastTrial = p.now
	}
	k := p.kinds[r.kind]
	kind := crpace.Kind{Class: crpolicy.ClassRepeat, Objective: k.objective}
	passed := p.now.Sub(r.started)
	ticket, refusal := x.gate.Admit(p.now, crgate.Request{
		Kind: kind, Nested: k.nested, FreeSlot: c.FreeSlotOnly(), LastResort: c.LastResort,
		LatestStart: x.gate.LatestStart(p.now, crgate.Timing{Kind: kind, Nested: k.nested, Objective: k.objective - passed, TimeLeft: k.deadline - passed}),
	})
	switch {
	case refusal == nil:
		r.tried = append(r.tried, x.Target)
		r.ticket, r.cross = ticket, x.Domain != r.entry.domain
		x.waiting = append(x.waiting, r)
		report := p.report(x)
		p.after(p.delay(r.entry, x), func() { r.entry.balancer.Report(x.Target, report) })
		p.runDecided(x)
	case refusal.Reason() == crgate.ReasonBusy:
		r.busy++
		p.reply(r, x, again)
	default:
		r.tried = append(r.tried, x.Target)
		p.reply(r, x, again)
	}
}

// runDecided runs the requests that have got a slot, and returns the refused ones.
func (p *player) runDecided(x *loadExit) {
	waiting := x.waiting
	x.waiting = nil
	for _, r := range waiting {
		select {
		case <-r.ticket.Decided():
			if r.ticket.Refusal() != nil {
				p.reply(r, x, func() { p.next(r) })
				continue
			}
			p.run(r, x)
		default:
			x.waiting = append(x.waiting, r)
		}
	}
}

func (p *player) run(r *loadRequest, x *loadExit) {
	x.running++
	r.runs++
	if p.counts() {
		p.played[r.kind].runs++
	}
	began, ticket := p.now, r.ticket
	k := p.kinds[r.kind]
	ok := !x.failing || p.rng.Float64() >= faultShare
	took := failureTime
	if ok {
		took = time.Duration(float64(k.work) * math.Exp(workSpread*p.rng.NormFloat64()-workSpread*workSpread/2))
	}
	x.gate.Send(p.now, 0, ticket)
	p.after(took, func() {
		x.running--
		ok = ok && !x.ended
		if ok {
			x.estimator.Observe(p.now, crjudge.Success)
			x.gate.Release(p.now, ticket, took)
		} else {
			x.estimator.Observe(p.now, crjudge.Failure)
			if x.estimator.UnhealthyProb(p.now) >= crjudge.Threshold {
				x.gate.RefuseWaiting()
			}
			x.gate.Release(p.now, ticket, 0)
		}
		if unhealthy := x.estimator.UnhealthyProb(p.now) >= crjudge.Threshold; unhealthy != x.unhealthy {
			x.unhealthy = unhealthy
			p.broadcast(x, func(*loadEntry) bool { return true })
		}
		p.reply(r, x, func() {
			if ok {
				p.answered(r, began)
				return
			}
			p.next(r)
		})
		p.runDecided(x)
	})
}

// answered counts an answered request: its wait is the time until its last run began.
func (p *player) answered(r *loadRequest, began crid.Instant) {
	c := p.played[r.kind]
	if p.counts() {
		c.waits = append(c.waits, began.Sub(r.started))
		if p.now.Sub(r.started) > p.kinds[r.kind].objective {
			c.late++
		}
	}
	p.finish(r, true)
}

func (p *player) finish(r *loadRequest, ok bool) {
	if !p.counts() {
		return
	}
	c := p.played[r.kind]
	c.requests++
	second := int(r.started.Sub(start) / time.Second)
	c.bySecond[second]++
	switch {
	case ok && r.cross:
		c.cross++
		c.crossBySecond[second]++
	case !ok && r.runs > 0:
		c.failed++
	case !ok:
		c.refused++
	}
}

// busiestOverTime is the busiest target over the mean of all, by the slots taken over the play.
func (p *player) busiestOverTime() float64 {
	most, sum := 0.0, 0.0
	for _, x := range p.exits {
		most, sum = max(most, x.busyTime), sum+x.busyTime
	}
	return most / (sum / float64(len(p.exits)))
}

// busiestOverMean is the mean, over time, of the busiest healthy target over the mean of those.
func (p *player) busiestOverMean() float64 {
	sum := 0.0
	for _, v := range p.busiest {
		sum += v
	}
	return sum / float64(max(len(p.busiest), 1))
}
