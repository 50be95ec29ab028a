// Package crplan contains the routing plan: which request goes to which service,
// for which client account, and within which limits. The daemon of `camphorroad
// join` uses it: package platform decodes it, and core/crmesh and io/cringress
// read it. The daemon of `camphorroad serve` uses core/crpolicy instead; the two
// share only the class of a route and the hash of a key.
//
// A [Plan] is immutable and validated as a whole when it is created: every route
// has a service, and no key belongs to two accounts.
//
// # Usage
//
//	plan, err := crplan.New(version, routes, accounts, services, limits)
//	route, ok := plan.Route(r.Host, r.URL.EscapedPath())
//	account, ok := plan.AccountByKey(key)
package crplan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// Share is a service's share of a route's requests.
type Share struct {
	Service crid.Service
	Weight  float64 // relative to the route's other shares
}

// Route describes how requests under one prefix of a host are handled.
type Route struct {
	Name           crid.Route
	Host           string
	Prefix         string // starts and ends with a slash
	Class          crpolicy.Class
	Timeout        time.Duration // maximum time that a caller waits; zero: only the caller's own limit
	Objective      time.Duration // target latency of a response
	Priority       int           // 0 is the most urgent
	MaxTargets     int           // maximum number of targets that one request is sent to
	AllowAnonymous bool          `cbor:"Open" json:"Open"` // no key is required
	Homes          []crid.Region // regions in which requests may be processed; empty: all
	Shares         []Share
	// UnknownKind is the kind that the operator gave the route, if this version does not know
	// it. Such a route has the class that allows the least: its requests run at most once.
	UnknownKind string `cbor:",omitempty" json:",omitempty"`
}

