package crsoak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"camphorroad/lab/crstage"
	"camphorroad/lab/crstore"
	"camphorroad/lab/crtarget"
)

// addressPlan assigns the loopback addresses of a run. A machine has one address where
// its daemon listens, one that is advertised to others and handled by the relays, one
// for its target, and one for its relay to the store.
type addressPlan struct{ net int }

func (a addressPlan) addr(part, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.net, part, 10+i, port)
}

func (a addressPlan) listenAddr(i, port int) string     { return a.addr(1, i, port) }
func (a addressPlan) advertisedAddr(i, port int) string { return a.addr(2, i, port) }
func (a addressPlan) targetAddr(i, port int) string     { return a.addr(3, i, port) }
func (a addressPlan) storeAddr(i, port int) string      { return a.addr(4, i, port) }

// machineOf returns the index of the machine whose daemon listens at addr, and whether
// there is one.
func (a addressPlan) machineOf(addr netip.Addr) (int, bool) {
	b := addr.Unmap().As4()
	return int(b[3]) - 10, b[2] == 1
}

// services is the number of services; they are assigned to the machines round-robin.
const services = 2

// machine is a daemon process with its target and its relays.
type machine struct {
	index int
	addrs addressPlan
	dir   string
	links map[string]*relay // by name: peer, store, target
	proc  *process

	replaceMu    sync.Mutex // held while the target is replaced
	mu           sync.Mutex
	target       *crtarget.Target
	targetID     string // changes at each start of a target
	targetStarts int
	born         int // of the target's process: the number of its start, or its time in Unix milliseconds if targets are cold
}

func (m *machine) service() string { return "s" + strconv.Itoa(m.index%services) }
func (m *machine) domain() string  { return string(rune('a' + m.index%3)) }

// currentTarget returns the machine's target and its ID.
func (m *machine) currentTarget() (*crtarget.Target, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target, m.targetID
}

// fleet is the machines and the store of a run.
type fleet struct {
	ctx             context.Context //nolint:containedctx // cancels everything that the run started
	addrs           addressPlan
	binary          string
	env             []string
	dir             string
	store           *crstore.Store
	server          *http.Server
	cold            bool // targets are cold after a start
	machines        []*machine
	datagrams       *datagramRelay
	mu              sync.Mutex
	pastRuns        []crtarget.Run // of closed targets
	targets         []*crtarget.Target
	closed          map[*crtarget.Target]bool
	unexpectedExits []string // processes that exited without being stopped
}

func newFleet(ctx context.Context, opts Options) (*fleet, error) {
	n := opts.Machines
	f := &fleet{
		ctx: ctx, addrs: addressPlan{opts.Net}, binary: opts.Binary, env: append(os.Environ(), opts.Env...), dir: opts.Dir,
		store: crstore.New(), cold: opts.Cold, closed: make(map[*crtarget.Target]bool),
	}
	if err := f.serveStore(); err != nil {
		return nil, err
	}
	var err error
	if f.datagrams, err = newDatagramRelay(ctx, f.addrs, n); err != nil {
		return f, err
	}
	for i := range n {
		if err := f.addMachine(i, n); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) serveStore() error {
	l, err := new(net.ListenConfig).Listen(f.ctx, "tcp4", f.addrs.addr(5, 0, crstage.PortStore))
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }() // returns when the server is closed
	return nil
}

func (f *fleet) addMachine(i, n int) error {
	m := &machine{index: i, addrs: f.addrs, dir: f.dir, links: make(map[string]*relay)}
	for name, ends := range map[string][2]string{
		"peer":   {f.addrs.advertisedAddr(i, crstage.PortPeer), f.addrs.listenAddr(i, crstage.PortPeer)},
		"target": {f.addrs.advertisedAddr(i, crstage.PortTarget), f.addrs.targetAddr(i, crstage.PortTarget)},
		"store":  {f.addrs.storeAddr(i, crstage.PortStore), f.addrs.addr(5, 0, crstage.PortStore)},
	} {
		r, err := newRelay(f.ctx, ends[0], ends[1])
		if err != nil {
			return fmt.Errorf("relay of machine %d: %w", i, err)
		}
		m.links[name] = r
	}
	f.machines = append(f.machines, m)
	if err := m.writeSettings(n, f.cold); err != nil {
		return err
	}
	if err := f.startTarget(m); err != nil {
		return err
	}
	m.proc = newProcess(f, m)
	return m.proc.start()
}

