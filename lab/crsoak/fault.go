package crsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"camphorroad/lab/crstage"
	"camphorroad/lab/crstore"
	"camphorroad/lab/crtarget"
)

// injection records when a fault was injected, and at which machines.
type injection struct {
	name     string
	kind     string
	machines []int // empty means all
	from, to time.Time
}

// overlaps reports whether the fault affected a machine between from and to. A
// negative machine stands for any.
func (i injection) overlaps(machine int, from, to time.Time) bool {
	if i.to.Before(from) || i.from.After(to) {
		return false
	}
	return machine < 0 || len(i.machines) == 0 || slices.Contains(i.machines, machine)
}

// fault is a scheduled fault.
type fault struct {
	start, duration time.Duration
	kind            string
	machines        []int
	seed            uint64 // of the random choices within the fault
}

// faultKinds returns the names of all faults, each with the maximum number of machines
// that it affects at a time. Zero means all machines. The faults "kill" and "herd" both
// kill processes, "hup" sends SIGHUP, and "roll" restarts a third of the daemons in turn.
func faultKinds() map[string]int {
	return map[string]int{
		"term": 2, "kill": 2, "pause": 2, "hup": 3, "roll": 0, "herd": 3,
		"peer": 2, "store link": 2, "target link": 2, "datagrams": 2, "loss": 0,
		"store": 0, "compact": 0, "target": 3, "crash": 1, "leave": 1,
		"config": 0, "withdraw": 0, "burst": 0,
	}
}

// schedule draws the faults of a run from the given kinds. Faults may overlap.
func schedule(r *rand.Rand, all map[string]int, n int, length time.Duration) []fault {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []fault
	for at := time.Second; at < length; at += time.Duration((0.3 + r.Float64()) * float64(1200*time.Millisecond)) {
		f := fault{start: at, kind: names[r.IntN(len(names))], seed: r.Uint64()}
		f.duration = 300*time.Millisecond + time.Duration(r.Float64()*float64(2500*time.Millisecond))
		if limit := all[f.kind]; limit > 0 {
			f.machines = r.Perm(n)[:1+r.IntN(limit)]
		}
		out = append(out, f)
	}
	return out
}

// injector injects faults into a fleet and records them.
type injector struct {
	fleet       *fleet
	keys        *keyring
	mu          sync.Mutex
	injections  []injection
	drainStarts []drainStart
	limits      []namedLimit
	limited     map[string]bool // IDs of the targets that name a limit now
	stops       []daemonStop
	unannounced []unannounced
	errs        []error
	version     int
	burst       bool // callers send at a higher rate
	running     sync.WaitGroup
}

// drainStart records when a target was registered as leaving.
type drainStart struct {
	targetID string
	at       time.Time
}

// namedLimit records that a target named a limit in its responses.
type namedLimit struct {
	targetID string
	rate     float64 // requests a second
	from, to time.Time
}

// daemonStop records a stop of a daemon by SIGTERM.
type daemonStop struct {
	machine  int
	at       time.Time
	took     time.Duration
	inTime   bool
	finished time.Time
}

// run starts each fault at its time and waits until all have ended. After ctx is done,
// the remaining faults start at once and end early.
func (in *injector) run(ctx context.Context, faults []fault) {
	began := time.Now()
	for _, f := range faults {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(f.start))):
		}
		in.running.Add(1)
		go func() {
			defer in.running.Done()
			in.recordError(in.inject(ctx, f))
		}()
	}
	in.running.Wait()
}

