// Package crroute matches a request to a route and picks the target to send it
// to. The daemon of `camphorroad serve` uses it in io/crentry; the routes are part
// of a [crpolicy.Snapshot]. The daemon of `camphorroad join` uses core/crplan for
// routes and core/crplace for targets instead.
//
// A [Table] is an immutable index of a configuration's routes. [CheckPath] must
// pass before [Table.Match]. Otherwise a caller could spell a path so that it
// matches one route here and another at the upstream.
//
// A [Pool] contains the targets of one service as the control plane last reported
// them, each with a [Load] of atomic counters that outlives the pool. A [Picker]
// picks a target from it: the daemon uses [TwoChoices], and [RoundRobin] is the
// baseline for comparison.
//
// # Usage
//
//	table, err := crroute.NewTable(snapshot)
//	if err := crroute.CheckPath(r.URL.EscapedPath()); err != nil { ... }
//	service, route, ok := table.Match(r.Host, r.Method, r.URL.EscapedPath())
//
//	pool := crroute.NewPool(domain, targets)
//	target, ok := picker.Pick(pool, crroute.PickInfo{Now: now, Tried: tried, IntN: rand.IntN})
//	target.Load().Begin()
//	defer target.Load().End()
package crroute

import (
	"fmt"
	"slices"
	"strings"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// RouteError is the error of a configuration with an invalid or ambiguous route.
type RouteError struct {
	service crid.Service
	route   crid.Route
	reason  string
	err     error
}

// Error implements error.
func (e *RouteError) Error() string {
	return fmt.Sprintf("route %s of service %s: %s", e.route, e.service, e.reason)
}

// Unwrap returns the *PathError that caused it, if any.
func (e *RouteError) Unwrap() error { return e.err }

type entry struct {
	service crid.Service
	route   crpolicy.Route
}

func (e *entry) allows(method string) bool {
	return len(e.route.Methods) == 0 || slices.Contains(e.route.Methods, method)
}

// prefixes maps a prefix without its trailing slash to its routes. Routes with
// methods precede a route for any method.
type prefixes map[string][]entry

// Table matches requests to routes. It is immutable and safe for concurrent use.
type Table struct {
	hosts   map[string]prefixes
	anyHost prefixes
	size    int // number of routes
}

// NewTable indexes all routes of a configuration. It returns a *RouteError for a
// prefix that [CheckPrefix] rejects, and for two routes that match the same
// request equally well.
func NewTable(snap *crpolicy.Snapshot) (*Table, error) {
	t := &Table{hosts: make(map[string]prefixes), anyHost: make(prefixes)}
	for _, svc := range snap.Services() {
		for _, r := range svc.Routes {
			if err := t.add(entry{service: svc.Name, route: r}); err != nil {
				return nil, err
			}
		}
	}
	t.sort()
	return t, nil
}

func (t *Table) add(e entry) error {
	if err := CheckPrefix(e.route.Prefix); err != nil {
		return &RouteError{service: e.service, route: e.route.Name, reason: err.Error(), err: err}
	}
	byPrefix := t.prefixesFor(e.route.Host)
	key := strings.TrimSuffix(e.route.Prefix, "/")
	for _, other := range byPrefix[key] {
		if overlap(e.route.Methods, other.route.Methods) {
			reason := fmt.Sprintf("matches the same requests as route %s of service %s", other.route.Name, other.service)
			return &RouteError{service: e.service, route: e.route.Name, reason: reason}
		}
	}
	byPrefix[key] = append(byPrefix[key], e)
	t.size++
	return nil
}

func (t *Table) prefixesFor(host string) prefixes {
	host = canonicalHost(host)
	if host == "" {
		return t.anyHost
	}
	if t.hosts[host] == nil {
		t.hosts[host] = make(prefixes)
	}
	return t.hosts[host]
}

// sort puts routes with methods before a route for any method.
func (t *Table) sort() {
	order := func(a, b entry) int {
		return min(len(b.route.Methods), 1) - min(len(a.route.Methods), 1)
	}
	for _, entries := range t.anyHost {
		slices.SortStableFunc(entries, order)
	}
	for _, byPrefix := range t.hosts {
		for _, entries := range byPrefix {
			slices.SortStableFunc(entries, order)
		}
	}
}

// overlap reports whether two routes with the same prefix conflict. A route with
// methods does not conflict with one for any method: the more specific one wins.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

// Len is the number of routes.
func (t *Table) Len() int { return t.size }

// Match returns the service and route of a request. The host may include a port.
// The path is the escaped path as it will be forwarded, and [CheckPath] must have
// accepted it. Routes of the exact host take precedence over those of any host,
// then the longest prefix, then the route that lists the method.
func (t *Table) Match(host, method, path string) (crid.Service, crpolicy.Route, bool) {
	if byPrefix, ok := t.hosts[canonicalHost(host)]; ok {
		if e := byPrefix.find(method, path); e != nil {
			return e.service, e.route, true
		}
	}
	if e := t.anyHost.find(method, path); e != nil {
		return e.service, e.route, true
	}
	return "", crpolicy.Route{}, false
}

func (p prefixes) find(method, path string) *entry {
	path = strings.TrimSuffix(path, "/")
	for {
		entries := p[path]
		for i := range entries {
			if entries[i].allows(method) {
				return &entries[i]
			}
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

// canonicalHost removes the port and a final dot, and converts to lower case. It
// allocates only for a host with capital letters.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
