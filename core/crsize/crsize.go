// Package crsize learns at an entry how many bytes of bodies the requests of each route
// have, request and response together. Package crplace keeps requests with large bodies in
// their own domain, since bytes between domains are expensive.
//
// Nothing is persisted or shared between daemons: a daemon that has just started knows no
// sizes until it has passed on responses.
//
// # Usage
//
//	sizes := crsize.NewTracker()
//	sizes.Record(now, service, route, len(requestBody)+len(responseBody))
//	bytes, known := sizes.Expected(route)
//	mixed := sizes.HasLarge(now, service)
package crsize

import (
	"sync"
	"time"

	"camphorroad/core/crid"
)

const (
	// LargeBytes is the number of expected bytes from which on a request is large.
	LargeBytes = 32 << 10
	// smoothing is the weight of the newest request in the moving mean.
	smoothing = 0.05
	// maxRoutes and maxServices bound the memory, also if the configuration often replaces
	// routes by others. Beyond them, an arbitrary entry is replaced, and learned again when
	// it is used.
	maxRoutes   = 1024
	maxServices = 1024
	// largeRetention is the time for which a service counts as one that gets large requests
	// after the last of them. One entry of a hundred gets such a request every few seconds.
	largeRetention = time.Minute
)

// mean is a moving mean of bytes.
type mean struct {
	n     int
	bytes float64
}

func (m *mean) add(bytes int) {
	m.n = min(m.n+1, int(1/smoothing))
	m.bytes += (float64(max(bytes, 0)) - m.bytes) / float64(m.n)
}

// Tracker holds the mean bytes of each route. It is safe for concurrent use.
type Tracker struct {
	mu        sync.RWMutex
	routes    map[crid.Route]*mean
	lastLarge map[crid.Service]crid.Instant // latest large request of each service
}

// NewTracker returns a tracker that knows no sizes.
func NewTracker() *Tracker {
	return &Tracker{routes: make(map[crid.Route]*mean), lastLarge: make(map[crid.Service]crid.Instant)}
}

// Record records the bytes of the bodies of a request and its response.
func (t *Tracker) Record(now crid.Instant, s crid.Service, r crid.Route, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.routes[r]
	if m == nil {
		evictOne(t.routes, maxRoutes)
		m = &mean{}
		t.routes[r] = m
	}
	m.add(bytes)
	if m.bytes < LargeBytes {
		return
	}
	if _, known := t.lastLarge[s]; !known {
		evictOne(t.lastLarge, maxServices)
	}
	t.lastLarge[s] = now
}

// Expected returns the mean bytes of a route, or false if it is not known.
func (t *Tracker) Expected(r crid.Route) (bytes int, known bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.routes[r]
	if m == nil {
		return 0, false
	}
	return int(m.bytes), true
}

// HasLarge reports whether the service has got requests of a large route recently.
func (t *Tracker) HasLarge(now crid.Instant, s crid.Service) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	last, known := t.lastLarge[s]
	return known && now.Sub(last) < largeRetention
}

// evictOne removes an arbitrary entry of a map that has reached its bound.
func evictOne[K comparable, V any](m map[K]V, bound int) {
	if len(m) < bound {
		return
	}
	for k := range m {
		delete(m, k)
		return
	}
}
