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

// span is a fault as it was played: the checks ask what was harmed when.
type span struct {
	name     string
	kind     string
	machines []int // empty: all
	from, to time.Time
}

// touches reports whether the fault concerns a machine in a time; negative: any.
func (s span) touches(machine int, from, to time.Time) bool {
	if s.to.Before(from) || s.from.After(to) {
		return false
	}
	return machine < 0 || len(s.machines) == 0 || slices.Contains(s.machines, machine)
}

// step is a fault of the schedule.
type step struct {
	at, lasts time.Duration
	kind      string
	machines  []int
	pick      uint64 // what is left to chance within the fault
}

// kindsOfFault lists every fault, each with the most machines that it concerns at
// a time; zero: all of them.
func kindsOfFault() map[string]int {
	return map[string]int{
		"term": 2, "kill": 2, "pause": 2, "hup": 3, "roll": 0, "herd": 3,
		"peer": 2, "store link": 2, "target link": 2, "datagrams": 2, "loss": 0,
		"store": 0, "compact": 0, "target": 3, "crash": 1, "leave": 1,
		"config": 0, "withdraw": 0, "burst": 0,
	}
}

// schedule draws the faults of a run: in series, and now and then one upon the
// other.
func schedule(r *rand.Rand, n int, length time.Duration) []step {
	all := kindsOfFault()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []step
	for at := time.Second; at < length; at += time.Duration((0.3 + r.Float64()) * float64(1200*time.Millisecond)) {
		s := step{at: at, kind: names[r.IntN(len(names))], pick: r.Uint64()}
		s.lasts = 300*time.Millisecond + time.Duration(r.Float64()*float64(2500*time.Millisecond))
		if most := all[s.kind]; most > 0 {
			s.machines = r.Perm(n)[:1+r.IntN(most)]
		}
		out = append(out, s)
	}
	return out
}

// player plays faults on a fleet and keeps what it played.
type player struct {
	fleet   *fleet
	keys    *keyring
	mu      sync.Mutex
	spans   []span
	leaves  []leaving
	stops   []stopped
	errs    []error
	version int
	fast    bool // callers send more
	running sync.WaitGroup
}

// leaving is a target that said that it leaves.
type leaving struct {
	id string
	at time.Time
}

// stopped is a planned stop of a daemon.
type stopped struct {
	machine  int
	at       time.Time
	took     time.Duration
	inTime   bool
	finished time.Time
}

// play starts each fault at its time and waits until the last has ended.
func (p *player) play(ctx context.Context, steps []step) {
	began := time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(s.at))):
		}
		p.running.Add(1)
		go func() {
			defer p.running.Done()
			p.note(p.one(ctx, s))
		}()
	}
	p.running.Wait()
}

func (p *player) note(err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errs = append(p.errs, err)
}

// one plays a fault from its start to its end.
func (p *player) one(ctx context.Context, s step) error {
	played := span{name: fmt.Sprintf("%s %v", s.kind, s.machines), kind: s.kind, machines: s.machines, from: time.Now()}
	r := rand.New(rand.NewPCG(s.pick, 0))
	p.mu.Lock()
	i := len(p.spans)
	played.to = played.from.Add(time.Hour)
	p.spans = append(p.spans, played)
	p.mu.Unlock()
	err := p.harm(ctx, s, r)
	p.mu.Lock()
	p.spans[i].to = time.Now()
	p.mu.Unlock()
	return err
}

func (p *player) harm(ctx context.Context, s step, r *rand.Rand) error {
	switch s.kind {
	case "term", "kill", "pause", "hup", "herd":
		return p.each(s.machines, func(m *machine) error { return p.signalled(ctx, m, s) })
	case "roll":
		return p.roll(ctx, r)
	case "peer", "store link", "target link":
		return p.links(ctx, s, r)
	case "datagrams":
		return p.cutDatagrams(ctx, s, r)
	case "loss":
		p.fleet.grams.lose(0.05 + r.Float64()/4)
		pause(ctx, s.lasts)
		p.fleet.grams.lose(0)
	case "store":
		modes := []crstore.Mode{crstore.Unavailable, crstore.TooManyRequests, crstore.Reset, crstore.Hang, crstore.Slow, crstore.ResetOnce}
		p.fleet.store.SetFault(crstore.Fault{Mode: modes[r.IntN(len(modes))], Delay: 250 * time.Millisecond})
		pause(ctx, s.lasts)
		p.fleet.store.SetFault(crstore.Fault{})
	case "compact":
		p.fleet.store.PauseWatches()
		pause(ctx, min(s.lasts, time.Second))
		p.fleet.store.Compact()
	case "target":
		ill := sickness(r.IntN(8))
		return p.each(s.machines, func(m *machine) error {
			target, _ := m.at()
			target.SetBehaviour(ill)
			pause(ctx, s.lasts)
			target.SetBehaviour(calm())
			return nil
		})
	case "crash", "leave":
		return p.each(s.machines, func(m *machine) error { return p.replaceTarget(ctx, m, s) })
	case "config", "withdraw":
		return p.configure(s)
	case "burst":
		p.setFast(true)
		pause(ctx, s.lasts)
		p.setFast(false)
	}
	return nil
}

