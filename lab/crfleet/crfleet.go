// Package crfleet runs a fleet on one machine for end-to-end tests and benchmarks.
// The daemons are processes on loopback. A fake platform and fake upstreams run in
// this process. UDP relays between the daemons can cut each direction of a link
// separately. The package only ends processes that it started.
//
// # Usage
//
// A program that also serves as the daemon binary begins its main, or TestMain, with
//
//	crfleet.ServeIfDaemon(command.RunProcess)
//
// Other programs pass [WithBinary] to New instead. Then
//
//	f, err := crfleet.New(ctx,
//		crfleet.WithDaemons(5),
//		crfleet.WithDomains("domain-1", "domain-2", "domain-3"),
//		crfleet.WithServices(crfleet.Service{Name: "booking", Policy: text, Slots: 5, ServiceTime: 5 * time.Millisecond}),
//		crfleet.WithAccounts(crfleet.Account{Name: "survey", Rate: 100, Burst: 50}),
//	)
//	defer f.Close()
//	d := f.Daemon(0)
//	err = d.Suspend()                            // SIGSTOP; then Resume
//	err = d.Kill()                               // SIGKILL; then Start
//	err = d.Stop()                               // SIGTERM; then Wait
//	f.Links().Cut("daemon-1", "daemon-2")        // that direction only; then Heal
//	f.Platform().SetFault(crplatform.Fault{...}) // the fake platform
//	f.Target(2).SetFault(crupstream.Fault{...})  // a fake upstream
//	rev, err := f.SetAccounts(kept)              // publishes
//	rev = f.SetInstances(f.Instances()[:4])      // lists fewer daemons
//	state, err := d.State(ctx)                   // the state dump
//	resp := d.Call(ctx, crfleet.Request{Account: a, Method: "GET", Path: "/kits/1"})
//	runs := f.Runs()                             // how often each request of crload ran
//	f.Counts(), f.URLs(), f.Log()
//
// New returns once every daemon is ready and admits every account. When ctx is
// done, the processes are killed; Close also stops the fake servers.
package crfleet

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"sync"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crpolicyfile"
	"camphorroad/lab/crplatform"
	"camphorroad/lab/crupstream"
)

// daemonEnv is the environment variable that makes the program run as a daemon.
const daemonEnv = "CAMPHORROAD_FLEET_DAEMON"

// DaemonEnv returns the environment variable, as NAME=VALUE, that makes a program
// run as a daemon when it calls [ServeIfDaemon].
func DaemonEnv() string { return daemonEnv + "=1" }

// ServeIfDaemon runs the command line and exits if this process was started as
// a daemon of a fleet; otherwise it returns.
func ServeIfDaemon(run func(args []string) int) {
	if os.Getenv(daemonEnv) != "" {
		os.Exit(run(os.Args[1:]))
	}
}

// Account is a client account of the fleet.
type Account struct {
	Name  string
	Rate  float64 // requests a second
	Burst float64
}

// Key returns the account's only key.
func (a Account) Key() string { return "crk_test-" + a.Name }

// Fleet is a running fleet. Its methods are safe for concurrent use, except that only
// one goroutine at a time may start, stop or signal a given daemon.
type Fleet struct {
	opts     options
	dir      string
	ctx      context.Context
	cancel   context.CancelFunc
	platform *crplatform.Platform
	server   *httptest.Server
	links    *Links
	daemons  []*Daemon
	targets  []*Target

	mu        sync.Mutex
	accounts  []Account
	policies  map[string]string // policy files in TOML, by service
	closeOnce sync.Once
}