func (in *injector) recordError(err error) {
	if err == nil {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.errs = append(in.errs, err)
}

// inject injects a fault, waits for its end, and records both times.
func (in *injector) inject(ctx context.Context, f fault) error {
	inj := injection{name: fmt.Sprintf("%s %v", f.kind, f.machines), kind: f.kind, machines: f.machines, from: time.Now()}
	r := rand.New(rand.NewPCG(f.seed, 0))
	in.mu.Lock()
	i := len(in.injections)
	inj.to = inj.from.Add(time.Hour)
	in.injections = append(in.injections, inj)
	in.mu.Unlock()
	err := in.apply(ctx, f, r)
	in.mu.Lock()
	in.injections[i].to = time.Now()
	in.mu.Unlock()
	return err
}

func (in *injector) apply(ctx context.Context, f fault, r *rand.Rand) error {
	switch f.kind {
	case "term", "kill", "pause", "hup", "herd":
		return in.forEach(f.machines, func(m *machine) error { return in.signalProcess(ctx, m, f) })
	case "roll":
		return in.rollingRestart(ctx, r)
	case "peer", "store link", "target link":
		return in.degradeLinks(ctx, f, r)
	case "datagrams":
		return in.blockDatagrams(ctx, f, r)
	case "loss":
		in.fleet.datagrams.setLoss(0.05 + r.Float64()/4)
		sleep(ctx, f.duration)
		in.fleet.datagrams.setLoss(0)
	case "store":
		modes := []crstore.Mode{crstore.Unavailable, crstore.TooManyRequests, crstore.Reset, crstore.Hang, crstore.Slow, crstore.ResetOnce}
		in.fleet.store.SetFault(crstore.Fault{Mode: modes[r.IntN(len(modes))], Delay: 250 * time.Millisecond})
		sleep(ctx, f.duration)
		in.fleet.store.SetFault(crstore.Fault{})
	case "compact":
		in.fleet.store.PauseWatches()
		sleep(ctx, min(f.duration, time.Second))
		in.fleet.store.Compact()
	case "target":
		behaviour := grayFailure(r.IntN(8))
		return in.forEach(f.machines, func(m *machine) error {
			target, id := m.currentTarget()
			target.SetBehaviour(behaviour)
			sleep(ctx, f.duration)
			target.SetBehaviour(healthyBehaviour())
			in.nameLimit(ctx, f, target, id)
			return nil
		})
	case "crash", "leave":
		return in.forEach(f.machines, func(m *machine) error { return in.replaceTarget(ctx, m, f) })
	case "config", "withdraw":
		return in.publishConfig(f)
	case "restart", "close idle", "cool":
		return in.forEach(f.machines, func(m *machine) error { return in.disturbTarget(ctx, m, f) })
	case "burst":
		in.setBurst(true)
		sleep(ctx, f.duration)
		in.setBurst(false)
	}
	return nil
}

// grayFailure returns the i-th of eight partial failures of a target.
func grayFailure(i int) crtarget.Behaviour {
	b := healthyBehaviour()
	switch i {
	case 0:
		b.Error = 0.7
	case 1:
		b.Hang = 0.5
	case 2:
		b.Reset = 0.5
	case 3:
		b.Shed = 0.7
	case 4:
		b.Duplicate = 0.5
	case 5:
		b.Truncate = 0.5
	case 6:
		b.CloseDelimited = 0.5
	default:
		b.ServiceTime = 400 * time.Millisecond
	}
	return b
}

// forEach applies a fault to several machines concurrently.
func (in *injector) forEach(machines []int, apply func(*machine) error) error {
	var wg sync.WaitGroup
	for _, i := range machines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			in.recordError(apply(in.fleet.machines[i]))
		}()
	}
	wg.Wait()
	return nil
}

func (in *injector) signalProcess(ctx context.Context, m *machine, f fault) error {
	switch f.kind {
	case "hup":
		return m.proc.signal(syscall.SIGHUP)
	case "pause":
		if err := m.proc.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		sleep(ctx, f.duration)
		return m.proc.signal(syscall.SIGCONT)
	case "term":
		if err := in.stop(m); err != nil {
			return err
		}
	default:
		if err := m.proc.kill(); err != nil {
			return err
		}
		sleep(ctx, f.duration/2)
	}
	return m.proc.start()
}

// stop stops a daemon and records the result.
func (in *injector) stop(m *machine) error {
	stop := daemonStop{machine: m.index, at: time.Now()}
	inTime, err := m.proc.stop()
	stop.took, stop.inTime, stop.finished = time.Since(stop.at), inTime, time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stops = append(in.stops, stop)
	return err
}

// rollingRestart restarts the daemons of a third of the machines, one after the other.
func (in *injector) rollingRestart(ctx context.Context, r *rand.Rand) error {
	n := len(in.fleet.machines)
	for _, i := range r.Perm(n)[:(n+2)/3] {
		if ctx.Err() != nil {
			return nil
		}
		m := in.fleet.machines[i]
		if err := in.stop(m); err != nil {
			return err
		}
		if err := m.proc.start(); err != nil {
			return err
		}
		sleep(ctx, 500*time.Millisecond)
	}
	return nil
}

