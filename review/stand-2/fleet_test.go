package stand2

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the small deployment: a daemon and the target beside it.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	service string
	seq     int // position in the deployment
	store   string
	ports   ports
	target  *target

	mu   sync.Mutex
	proc *exec.Cmd
	done chan struct{}
	code int
}

// ports are the ports of a machine. They are the same on all machines.
type ports struct{ caller, ready, app, pages, control, first int }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *record
	store    *store
	dir      string
	ports    ports
	machines []*machine

	mu      sync.Mutex
	stopped bool
}

const repoProgram = "target/camphorroad"

// newFleet returns a deployment with a store and no machines.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	base, err := freeBase()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		rec: rec, dir: dir, store: newStore(),
		ports: ports{caller: base, ready: base + 1, app: base + 2, pages: base + 3, control: base + 4, first: base + 5},
	}
	return f, f.store.listen(net.JoinHostPort(f.address(250), strconv.Itoa(base)))
}

// network is the first half of the loopback addresses of this run.
var network = fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, 1+(os.Getpid()/200)%250)

func (*fleet) address(n int) string { return network + strconv.Itoa(n) }

// freeBase returns the first of a range of ports that is free.
func freeBase() (int, error) {
	for base := 21000; base < 31000; base += 40 {
		free := true
		for p := base; p < base+24 && free; p++ {
			l, err := net.Listen("tcp4", net.JoinHostPort(network+"1", strconv.Itoa(p)))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// add adds a machine with a target.
func (f *fleet) add(zone, service string) (*machine, error) {
	n := len(f.machines) + 1
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: f.address(n), zone: zone, service: service, seq: n,
		store: f.store.address, ports: f.ports,
	}
	m.target = newTarget(f.rec, fmt.Sprintf("i-%d", n), service, m.ip+":"+strconv.Itoa(m.ports.app))
	if err := m.target.listen(); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	f.store.put("servers/"+m.target.id, m.target.entry(zone))
	return m, nil
}

func (f *fleet) zones() []string {
	var out []string
	for _, m := range f.machines {
		if !strings.Contains(","+strings.Join(out, ",")+",", ","+m.zone+",") {
			out = append(out, m.zone)
		}
	}
	return out
}

// settings returns what the template of the deploy file gives for the machine.
func (m *machine) settings(first bool) string {
	var seeds []string
	for _, o := range m.fleet.machines[:min(len(m.fleet.machines), 3)] {
		seeds = append(seeds, strconv.Quote(net.JoinHostPort(o.ip, strconv.Itoa(o.ports.control))))
	}
	at := func(p int) string { return net.JoinHostPort(m.ip, strconv.Itoa(p)) }
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\naddress = %q\ndomain = %q\nservice = %q\ntarget = %q\nfirst = %v\nseeds = [%s]\n\n", m.name, m.ip, m.zone, m.service, at(m.ports.app), first, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "[listen]\ncaller = %q\nready = %q\ncontrol = %q\npages = %q\nports = [%d,%d]\n\n", at(m.ports.caller), at(m.ports.ready), at(m.ports.control), at(m.ports.pages), m.ports.first, m.ports.first+15)
	fmt.Fprintf(&b, "[store]\naddress = %q\n\n[limits]\nmemory = %d\n\n", m.store, memoryMB)
	fmt.Fprintf(&b, "[bounds]\ndrain = 2000\ngrace = %d\nratio = 0.2\nslack = 56\nwindow = 10\nquotatime = 5\nquotaover = 0.25\n\n[regions]\n", graceSeconds)
	for _, z := range m.fleet.zones() {
		fmt.Fprintf(&b, "%q = \"taipei-dc\"\n", z)
	}
	return b.String()
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start(first bool) error {
	file := filepath.Join(m.fleet.dir, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings(first)), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(repoProgram, "join")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CAMPHORROAD_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.proc, m.done = cmd, done
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logs.Close()
		m.code = cmd.ProcessState.ExitCode()
		close(done)
	}()
	return nil
}

// startAll starts all daemons and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	f.rec.event("all daemons are ready")
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proc != nil {
		_ = m.proc.Process.Signal(s)
	}
}

// ended reports whether the daemon's process has ended.
func (m *machine) ended() bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func (m *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", m.ip, m.ports.ready), nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.ended() {
			return fmt.Errorf("%s ended at its start", m.name)
		}
		if m.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", m.name)
}

// caller is the address at which clients of the machine send requests.
func (m *machine) caller() string { return net.JoinHostPort(m.ip, strconv.Itoa(m.ports.caller)) }

// stop ends all daemons and removes the temporary folder.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	for _, m := range f.machines {
		if m.proc != nil && !m.ended() {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
			<-m.done
		}
		m.target.close()
	}
	f.store.close()
	_ = os.RemoveAll(f.dir)
}
