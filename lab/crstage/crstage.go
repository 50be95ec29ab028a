// Package crstage sets up a local environment for daemons that join a fleet through
// a store: it runs a fake store (crstore) and fake targets (crtarget) in this process
// and writes the daemons' settings files, the targets' records and a configuration.
// It starts no daemons. The command "camphorlab stage" uses the whole environment;
// crsoak uses the settings, records and configurations with fakes of its own.
//
// # Usage
//
//	env, err := crstage.Start(ctx, crstage.Options{Dir: dir, Machines: 3, Net: 70, Key: key})
//	defer env.Close()
//	for _, m := range env.Machines() { start("camphorroad", "join", "--config", m.File()) }
package crstage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"camphorroad/lab/crstore"
	"camphorroad/lab/crtarget"
)

// Ports, the same on all machines.
const (
	PortTarget = 9000 + iota
	PortCaller
	PortReady
	PortPeer
	PortPages
	PortControl
	PortStore
)

// Values in the [bounds] section of every settings file, and the slots of every target.
const (
	DrainTime    = 2 * time.Second
	GraceTime    = 6 * time.Second
	BudgetRatio  = 0.2
	BudgetSlack  = 40.0
	BudgetWindow = 10 * time.Second
	Slots        = 4
)

// defaultMemory is the memory of a machine in MB.
const defaultMemory = 200

// Warm-up of the targets, if they are cold after a start.
const (
	WarmupTime  = 3 * time.Second
	WarmupRate  = 11.0 // requests a second that a cold target tolerates
	WarmupRatio = 1.5
	WarmupSlack = 8.0
	WarmupLimit = WarmupRate*WarmupRatio + WarmupSlack // requests that a cold target may get in a second
	HealthPath  = "/health"
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	Name    string
	Address string // host advertised to peers
	Listen  string // host to listen on; empty: Address
	Domain  string
	Service string
	Target  string    // address
	Seeds   [2]string // control addresses of two peers
	Store   string    // address
	Memory  int       // MB of the machine; zero: 200
	Cold    bool      // targets are cold after a start
}

// TOML returns the settings as the text of a settings file.
func (s Settings) TOML() string {
	listen := s.Listen
	if listen == "" {
		listen = s.Address
	}
	memory := s.Memory
	if memory == 0 {
		memory = defaultMemory
	}
	addr := func(port int) string { return fmt.Sprintf("%s:%d", listen, port) }
	text := fmt.Sprintf(`name = %q
address = %q
domain = %q
service = %q
target = %q
seeds = [%q, %q]
[listen]
caller = %q
ready = %q
control = %q
pages = %q
host = %q
ports = [%d, %d]
[store]
address = %q
[limits]
memory = %d
[bounds]
drain = %d
grace = %v
ratio = %v
slack = %v
window = %v
`, s.Name, s.Address, s.Domain, s.Service, s.Target, s.Seeds[0], s.Seeds[1], addr(PortCaller), addr(PortReady), addr(PortControl),
		addr(PortPages), listen, PortPeer, PortPeer+1, s.Store, memory,
		DrainTime.Milliseconds(), GraceTime.Seconds(), BudgetRatio, BudgetSlack, BudgetWindow.Seconds())
	if s.Cold {
		text += fmt.Sprintf("warmratio = %v\nwarmslack = %v\n", WarmupRatio, WarmupSlack)
	}
	return text
}

// Record is a target's record in the store.
type Record struct {
	Address string
	Born    int // number of the target's start; greater after a restart
	Service string
	Domain  string
	Leaving bool
	Warmup  time.Duration // for which the target stays cold
}

// Register writes a target's record.
func Register(s *crstore.Store, id string, r Record) {
	state := "ready"
	if r.Leaving {
		state = "draining"
	}
	s.Put("servers/"+id, fmt.Appendf(nil, `{"address":%q,"born":%d,"information":{"service":%q,"version":"v1","zone":%q,"slots":%d},
"status":{"state":%q,"sequence":1,"warmup-remaining-ms":%d}}`, r.Address, r.Born, r.Service, r.Domain, Slots, state, r.Warmup.Milliseconds()))
}

// Deregister removes a target's record.
func Deregister(s *crstore.Store, id string) { s.Remove("servers/" + id) }

// Account is a client account of the configuration.
type Account struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api-keys"`
	Rate  float64  `json:"rate-per-s"` // zero: no limit
	Burst float64  `json:"burst"`
}

