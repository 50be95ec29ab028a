// Package crmemory measures the memory usage of a daemon process under configurations
// and instance lists of the size that the users plan for; the command `camphorlab memory`
// prints the rows. A fake platform runs in this process. The other listed instances do
// not run.
//
// # Usage
//
//	rows, err := crmemory.Measure(ctx, crmemory.Options{Binary: "bin/camphorroad", Accounts: 410_000, Settle: 5 * time.Second})
package crmemory

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crpolicyfile"
	"camphorroad/lab/crfleet"
)

// changeCount is the number of configuration changes in the stage "ten changes".
const changeCount = 10

// Numbers of domains and routes that the users plan for, and the addresses of the added
// instances.
const (
	domains      = 9
	routes       = 12_000
	firstPort    = 1000 // nothing listens on the ports of the added instances
	portsPerAddr = 250
)

const (
	applyTimeout = 2 * time.Minute
	pollInterval = 100 * time.Millisecond
)

var errNotApplied = errors.New("the daemon has not applied the published configuration or list")

// Options configure a measurement.
type Options struct {
	Binary    string        // the daemon's program
	Accounts  int           // number in the configuration
	Instances int           // number in the list of the stage "list"; zero: no such stage
	Targets   int           // number in that list
	Services  int           // number of services of those targets
	Settle    time.Duration // wait between the end of a step and its measurement
	Env       []string      // environment of the daemon, such as GOGC=50
	Settings  string        // TOML added to the daemon's settings
}

// Row is the result of one stage.
type Row struct {
	Stage    string        `json:"stage"`
	Accounts int           `json:"accounts"`
	Took     time.Duration `json:"took"` // nanoseconds, from the start of the stage until its change was applied
	CPU      float64       `json:"cpu"`  // seconds of processor time in the stage, including Options.Settle
	Memory   crfleet.Memory
}

// run is the state of a measurement.
type run struct {
	opts           Options
	fleet          *crfleet.Fleet
	daemon         *crfleet.Daemon
	policy         crpolicyfile.Policy
	changedAccount int // index of the account changed last
	rows           []Row
}

// Measure starts a daemon with a configuration, changes the configuration and
// publishes a long instance list. It returns one row per stage.
func Measure(ctx context.Context, opts Options) ([]Row, error) {
	fleet, err := crfleet.New(ctx,
		crfleet.WithBinary(opts.Binary), crfleet.WithDaemons(0), crfleet.WithSpares(1), crfleet.WithoutWaiting(),
		crfleet.WithAccounts(crfleet.Account{Name: "surveyor", Rate: 1, Burst: 1}), // replaced before the start
		crfleet.WithEnv(opts.Env...), crfleet.WithSettings(opts.Settings))
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	r := &run{opts: opts, fleet: fleet, daemon: fleet.Daemon(0), policy: policy(opts)}
	err = r.runStages(ctx)
	return r.rows, err
}

func (r *run) runStages(ctx context.Context) error {
	if err := r.runStage(ctx, "start", r.start); err != nil {
		return err
	}
	if r.opts.Accounts > 0 {
		if err := r.runStage(ctx, "one change", r.change); err != nil {
			return err
		}
		if err := r.runStage(ctx, "ten changes", r.changes); err != nil {
			return err
		}
	}
	if r.opts.Instances > 0 {
		if err := r.runStage(ctx, "list", r.publishList); err != nil {
			return err
		}
	}
	return r.runStage(ctx, "rest", func(context.Context) error { return nil })
}