// writeSettings writes the daemon's settings file.
func (m *machine) writeSettings(n int, cold bool) error {
	advertised, _, err := net.SplitHostPort(m.addrs.advertisedAddr(m.index, 0))
	if err != nil {
		return err
	}
	listen, _, err := net.SplitHostPort(m.addrs.listenAddr(m.index, 0))
	if err != nil {
		return err
	}
	cfg := crstage.Settings{
		Name: "m" + strconv.Itoa(m.index), Address: advertised, Listen: listen, Domain: m.domain(), Service: m.service(),
		Target: m.addrs.advertisedAddr(m.index, crstage.PortTarget), Store: m.addrs.storeAddr(m.index, crstage.PortStore),
		Seeds: [2]string{m.addrs.advertisedAddr((m.index+1)%n, crstage.PortControl), m.addrs.advertisedAddr((m.index+2)%n, crstage.PortControl)},
		Cold:  cold,
	}
	return os.WriteFile(m.settingsFile(), []byte(cfg.TOML()), 0o600)
}

func (m *machine) settingsFile() string {
	return filepath.Join(m.dir, "m"+strconv.Itoa(m.index)+".toml")
}

// startTarget starts a target with a new ID at a machine and registers it.
func (f *fleet) startTarget(m *machine) error {
	starts := m.targetStarts + 1
	id := fmt.Sprintf("i-%d-%d", m.index, starts)
	target, err := crtarget.Start(crtarget.Options{Address: f.addrs.targetAddr(m.index, crstage.PortTarget), ID: id, Slots: crstage.Slots})
	if err != nil {
		return err
	}
	target.SetBehaviour(healthyBehaviour())
	born := starts
	if f.cold {
		target.SetWarmup(crstage.WarmupTime, crstage.HealthPath)
		target.MakeCold()
		born = int(time.Now().UnixMilli())
	}
	m.mu.Lock()
	m.targetStarts, m.target, m.targetID, m.born = starts, target, id, born
	m.mu.Unlock()
	f.mu.Lock()
	f.targets = append(f.targets, target)
	f.mu.Unlock()
	f.register(m, false)
	return nil
}

// healthyBehaviour returns the behaviour of a target without a fault.
func healthyBehaviour() crtarget.Behaviour {
	return crtarget.Behaviour{ServiceTime: 15 * time.Millisecond}
}

// stopTarget closes a target without draining and keeps its runs.
func (f *fleet) stopTarget(m *machine) {
	target, _ := m.currentTarget()
	target.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pastRuns = append(f.pastRuns, target.Runs()...)
	f.closed[target] = true
}

// register writes the store record of a machine's target.
func (f *fleet) register(m *machine, leaving bool) {
	target, id := m.currentTarget()
	crstage.Register(f.store, id, crstage.Record{
		Address: f.addrs.advertisedAddr(m.index, crstage.PortTarget), Born: m.born, Service: m.service(), Domain: m.domain(), Leaving: leaving,
		Warmup: target.WarmupLeft(),
	})
}

// allRuns returns the runs of all targets so far, including closed ones.
func (f *fleet) allRuns() []crtarget.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := append([]crtarget.Run(nil), f.pastRuns...)
	for _, m := range f.machines {
		if target, _ := m.currentTarget(); !f.closed[target] {
			out = append(out, target.Runs()...)
		}
	}
	return out
}

// close kills all daemons and closes targets, relays and store.
func (f *fleet) close() error {
	var errs []error
	for _, m := range f.machines {
		if m.proc != nil {
			errs = append(errs, m.proc.kill())
		}
	}
	for _, m := range f.machines {
		if target, _ := m.currentTarget(); target != nil {
			target.Close()
		}
		for _, r := range m.links {
			r.close()
		}
	}
	if f.datagrams != nil {
		f.datagrams.close()
	}
	return errors.Join(append(errs, f.server.Close())...)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
