package crmeasure

import (
	"fmt"
	"time"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
)

// Shape describes an existing deployment, scaled down to one machine: an instance has
// several targets.
type Shape struct {
	Name     string
	Daemons  int
	Domains  []string
	Delay    time.Duration // one-way delay between daemons; there is none for callers
	Services []service
}

// service describes a service and its share of the requests.
type service struct {
	name        string
	targets     int
	floor       int
	slots       int
	conns       int
	weight      int    // of its requests among those of all services
	readPrefix  string // path prefix of the route of class repeat
	writePrefix string // path prefix of the route of class once
}

const (
	daemonCount = 10
	serviceTime = 20 * time.Millisecond
	loadFactor  = 0.7 // load, as a fraction of each account's rate
	largeCount  = 3
	smallCount  = 5
	largeRate   = 240.0 // requests per second
	smallRate   = 40.0  // requests per second
	bodyBytes   = 200
	readWeight  = 3 // reads per write
)

// Shapes returns the shapes of both deployments.
func Shapes() []Shape {
	return []Shape{
		{
			Name: "beacon", Daemons: daemonCount, Domains: []string{"north", "center", "south", "east"}, Delay: 1500 * time.Microsecond,
			Services: []service{
				{name: "booking", targets: 15, floor: 10, slots: 5, conns: 300, weight: 6, readPrefix: "/kits", writePrefix: "/holds"},
				{name: "dispatch", targets: 10, floor: 7, slots: 5, conns: 300, weight: 4, readPrefix: "/stations", writePrefix: "/deposits"},
			},
		},
		{
			Name: "groupement", Daemons: daemonCount, Domains: []string{"dakar-1", "dakar-2", "thies"}, Delay: time.Millisecond,
			Services: []service{
				{name: "portal", targets: 25, floor: 18, slots: 4, conns: 400, weight: 7, readPrefix: "/files", writePrefix: "/filings"},
				{name: "ledger", targets: 5, floor: 3, slots: 4, conns: 400, weight: 3, readPrefix: "/balances", writePrefix: "/entries"},
			},
		},
	}
}

const policyFormat = `[service]
name = %q
floor = %d
slots = %d
queue = 40
connections = %d
echo = "X-Request-Echo"
[[route]]
name = "read"
methods = ["GET"]
prefix = %q
class = "repeat"
timeout = "2s"
[[route]]
name = "write"
methods = ["POST"]
prefix = %q
class = "once"
timeout = "2s"
`

func (s service) policy() string {
	return fmt.Sprintf(policyFormat, s.name, s.floor, s.slots, s.conns, s.readPrefix, s.writePrefix)
}

// accounts returns the large and the small accounts. Each burst is the rate of one second.
func accounts() []crfleet.Account {
	var out []crfleet.Account
	for i := range largeCount {
		out = append(out, crfleet.Account{Name: fmt.Sprintf("large-%d", i+1), Rate: largeRate, Burst: largeRate})
	}
	for i := range smallCount {
		out = append(out, crfleet.Account{Name: fmt.Sprintf("small-%d", i+1), Rate: smallRate, Burst: smallRate})
	}
	return out
}

func (s Shape) options() []crfleet.Option {
	var services []crfleet.Service
	for _, svc := range s.Services {
		services = append(services, crfleet.Service{
			Name: svc.name, Policy: svc.policy(), Targets: svc.targets, Slots: svc.slots, ServiceTime: serviceTime,
		})
	}
	return []crfleet.Option{
		crfleet.WithDaemons(s.Daemons), crfleet.WithDomains(s.Domains...), crfleet.WithDelay(s.Delay),
		crfleet.WithServices(services...), crfleet.WithAccounts(accounts()...),
	}
}

func (s Shape) calls() []crload.Call {
	var calls []crload.Call
	for _, svc := range s.Services {
		calls = append(calls,
			crload.Call{Method: "GET", Path: svc.readPrefix + "/1", Weight: readWeight * svc.weight},
			crload.Call{Method: "POST", Path: svc.writePrefix, Weight: svc.weight, Bytes: bodyBytes},
		)
	}
	return calls
}

// plan returns the load plan. No caller sends requests to the daemons that the case stops
// or suspends: the effect of their loss on all others is measured.
func (t runConfig) plan(f *crfleet.Fleet, length, from, to time.Duration) crload.Plan {
	p := crload.Plan{
		Seconds: length.Seconds(), Seed: t.seed, Timeout: "10s",
		Entries: f.URLs()[:t.shape.Daemons-t.fault.daemonsWithoutCallers],
	}
	for i, a := range accounts() {
		load := crload.Account{Name: a.Name, Key: a.Key(), Rate: loadFactor * a.Rate, Calls: t.shape.calls()}
		if t.fault.singleEntry {
			load.Entry = i + 1
		}
		if i == 0 && t.fault.surge > 0 {
			load.Surge = crload.Surge{From: from.Seconds(), To: to.Seconds(), Factor: t.fault.surge}
		}
		p.Accounts = append(p.Accounts, load)
	}
	return p
}