// runStage runs a step, waits for Options.Settle and records the memory usage.
func (r *run) runStage(ctx context.Context, name string, step func(context.Context) error) error {
	var before crfleet.Usage
	if len(r.rows) > 0 {
		var err error
		if before, err = r.daemon.Usage(ctx); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := step(ctx); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	took := time.Since(began)
	if err := sleep(ctx, r.opts.Settle); err != nil {
		return err
	}
	usage, err := r.daemon.Usage(ctx)
	if err != nil {
		return err
	}
	m, err := r.daemon.Memory(ctx)
	if err != nil {
		return err
	}
	r.rows = append(r.rows, Row{Stage: name, Accounts: r.opts.Accounts, Took: took, CPU: usage.CPU - before.CPU, Memory: m})
	return nil
}

func (r *run) start(ctx context.Context) error {
	rev, err := r.publish()
	if err != nil {
		return err
	}
	r.fleet.SetInstances(r.fleet.Instances())
	if err := r.daemon.Start(); err != nil {
		return err
	}
	return r.waitApplied(ctx, rev)
}

func (r *run) changes(ctx context.Context) error {
	for range changeCount {
		if err := r.change(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) change(ctx context.Context) error {
	const stride = 7919 // a prime, so that changes are spread over the values
	r.changedAccount = (r.changedAccount + stride) % len(r.policy.Accounts)
	r.policy.Accounts[r.changedAccount].Rate++
	rev, err := r.publish()
	if err != nil {
		return err
	}
	return r.waitApplied(ctx, rev)
}

func (r *run) publish() (crid.Revision, error) {
	bundle, err := crpolicyfile.Pack(r.policy)
	if err != nil {
		return 0, err
	}
	var values [][]byte
	for _, v := range bundle.Values() {
		values = append(values, v.Data)
	}
	return r.fleet.Platform().Publish(bundle.Manifest(), values)
}

// waitApplied waits until the daemon has applied a configuration revision.
func (r *run) waitApplied(ctx context.Context, rev crid.Revision) error {
	return r.wait(ctx, func() error {
		m, err := r.daemon.Memory(ctx)
		if err != nil || m.Revision < rev {
			return errors.Join(errNotApplied, err)
		}
		return nil
	})
}

// wait calls check until it returns nil. Errors are expected at the start, before the
// admin listener serves requests.
func (r *run) wait(ctx context.Context, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		if sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("%w\n%s", err, r.daemon.Log())
		}
	}
}

// publishList publishes the long instance list. Of the listed instances only this daemon
// runs, so it has no lease and keeps trying to connect to the others.
func (r *run) publishList(ctx context.Context) error {
	all := r.fleet.Instances()
	for i := len(all); i < r.opts.Instances; i++ {
		all = append(all, crinstance.Instance{
			Daemon: crid.Daemon(fmt.Sprintf("instance-%05d", i)),
			Domain: crid.Domain(fmt.Sprintf("domain-%d", i%domains+1)),
			Addr:   fmt.Sprintf("127.1.%d.1:%d", i/portsPerAddr, firstPort+i%portsPerAddr),
			State:  crinstance.StateLive,
		})
	}
	for i := range r.opts.Targets {
		in := &all[i%len(all)]
		in.Targets = append(in.Targets, crinstance.Target{
			Name: crid.Target(fmt.Sprintf("target-%05d", i)), Service: crid.Service(serviceName(i % r.opts.Services)),
		})
	}
	rev := r.fleet.SetInstances(all)
	return r.wait(ctx, func() error {
		// The state dump of such a long list would dominate the memory usage, so read the log.
		if !strings.Contains(r.daemon.Log(), fmt.Sprintf(`"event":%d,"level":"info","list":"%d"`, crmember.EventListAdopted, rev)) {
			return errNotApplied
		}
		return nil
	})
}

// policy builds the configuration: the booking service and, if there is a list, all
// services of its targets with their routes.
func policy(opts Options) crpolicyfile.Policy {
	p := crpolicyfile.Policy{Services: []crpolicy.Service{service("booking")}}
	if opts.Instances > 0 {
		for i := range opts.Services {
			p.Services = append(p.Services, service(serviceName(i)))
		}
	}
	for i := range max(len(p.Services), routes*min(1, opts.Instances)) {
		svc := &p.Services[i%len(p.Services)]
		svc.Routes = append(svc.Routes, crpolicy.Route{
			Name: crid.Route(fmt.Sprintf("route-%05d", i)), Host: string(svc.Name) + ".example",
			Methods: []string{"GET"}, Prefix: fmt.Sprintf("/path-%05d", i), Class: crpolicy.ClassRepeat, Timeout: time.Second,
		})
	}
	for i := range opts.Accounts {
		name := fmt.Sprintf("account-%06d", i)
		p.Accounts = append(p.Accounts, crpolicy.Account{
			Name: crid.Account(name), Rate: 1, Burst: 1, Keys: []crpolicy.KeyHash{crpolicy.HashKey(name)},
		})
	}
	return p
}

func service(name string) crpolicy.Service {
	return crpolicy.Service{Name: crid.Service(name), Floor: 2, Slots: 5, Queue: 40, Connections: 300}
}

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
