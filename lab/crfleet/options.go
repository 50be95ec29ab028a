package crfleet

import (
	"os"
	"time"

	"camphorroad/lab/crupstream"
)

// Option configures a fleet.
type Option func(*options)

// Service is a service and the configuration of its fake upstreams.
type Service struct {
	Name        string
	Policy      string        // the policy file's TOML
	Targets     int           // zero: one next to each daemon
	Slots       int           // zero: 5
	Queue       int           // waiting requests above which the upstream sheds load; zero: 20
	ServiceTime time.Duration // zero: 5 ms
	Warmup      time.Duration // time after start with a longer service time; see crupstream.Options
}

const (
	defaultDaemons     = 5
	defaultSlots       = 5
	defaultQueue       = 20
	defaultServiceTime = 5 * time.Millisecond
)

func (s Service) targetCount(daemons int) int {
	if s.Targets > 0 {
		return s.Targets
	}
	return daemons
}

func (s Service) upstreamOptions(name string) crupstream.Options {
	opts := crupstream.Options{Name: name, Slots: s.Slots, Queue: s.Queue, ServiceTime: s.ServiceTime, Warmup: s.Warmup}
	if opts.Slots == 0 {
		opts.Slots = defaultSlots
	}
	if opts.Queue == 0 {
		opts.Queue = defaultQueue
	}
	if opts.ServiceTime == 0 {
		opts.ServiceTime = defaultServiceTime
	}
	return opts
}

// BookingPolicy is the policy of the default service: reads below /kits may be
// retried, holds below /holds run at most once.
const BookingPolicy = `
[service]
name = "booking"
floor = 2
slots = 5
queue = 40
connections = 300
echo = "X-Request-Echo"
[[route]]
name = "kits"
methods = ["GET"]
prefix = "/kits"
class = "repeat"
timeout = "2s"
[[route]]
name = "hold"
methods = ["POST"]
prefix = "/holds"
class = "once"
timeout = "2s"
`

type options struct {
	daemons  int
	spares   int
	domains  []string
	services []Service
	accounts []Account
	binary   string
	delay    time.Duration
	noWait   bool
	direct   bool
	settings string
	env      []string
}

func newOptions(opts []Option) options {
	o := options{
		daemons:  defaultDaemons,
		domains:  []string{"domain-1", "domain-2", "domain-3"},
		services: []Service{{Name: "booking", Policy: BookingPolicy}},
		binary:   os.Args[0],
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithDaemons sets the number of daemons; default 5.
func WithDaemons(n int) Option { return func(o *options) { o.daemons = n } }

// WithSpares adds n daemons with their targets. New neither starts nor lists them.
// They have the last indexes.
func WithSpares(n int) Option { return func(o *options) { o.spares = n } }

// WithDomains sets the failure domains, to which daemons are assigned round-robin;
// default three.
func WithDomains(names ...string) Option {
	return func(o *options) { o.domains = append([]string(nil), names...) }
}

// WithServices replaces the default service. Targets are assigned to the daemons
// round-robin, service by service.
func WithServices(services ...Service) Option {
	return func(o *options) { o.services = append([]Service(nil), services...) }
}

// WithAccounts sets the accounts; default none.
func WithAccounts(accounts ...Account) Option {
	return func(o *options) { o.accounts = append([]Account(nil), accounts...) }
}

// WithBinary sets the program of the daemons; default this program.
func WithBinary(path string) Option { return func(o *options) { o.binary = path } }

// WithDelay delays each datagram between daemons by d, one way.
func WithDelay(d time.Duration) Option { return func(o *options) { o.delay = d } }

// WithoutRelays makes daemons send to one another directly, so that a latency
// benchmark does not include the relays. Links cannot be cut or delayed then.
func WithoutRelays() Option { return func(o *options) { o.direct = true } }

// WithSettings adds TOML tables to each daemon's settings, such as [limits];
// "{daemon}" in text is replaced by the daemon's name.
func WithSettings(text string) Option { return func(o *options) { o.settings = text } }

// WithEnv adds variables, each NAME=VALUE, to the daemons' environment, such as
// those of the garbage collector.
func WithEnv(vars ...string) Option {
	return func(o *options) { o.env = append([]string(nil), vars...) }
}

// WithoutWaiting makes New return without waiting for the daemons to be ready.
func WithoutWaiting() Option { return func(o *options) { o.noWait = true } }
