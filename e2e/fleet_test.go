// Package e2e proves the users' promises over real processes: daemons are
// started from this test binary, killed, frozen, restarted and cut off from one
// another, while the stand-ins count what really ran.
package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/command"
	"camphorroad/command/cert"
	"camphorroad/command/factory"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crpolicyfile"
	labplatform "camphorroad/lab/crplatform"
	"camphorroad/lab/crupstream"
)

// roleEnv makes this test binary run as the daemon.
const roleEnv = "CAMPHORROAD_E2E_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(roleEnv) != "" {
		os.Exit(command.RunProcess(os.Args[1:]))
	}
	os.Exit(m.Run())
}

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet over real processes")
}

// account is a caller of the fleet.
type account struct {
	name  string
	rate  float64
	burst float64
}

func (a account) key() string { return "crk_test-" + a.name }

// fleet is daemons as processes, with the stand-ins in this process.
type fleet struct {
	dir       string
	platform  *labplatform.Platform
	server    *httptest.Server
	accounts  []account
	policy    string // TOML of the service
	daemons   []*daemon
	upstreams []*crupstream.Upstream
	relays    *relays
}

// daemon is one process.
type daemon struct {
	fleet  *fleet
	name   string
	config string
	http   string
	peer   string
	admin  string
	log    *lockedBuffer
	cmd    *exec.Cmd
	done   chan error
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

const bookingPolicy = `
[service]
name = "booking"
floor = 2
slots = 5
queue = 40
connections = 300
echo = "X-Request-Echo"
[[route]]
name = "kits"
methods = ["GET"]
prefix = "/kits"
class = "repeat"
timeout = "2s"
[[route]]
name = "hold"
methods = ["POST"]
prefix = "/holds"
class = "once"
timeout = "2s"
`

// newFleet starts n daemons, each with one upstream, in three domains, and
// waits until all are ready and the accounts' first tokens are minted.
func newFleet(n int, service time.Duration, accounts ...account) *fleet {
	f := &fleet{
		dir:      GinkgoT().TempDir(),
		platform: labplatform.New(0),
		accounts: accounts,
		policy:   bookingPolicy,
		relays:   newRelays(),
	}
	f.server = httptest.NewServer(f.platform.Handler())
	DeferCleanup(f.server.Close)
	DeferCleanup(f.relays.close)
	for i := range n {
		f.addDaemon(i, service)
	}
	f.publish()
	f.platform.SetInstances(f.instances())
	for _, d := range f.daemons {
		d.start()
	}
	f.waitReady()
	f.waitTokens()
	return f
}

func (f *fleet) addDaemon(i int, service time.Duration) {
	name := fmt.Sprintf("booking-%d", i+1)
	up := crupstream.New(crupstream.Options{Name: name, Slots: 5, Queue: 20, Service: service})
	srv := httptest.NewServer(up)
	DeferCleanup(srv.Close)
	f.upstreams = append(f.upstreams, up)
	d := &daemon{fleet: f, name: name, http: freeTCP(), peer: freeUDP(), admin: freeTCP(), log: &lockedBuffer{}}
	f.daemons = append(f.daemons, d)
	out := &factory.Factory{Out: GinkgoWriter, ErrOut: GinkgoWriter}
	Expect(cert.NewDev(f.dir, name).Run(out)).To(Succeed())
	d.config = filepath.Join(f.dir, name+".toml")
	text := fmt.Sprintf(`name = %q
domain = %q
[listen]
http = %q
peer = %q
admin = %q
[platform]
url = %q
[tls]
cert = %q
key = %q
ca = %q
[trace]
file = %q
[[target]]
name = %q
service = "booking"
addr = %q
`, name, f.domain(i), d.http, d.peer, d.admin, f.server.URL,
		filepath.Join(f.dir, name+".pem"), filepath.Join(f.dir, name+".key"), filepath.Join(f.dir, "ca.pem"),
		d.trace(), name, strings.TrimPrefix(srv.URL, "http://"))
	Expect(os.WriteFile(d.config, []byte(text), 0o600)).To(Succeed())
	f.relays.add(name, d.peer)
}

func (f *fleet) domain(i int) string { return fmt.Sprintf("domain-%d", i%3+1) }

// instances is the platform's list; peers reach one another through the relays.
func (f *fleet) instances() []crinstance.Instance {
	var list []crinstance.Instance
	for i, d := range f.daemons {
		list = append(list, crinstance.Instance{
			Daemon: crid.Daemon(d.name), Domain: crid.Domain(f.domain(i)), Addr: f.relays.addr(d.name), State: crinstance.StateLive,
			Targets: []crinstance.Target{{Name: crid.Target(d.name), Service: "booking"}},
		})
	}
	return list
}

// publish builds the accounts and the policy and puts them on the platform.
func (f *fleet) publish() crid.Revision {
	var b strings.Builder
	for _, a := range f.accounts {
		fmt.Fprintf(&b, "[[account]]\nname = %q\nrate = %g\nburst = %g\nkeys = [\"%x\"]\n", a.name, a.rate, a.burst, crpolicy.HashKey(a.key()))
	}
	bundle, err := crpolicyfile.Build([]crpolicyfile.File{
		{Name: "booking.toml", Data: []byte(f.policy)},
		{Name: "accounts.toml", Data: []byte(b.String())},
	})
	Expect(err).NotTo(HaveOccurred())
	var values [][]byte
	for _, v := range bundle.Values() {
		values = append(values, v.Data)
	}
	rev, err := f.platform.Publish(bundle.Manifest(), values)
	Expect(err).NotTo(HaveOccurred())
	return rev
}

func (f *fleet) waitReady() {
	for _, d := range f.daemons {
		Eventually(d.ready, "20s", "50ms").Should(Succeed(), func() string { return d.name + "\n" + d.log.String() })
	}
}

// waitTokens waits until each account is admitted at each daemon: a fresh fleet
// mints nothing for as long as tokens of a former one might still be spent.
func (f *fleet) waitTokens() {
	for _, a := range f.accounts {
		for _, d := range f.daemons {
			Eventually(func() int { return d.get(a, "/kits/warm").status }, "15s", "200ms").Should(Equal(http.StatusOK), func() string { return d.log.String() })
		}
	}
}

// urls are the callers' base URLs of all daemons.
func (f *fleet) urls() []string {
	var urls []string
	for _, d := range f.daemons {
		urls = append(urls, "http://"+d.http)
	}
	return urls
}

// runs counts, over all upstreams, how often each request of the load tool ran.
func (f *fleet) runs() map[string]int {
	all := make(map[string]int)
	for _, u := range f.upstreams {
		for id, n := range u.Runs().Requests {
			all[id] += n
		}
	}
	return all
}

// trace is the file that the daemon records its control events in.
func (d *daemon) trace() string { return filepath.Join(d.fleet.dir, d.name+".trace") }

func (d *daemon) start() {
	d.cmd = exec.CommandContext(context.Background(), os.Args[0], "serve", "--config", d.config)
	d.cmd.Env = append(os.Environ(), roleEnv+"=1")
	d.cmd.Stderr = d.log
	Expect(d.cmd.Start()).To(Succeed())
	cmd, done := d.cmd, make(chan error, 1)
	d.done = done
	go func() { done <- cmd.Wait() }()
	DeferCleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	})
}

