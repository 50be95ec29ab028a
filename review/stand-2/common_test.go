package stand2

import (
	"fmt"
	"net/http"
	"time"
)

// Names on the wire of the small deployment.
const (
	serviceBooking = "kafi81c" // runs bookings
	serviceOther   = "huvo11a" // has no targets
	key1           = "89anu6wsjnbanfqasnmg"
	key2           = "2b9wu3fexd9dnn2ctnfz"
)

// Limits of the pages for the small deployment.
const (
	graceSeconds    = 6
	memoryMB        = 284
	objectiveMillis = 1200
	timeoutMillis   = 2000
	deadlineMillis  = 4000
)

func holdRoute() route {
	return route{Name: "r-e9itfrz", Prefix: "/xapu221/", Kind: "non_idempotent", TimeoutMs: timeoutMillis, ObjectiveMs: objectiveMillis, Priority: 1, Service: serviceBooking, MaxAttempts: 2}
}

// hold returns a booking, which may run once at most.
func hold(key string, workMillis int) request {
	return request{
		id: newID(), method: http.MethodPost, path: fmt.Sprintf("/xapu221/2f?work=%d", workMillis), key: key, deadline: deadlineMillis, body: []byte("rover 7, 2026-12-09"),
	}
}

// deploy adds machines with targets of the given services, one in each zone in turn, writes the first
// configuration and starts the daemons.
func (f *fleet) deploy(version int, routes []route, tenants []tenant, services ...string) error {
	for i, s := range services {
		if _, err := f.add(string(rune('a'+i%3)), s); err != nil {
			return err
		}
	}
	f.configure(version, routes, tenants)
	return f.startAll()
}

// configure writes a configuration. The store acknowledges it when it returns.
func (f *fleet) configure(version int, routes []route, tenants []tenant) {
	f.store.put("op/config", configuration(version, []string{serviceBooking, serviceOther}, routes, tenants))
	f.rec.event("the store acknowledges the configuration %08x", version)
}

// settle lets the daemons find each other.
func settle() { time.Sleep(5 * time.Second) }
