// Package crroute finds the route of a request and the target to send it to.
//
// A [Table] is built once from a configuration and is immutable. [CheckPath]
// must pass before [Table.Match], or a caller could spell a path so that it
// matches one route here and another at the upstream.
//
// A [Pool] holds the targets of one service as the control side last saw them,
// each with a [Load] of atomic counters that outlives the pool. A [Picker]
// picks a target from it; [TwoChoices] is what the daemon uses, and
// [RoundRobin] is the baseline it is measured against.
//
// # Usage
//
//	table, err := crroute.NewTable(snapshot)
//	if err := crroute.CheckPath(r.URL.EscapedPath()); err != nil { ... }
//	service, route, ok := table.Match(r.Host, r.Method, r.URL.EscapedPath())
//
//	pool := crroute.NewPool(domain, targets)
//	target, ok := chooser.Pick(pool, crroute.Ask{Now: now, Tried: tried, IntN: rand.IntN})
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

// RouteError tells that a configuration's routes can not be served.
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

// Unwrap returns the *PathError behind it, if any.
func (e *RouteError) Unwrap() error { return e.err }

type entry struct {
	service crid.Service
	route   crpolicy.Route
}

func (e *entry) allows(method string) bool {
	return len(e.route.Methods) == 0 || slices.Contains(e.route.Methods, method)
}

// prefixes maps a prefix without its trailing slash to the routes under it;
// routes that name their methods stand before one that takes any.
type prefixes map[string][]entry

// Table finds routes. It is immutable and safe for concurrent use.
type Table struct {
	hosts map[string]prefixes
	any   prefixes
	n     int
}

// NewTable indexes all routes of a configuration. It returns a *RouteError for
// a prefix that [CheckPrefix] refuses, and for two routes that would both match
// a request equally well.
func NewTable(snap *crpolicy.Snapshot) (*Table, error) {
	t := &Table{hosts: make(map[string]prefixes), any: make(prefixes)}
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
	byPrefix := t.under(e.route.Host)
	key := strings.TrimSuffix(e.route.Prefix, "/")
	for _, other := range byPrefix[key] {
		if overlap(e.route.Methods, other.route.Methods) {
			reason := fmt.Sprintf("matches the same requests as route %s of service %s", other.route.Name, other.service)
			return &RouteError{service: e.service, route: e.route.Name, reason: reason}
		}
	}
	byPrefix[key] = append(byPrefix[key], e)
	t.n++
	return nil
}

func (t *Table) under(host string) prefixes {
	host = canonicalHost(host)
	if host == "" {
		return t.any
	}
	if t.hosts[host] == nil {
		t.hosts[host] = make(prefixes)
	}
	return t.hosts[host]
}

func (t *Table) sort() {
	order := func(a, b entry) int {
		return min(len(b.route.Methods), 1) - min(len(a.route.Methods), 1)
	}
	for _, entries := range t.any {
		slices.SortStableFunc(entries, order)
	}
	for _, byPrefix := range t.hosts {
		for _, entries := range byPrefix {
			slices.SortStableFunc(entries, order)
		}
	}
}

// overlap reports whether two routes of one prefix clash. One with methods
// beside one for any method is no clash: the more specific goes first.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

// Len is the number of routes.
func (t *Table) Len() int { return t.n }

// Match finds the route of a request. The host may carry a port. The path is
// the escaped path as it will be forwarded, and [CheckPath] must have accepted
// it. Routes of the exact host go before those of any host, then the longest
// prefix, then the route that names the method.
func (t *Table) Match(host, method, path string) (crid.Service, crpolicy.Route, bool) {
	if byPrefix, ok := t.hosts[canonicalHost(host)]; ok {
		if e := byPrefix.find(method, path); e != nil {
			return e.service, e.route, true
		}
	}
	if e := t.any.find(method, path); e != nil {
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

// canonicalHost drops the port and a final dot, and lowers the case. It
// allocates only for a host with capital letters.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
