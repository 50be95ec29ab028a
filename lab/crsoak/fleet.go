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

// addresses is the plan of the loopback addresses of one run. A machine has one
// that its daemon listens at, one that others know and that leads through the
// relays, one for its target and one for its way to the store.
type addresses struct{ net int }

func (a addresses) at(part, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.net, part, 10+i, port)
}

func (a addresses) real(i, port int) string   { return a.at(1, i, port) }
func (a addresses) known(i, port int) string  { return a.at(2, i, port) }
func (a addresses) target(i, port int) string { return a.at(3, i, port) }
func (a addresses) store(i, port int) string  { return a.at(4, i, port) }

// machineOf returns the machine whose daemon has an address.
func (a addresses) machineOf(addr netip.Addr) (int, bool) {
	b := addr.Unmap().As4()
	return int(b[3]) - 10, b[2] == 1
}

// services is the number of services that the machines' targets serve in turn.
const services = 2

// machine is a daemon's process with its target and its links.
type machine struct {
	index int
	plan  addresses
	dir   string
	links map[string]*relay // peer, store, target
	proc  *process

	replacing sync.Mutex // held while the target is replaced
	mu        sync.Mutex
	target    *crtarget.Target
	id        string // of the target; new at each of its starts
	starts    int
}

func (m *machine) service() string { return "s" + strconv.Itoa(m.index%services) }
func (m *machine) domain() string  { return string(rune('a' + m.index%3)) }

// at returns the machine's target and its name.
func (m *machine) at() (*crtarget.Target, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target, m.id
}

// fleet is all machines of a run, and the store.
type fleet struct {
	ctx      context.Context //nolint:containedctx // ends all that the run started
	plan     addresses
	binary   string
	env      []string
	dir      string
	store    *crstore.Store
	server   *http.Server
	machines []*machine
	grams    *datagrams
	mu       sync.Mutex
	runs     []crtarget.Run // of targets that are gone
	ended    map[*crtarget.Target]bool
	exits    []string // processes that ended otherwise than told to
}

func newFleet(ctx context.Context, opts Options) (*fleet, error) {
	n := opts.Machines
	f := &fleet{
		ctx: ctx, plan: addresses{opts.Net}, binary: opts.Binary, env: append(os.Environ(), opts.Env...), dir: opts.Dir,
		store: crstore.New(), ended: make(map[*crtarget.Target]bool),
	}
	if err := f.serveStore(); err != nil {
		return nil, err
	}
	var err error
	if f.grams, err = newDatagrams(ctx, f.plan, n); err != nil {
		return f, err
	}
	for i := range n {
		if err := f.add(i, n); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) serveStore() error {
	l, err := new(net.ListenConfig).Listen(f.ctx, "tcp4", f.plan.at(5, 0, crstage.PortStore))
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }() // ends when the server is closed
	return nil
}

func (f *fleet) add(i, n int) error {
	m := &machine{index: i, plan: f.plan, dir: f.dir, links: make(map[string]*relay)}
	for name, way := range map[string][2]string{
		"peer":   {f.plan.known(i, crstage.PortPeer), f.plan.real(i, crstage.PortPeer)},
		"target": {f.plan.known(i, crstage.PortTarget), f.plan.target(i, crstage.PortTarget)},
		"store":  {f.plan.store(i, crstage.PortStore), f.plan.at(5, 0, crstage.PortStore)},
	} {
		r, err := newRelay(f.ctx, way[0], way[1])
		if err != nil {
			return fmt.Errorf("relay of machine %d: %w", i, err)
		}
		m.links[name] = r
	}
	f.machines = append(f.machines, m)
	if err := m.writeSettings(n); err != nil {
		return err
	}
	if err := f.startTarget(m); err != nil {
		return err
	}
	m.proc = newProcess(f, m)
	return m.proc.start()
}

// writeSettings writes the daemon's settings file.
func (m *machine) writeSettings(n int) error {
	known, _, err := net.SplitHostPort(m.plan.known(m.index, 0))
	if err != nil {
		return err
	}
	listen, _, err := net.SplitHostPort(m.plan.real(m.index, 0))
	if err != nil {
		return err
	}
	cfg := crstage.Settings{
		Name: "m" + strconv.Itoa(m.index), Address: known, Listen: listen, Domain: m.domain(), Service: m.service(),
		Target: m.plan.known(m.index, crstage.PortTarget), Store: m.plan.store(m.index, crstage.PortStore),
		Seeds: [2]string{m.plan.known((m.index+1)%n, crstage.PortControl), m.plan.known((m.index+2)%n, crstage.PortControl)},
	}
	return os.WriteFile(m.settings(), []byte(cfg.TOML()), 0o600)
}

func (m *machine) settings() string {
	return filepath.Join(m.dir, "m"+strconv.Itoa(m.index)+".toml")
}

// startTarget starts a new incarnation of a machine's target and registers it.
func (f *fleet) startTarget(m *machine) error {
	starts := m.starts + 1
	id := fmt.Sprintf("i-%d-%d", m.index, starts)
	target, err := crtarget.Start(crtarget.Options{Address: f.plan.target(m.index, crstage.PortTarget), ID: id, Slots: crstage.Slots})
	if err != nil {
		return err
	}
	target.SetBehaviour(calm())
	m.mu.Lock()
	m.starts, m.target, m.id = starts, target, id
	m.mu.Unlock()
	f.register(m, false)
	return nil
}

// calm is how a target works without a fault.
func calm() crtarget.Behaviour { return crtarget.Behaviour{ServiceTime: 15 * time.Millisecond} }

// endTarget ends a target at once and keeps what ran on it.
func (f *fleet) endTarget(m *machine) {
	target, _ := m.at()
	target.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, target.Runs()...)
	f.ended[target] = true
}

// register writes the record of a machine's target.
func (f *fleet) register(m *machine, leaving bool) {
	_, id := m.at()
	crstage.Register(f.store, id, crstage.Record{
		Address: f.plan.known(m.index, crstage.PortTarget), Born: m.starts, Service: m.service(), Domain: m.domain(), Leaving: leaving,
	})
}

// allRuns returns what ran at all targets so far.
func (f *fleet) allRuns() []crtarget.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := append([]crtarget.Run(nil), f.runs...)
	for _, m := range f.machines {
		if target, _ := m.at(); !f.ended[target] {
			out = append(out, target.Runs()...)
		}
	}
	return out
}

// close ends all that the run started.
func (f *fleet) close() error {
	var errs []error
	for _, m := range f.machines {
		if m.proc != nil {
			errs = append(errs, m.proc.kill())
		}
	}
	for _, m := range f.machines {
		if target, _ := m.at(); target != nil {
			target.Close()
		}
		for _, r := range m.links {
			r.close()
		}
	}
	if f.grams != nil {
		f.grams.close()
	}
	return errors.Join(append(errs, f.server.Close())...)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
