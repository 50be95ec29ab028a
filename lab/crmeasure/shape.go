package crmeasure

import (
	"fmt"
	"time"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
)

// Shape is a deployment of today, scaled to one machine: an instance carries
// several targets.
type Shape struct {
	Name     string
	Daemons  int
	Domains  []string
	Delay    time.Duration // one way between daemons; callers have none
	Services []service
}

// service is one service and its share of the requests.
type service struct {
	name    string
	targets int
	floor   int
	slots   int
	conns   int
	weight  int    // of its requests
	reads   string // prefix of the route that may repeat
	writes  string // prefix of the route that runs at most once
}

const (
	daemons     = 10
	serviceTime = 20 * time.Millisecond
	loadFactor  = 0.7 // of each account's rate
	largeCount  = 3
	smallCount  = 5
	largeRate   = 240.0
	smallRate   = 40.0
	bodyBytes   = 200
	readWeight  = 3 // reads for each write
)

// Shapes are both deployments.
func Shapes() []Shape {
	return []Shape{
		{
			Name: "beacon", Daemons: daemons, Domains: []string{"north", "center", "south", "east"}, Delay: 1500 * time.Microsecond,
			Services: []service{
				{name: "booking", targets: 15, floor: 10, slots: 5, conns: 300, weight: 6, reads: "/kits", writes: "/holds"},
				{name: "dispatch", targets: 10, floor: 7, slots: 5, conns: 300, weight: 4, reads: "/stations", writes: "/deposits"},
			},
		},
		{
			Name: "groupement", Daemons: daemons, Domains: []string{"dakar-1", "dakar-2", "thies"}, Delay: time.Millisecond,
			Services: []service{
				{name: "portal", targets: 25, floor: 18, slots: 4, conns: 400, weight: 7, reads: "/files", writes: "/filings"},
				{name: "ledger", targets: 5, floor: 3, slots: 4, conns: 400, weight: 3, reads: "/balances", writes: "/entries"},
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
	return fmt.Sprintf(policyFormat, s.name, s.floor, s.slots, s.conns, s.reads, s.writes)
}

// accounts are eight, three of them large; each burst is a second's rate.
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
			crload.Call{Method: "GET", Path: svc.reads + "/1", Weight: readWeight * svc.weight},
			crload.Call{Method: "POST", Path: svc.writes, Weight: svc.weight, Bytes: bodyBytes},
		)
	}
	return calls
}

// plan is the load. No caller enters at the daemons that the case stops or
// freezes itself: what is measured is what their leaving does to all others.
func (t trial) plan(f *crfleet.Fleet, length, from, to time.Duration) crload.Plan {
	p := crload.Plan{
		Seconds: length.Seconds(), Seed: t.seed, Timeout: "10s",
		Entries: f.URLs()[:t.shape.Daemons-t.fault.apart],
	}
	for i, a := range accounts() {
		load := crload.Account{Name: a.Name, Key: a.Key(), Rate: loadFactor * a.Rate, Calls: t.shape.calls()}
		if t.fault.lone {
			load.Entry = i + 1
		}
		if i == 0 && t.fault.surge > 0 {
			load.Surge = crload.Surge{From: from.Seconds(), To: to.Seconds(), Factor: t.fault.surge}
		}
		p.Accounts = append(p.Accounts, load)
	}
	return p
}