// Pick maps a point in [0,1) to a service, in proportion to the weights of the shares.
func (r *Route) Pick(point float64) crid.Service {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := point * total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Account is a client account and its limit over the whole fleet.
type Account struct {
	Name        crid.Account
	Keys        []string
	HasPriority bool          `cbor:"Ranked" json:"Ranked"` // Priority overrides that of the route
	Priority    int           // 0 is the most urgent
	Rate        float64       // requests a second; zero: no limit
	Burst       float64       // requests above the rate
	Homes       []crid.Region // regions in which requests may be processed; empty: all
}

// Service is a service in a plan.
type Service struct {
	Name        crid.Service
	HealthPath  string
	Connections int // maximum number of connections per target
	Warmup      Warmup
}

// Warmup describes the targets of a service shortly after their start, while they are cold.
type Warmup struct {
	Duration time.Duration // zero: targets are not cold after a start
	Rate     float64       // requests a second that a cold target tolerates; zero: no limit
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Plan is one version of the routing plan.
type Plan struct {
	version  uint64
	hosts    map[string][]*Route // longest prefix first
	keys     map[crpolicy.KeyHash]*Account
	accounts map[crid.Account]*Account
	services map[crid.Service]Service
	limits   Limits
}

// New validates and indexes a plan. The error describes the first invalid entry.
func New(version uint64, routes []Route, accounts []Account, services []Service, limits Limits) (*Plan, error) {
	p := &Plan{
		version:  version,
		hosts:    make(map[string][]*Route),
		keys:     make(map[crpolicy.KeyHash]*Account),
		accounts: make(map[crid.Account]*Account),
		services: make(map[crid.Service]Service),
		limits:   limits,
	}
	for _, s := range services {
		p.services[s.Name] = s
	}
	for i := range routes {
		if err := p.addRoute(&routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range accounts {
		if err := p.addAccount(&accounts[i]); err != nil {
			return nil, err
		}
	}
	for _, list := range p.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return p, nil
}

func (p *Plan) addRoute(r *Route) error {
	if err := p.checkRoute(r); err != nil {
		return fmt.Errorf("route %q: %w", r.Name, err)
	}
	host := strings.ToLower(r.Host)
	for _, other := range p.hosts[host] {
		if other.Prefix == r.Prefix {
			return fmt.Errorf("route %q: route %q has the same host and prefix", r.Name, other.Name)
		}
	}
	p.hosts[host] = append(p.hosts[host], r)
	return nil
}

func (p *Plan) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("the host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("the prefix %q does not begin and end with a slash", r.Prefix)
	case r.Class != crpolicy.ClassOnce && r.Class != crpolicy.ClassRepeat:
		return fmt.Errorf("the class is missing")
	case r.MaxTargets < 1:
		return fmt.Errorf("the number of targets must be 1 or more, not %d", r.MaxTargets)
	case r.Timeout < 0:
		return fmt.Errorf("the timeout is negative")
	case len(r.Shares) == 0:
		return fmt.Errorf("the route has no services")
	}
	return p.checkShares(r.Shares)
}

func (p *Plan) checkShares(shares []Share) error {
	total := 0.0
	for _, s := range shares {
		if _, ok := p.services[s.Service]; !ok {
			return fmt.Errorf("the service %q is unknown", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("the weight of %q is negative", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return fmt.Errorf("the sum of the weights is zero")
	}
	return nil
}

func (p *Plan) addAccount(a *Account) error {
	if a.Name == "" {
		return fmt.Errorf("an account has no name")
	}
	if _, ok := p.accounts[a.Name]; ok {
		return fmt.Errorf("the account %q is listed twice", a.Name)
	}
	p.accounts[a.Name] = a
	for _, key := range a.Keys {
		hash := crpolicy.HashKey(key)
		if other, ok := p.keys[hash]; ok {
			return fmt.Errorf("the accounts %q and %q share a key", other.Name, a.Name)
		}
		p.keys[hash] = a
	}
	return nil
}

// Version returns the plan's version; later plans have greater ones.
func (p *Plan) Version() uint64 { return p.version }

// Label returns the version in hexadecimal, as operators write it.
func (p *Plan) Label() string { return strconv.FormatUint(p.version, 16) }

// Limits returns the limits of requests.
func (p *Plan) Limits() Limits { return p.limits }

// RequiresKey reports whether callers must present a key at all.
func (p *Plan) RequiresKey() bool { return len(p.accounts) > 0 }

// UnknownKinds returns the kinds of the routes whose kind this version does not know.
func (p *Plan) UnknownKinds() map[crid.Route]string {
	out := make(map[crid.Route]string)
	for _, routes := range p.hosts {
		for _, r := range routes {
			if r.UnknownKind != "" {
				out[r.Name] = r.UnknownKind
			}
		}
	}
	return out
}

// Homes returns the homes of the routes that have some.
func (p *Plan) Homes() map[crid.Route][]crid.Region {
	out := make(map[crid.Route][]crid.Region)
	for _, routes := range p.hosts {
		for _, r := range routes {
			if len(r.Homes) > 0 {
				out[r.Name] = slices.Clone(r.Homes)
			}
		}
	}
	return out
}

// Service returns the service with a name.
func (p *Plan) Service(name crid.Service) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// NamesServices reports whether the plan names any service. One that does names all of its version.
func (p *Plan) NamesServices() bool { return len(p.services) > 0 }

// AccountByKey returns the account of a key.
func (p *Plan) AccountByKey(key string) (*Account, bool) {
	a, ok := p.keys[crpolicy.HashKey(key)]
	return a, ok
}

// AccountNames returns the names of all accounts, sorted.
func (p *Plan) AccountNames() []crid.Account { return slices.Sorted(maps.Keys(p.accounts)) }

// Account returns the account with a name.
func (p *Plan) Account(name crid.Account) (*Account, bool) {
	a, ok := p.accounts[name]
	return a, ok
}

// Route returns the host's route with the longest prefix that matches the path.
// The host may include a port.
func (p *Plan) Route(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range p.hosts[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
