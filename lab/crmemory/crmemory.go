// Package crmemory measures the memory of a daemon as a process, under
// configurations and lists of the size that the users plan for. The platform's
// stand-in is in this process; the list's other instances do not run.
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

// The changes of configuration after which a daemon is measured.
const manyChanges = 10

// Sizes of the list that the users plan for.
const (
	domains   = 9
	routes    = 12_000
	firstPort = 1000 // none of the listed instances listens
	perAddr   = 250
)

const (
	inForceTime = 2 * time.Minute
	poll        = 100 * time.Millisecond
)

var errNotHeld = errors.New("the daemon does not hold what was published")

// Options configure a measurement.
type Options struct {
	Binary    string        // the daemon's program
	Accounts  int           // in the configuration
	Instances int           // in the list of the last stage; zero: no such stage
	Targets   int           // in that list
	Services  int           // of those targets
	Settle    time.Duration // from a configuration in force to its row
	Env       []string      // of the daemon, such as GOGC=50
	Settings  string        // TOML added to the daemon's settings
}

// Row is one stage.
type Row struct {
	Stage    string        `json:"stage"`
	Accounts int           `json:"accounts"`
	Took     time.Duration `json:"took"` // nanoseconds, from the stage's beginning until it was in force
	CPU      float64       `json:"cpu"`  // seconds of processor time in the stage, settling included
	Memory   crfleet.Memory
}

// run is one daemon through its stages.
type run struct {
	opts   Options
	fleet  *crfleet.Fleet
	daemon *crfleet.Daemon
	policy crpolicyfile.Policy
	next   int // account to change
	rows   []Row
}

// Measure starts a daemon under a configuration, changes it, and puts a long
// list in place.
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
	err = r.stages(ctx)
	return r.rows, err
}

func (r *run) stages(ctx context.Context) error {
	if err := r.stage(ctx, "start", r.start); err != nil {
		return err
	}
	if r.opts.Accounts > 0 {
		if err := r.stage(ctx, "one change", r.change); err != nil {
			return err
		}
		if err := r.stage(ctx, "ten changes", r.changes); err != nil {
			return err
		}
	}
	if r.opts.Instances > 0 {
		if err := r.stage(ctx, "list", r.list); err != nil {
			return err
		}
	}
	return r.stage(ctx, "rest", func(context.Context) error { return nil })
}

// stage carries out a step, lets the daemon settle, and notes what it holds.
func (r *run) stage(ctx context.Context, name string, step func(context.Context) error) error {
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
	cost, err := r.daemon.Usage(ctx)
	if err != nil {
		return err
	}
	m, err := r.daemon.Memory(ctx)
	if err != nil {
		return err
	}
	r.rows = append(r.rows, Row{Stage: name, Accounts: r.opts.Accounts, Took: took, CPU: cost.CPU - before.CPU, Memory: m})
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
	return r.inForce(ctx, rev)
}

func (r *run) changes(ctx context.Context) error {
	for range manyChanges {
		if err := r.change(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) change(ctx context.Context) error {
	const stride = 7919 // a prime, so that changes spread over the values
	r.next = (r.next + stride) % len(r.policy.Accounts)
	r.policy.Accounts[r.next].Rate++
	rev, err := r.publish()
	if err != nil {
		return err
	}
	return r.inForce(ctx, rev)
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

// inForce waits until the daemon serves a revision of the configuration.
func (r *run) inForce(ctx context.Context, rev crid.Revision) error {
	return r.wait(ctx, func() error {
		m, err := r.daemon.Memory(ctx)
		if err != nil || m.Revision < rev {
			return errors.Join(errNotHeld, err)
		}
		return nil
	})
}

// wait asks until check is content: at a start the pages are not served yet.
func (r *run) wait(ctx context.Context, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTime)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		if sleep(ctx, poll) != nil {
			return fmt.Errorf("%w\n%s", err, r.daemon.Log())
		}
	}
}

// list puts the long list in place. The daemon then hears nearly none of those
// it names, so it has no standing, and goes on dialling.
func (r *run) list(ctx context.Context) error {
	all := r.fleet.Instances()
	for i := len(all); i < r.opts.Instances; i++ {
		all = append(all, crinstance.Instance{
			Daemon: crid.Daemon(fmt.Sprintf("instance-%05d", i)),
			Domain: crid.Domain(fmt.Sprintf("domain-%d", i%domains+1)),
			Addr:   fmt.Sprintf("127.1.%d.1:%d", i/perAddr, firstPort+i%perAddr),
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
		// The dump of so long a list would itself be the most of the memory.
		if !strings.Contains(r.daemon.Log(), fmt.Sprintf(`"event":%d,"level":"info","list":"%d"`, crmember.EventListAdopted, rev)) {
			return errNotHeld
		}
		return nil
	})
}

// policy makes the configuration: without a list only the booking service, and
// else all services of its targets with their routes.
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
