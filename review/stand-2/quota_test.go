package stand2

import (
	"fmt"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Bounds of the pages for a tenant's requests in a window.
const (
	quotaWindow   = 5 * time.Second
	quotaOverage  = 0.25
	quotaSlack    = 20
	newRate       = 22.0
	newBurst      = 22.0
	hotFactor     = 7.5 // times its rate that the tenant sends, the largest dose of the site
	hotTime       = 7 * time.Second
	turnedAway    = 9 * time.Second // for which the store turns one machine away
	beforeConfig  = time.Second
	quotaWorkTime = 5 // ms
)

// playQuota: the store turns one machine of three away, and serves the others. Meanwhile a new tenant is
// added that sends several times its rate. The machine is the one that keeps the tenant's tokens.
func playQuota(rec *record) (result, error) {
	f, err := newFleet(rec)
	if err != nil {
		return result{}, err
	}
	defer f.stop()
	proxies, err := f.deployBehindProxies()
	if err != nil {
		return result{}, err
	}
	defer closeAll(proxies)
	settle()
	added := tenant{Name: "huka270", Keys: []string{key2}, Priority: 1, Rate: newRate, Burst: newBurst}
	owner := f.ownerOf(added.Name)
	if trouble() {
		rec.event("the store turns %s away", owner.name)
		proxies[owner.seq-1].setCut(true)
		back := time.AfterFunc(turnedAway, func() { proxies[owner.seq-1].setCut(false) })
		defer back.Stop()
	}
	time.Sleep(beforeConfig)
	f.configure(9, []route{holdRoute()}, append(quotaTenants(), added))
	var others []*machine
	for _, m := range f.machines {
		if m != owner {
			others = append(others, m)
		}
	}
	at, codes := load{perS: added.Rate * hotFactor, key: added.Keys[0], machines: others}.send(rec, hotTime)
	most := mostIn(at, quotaWindow)
	allowed := (newRate*quotaWindow.Seconds()+newBurst)*(1+quotaOverage) + quotaSlack
	return result{
		float64(most) > allowed,
		fmt.Sprintf("%d requests of the tenant sent in %v have run, %.0f are allowed; answers by status: %v", most, quotaWindow, allowed, codes),
	}, nil
}

func quotaTenants() []tenant {
	return []tenant{{Name: "bozi300", Keys: []string{key1}, Priority: 1, Rate: 22, Burst: 22}}
}

// deployBehindProxies starts three machines that each reach the store through a proxy of their own.
func (f *fleet) deployBehindProxies() ([]*proxy, error) {
	var proxies []*proxy
	for i := range 3 {
		m, err := f.add(string(rune('a'+i)), serviceBooking)
		if err != nil {
			return nil, err
		}
		p, err := newProxy(net.JoinHostPort(f.address(100+m.seq), strconv.Itoa(m.ports.caller)), f.store.address)
		if err != nil {
			return nil, err
		}
		m.store = p.listener.Addr().String()
		proxies = append(proxies, p)
	}
	f.configure(7, []route{holdRoute()}, quotaTenants())
	return proxies, f.startAll()
}

func closeAll(proxies []*proxy) {
	for _, p := range proxies {
		p.close()
	}
}

// load is a steady stream of bookings of one tenant, sent to machines in turn.
type load struct {
	perS     float64
	key      string
	machines []*machine
}

// send sends for a time. It returns when the requests that ran were sent, sorted, and the number of answers
// by status.
func (l load) send(rec *record, d time.Duration) ([]time.Duration, map[int]int) {
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	sentAt := make(map[string]time.Duration)
	codes := make(map[int]int)
	interval := time.Duration(float64(time.Second) / l.perS)
	for i := 0; time.Since(began) < d; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, m := hold(l.key, quotaWorkTime), l.machines[i%len(l.machines)]
			at := time.Since(began)
			a := do(m.caller(), r)
			rec.event("request %s, sent to %s: the client gets %d", r.id, m.name, a.status)
			mu.Lock()
			defer mu.Unlock()
			codes[a.status]++
			sentAt[r.id] = at
		}()
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * interval)))
	}
	wg.Wait()
	var ran []time.Duration
	for id, at := range sentAt {
		if rec.runsOf(id) > 0 {
			ran = append(ran, at)
		}
	}
	sort.Slice(ran, func(i, j int) bool { return ran[i] < ran[j] })
	return ran, codes
}

// mostIn returns the largest number of the sorted times in any span of a length.
func mostIn(at []time.Duration, span time.Duration) int {
	most, first := 0, 0
	for i := range at {
		for at[i]-at[first] >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
