// Package crsoak is a fault-injection soak test. It runs a fleet of daemons as
// separate processes with an in-process store and in-process targets, injects faults
// from outside the processes, and checks the responses that callers get and the
// requests that targets run. The command `camphorlab soak` and the end-to-end tests
// use it. Package crstage, in contrast, provides a store and targets without faults;
// crsoak takes its settings and records from there.
//
// The faults are drawn from a seed. They follow one another and may overlap:
// connections to peers, store and targets are delayed, reset, stalled, or blocked in
// one direction; datagrams are dropped; processes are stopped, killed, paused and
// restarted; targets fail in part, crash and drain; the store fails; keys are withdrawn.
// Clock and disk faults are not injected: daemons store nothing on disk, and they
// read a kernel clock that only an administrator can change.
//
// The seed determines the faults and their times, but not how the kernel schedules
// the processes, so two runs of a seed may differ.
//
// # Usage
//
//	report, err := crsoak.Run(ctx, crsoak.Options{Binary: "bin/camphorroad", Seed: 7, Length: 15 * time.Second})
//	for _, line := range report.Violations() { ... }
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
	Binary   string        // path of the daemon's executable
	Env      []string      // environment variables of the daemon, added to those of this process
	Dir      string        // existing directory for settings files and logs
	Seed     uint64        // determines the faults and their times
	Machines int           // number of daemons; zero means six
	Length   time.Duration // duration of the faults; a period without faults follows
	Mixed    bool          // callers with pipelined requests, uploads and downloads are added
	Cold     bool          // targets are cold after each start, and faults that make them cold are added
	Net      int           // second byte of the loopback addresses, 1 to 250; concurrent runs need different values
}

const (
	defaultMachines   = 6
	callersPerMachine = 3
	// callerInterval is the mean time between a response and the next request of a
	// caller. During a "burst" fault it is divided by four.
	callerInterval = 60 * time.Millisecond
	startTimeout   = 30 * time.Second
	checkInterval  = time.Second
)

// Report is the result of a run.
type Report struct {
	seed       uint64
	violations []string
	statuses   map[int]int
	served     map[Sort]int
	notRead    int
	peaks      map[bool]int // maximum numbers of requests to a target in a second; true: to a cold one
	faults     []string
}

// Seed returns the seed of the run.
func (r *Report) Seed() uint64 { return r.seed }

// Violations returns one line for each violated guarantee.
func (r *Report) Violations() []string { return slices.Clone(r.violations) }

// Faults returns one line for each injected fault, in order of start time.
func (r *Report) Faults() []string { return slices.Clone(r.faults) }

// Served returns the number of responses with status 200 to the requests of a sort. A run
// in which it is zero has checked nothing of that sort.
func (r *Report) Served(s Sort) int { return r.served[s] }

// Peak returns the maximum number of requests to a cold target in a second, or to a warm one. It is
// zero without [Options].Cold.
func (r *Report) Peak(cold bool) int { return r.peaks[cold] }

// Summary returns the numbers of faults, of responses by status, and of violations in
// one line. Status 0 counts the requests without a complete response.
func (r *Report) Summary() string {
	text := fmt.Sprintf("seed %d: %d faults", r.seed, len(r.faults))
	for _, status := range slices.Sorted(maps.Keys(r.statuses)) {
		text += fmt.Sprintf(", %d: %d", status, r.statuses[status])
	}
	for _, sort := range slices.Sorted(maps.Keys(r.served)) {
		text += fmt.Sprintf(", %s served: %d", sort, r.served[sort])
	}
	if r.notRead > 0 {
		text += fmt.Sprintf(", behind a closing response: %d", r.notRead)
	}
	if len(r.peaks) > 0 {
		text += fmt.Sprintf(", highest second of a warm target: %d, of a cold one: %d", r.peaks[false], r.peaks[true])
	}
	return text + fmt.Sprintf(", violations: %d", len(r.violations))
}

// soak is the state of one run.
type soak struct {
	opts          Options
	fleet         *fleet
	keys          *keyring
	calls         *callLog
	injector      *injector
	recoveryStart time.Time
}

// accounts returns the accounts of each run: one that reaches its rate limit, and
// three that do not.
func accounts() []crstage.Account {
	return []crstage.Account{
		{Name: "small", Keys: []string{"k-small-1", "k-small-2"}, Rate: 15, Burst: 15},
		{Name: "north", Keys: []string{"k-north-1", "k-north-2"}, Rate: 400, Burst: 400},
		{Name: "south", Keys: []string{"k-south-1"}, Rate: 400, Burst: 400},
		{Name: "west", Keys: []string{"k-west-1"}},
	}
}

