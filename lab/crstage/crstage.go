// Package crstage sets a stage for daemons that join a fleet through a store: it
// writes their settings, the records of their targets and a configuration, and
// runs stand-ins of store and targets.
//
// # Usage
//
//	stage, err := crstage.Start(ctx, crstage.Options{Dir: dir, Machines: 3, Net: 70})
//	for _, m := range stage.Machines() { start("camphorroad", "join", "--config", m.File()) }
//	defer stage.Close()
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

// Ports of the stage, the same on all machines.
const (
	PortTarget = 9000 + iota
	PortCaller
	PortReady
	PortPeer
	PortPages
	PortControl
	PortStore
)

// Bounds that all settings hold.
const (
	DrainTime   = 2 * time.Second
	GraceTime   = 6 * time.Second
	BudgetRatio = 0.2
	BudgetSlack = 40.0
	BudgetWindow  = 10 * time.Second
	Slots       = 4
)

// Settings are what a daemon's settings file says.
type Settings struct {
	Name    string
	Address string // as peers know it
	Listen  string // to listen at, if that is another one
	Domain  string
	Service string
	Target  string
	Seeds   [2]string
	Store   string
}

// TOML returns the file.
func (s Settings) TOML() string {
	listen := s.Listen
	if listen == "" {
		listen = s.Address
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", listen, port) }
	return fmt.Sprintf(`name = %q
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
memory = 200
[bounds]
drain = %d
grace = %v
ratio = %v
slack = %v
window = %v
`, s.Name, s.Address, s.Domain, s.Service, s.Target, s.Seeds[0], s.Seeds[1], at(PortCaller), at(PortReady), at(PortControl),
		at(PortPages), listen, PortPeer, PortPeer+1, s.Store,
		DrainTime.Milliseconds(), GraceTime.Seconds(), BudgetRatio, BudgetSlack, BudgetWindow.Seconds())
}

// Record is a target's entry in the store.
type Record struct {
	Address string
	Born    int
	Service string
	Domain  string
	Leaving bool
}

// Register writes a target's record.
func Register(s *crstore.Store, id string, r Record) {
	state := "ready"
	if r.Leaving {
		state = "draining"
	}
	s.Put("servers/"+id, fmt.Appendf(nil, `{"address":%q,"born":%d,"information":{"service":%q,"version":"v1","zone":%q,"slots":%d},
"status":{"state":%q,"sequence":1,"warmup-remaining-ms":0}}`, r.Address, r.Born, r.Service, r.Domain, Slots, state))
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

// Publish writes a configuration: reads and writes to the services s0 and s1.
func Publish(s *crstore.Store, version int, accounts []Account) error {
	listed, err := json.Marshal(accounts)
	if err != nil {
		return fmt.Errorf("encode the accounts: %w", err)
	}
	s.Put("op/config", fmt.Appendf(nil, `{"version":"%08x","services":[{"name":"s0"},{"name":"s1"}],"limits":{},"tenants":%s,
"virtual-hosts":[{"host":"h.example","path-routes":[
{"name":"look","path-prefix":"/look/","kind":"idempotent","timeout-ms":1500,"objective-latency-ms":800,"priority":2,"service":"s0","max-attempts":3},
{"name":"hold","path-prefix":"/hold/","kind":"non_idempotent","timeout-ms":1500,"objective-latency-ms":800,"priority":1,"service":"s0","max-attempts":3},
{"name":"read","path-prefix":"/read/","kind":"idempotent","timeout-ms":1500,"objective-latency-ms":800,"priority":2,"service":"s1","max-attempts":2},
{"name":"pay","path-prefix":"/pay/","kind":"non_idempotent","timeout-ms":1500,"objective-latency-ms":800,"priority":0,"service":"s1","max-attempts":2}]}]}`,
		version, listed))
	return nil
}

// Options are the settings of a stage.
type Options struct {
	Dir      string // for the daemons' settings
	Machines int
	Net      int // second byte of the loopback addresses
	Key      string
}

// Machine is one machine of a stage.
type Machine struct {
	name, file, caller, ready string
	target                    *crtarget.Target
}

// Name returns the machine's name.
func (m *Machine) Name() string { return m.name }

// File returns the daemon's settings file.
func (m *Machine) File() string { return m.file }

// Caller returns the address where callers enter.
func (m *Machine) Caller() string { return m.caller }

// Ready returns the address of the daemon's pages.
func (m *Machine) Ready() string { return m.ready }

// Environment is a store with targets.
type Environment struct {
	store    *crstore.Store
	server   *http.Server
	machines []*Machine
}

// Start sets a stage with one service.
func Start(ctx context.Context, opts Options) (*Environment, error) {
	s := &Environment{store: crstore.New()}
	address := fmt.Sprintf("127.%d.5.10:%d", opts.Net, PortStore)
	l, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // ends when the server is closed
	if err := Publish(s.store, 1, []Account{{Name: "surveyor", Keys: []string{opts.Key}, Rate: 50, Burst: 100}}); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	for i := range opts.Machines {
		if err := s.add(opts, i, address); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	return s, nil
}

func (s *Environment) add(opts Options, i int, store string) error {
	host := func(i int) string { return fmt.Sprintf("127.%d.1.%d", opts.Net, 10+i%opts.Machines) }
	at := func(port int) string { return fmt.Sprintf("%s:%d", host(i), port) }
	m := &Machine{name: fmt.Sprintf("machine-%d", i), caller: at(PortCaller), ready: at(PortReady)}
	id := fmt.Sprintf("target-%d", i)
	target, err := crtarget.Start(crtarget.Options{Address: at(PortTarget), ID: id, Slots: Slots})
	if err != nil {
		return err
	}
	m.target = target
	s.machines = append(s.machines, m)
	cfg := Settings{
		Name: m.name, Address: host(i), Domain: string(rune('a' + i%3)), Service: "s0", Target: at(PortTarget), Store: store,
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

// Close ends the stand-ins.
func (s *Environment) Close() error {
	for _, m := range s.machines {
		m.target.Close()
	}
	return s.server.Close()
}
