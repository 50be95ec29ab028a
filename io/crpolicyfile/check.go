package crpolicyfile

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// Limits of a policy. They catch typing errors, and values that no fleet needs.
const (
	maxNameBytes     = 63
	maxTargets       = 100_000
	maxSlots         = 10_000
	maxQueue         = 100_000
	maxConnections   = 100_000
	maxRate          = 10_000_000 // requests a second
	maxAccountKeys   = 1_000
	minProbeInterval = time.Second
	maxTimeout       = time.Hour
)

var (
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
	headerPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9.-]{1,253}$`)
)

const hintName = "use lower-case letters, digits, dots, dashes and underscores, 63 at most"

const hintKeyConflict = "issue a separate key for each account"

// registry records what must be unique over all files, with the place of its first use.
type registry struct {
	services map[crid.Service]string
	accounts map[crid.Account]string
	keys     map[crpolicy.KeyHash]string
	routes   map[routeMatch]string
}

// routeMatch is what a route matches, for one method.
type routeMatch struct{ host, method, prefix string }

func newRegistry() *registry {
	return &registry{
		services: make(map[crid.Service]string),
		accounts: make(map[crid.Account]string),
		keys:     make(map[crpolicy.KeyHash]string),
		routes:   make(map[routeMatch]string),
	}
}

// checker validates policy types. The keys of its problems are those of the policy files.
type checker struct {
	source     string // name of the checked file or published value, quoted if a later one conflicts with it
	seen       *registry
	addProblem func(key, what, hint string)
}

func (c checker) checkRange(key string, n, low, high int) {
	if n < low || n > high {
		c.addProblem(key, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("use %d to %d", low, high))
	}
}

func (c checker) checkDuration(key string, d, low, high time.Duration) {
	if d < low || d > high {
		c.addProblem(key, "missing, not a duration, or out of range",
			fmt.Sprintf("use a string such as \"2s\", from %s to %s", low, high))
	}
}

func (c checker) checkName(key, name string) {
	if !isName(name) {
		c.addProblem(key, "missing or invalid name", hintName)
	}
}

// isName uses no regular expression: every daemon runs it over all accounts at each
// change, and a regular expression would take a tenth of that time.
func isName(name string) bool {
	if name == "" || len(name) > maxNameBytes || strings.ContainsRune("._-", rune(name[0])) {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

func (c checker) checkPath(key, path string) {
	if path != "" && !strings.HasPrefix(path, "/") {
		c.addProblem(key, "not a path", "begin it with /")
	}
}

func (c checker) checkService(svc crpolicy.Service) {
	c.checkName("service.name", string(svc.Name))
	if first, ok := c.seen.services[svc.Name]; ok {
		c.addProblem("service.name", "the service is also in "+first, "use one file per service")
	}
	c.seen.services[svc.Name] = c.source
	c.checkRange("service.floor", svc.Floor, 0, maxTargets)
	c.checkRange("service.slots", svc.Slots, 1, maxSlots)
	c.checkRange("service.queue", svc.Queue, 0, maxQueue)
	c.checkRange("service.connections", svc.Connections, 1, maxConnections)
	if svc.Slots > svc.Connections && svc.Connections > 0 {
		c.addProblem("service.slots", "more slots than connections", "raise connections or lower slots")
	}
	c.checkPath("service.health", svc.HealthPath)
	c.checkPath("service.load", svc.LoadPath)
	if svc.IdentityEcho != "" && !headerPattern.MatchString(svc.IdentityEcho) {
		c.addProblem("service.echo", "not the name of a header", "use letters, digits and dashes")
	}
	c.checkProbe(svc.Probe)
	c.checkRoutes(svc)
}

func (c checker) checkProbe(p crpolicy.Probe) {
	if p == (crpolicy.Probe{}) {
		return
	}
	c.checkPath("probe.path", p.Path)
	c.checkRange("probe.status", p.Status, 100, 599)
	c.checkDuration("probe.every", p.Interval, minProbeInterval, maxTimeout)
}

func (c checker) checkRoutes(svc crpolicy.Service) {
	if len(svc.Routes) == 0 {
		c.addProblem("route", "the service has no route", "add a [[route]] table")
	}
	names := make(map[crid.Route]bool)
	for i, rt := range svc.Routes {
		key := fmt.Sprintf("route[%d]", i)
		c.checkRoute(key, rt)
		if names[rt.Name] {
			c.addProblem(key+".name", "the service has two routes of this name", "rename one")
		}
		names[rt.Name] = true
		c.checkRouteConflict(key, rt)
	}
}

func (c checker) checkRoute(key string, rt crpolicy.Route) {
	c.checkName(key+".name", string(rt.Name))
	if rt.Host != "" && !hostPattern.MatchString(rt.Host) {
		c.addProblem(key+".host", "not a host name", "use a lower-case host name without a port, or leave it out for any")
	}
	for i, m := range rt.Methods {
		if !methodPattern.MatchString(m) {
			c.addProblem(key+".methods", "not an HTTP method", "use capitals, such as \"POST\"")
		}
		if slices.Contains(rt.Methods[:i], m) {
			c.addProblem(key+".methods", "a method is listed twice", "keep one")
		}
	}
	if !strings.HasPrefix(rt.Prefix, "/") {
		c.addProblem(key+".prefix", "missing or not a path", "begin it with /")
	}
	if rt.Class != crpolicy.ClassOnce && rt.Class != crpolicy.ClassRepeat {
		c.addProblem(key+".class", "missing or unknown class",
			"use \"once\" for what must run at most once, \"repeat\" for what is idempotent")
	}
	c.checkDuration(key+".timeout", rt.Timeout, time.Millisecond, maxTimeout)
}

// checkRouteConflict rejects a route whose match another route already has. Otherwise, the
// order of the files would decide which of the two gets a request.
func (c checker) checkRouteConflict(key string, rt crpolicy.Route) {
	methods := rt.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	conflict := ""
	for _, method := range methods {
		m := routeMatch{host: rt.Host, method: method, prefix: rt.Prefix}
		if first, ok := c.seen.routes[m]; ok {
			conflict = first
		}
		c.seen.routes[m] = fmt.Sprintf("%s of %s", rt.Name, c.source)
	}
	if conflict != "" {
		c.addProblem(key+".prefix", "same host, prefix and method as route "+conflict, "change one of the two")
	}
}

func (c checker) checkAccount(key string, a crpolicy.Account) {
	c.checkName(key+".name", string(a.Name))
	if first, ok := c.seen.accounts[a.Name]; ok {
		c.addProblem(key+".name", "the account is also in "+first, "keep one")
	}
	c.seen.accounts[a.Name] = c.source
	if !(a.Rate > 0 && a.Rate <= maxRate) {
		c.addProblem(key+".rate", "missing or out of range", "use requests a second, above 0")
	}
	if !(a.Burst >= 1 && a.Burst <= maxRate) || math.IsInf(a.Burst, 0) {
		c.addProblem(key+".burst", "missing or out of range", "use requests, 1 at least")
	}
	c.checkRange(key+".keys", len(a.Keys), 0, maxAccountKeys)
	for _, hash := range a.Keys {
		if first, ok := c.seen.keys[hash]; ok {
			// If two accounts had one key, the account of a request would be
			// arbitrary.
			c.addProblem(key+".keys", fmt.Sprintf("the hash %x… also belongs to %s", hash[:4], first), hintKeyConflict)
		}
		c.seen.keys[hash] = fmt.Sprintf("account %s of %s", a.Name, c.source)
	}
}