// Run performs a run and returns its report. An error means that the run could not be
// completed; violated guarantees are reported by [Report.Violations] only.
func Run(ctx context.Context, opts Options) (report *Report, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opts.Machines = max(opts.Machines, 0)
	if opts.Machines == 0 {
		opts.Machines = defaultMachines
	}
	s := &soak{opts: opts, keys: newKeyring(accounts()), calls: &callLog{}}
	s.fleet, err = newFleet(ctx, opts)
	if s.fleet != nil {
		defer func() { err = errors.Join(err, s.fleet.close()) }()
	}
	if err != nil {
		return nil, err
	}
	s.injector = &injector{limited: make(map[string]bool), fleet: s.fleet, keys: s.keys, version: 1}
	if err := crstage.Publish(s.fleet.store, 1, accounts(), s.opts.Cold); err != nil {
		return nil, err
	}
	if err := s.waitReady(ctx); err != nil {
		return nil, err
	}
	return s.run(ctx)
}

// waitReady waits until all daemons report ready.
func (s *soak) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, m := range s.fleet.machines {
		for !isReady(ctx, m) {
			if ctx.Err() != nil {
				return fmt.Errorf("machine %d is not ready after %v", m.index, startTimeout)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, m *machine) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addrs.listenAddr(m.index, crstage.PortReady)+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// run sends requests while faults are injected and for recoveryTime afterwards, and
// then checks the guarantees.
func (s *soak) run(ctx context.Context) (*Report, error) {
	callersCtx, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for _, m := range s.fleet.machines {
		for i := range callersPerMachine {
			c := newCaller(m, requestKinds(), s.calls, s.keys, s.opts.Seed*1000+uint64(i), s.callerInterval)
			callers.Go(func() { c.run(callersCtx, c.send) })
		}
		if s.opts.Mixed {
			s.startMixedCallers(callersCtx, &callers, m)
		}
	}
	faultsCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	monitorDone := s.stopOnViolation(faultsCtx, stopFaults)
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1))
	faults := schedule(rng, faultKinds(), s.opts.Machines, s.opts.Length)
	if s.opts.Cold {
		faults = addColdFaults(faults, s.opts)
	}
	s.injector.run(faultsCtx, faults)
	stopFaults()
	<-monitorDone
	sleep(ctx, settleTime)
	s.recoveryStart = time.Now()
	sleep(ctx, recoveryTime)
	stopCalling()
	callers.Wait()
	return s.report(ctx)
}

func (s *soak) callerInterval() time.Duration {
	interval := callerInterval
	if s.opts.Cold {
		interval = coldCallerInterval
	}
	if s.injector.inBurst() {
		return interval / 4
	}
	return interval
}

// stopOnViolation checks the invariants periodically and calls stop at the first
// violation, so that the logs end close to its cause. The returned channel is closed
// when the checks have ended.
func (s *soak) stopOnViolation(ctx context.Context, stop func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			sleep(ctx, checkInterval)
			v := &violations{}
			s.observe().checkInvariants(v)
			if len(v.list) > 0 {
				stop()
			}
		}
	}()
	return done
}

// observe copies the data that the run has collected. It reads the calls before the
// runs, so that the runs of every call are included.
func (s *soak) observe() *observations {
	o := &observations{calls: s.calls.snapshot(), keys: s.keys, accounts: accounts(), machines: s.fleet.machines, recoveryStart: s.recoveryStart}
	o.allRuns, o.arrivals = s.fleet.allRuns(), s.fleet.allArrivals()
	o.runsByRequest = make(map[string][]crtarget.Run, len(o.calls))
	for _, r := range o.allRuns {
		o.runsByRequest[r.ID] = append(o.runsByRequest[r.ID], r)
	}
	s.injector.mu.Lock()
	o.injections, o.drainStarts, o.stops = slices.Clone(s.injector.injections), slices.Clone(s.injector.drainStarts), slices.Clone(s.injector.stops)
	o.limits, o.unannounced = slices.Clone(s.injector.limits), slices.Clone(s.injector.unannounced)
	s.injector.mu.Unlock()
	s.fleet.mu.Lock()
	o.unexpectedExits = slices.Clone(s.fleet.unexpectedExits)
	s.fleet.mu.Unlock()
	return o
}

func (s *soak) report(ctx context.Context) (*Report, error) {
	if err := errors.Join(append(s.injector.errs, ctx.Err())...); err != nil {
		return nil, err
	}
	v := &violations{}
	o := s.observe()
	o.checkInvariants(v)
	o.checkTimeBounds(v)
	for _, m := range s.fleet.machines {
		text, err := os.ReadFile(m.proc.logFile())
		if err != nil {
			return nil, err
		}
		checkLogs(v, m.index, string(text))
	}
	r := &Report{seed: s.opts.Seed, violations: v.list, statuses: make(map[int]int), served: make(map[Sort]int), peaks: o.peaks()}
	for _, c := range o.calls {
		r.statuses[c.status]++
		if sort := c.sort(); sort != "" && c.status == http.StatusOK {
			r.served[sort]++
		}
		if c.notRead {
			r.notRead++
		}
	}
	for _, inj := range o.injections {
		r.faults = append(r.faults, fmt.Sprintf("%s %s for %.1f s", inj.from.Format("15:04:05.000"), inj.name, inj.to.Sub(inj.from).Seconds()))
	}
	return r, nil
}