func (in *injector) degradeLinks(ctx context.Context, f fault, r *rand.Rand) error {
	name := map[string]string{"peer": "peer", "store link": "store", "target link": "target"}[f.kind]
	mode := LinkMode(1 + r.IntN(linkModes-1))
	in.setLinkMode(f.machines, name, mode)
	sleep(ctx, f.duration)
	in.setLinkMode(f.machines, name, Pass)
	return nil
}

func (in *injector) setLinkMode(machines []int, name string, mode LinkMode) {
	for _, i := range machines {
		in.fleet.machines[i].links[name].setMode(mode)
	}
}

// blockDatagrams drops datagrams to the given machines, from them, both or neither.
func (in *injector) blockDatagrams(ctx context.Context, f fault, r *rand.Rand) error {
	to, from := r.IntN(3) != 0, r.IntN(3) != 0
	in.setDatagramsBlocked(f.machines, to, from, true)
	sleep(ctx, f.duration)
	in.setDatagramsBlocked(f.machines, to, from, false)
	return nil
}

func (in *injector) setDatagramsBlocked(machines []int, to, from, blocked bool) {
	for _, i := range machines {
		for j := range in.fleet.machines {
			if to {
				in.fleet.datagrams.setBlocked(direction{from: j, to: i}, blocked)
			}
			if from {
				in.fleet.datagrams.setBlocked(direction{from: i, to: j}, blocked)
			}
		}
	}
}

// drainServeTime is how long a leaving target keeps serving. It exceeds DrainTime, so
// that requests after the drain are noticed.
const drainServeTime = crstage.DrainTime + 700*time.Millisecond

// replaceTarget closes a target and later starts another one at its address. For a
// "leave" fault the target is first registered as leaving and keeps serving for
// drainServeTime.
func (in *injector) replaceTarget(ctx context.Context, m *machine, f fault) error {
	m.replaceMu.Lock()
	defer m.replaceMu.Unlock()
	target, id := m.currentTarget()
	if f.kind == "leave" {
		in.fleet.register(m, true)
		target.SetLeaving()
		in.mu.Lock()
		in.drainStarts = append(in.drainStarts, drainStart{targetID: id, at: time.Now()})
		in.mu.Unlock()
		sleep(ctx, drainServeTime)
	}
	in.fleet.stopTarget(m)
	sleep(ctx, f.duration/2)
	crstage.Deregister(in.fleet.store, id)
	return in.fleet.startTarget(m)
}

// limitTime is how long a target names a limit. It covers the time after which the limit
// binds, and one window in which requests are counted.
const limitTime = limitDelay + limitWindow + time.Second

// nameLimit makes a third of the targets name a limit for a while after a partial failure.
func (in *injector) nameLimit(ctx context.Context, f fault, target *crtarget.Target, id string) {
	r := rand.New(rand.NewPCG(f.seed, 1)) // draws of its own: those of the other faults stay the same
	if r.IntN(3) != 0 {
		return
	}
	limit := namedLimit{targetID: id, rate: 1 + 4*r.Float64(), from: time.Now()}
	if !in.beginLimit(id) {
		return
	}
	target.SetLimit(limit.rate)
	sleep(ctx, limitTime)
	limit.to = time.Now()
	target.SetLimit(0)
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.limited, id)
	in.limits = append(in.limits, limit)
}

// beginLimit reports whether a target names no limit yet, and records that it does now.
func (in *injector) beginLimit(id string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.limited[id] {
		return false
	}
	in.limited[id] = true
	return true
}

// publishConfig publishes a new version of the configuration. For a "withdraw" fault
// it also rotates a key of one account.
func (in *injector) publishConfig(f fault) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.version++
	accounts := in.keys.current()
	if f.kind == "withdraw" {
		accounts = in.keys.rotate(int(f.seed%uint64(len(accounts))), fmt.Sprintf("k-%d", in.version))
	}
	return crstage.Publish(in.fleet.store, in.version, accounts, in.fleet.cold)
}

func (in *injector) setBurst(on bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.burst = on
}

func (in *injector) inBurst() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.burst
}

// sleep waits for d or until ctx is done, so that faults are reverted early when the
// run ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