// New starts a fleet and waits until it is ready, unless [WithoutWaiting] is given.
func New(ctx context.Context, opts ...Option) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "crfleet-")
	if err != nil {
		return nil, fmt.Errorf("create the fleet's directory: %w", err)
	}
	f := &Fleet{
		opts:     newOptions(opts),
		dir:      dir,
		platform: crplatform.New(0),
		policies: make(map[string]string),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.links = newLinks(f.ctx, f.opts.delay)
	f.accounts = append(f.accounts, f.opts.accounts...)
	f.server = httptest.NewServer(f.platform.Handler())
	if err := f.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// prepare creates the daemons, their settings files and the upstreams.
func (f *Fleet) prepare() error {
	for i := range f.opts.daemons + f.opts.spares {
		d, err := newDaemon(f, i)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
	}
	next := 0
	for _, s := range f.opts.services {
		f.policies[s.Name] = s.Policy
		for i := range s.targetCount(len(f.daemons)) {
			d := f.daemons[next%len(f.daemons)]
			next++
			t := newTarget(fmt.Sprintf("%s-%d", s.Name, i+1), s, d.name)
			f.targets = append(f.targets, t)
			d.targets = append(d.targets, t)
		}
	}
	for _, d := range f.daemons {
		if err := d.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) start() error {
	if _, err := f.Publish(); err != nil {
		return err
	}
	f.SetInstances(f.Instances()[:f.opts.daemons])
	for _, d := range f.daemons[:f.opts.daemons] {
		if err := d.Start(); err != nil {
			return err
		}
	}
	if f.opts.noWait {
		return nil
	}
	if err := f.WaitReady(f.ctx); err != nil {
		return err
	}
	return f.WaitTokens(f.ctx)
}

// Close ends all processes, waits for them to exit and stops the fake servers.
func (f *Fleet) Close() {
	f.closeOnce.Do(func() {
		f.cancel()
		for _, d := range f.daemons {
			d.waitExit()
		}
		for _, t := range f.targets {
			t.server.CloseClientConnections()
			t.server.Close()
		}
		f.server.CloseClientConnections()
		f.server.Close()
		_ = os.RemoveAll(f.dir)
	})
}

// Daemons returns all daemons, in the order of their numbers, spares last.
func (f *Fleet) Daemons() []*Daemon { return append([]*Daemon(nil), f.daemons...) }

// Daemon returns the daemon with index i, from zero.
func (f *Fleet) Daemon(i int) *Daemon { return f.daemons[i] }

// Targets returns all upstreams, service by service.
func (f *Fleet) Targets() []*Target { return append([]*Target(nil), f.targets...) }

// Target returns the upstream with index i, from zero.
func (f *Fleet) Target(i int) *Target { return f.targets[i] }

// Links returns the links between the daemons.
func (f *Fleet) Links() *Links { return f.links }

// Platform returns the fake platform.
func (f *Fleet) Platform() *crplatform.Platform { return f.platform }

// URLs returns the base URLs of all daemons for clients.
func (f *Fleet) URLs() []string {
	urls := make([]string, 0, len(f.daemons))
	for _, d := range f.daemons {
		urls = append(urls, d.URL())
	}
	return urls
}

// Instances returns the list of all instances, spares included, all live. The addresses are those
// of the relays, unless [WithoutRelays] is given.
func (f *Fleet) Instances() []crinstance.Instance {
	list := make([]crinstance.Instance, 0, len(f.daemons))
	for _, d := range f.daemons {
		in := crinstance.Instance{
			Daemon: crid.Daemon(d.name), Domain: crid.Domain(d.domain), Addr: f.advertisedAddr(d), State: crinstance.StateLive,
		}
		for _, t := range d.targets {
			in.Targets = append(in.Targets, crinstance.Target{Name: crid.Target(t.name), Service: crid.Service(t.service)})
		}
		list = append(list, in)
	}
	return list
}

// advertisedAddr returns the peer address of d in the instance list.
func (f *Fleet) advertisedAddr(d *Daemon) string {
	if f.opts.direct {
		return d.peerAddr
	}
	return f.links.addr(d.name)
}

// SetInstances publishes a list of instances on the platform and returns its revision.
func (f *Fleet) SetInstances(instances []crinstance.Instance) crid.Revision {
	return f.platform.SetInstances(instances)
}

// SetAccounts replaces the accounts and publishes the new configuration.
func (f *Fleet) SetAccounts(accounts ...Account) (crid.Revision, error) {
	f.mu.Lock()
	f.accounts = append([]Account(nil), accounts...)
	f.mu.Unlock()
	return f.Publish()
}

// SetPolicy replaces a service's policy file and publishes the new configuration.
func (f *Fleet) SetPolicy(service, text string) (crid.Revision, error) {
	f.mu.Lock()
	f.policies[service] = text
	f.mu.Unlock()
	return f.Publish()
}

// Publish builds a bundle of the accounts and policies and publishes it on the platform.
func (f *Fleet) Publish() (crid.Revision, error) {
	bundle, err := crpolicyfile.Build(f.files())
	if err != nil {
		return 0, fmt.Errorf("build the bundle: %w", err)
	}
	var values [][]byte
	for _, v := range bundle.Values() {
		values = append(values, v.Data)
	}
	return f.platform.Publish(bundle.Manifest(), values)
}

func (f *Fleet) files() []crpolicyfile.File {
	f.mu.Lock()
	defer f.mu.Unlock()
	var files []crpolicyfile.File
	for _, s := range f.opts.services {
		files = append(files, crpolicyfile.File{Name: s.Name + ".toml", Data: []byte(f.policies[s.Name])})
	}
	var text []byte
	for _, a := range f.accounts {
		text = fmt.Appendf(text, "[[account]]\nname = %q\nrate = %g\nburst = %g\nkeys = [\"%x\"]\n",
			a.Name, a.Rate, a.Burst, crpolicy.HashKey(a.Key()))
	}
	return append(files, crpolicyfile.File{Name: "accounts.toml", Data: text})
}

// Runs returns, for each request ID, how often the request ran at all upstreams together.
func (f *Fleet) Runs() map[string]int {
	all := make(map[string]int)
	for _, t := range f.targets {
		for id, n := range t.Runs().Requests {
			all[id] += n
		}
	}
	return all
}

// Log returns every run at every upstream, in no particular order.
func (f *Fleet) Log() []crupstream.Run {
	var all []crupstream.Run
	for _, t := range f.targets {
		all = append(all, t.Log()...)
	}
	return all
}

// Counts returns the number of calls that the platform received.
func (f *Fleet) Counts() crplatform.Counts { return f.platform.Counts() }
