package crmesh_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crregion"
	"camphorroad/io/crmesh"
	"camphorroad/io/crsite"
	"camphorroad/lab/crstore"
	"camphorroad/lab/crtarget"
	"camphorroad/platform"
)

// syncBuffer is a log that can be read while it is written.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// machine is one daemon with its target.
type machine struct {
	t                *testing.T
	address          string
	target           *crtarget.Target
	id               string
	store            *httptest.Server
	storeUnavailable atomic.Bool // the store refuses this machine's requests
	log              *syncBuffer
	cfg              crsite.Settings
	stop             context.CancelFunc
	done             chan error
}

// fleet is a few machines with one store, all on loopback addresses.
type fleet struct {
	t        *testing.T
	store    *crstore.Store
	machines []*machine
	basePort int
	regions  crregion.Map
}

var nextBasePort atomic.Int64

func init() { nextBasePort.Store(21000) }

// newFleet starts machines, alternately in domains a and b, with a target of service
// s1 each, and waits until all serve.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return newFleetInRegions(t, n, nil)
}

// newFleetInRegions starts a fleet whose daemons know the regions of the domains.
func newFleetInRegions(t *testing.T, n int, regions crregion.Map) *fleet {
	t.Helper()
	f := &fleet{t: t, store: crstore.New(), basePort: int(nextBasePort.Add(20)), regions: regions}
	f.publish(1, 500, "k1")
	t.Cleanup(f.shutDown)
	for i := range n {
		f.add(i)
	}
	f.waitReady()
	return f
}

// shutDown stops all daemons concurrently.
func (f *fleet) shutDown() {
	var done sync.WaitGroup
	for _, m := range f.machines {
		done.Add(1)
		go func() {
			defer done.Done()
			m.shutDown()
		}()
	}
	done.Wait()
}

// waitReady waits until all machines are ready and know all targets.
func (f *fleet) waitReady() {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	for _, m := range f.machines {
		g.Eventually(m.ready, 5*time.Second, 20*time.Millisecond).Should(gomega.Equal(http.StatusOK))
		g.Eventually(func() int { return strings.Count(m.state(), `"Target"`) }, 5*time.Second, 50*time.Millisecond).
			Should(gomega.Equal(len(f.machines)))
	}
}

func (f *fleet) publish(version int, rate float64, keys ...string) {
	quoted, _ := json.Marshal(keys) // strings always encode
	f.publishTenants(version, fmt.Sprintf(`{"name":"t1","api-keys":%s,"rate-per-s":%v,"burst":%v}`, quoted, rate, rate))
}

// publishTenants publishes a configuration with tenants in JSON.
func (f *fleet) publishTenants(version int, tenants ...string) {
	f.publishAll(version, `{}`, tenants...)
}

// publishLimits publishes a configuration with limits in JSON.
func (f *fleet) publishLimits(version int, limits string) {
	f.publishAll(version, limits, `{"name":"t1","api-keys":["k1"]}`)
}

func (f *fleet) publishAll(version int, limits string, tenants ...string) {
	f.store.Put("op/config", fmt.Appendf(nil, `{"version":"%08x","services":[{"name":"s1"}],"limits":%s,
"tenants":[%s],
"virtual-hosts":[{"host":"h.example","path-routes":[
{"name":"look","path-prefix":"/look/","kind":"idempotent","timeout-ms":1500,"objective-latency-ms":1000,"priority":2,"service":"s1","max-attempts":2},
{"name":"hold","path-prefix":"/hold/","kind":"non_idempotent","timeout-ms":1500,"objective-latency-ms":1000,"priority":1,"service":"s1","max-attempts":2}]}]}`,
		version, limits, strings.Join(tenants, ",")))
}

func (f *fleet) add(i int) *machine {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	m := &machine{t: f.t, address: "127.0.0." + strconv.Itoa(10+i), id: "i-" + strconv.Itoa(i), log: &syncBuffer{}}
	target, err := crtarget.Start(crtarget.Options{Address: m.address + ":" + strconv.Itoa(f.basePort), ID: m.id, Slots: 4})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m.target = target
	f.t.Cleanup(target.Close)
	m.store = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.storeUnavailable.Load() {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	f.t.Cleanup(m.store.CloseClientConnections)
	at := func(offset int) string { return m.address + ":" + strconv.Itoa(f.basePort+offset) }
	m.cfg = crsite.Settings{
		First: true,
		Name:  m.id, Address: m.address, Domain: crid.Domain("ab"[i%2 : i%2+1]), Service: "s1", Target: target.Address(), Log: "info",
		Seeds:   []string{"127.0.0.10:" + strconv.Itoa(f.basePort+5)},
		Listen:  crsite.Listen{Caller: at(1), Ready: at(2), Control: at(5), Ports: []int{f.basePort + 3, f.basePort + 4}},
		Store:   crsite.Store{Address: strings.TrimPrefix(m.store.URL, "http://")},
		Bounds:  crsite.Bounds{DrainMillis: 2000, GraceSeconds: 3, Ratio: 0.2, Slack: 200, WindowSeconds: 10, WarmupRatio: 1, QuotaSeconds: 5, QuotaOverage: 0.25},
		Regions: f.regions,
	}
	f.machines = append(f.machines, m)
	m.start()
	f.register(m, "ready")
	return m
}

func (f *fleet) register(m *machine, state string) {
	f.store.Put("servers/"+m.id, fmt.Appendf(nil, `{"address":%q,"born":1,"information":{"service":"s1","version":"v1","zone":%q,"slots":4},
"status":{"state":%q,"sequence":1,"warmup-remaining-ms":0}}`, m.cfg.Target, m.cfg.Domain, state))
}

func (m *machine) start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.done = cancel, make(chan error, 1)
	done := m.done
	go func() {
		done <- crmesh.Run(ctx, crmesh.Options{
			Settings: m.cfg, Store: platform.NewStore(m.cfg.Store.Address), Decoder: platform.Decoder{}, Dialect: platform.Dialect{}, Log: m.log,
		})
	}()
}

// shutDown stops the daemon and waits until it has ended.
func (m *machine) shutDown() {
	if m.stop == nil {
		return
	}
	m.stop()
	m.stop = nil
	if err := <-m.done; err != nil {
		m.t.Errorf("%s: %v", m.id, err)
	}
}

func (m *machine) get(address, path string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		m.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

func (m *machine) ready() int {
	status, _ := m.get(m.cfg.Listen.Ready, "/ready")
	return status
}

func (m *machine) state() string {
	_, body := m.get(m.cfg.Listen.Ready, "/state")
	return body
}

var nextRequest atomic.Int64

// response is the response that a caller received.
type response struct {
	id     string
	status int
	body   string
	header http.Header
	took   time.Duration
}

// call sends a request to the machine's caller port.
func (m *machine) call(method, path, key string) response {
	m.t.Helper()
	return m.send(method, path, key, "the body")
}

// send does the same with a body.
func (m *machine) send(method, path, key, content string) response {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	id := "q" + strconv.FormatInt(nextRequest.Add(1), 10)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.cfg.Listen.Caller+path, strings.NewReader(content))
	if err != nil {
		m.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", "4000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	began := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return response{id: id, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{id: id, took: time.Since(began)}
	}
	return response{id: id, status: resp.StatusCode, body: string(body), header: resp.Header, took: time.Since(began)}
}

// runs returns all runs of a request, on all targets.
func (f *fleet) runs(id string) []crtarget.Run {
	var out []crtarget.Run
	for _, m := range f.machines {
		for _, r := range m.target.Runs() {
			if r.ID == id {
				out = append(out, r)
			}
		}
	}
	return out
}