// sickness is a way in which a target fails gray.
func sickness(i int) crtarget.Behaviour {
	b := calm()
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

// each plays a fault at several machines at one time.
func (p *player) each(machines []int, harm func(*machine) error) error {
	var all sync.WaitGroup
	for _, i := range machines {
		all.Add(1)
		go func() {
			defer all.Done()
			p.note(harm(p.fleet.machines[i]))
		}()
	}
	all.Wait()
	return nil
}

func (p *player) signalled(ctx context.Context, m *machine, s step) error {
	switch s.kind {
	case "hup":
		return m.proc.signal(syscall.SIGHUP)
	case "pause":
		if err := m.proc.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause(ctx, s.lasts)
		return m.proc.signal(syscall.SIGCONT)
	case "term":
		if err := p.stop(m); err != nil {
			return err
		}
	default:
		if err := m.proc.kill(); err != nil {
			return err
		}
		pause(ctx, s.lasts/2)
	}
	return m.proc.start()
}

// stop tells a daemon to end and keeps how that went.
func (p *player) stop(m *machine) error {
	st := stopped{machine: m.index, at: time.Now()}
	inTime, err := m.proc.stop()
	st.took, st.inTime, st.finished = time.Since(st.at), inTime, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stops = append(p.stops, st)
	return err
}

// roll stops and starts the daemons of a third of the machines in turn.
func (p *player) roll(ctx context.Context, r *rand.Rand) error {
	n := len(p.fleet.machines)
	for _, i := range r.Perm(n)[:(n+2)/3] {
		if ctx.Err() != nil {
			return nil
		}
		m := p.fleet.machines[i]
		if err := p.stop(m); err != nil {
			return err
		}
		if err := m.proc.start(); err != nil {
			return err
		}
		pause(ctx, 500*time.Millisecond)
	}
	return nil
}

func (p *player) links(ctx context.Context, s step, r *rand.Rand) error {
	name := map[string]string{"peer": "peer", "store link": "store", "target link": "target"}[s.kind]
	way := Link(1 + r.IntN(links-1))
	p.setLinks(s.machines, name, way)
	pause(ctx, s.lasts)
	p.setLinks(s.machines, name, Pass)
	return nil
}

func (p *player) setLinks(machines []int, name string, way Link) {
	for _, i := range machines {
		p.fleet.machines[i].links[name].set(way)
	}
}

// cutDatagrams loses what goes to, comes from, or both, some machines.
func (p *player) cutDatagrams(ctx context.Context, s step, r *rand.Rand) error {
	to, from := r.IntN(3) != 0, r.IntN(3) != 0
	p.setDatagrams(s.machines, to, from, true)
	pause(ctx, s.lasts)
	p.setDatagrams(s.machines, to, from, false)
	return nil
}

func (p *player) setDatagrams(machines []int, to, from, cut bool) {
	for _, i := range machines {
		for j := range p.fleet.machines {
			if to {
				p.fleet.grams.cut(pair{from: j, to: i}, cut)
			}
			if from {
				p.fleet.grams.cut(pair{from: i, to: j}, cut)
			}
		}
	}
}

// leaveTime is how long a leaving target still serves.
const leaveTime = crstage.DrainTime + 700*time.Millisecond

// replaceTarget ends a target, with a word or without, and starts another one at
// its address later.
func (p *player) replaceTarget(ctx context.Context, m *machine, s step) error {
	m.replacing.Lock()
	defer m.replacing.Unlock()
	_, id := m.at()
	if s.kind == "leave" {
		p.fleet.register(m, true)
		p.mu.Lock()
		p.leaves = append(p.leaves, leaving{id: id, at: time.Now()})
		p.mu.Unlock()
		pause(ctx, leaveTime)
	}
	p.fleet.endTarget(m)
	pause(ctx, s.lasts/2)
	crstage.Deregister(p.fleet.store, id)
	return p.fleet.startTarget(m)
}

// configure publishes a new version; one that withdraws a key gives its account
// another one.
func (p *player) configure(s step) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	accounts := p.keys.now()
	if s.kind == "withdraw" {
		accounts = p.keys.replace(int(s.pick%uint64(len(accounts))), fmt.Sprintf("k-%d", p.version))
	}
	return crstage.Publish(p.fleet.store, p.version, accounts)
}

func (p *player) setFast(is bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fast = is
}

func (p *player) isFast() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fast
}

// pause waits; the end of the run cuts it short, so that each fault is undone.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