func (d *daemon) signal(s syscall.Signal) { Expect(d.cmd.Process.Signal(s)).To(Succeed()) }

// kill ends the process at once, as a machine's loss would.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	Eventually(d.done, "5s").Should(Receive())
}

func (d *daemon) ready() error {
	resp, err := http.Get("http://" + d.admin + "/ready") //nolint:noctx // a test's poll
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", d.name, resp.Status)
	}
	return nil
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome string
	header  http.Header
	err     error
}

func (d *daemon) get(a account, path string) reply { return d.call(a, http.MethodGet, path) }

func (d *daemon) call(a account, method, path string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.http+path, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+a.key())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	return reply{status: resp.StatusCode, outcome: resp.Header.Get("Camphorroad-Outcome"), header: resp.Header}
}

// ports are taken from below the range that the system gives to outgoing
// connections, or one of those could take a daemon's port before it starts.
var ports = struct {
	sync.Mutex
	next int
}{next: firstPort}

const (
	firstPort = 21000
	lastPort  = 32000
)

func freePort(free func(addr string) bool) string {
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if ports.next >= lastPort {
			ports.next = firstPort
		}
		if free(addr) {
			return addr
		}
	}
	Fail("no free port")
	return ""
}

func freeTCP() string {
	return freePort(func(addr string) bool {
		ln, err := net.Listen("tcp", addr) //nolint:noctx // a test's port
		if err != nil {
			return false
		}
		return ln.Close() == nil
	})
}

func freeUDP() string {
	return freePort(func(addr string) bool {
		ln, err := net.ListenPacket("udp", addr) //nolint:noctx // a test's port
		if err != nil {
			return false
		}
		return ln.Close() == nil
	})
}
