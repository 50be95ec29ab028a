package stand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	portInbound  = 8401
	portOutbound = 8402
	portTarget   = 8403
	portControl  = 8404
	portReady    = 8406
	portStore    = 8408
	portPages    = 9464
	firstPort    = 7660
	lastPort     = 7675
)

const (
	grace        = 6 * time.Second
	restartDelay = 300 * time.Millisecond
)

// record notes what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	lines []string
	byID  map[string]*request
}

type request struct {
	id, account string
	once        bool // it may run at most once
	sent        time.Time
	answered    time.Time
	status      int // zero: no complete answer
	runs        []time.Time
	targets     []string
}

func newRecord() *record { return &record{began: time.Now(), byID: make(map[string]*request)} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(format, args...)
}

func (r *record) note(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) ran(target string, req *http.Request, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := req.Header.Get("Request-Id")
	r.note("run   %s %s %s at %s, tenant %q, body of %d bytes", id, req.Method, req.URL.Path, target, req.Header.Get("Tenant-Name"), size)
	q := r.byID[id]
	if q == nil {
		q = &request{id: id}
		r.byID[id] = q
	}
	q.runs, q.targets = append(q.runs, time.Now()), append(q.targets, target)
}

func (r *record) requests() []*request {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*request
	for _, q := range r.byID {
		c := *q
		out = append(out, &c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].sent.Before(out[j].sent) })
	return out
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// fleet is a small deployment: a store, and machines with a target and a daemon each.
type fleet struct {
	root, dir string // repository; temporary folder
	net       int    // second byte of all addresses
	record    *record
	store     *store
	server    *http.Server
	machines  []*machine
}

type machine struct {
	fleet    *fleet
	name, ip string
	zone     string
	target   *target
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped chan struct{} // closed when the process has ended
	over    bool
	ends    int // ends of the process that nobody asked for
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func newFleet(root string, n int, opts func(i int) targetOptions) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: newRecord(), store: newStore()}
	for range 50 {
		f.net = 64 + rand.IntN(180)
		if f.isFree(n) {
			break
		}
		f.net = 0
	}
	if f.net == 0 {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	ln, err := net.Listen("tcp4", f.storeAddress())
	if err != nil {
		return nil, err
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(ln) }()
	for i := range n {
		m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%d", i), ip: f.ip(i), zone: string(rune('a' + i%2))}
		o := opts(i)
		o.id, o.address = fmt.Sprintf("i-%08x", rand.Uint32()), m.address(portTarget)
		if m.target, err = startTarget(f.record, o); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
		f.register(m)
	}
	return f, nil
}

func (f *fleet) ip(i int) string      { return fmt.Sprintf("127.%d.1.%d", f.net, 10+i) }
func (f *fleet) storeAddress() string { return fmt.Sprintf("127.%d.5.10:%d", f.net, portStore) }

func (f *fleet) isFree(n int) bool {
	for i := range n {
		for _, port := range []int{portInbound, portOutbound, portTarget, portControl, portReady, portPages, firstPort} {
			ln, err := net.Listen("tcp4", net.JoinHostPort(f.ip(i), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (f *fleet) register(m *machine) {
	o := m.target.opts
	value, _ := json.Marshal(map[string]any{
		"address": o.address, "born": m.target.started.UnixMilli(),
		"information": map[string]any{"service": o.service, "version": "v1", "zone": m.zone, "slots": o.slots},
		"status":      map[string]any{"state": "ready", "sequence": 1, "warmup-remaining-ms": o.warmup.Milliseconds()},
	})
	f.store.put("servers/"+o.id, value)
}

// configure writes the configuration as the operator does.
func (f *fleet) configure(config map[string]any) {
	value, _ := json.Marshal(config)
	f.store.put("op/config", value)
}

// settings is the rendered template of the deploy file.
func (m *machine) renderSettings(bounds string, memoryMB int) string {
	return fmt.Sprintf(`name = %q
address = %q
domain = %q
service = %q
target = %q
first = true
seeds = [%q, %q]

[listen]
caller = %q
ready = %q
control = %q
pages = %q
ports = [%d, %d]

[store]
address = %q

[limits]
memory = %d

[bounds]
%s

[regions]
"a" = "r"
"b" = "r"
`, m.name, m.ip, m.zone, m.target.opts.service, m.address(portTarget), m.fleet.machines[0].address(portControl), m.fleet.machines[1].address(portControl),
		m.address(portOutbound), m.address(portReady), m.address(portControl), m.address(portPages), firstPort, lastPort, m.fleet.storeAddress(), memoryMB, bounds)
}

// startAll starts the daemons and waits until they are ready.
func (f *fleet) startAll(bounds string, memoryMB int) error {
	for _, m := range f.machines {
		m.settings = filepath.Join(f.dir, m.name+".toml")
		if err := os.WriteFile(m.settings, []byte(m.renderSettings(bounds, memoryMB)), 0o600); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if !m.waitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	return nil
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/camphorroad", "join")
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.fleet.root, log, log
	cmd.Env = []string{"CAMPHORROAD_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	stopped := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.stopped = cmd, stopped
	m.mu.Unlock()
	m.fleet.record.add("%s starts, process %d", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		m.fleet.record.add("%s ends: %v", m.name, err)
		close(stopped)
	}()
	return nil
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(portReady) + "/ready") // GET /readiness by deploy/wire.toml
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) waitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.ready() {
			return true
		}
	}
	return false
}

// terminate stops the daemon as the platform does: SIGTERM, and SIGKILL after the grace period.
func (m *machine) terminate() {
	m.mu.Lock()
	cmd, stopped := m.cmd, m.stopped
	m.mu.Unlock()
	m.fleet.record.add("SIGTERM to %s", m.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-stopped:
	case <-time.After(grace):
		m.fleet.record.add("SIGKILL to %s", m.name)
		_ = cmd.Process.Kill()
		<-stopped
	}
}

// restart stops the daemon and starts it again.
func (m *machine) restart() error {
	m.terminate()
	time.Sleep(restartDelay)
	return m.start()
}

// stop ends all processes and listeners.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.mu.Lock()
		cmd, stopped := m.cmd, m.stopped
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-stopped
		}
		_ = m.target.ln.Close()
	}
	_ = f.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// call is a request of a client.
type call struct {
	method, host, path, key, account string
	once                             bool
	deadline                         time.Duration
	body                             []byte
}

var (
	callMu    sync.Mutex
	callCount int
)

// send sends a request on a new connection to the daemon of a machine, and notes the answer.
func (m *machine) send(c call) int {
	callMu.Lock()
	callCount++
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), callCount)
	callMu.Unlock()
	r := m.fleet.record
	q := &request{id: id, account: c.account, once: c.once, sent: time.Now()}
	r.mu.Lock()
	r.byID[id] = q
	r.note("send  %s %s %s to %s, body of %d bytes", id, c.method, c.path, m.name, len(c.body))
	r.mu.Unlock()
	status, err := m.exchange(c, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	q.answered, q.status = time.Now(), status
	if err != nil {
		r.note("reply %s none: %v", id, err)
	} else {
		r.note("reply %s %d", id, status)
	}
	return status
}

func (m *machine) exchange(c call, id string) (int, error) {
	conn, err := net.DialTimeout("tcp4", m.address(portOutbound), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n", c.method, c.path, c.host, id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", c.key)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.Write(c.body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
