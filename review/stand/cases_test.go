package stand

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host       = "ficu95.example"
	holdPrefix = "/pufi791/"
	key        = "2b9wu3fexd9dnn2ctnfz"
	tenantName = "huka270"
	service    = "huvo11a"
	objective  = 1200
)

// bounds are those of a small deployment.
const bounds = `drain = 2000
grace = 6
ratio = 0.2
slack = 56
window = 10
quotatime = 5
quotaover = 0.25`

func config(rate, burst float64, extra map[string]any) map[string]any {
	svc := map[string]any{"name": service, "health-check-path": healthPath, "max-connections": 330, "protocol": "h1", "tls": false}
	for k, v := range extra {
		svc[k] = v
	}
	return map[string]any{
		"version": "00000007", "services": []any{svc},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "api-keys": []string{key}, "priority": 1, "rate-per-s": rate, "burst": burst}},
		"virtual-hosts": []any{map[string]any{"host": host, "path-routes": []any{map[string]any{
			"name": "r-xsr7i42", "path-prefix": holdPrefix, "kind": "non_idempotent", "timeout-ms": 2000, "objective-latency-ms": objective,
			"priority": 1, "service": service, "max-attempts": 2, "allow-anonymous": false,
		}}}},
	}
}

func hold() call {
	return call{method: http.MethodPost, host: host, path: holdPrefix + "2f", key: key, account: tenantName, once: true, deadline: 4 * time.Second, body: []byte("kit")}
}

const (
	healthMachines = 8
	illTargets     = 1    // 0.125 of the targets; the limit of srv_lying_health is 0.15
	garbling       = 4    // 0.5 of the targets, the limit of garble
	garbledShare   = 0.03 // of the answers of such a target
	illTime        = 7 * time.Second
	garbleTime     = 5 * time.Second
	rounds         = 12
)

// runHealth sends requests in bursts to targets that the configuration calls cold after their start.
// A daemon checks the health of its target when it has been silent for a while.
func runHealth(root string, trouble bool) (*fleet, outcome, error) {
	f, err := newFleet(root, healthMachines, func(int) targetOptions {
		return targetOptions{service: service, slots: 5, work: 100 * time.Millisecond, warmup: 3 * time.Second, extraShare: garbledShare}
	})
	if err != nil {
		return nil, outcome{}, err
	}
	f.configure(config(0, 0, map[string]any{"warmup-s": 3.0, "warmup-per-s": 11.0}))
	if err := f.startAll(bounds+"\nwarmratio = 1.5\nwarmslack = 8", 284); err != nil {
		return f, outcome{}, err
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	for round := range rounds {
		began := time.Now()
		ill := round % len(f.machines)
		if trouble {
			f.machines[ill].target.setIll(true)
			for i := range garbling {
				f.machines[(ill+i)%len(f.machines)].target.setGarbling(true)
			}
			f.record.add("%s says that it is ill; it and %d other targets send %g of their answers a second time", f.machines[ill].target.opts.id, garbling-1, garbledShare)
		}
		for burst := range 3 {
			time.Sleep(time.Until(began.Add(time.Duration(burst) * 2100 * time.Millisecond)))
			f.burst(&wg, 300, 900*time.Millisecond)
		}
		time.Sleep(time.Until(began.Add(garbleTime)))
		for _, m := range f.machines {
			m.target.setGarbling(false)
		}
		time.Sleep(time.Until(began.Add(illTime)))
		f.machines[ill].target.setIll(false)
		time.Sleep(time.Second)
	}
	wg.Wait()
	return f, checkRefused(f.record), nil
}

// burst sends requests to all machines within a time.
func (f *fleet) burst(wg *sync.WaitGroup, n int, within time.Duration) {
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(rand.N(within))
			f.machines[i%len(f.machines)].send(hold())
		}()
	}
}

// checkRefused applies the rules REFUSED and TWICE.
func checkRefused(r *record) outcome {
	counts := make(map[int]int)
	refused, twice, first := 0, 0, ""
	for _, q := range r.requests() {
		counts[q.status]++
		switch q.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if q.once && len(q.runs) > 0 {
				refused++
				first = max(first, fmt.Sprintf("request %s was answered %d and ran at %s", q.id, q.status, q.targets[0]))
			}
		}
		if q.once && len(q.runs) > 1 {
			twice++
			first = max(first, fmt.Sprintf("request %s ran %d times", q.id, len(q.runs)))
		}
	}
	return outcome{
		broken: refused+twice > 0,
		seen:   fmt.Sprintf("answers by status: %v; refused but run: %d; run more than once: %d %s", counts, refused, twice, first),
	}
}

