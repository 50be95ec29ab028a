// Package crsoak runs daemons as separate processes beside stand-ins of store and
// targets, harms them from outside, and checks what callers and targets see.
//
// Faults are drawn from a seed and come in series and one upon the other:
// connections to peers, store and targets are delayed, reset, silenced, or cut one
// way; datagrams are lost; processes are told to stop, killed, paused and started
// again; targets fail gray, crash and leave; the store fails; keys are withdrawn.
// Clocks and storage are left alone: daemons keep nothing, and read a clock of the
// kernel that only its administrator could change.
//
// The seed fixes the faults and their times, not the schedule of the processes.
//
// # Usage
//
//	report, err := crsoak.Run(ctx, crsoak.Options{Binary: "bin/camphorroad", Seed: 7, Length: 15 * time.Second})
//	for _, line := range report.Broken() { ... }
package crsoak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"camphorroad/lab/crstage"
	"camphorroad/lab/crtarget"
)

// Options are the settings of a run.
type Options struct {
	Binary   string        // the daemon's program
	Env      []string      // its variables besides those of this process
	Dir      string        // for settings and logs; it must exist
	Seed     uint64        // of the faults
	Machines int           // zero: six
	Length   time.Duration // of the faults; calm time comes after it
	Net      int           // second byte of the loopback addresses, 1 to 250: two runs at a time need two
}

const (
	defaultMachines = 6
	callersEach     = 3
	// callerPause is the mean time between two requests of a caller; a crowd
	// takes a quarter of it.
	callerPause = 60 * time.Millisecond
	startTime   = 30 * time.Second
	watchEvery  = time.Second
)

// Report is what a run found.
type Report struct {
	seed    uint64
	broken  []string
	answers map[int]int
	faults  []string
}

// Seed returns the run's seed.
func (r *Report) Seed() uint64 { return r.seed }

// Broken returns each broken promise in a line; none: all held.
func (r *Report) Broken() []string { return slices.Clone(r.broken) }

// Faults returns what was played, in the order of the starts.
func (r *Report) Faults() []string { return slices.Clone(r.faults) }

// Summary counts the answers by status; 0 stands for none.
func (r *Report) Summary() string {
	text := fmt.Sprintf("seed %d: %d faults", r.seed, len(r.faults))
	for _, status := range slices.Sorted(maps.Keys(r.answers)) {
		text += fmt.Sprintf(", %d: %d", status, r.answers[status])
	}
	return text + fmt.Sprintf(", broken: %d", len(r.broken))
}

// soak is a run.
type soak struct {
	opts   Options
	fleet  *fleet
	keys   *keyring
	book   *book
	player *player
	calm   time.Time
}

// accounts of each run: one that is held to its rate, and three that are not.
func accounts() []crstage.Account {
	return []crstage.Account{
		{Name: "small", Keys: []string{"k-small-1", "k-small-2"}, Rate: 15, Burst: 15},
		{Name: "north", Keys: []string{"k-north-1", "k-north-2"}, Rate: 400, Burst: 400},
		{Name: "south", Keys: []string{"k-south-1"}, Rate: 400, Burst: 400},
		{Name: "west", Keys: []string{"k-west-1"}},
	}
}

// Run plays one seed. An error means that the run itself could not be carried out.
func Run(ctx context.Context, opts Options) (report *Report, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opts.Machines = max(opts.Machines, 0)
	if opts.Machines == 0 {
		opts.Machines = defaultMachines
	}
	s := &soak{opts: opts, keys: newKeyring(accounts()), book: &book{}}
	s.fleet, err = newFleet(ctx, opts)
	if s.fleet != nil {
		defer func() { err = errors.Join(err, s.fleet.close()) }()
	}
	if err != nil {
		return nil, err
	}
	s.player = &player{fleet: s.fleet, keys: s.keys, version: 1}
	if err := crstage.Publish(s.fleet.store, 1, accounts()); err != nil {
		return nil, err
	}
	if err := s.waitReady(ctx); err != nil {
		return nil, err
	}
	return s.play(ctx)
}

// waitReady waits until all daemons say that they can serve.
func (s *soak) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, m := range s.fleet.machines {
		for !isReady(ctx, m) {
			if ctx.Err() != nil {
				return fmt.Errorf("machine %d is not ready after %v", m.index, startTime)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, m *machine) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.plan.real(m.index, crstage.PortReady)+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// play runs callers and faults, then callers alone, and checks.
func (s *soak) play(ctx context.Context) (*Report, error) {
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for _, m := range s.fleet.machines {
		for i := range callersEach {
			c := newCaller(m, s.book, s.keys, s.opts.Seed*1000+uint64(i), s.pauseTime)
			callers.Add(1)
			go func() {
				defer callers.Done()
				c.run(calling)
			}()
		}
	}
	faults, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	watched := s.watch(faults, stopFaults)
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1))
	s.player.play(faults, schedule(rng, s.opts.Machines, s.opts.Length))
	stopFaults()
	<-watched
	pause(ctx, settleTime)
	s.calm = time.Now()
	pause(ctx, calmTime)
	stopCalling()
	callers.Wait()
	return s.report(ctx)
}

func (s *soak) pauseTime() time.Duration {
	if s.player.isFast() {
		return callerPause / 4
	}
	return callerPause
}

// watch checks what no fault excuses while the run goes on, and ends the faults
// as soon as a promise is broken: the logs then end close to the cause.
func (s *soak) watch(ctx context.Context, stop func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			pause(ctx, watchEvery)
			v := &verdict{}
			s.evidence().always(v)
			if len(v.broken) > 0 {
				stop()
			}
		}
	}()
	return done
}

// evidence reads the calls first: what ran for them is then all there.
func (s *soak) evidence() *evidence {
	e := &evidence{calls: s.book.all(), keys: s.keys, accounts: accounts(), machines: s.fleet.machines, calm: s.calm}
	e.allRuns = s.fleet.allRuns()
	e.runs = make(map[string][]crtarget.Run, len(e.calls))
	for _, r := range e.allRuns {
		e.runs[r.ID] = append(e.runs[r.ID], r)
	}
	s.player.mu.Lock()
	e.spans, e.leaves, e.stops = slices.Clone(s.player.spans), slices.Clone(s.player.leaves), slices.Clone(s.player.stops)
	s.player.mu.Unlock()
	s.fleet.mu.Lock()
	e.exits = slices.Clone(s.fleet.exits)
	s.fleet.mu.Unlock()
	return e
}

func (s *soak) report(ctx context.Context) (*Report, error) {
	if err := errors.Join(append(s.player.errs, ctx.Err())...); err != nil {
		return nil, err
	}
	v := &verdict{}
	e := s.evidence()
	e.always(v)
	e.bounded(v)
	for _, m := range s.fleet.machines {
		text, err := os.ReadFile(m.proc.log())
		if err != nil {
			return nil, err
		}
		checkLogs(v, m.index, string(text))
	}
	r := &Report{seed: s.opts.Seed, broken: v.broken, answers: make(map[int]int)}
	for _, c := range e.calls {
		r.answers[c.status]++
	}
	for _, sp := range e.spans {
		r.faults = append(r.faults, fmt.Sprintf("%s %s for %.1f s", sp.from.Format("15:04:05.000"), sp.name, sp.to.Sub(sp.from).Seconds()))
	}
	return r, nil
}
