package stand2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	entryTargets = 8
	entryForeign = 3 // targets for whose addresses another writer has an entry, too
	entryPerS    = 60
	entryWork    = 300             // ms; the targets have slots for 133 requests a second
	entryTime    = 8 * time.Second // for which requests are sent
	stableWindow = 3 * time.Second

	floorShare  = 0.7 // of the sound targets must get requests
	floorWindow = 2 * time.Second
	floorLeast  = 0.1 // share of the requests that aren't served, from which the rule holds
	floorMost   = 0.5 // and up to which
)

// foreignEntry is an entry of another writer for the address of the target: it has no sequence.
func (t *target) foreignEntry(zone string) []byte {
	data, err := json.Marshal(map[string]any{
		"address": t.address, "born": time.Now().UnixMilli(),
		"information": map[string]any{"service": t.service, "version": "v1", "zone": zone, "slots": targetSlots},
		"status":      map[string]any{"state": "ready", "warmup-remaining-ms": 0},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// sending is a request with the time when it was sent, and whether it was served.
type sending struct {
	at     time.Time
	served bool
}

// playEntry: another writer has entries in the store that lack a field. They name no target to use, and the
// targets' own entries hold.
func playEntry(rec *record) (result, error) {
	f, err := newFleet(rec)
	if err != nil {
		return result{}, err
	}
	defer f.stop()
	tenants := []tenant{{Name: "bozi300", Keys: []string{key1}, Priority: 1, Rate: 300, Burst: 300}}
	services := make([]string, entryTargets)
	for i := range services {
		services[i] = serviceBooking
	}
	if err := f.deploy(7, []route{holdRoute()}, tenants, services...); err != nil {
		return result{}, err
	}
	settle()
	if trouble() {
		for _, m := range f.machines[:entryForeign] {
			key := "servers/i-9" + m.target.id[2:]
			f.store.put(key, m.target.foreignEntry(m.zone))
			rec.event("another writer's entry %s, without a sequence, has the address of target %s", key, m.target.id)
		}
	}
	time.Sleep(2*stableWindow + time.Second)
	return f.checkFloor(f.sendSteadily()), nil
}

// sendSteadily sends bookings to all machines in turn.
func (f *fleet) sendSteadily() []sending {
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []sending
	for i := 0; time.Since(began) < entryTime; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := hold(key1, entryWork)
			m := f.machines[i%len(f.machines)]
			at := time.Now()
			a := do(m.caller(), r)
			f.rec.event("request %s, sent to %s: the client gets %s", r.id, m.name, a)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sending{at, a.status == http.StatusOK})
		}()
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / entryPerS)))
	}
	wg.Wait()
	return all
}

// checkFloor checks the rule in consecutive windows.
func (f *fleet) checkFloor(all []sending) result {
	first := all[0].at
	for _, s := range all {
		if s.at.Before(first) {
			first = s.at
		}
	}
	broken, windows, worst := 0, 0, ""
	for from := first; from.Add(floorWindow).Before(first.Add(entryTime)); from = from.Add(floorWindow) {
		sent, unserved := 0, 0
		for _, s := range all {
			if s.at.Before(from) || !s.at.Before(from.Add(floorWindow)) {
				continue
			}
			sent++
			if !s.served {
				unserved++
			}
		}
		used := f.rec.targetsBetween(from, from.Add(floorWindow))
		share := float64(unserved) / float64(sent)
		windows++
		f.rec.event("window %d: %d of %d targets get requests, %d of %d requests aren't served", windows, used, entryTargets, unserved, sent)
		if used > 0 && float64(used) < floorShare*entryTargets && share > floorLeast && share < floorMost {
			broken++
			worst = fmt.Sprintf("%d of %d sound targets got requests in %v, while %d of %d requests weren't served", used, entryTargets, floorWindow, unserved, sent)
		}
	}
	return result{broken > 0, fmt.Sprintf("in %d of %d windows; the last: %s", broken, windows, worst)}
}