// Publish writes a configuration with idempotent and non-idempotent routes, an upload
// route and a download route to the services s0 and s1. With cold, their targets are cold after a start.
func Publish(s *crstore.Store, version int, accounts []Account, cold bool) error {
	encoded, err := json.Marshal(accounts)
	if err != nil {
		return fmt.Errorf("encode the accounts: %w", err)
	}
	warmup := ""
	if cold {
		warmup = fmt.Sprintf(`,"health-check-path":%q,"warmup-s":%v,"warmup-per-s":%v`, HealthPath, WarmupTime.Seconds(), WarmupRate)
	}
	s.Put("op/config", fmt.Appendf(nil, `{"version":"%08x","services":[{"name":"s0"%s},{"name":"s1"%s}],"limits":{},"tenants":%s,
"virtual-hosts":[{"host":"h.example","path-routes":[
{"name":"look","path-prefix":"/look/","kind":"idempotent","timeout-ms":1500,"objective-latency-ms":800,"priority":2,"service":"s0","max-attempts":3},
{"name":"hold","path-prefix":"/hold/","kind":"non_idempotent","timeout-ms":1500,"objective-latency-ms":800,"priority":1,"service":"s0","max-attempts":3},
{"name":"read","path-prefix":"/read/","kind":"idempotent","timeout-ms":1500,"objective-latency-ms":800,"priority":2,"service":"s1","max-attempts":2},
{"name":"pay","path-prefix":"/pay/","kind":"non_idempotent","timeout-ms":1500,"objective-latency-ms":800,"priority":0,"service":"s1","max-attempts":2},
{"name":"put","path-prefix":"/put/","kind":"upload","timeout-ms":1500,"objective-latency-ms":800,"priority":2,"service":"s0","max-attempts":3},
{"name":"get","path-prefix":"/get/","kind":"download","timeout-ms":1500,"objective-latency-ms":800,"priority":2,"service":"s1","max-attempts":2}]}]}`,
		version, warmup, warmup, encoded))
	return nil
}

// Options configure an environment.
type Options struct {
	Dir      string // directory for the daemons' settings files
	Machines int
	Net      int       // second byte of the loopback addresses
	Key      string    // API key of an account
	Accounts []Account // further accounts

	Memory  int     // MB of each machine; zero: 200
	Limit   float64 // requests a second that the first target says it takes; zero: it names no limit
	Leaving bool    // the first target says that it leaves, and its record does not
}

// Machine is one loopback address with a target and the settings of a daemon.
type Machine struct {
	name, file, caller, ready string
	target                    *crtarget.Target
}

// Name returns the machine's name.
func (m *Machine) Name() string { return m.name }

// File returns the path of the daemon's settings file.
func (m *Machine) File() string { return m.file }

// Caller returns the address on which the daemon serves callers.
func (m *Machine) Caller() string { return m.caller }

// Ready returns the address of the daemon's readiness endpoint.
func (m *Machine) Ready() string { return m.ready }

// Environment is a fake store with a fake target on each machine.
type Environment struct {
	store    *crstore.Store
	server   *http.Server
	machines []*Machine
}

// Start runs the store and the targets of one service, and writes all settings and records.
func Start(ctx context.Context, opts Options) (*Environment, error) {
	s := &Environment{store: crstore.New()}
	address := fmt.Sprintf("127.%d.5.10:%d", opts.Net, PortStore)
	l, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // returns when the server is closed
	accounts := append([]Account{{Name: "surveyor", Keys: []string{opts.Key}, Rate: 50, Burst: 100}}, opts.Accounts...)
	if err := Publish(s.store, 1, accounts, false); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	for i := range opts.Machines {
		if err := s.addMachine(opts, i, address); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	return s, nil
}

func (s *Environment) addMachine(opts Options, i int, store string) error {
	host := func(i int) string { return fmt.Sprintf("127.%d.1.%d", opts.Net, 10+i%opts.Machines) }
	addr := func(port int) string { return fmt.Sprintf("%s:%d", host(i), port) }
	m := &Machine{name: fmt.Sprintf("machine-%d", i), caller: addr(PortCaller), ready: addr(PortReady)}
	id := fmt.Sprintf("target-%d", i)
	target, err := crtarget.Start(crtarget.Options{Address: addr(PortTarget), ID: id, Slots: Slots})
	if err != nil {
		return err
	}
	if i == 0 {
		target.SetLimit(opts.Limit)
		if opts.Leaving {
			target.SetLeaving()
		}
	}
	m.target = target
	s.machines = append(s.machines, m)
	cfg := Settings{
		Name: m.name, Address: host(i), Domain: string(rune('a' + i%3)), Service: "s0", Target: addr(PortTarget), Store: store, Memory: opts.Memory,
		Seeds: [2]string{fmt.Sprintf("%s:%d", host(i+1), PortControl), fmt.Sprintf("%s:%d", host(i+2), PortControl)},
	}
	m.file = filepath.Join(opts.Dir, m.name+".toml")
	if err := os.WriteFile(m.file, []byte(cfg.TOML()), 0o600); err != nil {
		return err
	}
	Register(s.store, id, Record{Address: cfg.Target, Born: 1, Service: cfg.Service, Domain: cfg.Domain})
	return nil
}

// Machines returns the machines.
func (s *Environment) Machines() []*Machine { return append([]*Machine(nil), s.machines...) }

// Close stops the targets and the store.
func (s *Environment) Close() error {
	for _, m := range s.machines {
		m.target.Close()
	}
	return s.server.Close()
}
