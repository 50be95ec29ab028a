// Package crfleet runs a whole fleet on one machine for proofs and measures:
// daemons as real processes on loopback, the platform and the upstreams as
// stand-ins in this process, and between the daemons relays that can cut each
// direction of a link alone. It never ends a process that it did not start.
//
// # Usage
//
// A program that is to be its own daemon begins its main, or TestMain, with
//
//	crfleet.ServeIfDaemon(command.RunProcess)
//
// and then, or with [WithBinary] in its place,
//
//	f, err := crfleet.New(ctx,
//		crfleet.WithDaemons(5),
//		crfleet.WithDomains("domain-1", "domain-2", "domain-3"),
//		crfleet.WithServices(crfleet.Service{Name: "booking", Policy: text, Slots: 5, Time: 5 * time.Millisecond}),
//		crfleet.WithAccounts(crfleet.Account{Name: "survey", Rate: 100, Burst: 50}),
//	)
//	defer f.Close()
//	d := f.Daemon(0)
//	err = d.Freeze()                             // SIGSTOP; then Resume
//	err = d.Kill()                               // SIGKILL; then Start
//	err = d.Stop()                               // SIGTERM; then Wait
//	f.Links().Cut("daemon-1", "daemon-2")        // that direction only; then Heal
//	f.Platform().SetFault(crplatform.Fault{...}) // the platform stand-in
//	f.Target(2).SetFault(crupstream.Fault{...})  // an upstream stand-in
//	rev, err := f.SetAccounts(kept)              // publishes
//	rev = f.List(f.Instances()[:4])              // lists fewer daemons
//	state, err := d.State(ctx)                   // the operators' dump
//	reply := d.Call(ctx, crfleet.Request{Account: a, Method: "GET", Path: "/kits/1"})
//	runs := f.Runs()                             // how often each request of crload ran
//	f.Counts(), f.URLs(), f.Log()
//
// New returns once every daemon is ready and every account admitted everywhere.
// The end of ctx, or Close, ends all processes and stand-ins.
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

// daemonEnv makes the program run as a daemon.
const daemonEnv = "CAMPHORROAD_FLEET_DAEMON"

// DaemonEnv is the variable, with its value, that makes a program which calls
// [ServeIfDaemon] a daemon.
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

// Key is the account's only key.
func (a Account) Key() string { return "crk_test-" + a.Name }

// Fleet is the running whole. Its methods are safe for concurrent use, but for
// changes of one daemon's process, which must come from one goroutine at a time.
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

	mu       sync.Mutex
	accounts []Account
	policies map[string]string // TOML by service
	closed   sync.Once
}

// New starts a fleet and waits until it serves.
func New(ctx context.Context, opts ...Option) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "crfleet-")
	if err != nil {
		return nil, fmt.Errorf("fleet's directory: %w", err)
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
	if err := f.build(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.begin(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// build makes the daemons' settings and the upstreams.
func (f *Fleet) build() error {
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
		for i := range s.count(len(f.daemons)) {
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

func (f *Fleet) begin() error {
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

// Close ends all processes and stand-ins and waits for the processes' end.
func (f *Fleet) Close() {
	f.closed.Do(func() {
		f.cancel()
		for _, d := range f.daemons {
			d.end()
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

// Daemon returns one, counted from zero.
func (f *Fleet) Daemon(i int) *Daemon { return f.daemons[i] }

// Targets returns all upstreams, service by service.
func (f *Fleet) Targets() []*Target { return append([]*Target(nil), f.targets...) }

// Target returns one, counted from zero.
func (f *Fleet) Target(i int) *Target { return f.targets[i] }

// Links returns the links between the daemons.
func (f *Fleet) Links() *Links { return f.links }

// Platform returns the platform's stand-in.
func (f *Fleet) Platform() *crplatform.Platform { return f.platform }

// URLs are the callers' base URLs of all daemons.
func (f *Fleet) URLs() []string {
	urls := make([]string, 0, len(f.daemons))
	for _, d := range f.daemons {
		urls = append(urls, d.URL())
	}
	return urls
}

// Instances is the whole list of instances, spares included, all live. Daemons reach one another
// by the addresses of their relays.
func (f *Fleet) Instances() []crinstance.Instance {
	list := make([]crinstance.Instance, 0, len(f.daemons))
	for _, d := range f.daemons {
		in := crinstance.Instance{
			Daemon: crid.Daemon(d.name), Domain: crid.Domain(d.domain), Addr: f.addrOf(d), State: crinstance.StateLive,
		}
		for _, t := range d.targets {
			in.Targets = append(in.Targets, crinstance.Target{Name: crid.Target(t.name), Service: crid.Service(t.service)})
		}
		list = append(list, in)
	}
	return list
}

// addrOf is where the other daemons find one.
func (f *Fleet) addrOf(d *Daemon) string {
	if f.opts.direct {
		return d.peer
	}
	return f.links.addr(d.name)
}

// SetInstances puts a list of instances on the platform and returns its revision.
func (f *Fleet) SetInstances(instances []crinstance.Instance) crid.Revision {
	return f.platform.SetInstances(instances)
}

// SetAccounts replaces the accounts and publishes.
func (f *Fleet) SetAccounts(accounts ...Account) (crid.Revision, error) {
	f.mu.Lock()
	f.accounts = append([]Account(nil), accounts...)
	f.mu.Unlock()
	return f.Publish()
}

// SetPolicy replaces a service's policy file and publishes.
func (f *Fleet) SetPolicy(service, text string) (crid.Revision, error) {
	f.mu.Lock()
	f.policies[service] = text
	f.mu.Unlock()
	return f.Publish()
}

// Publish builds accounts and policies and puts them on the platform.
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

// Runs counts, over all upstreams, how often each request of the load tool ran.
func (f *Fleet) Runs() map[string]int {
	all := make(map[string]int)
	for _, t := range f.targets {
		for id, n := range t.Runs().Requests {
			all[id] += n
		}
	}
	return all
}

// Log returns every run at every upstream, unordered.
func (f *Fleet) Log() []crupstream.Run {
	var all []crupstream.Run
	for _, t := range f.targets {
		all = append(all, t.Log()...)
	}
	return all
}

// Counts returns the calls that the platform has had.
func (f *Fleet) Counts() crplatform.Counts { return f.platform.Counts() }