// quota is the limit of a tenant, with the bounds of a small deployment.
type quota struct{ rate, burst float64 }

const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.25
	quotaSlack   = 20.0
	hotTimes     = 8 // the largest hot_tenant of the days of the small sites
	hotTime      = 9 * time.Second
)

func startQuotaFleet(root string, q quota) (*fleet, error) {
	f, err := newFleet(root, 5, func(int) targetOptions {
		return targetOptions{service: service, slots: 5, work: 20 * time.Millisecond}
	})
	if err != nil {
		return nil, err
	}
	f.configure(config(q.rate, q.burst, nil))
	return f, f.startAll(bounds, 284)
}

// runRestart stops the daemon that keeps the bucket of a tenant and starts it again while the store
// is down and the tenant sends 8 times its usual.
func runRestart(root string, trouble bool) (*fleet, outcome, error) {
	const usual = 55 // requests a second
	q := quota{rate: 88, burst: 88}
	f, err := startQuotaFleet(root, q)
	if err != nil {
		return f, outcome{}, err
	}
	var wg sync.WaitGroup
	f.traffic(&wg, usual, 6*time.Second)
	owner, err := f.owner()
	if err != nil {
		return f, outcome{}, err
	}
	f.record.add("%s keeps the bucket of %s", owner.name, tenantName)
	f.record.add("%s sends %d times its usual", tenantName, hotTimes)
	restarted := make(chan error, 1)
	if trouble {
		time.AfterFunc(200*time.Millisecond, func() {
			f.record.add("the store is down")
			f.store.setDown(true)
			restarted <- owner.restart()
		})
	} else {
		restarted <- nil
	}
	f.traffic(&wg, hotTimes*usual, hotTime)
	f.record.add("the store is up")
	f.store.setDown(false)
	wg.Wait()
	return f, checkQuota(f.record, q), <-restarted
}

// traffic sends requests of the tenant for a time, by turns to all machines that are ready.
func (f *fleet) traffic(wg *sync.WaitGroup, perSecond int, d time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	ready, checked := f.machines, time.Time{}
	for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
		<-ticker.C
		if time.Since(checked) > time.Second {
			ready, checked = f.readyMachines(), time.Now()
		}
		if len(ready) == 0 {
			continue
		}
		m := ready[i%len(ready)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.send(hold())
		}()
	}
}

func (f *fleet) readyMachines() []*machine {
	var out []*machine
	for _, m := range f.machines {
		if m.ready() {
			out = append(out, m)
		}
	}
	return out
}

// owner returns the machine whose daemon has granted most requests of the tenant, by the metrics that
// daemons show to operators.
func (f *fleet) owner() (*machine, error) {
	var best *machine
	most := 0.0
	for _, m := range f.machines {
		n, err := m.metric("tokens_granted_total")
		if err != nil {
			return nil, err
		}
		if n > most {
			best, most = m, n
		}
	}
	if best == nil {
		return nil, errors.New("no daemon has granted a request")
	}
	return best, nil
}

func (m *machine) metric(name string) (float64, error) {
	resp, err := http.Get("http://" + m.address(portPages) + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if fields := strings.Fields(scanner.Text()); len(fields) == 2 && strings.HasSuffix(fields[0], name) {
			return strconv.ParseFloat(fields[1], 64)
		}
	}
	return 0, fmt.Errorf("%s has no metric %s", m.name, name)
}

// checkQuota applies the rule QUOTA to all windows.
func checkQuota(r *record, q quota) outcome {
	limit := (q.rate*quotaWindow.Seconds()+q.burst)*(1+quotaOverage) + quotaSlack
	list := r.requests() // by the time when they were sent
	most, at := 0, 0.0
	for i, first := range list {
		end, n := first.sent.Add(quotaWindow), 0
		for _, other := range list[i:] {
			for _, run := range other.runs {
				if !run.After(end) {
					n++
				}
			}
		}
		if n > most {
			most, at = n, first.sent.Sub(r.began).Seconds()
		}
	}
	return outcome{
		broken: float64(most) > limit,
		seen:   fmt.Sprintf("most requests of %s that were sent and ran in %v: %d, from %.3f s; the rule allows %.1f", tenantName, quotaWindow, most, at, limit),
	}
}
