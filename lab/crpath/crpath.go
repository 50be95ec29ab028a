// Package crpath measures the overhead of the daemons on the path of a request. It sends
// the same open-loop load directly to an upstream, through the daemon beside it, and
// through an entry and an exit daemon, in turn. Each daemon is a process of its own. The
// load generator and the fake upstream run in this process, on all three paths.
//
// # Usage
//
//	result, err := crpath.Measure(ctx, crpath.Options{Binary: "bin/camphorroad", Rounds: 5, Length: 3 * time.Second, Part: 0.5})
//	rows := result.Rows()
package crpath

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
)

// Path is a path on which requests reach the upstream.
type Path string

// The paths.
const (
	Direct  Path = "straight" // no daemon
	OneHop  Path = "onehop"   // one daemon, beside the upstream, is both entry and exit
	TwoHops Path = "twohops"  // an entry daemon and an exit daemon
)

// Options configure a measurement.
type Options struct {
	Binary string        // daemon executable
	Rounds int           // runs of each path, in turn
	Length time.Duration // of the load of one run
	Part   float64       // load, as a fraction of the capacity
	Rate   float64       // load in requests per second; zero: Part applies
}

// Run is the result of one path in one round.
type Run struct {
	Via    Path          `json:"way"`
	Sent   int           `json:"sent"`
	Failed int           `json:"failed"` // without a response, or with a wrong one
	P50    time.Duration `json:"p50"`    // nanoseconds, from the planned time
	P99    time.Duration `json:"p99"`
	Entry  Use           `json:"entry"` // per request
	Exit   Use           `json:"exit"`
	// Failures counts the failed requests by result, status and reason.
	Failures map[string]int `json:"told,omitempty"`
}

// Use is the cost of a request in the process of a daemon.
type Use struct {
	CPU    time.Duration `json:"cpu"`    // nanoseconds, user and system
	Allocs float64       `json:"allocs"` // allocated objects
}

// Result is the result of a measurement.
type Result struct {
	Capacity float64 `json:"capacity"` // requests per second through two hops, closed loop
	Rate     float64 `json:"rate"`     // requests per second sent
	Runs     []Run   `json:"runs"`
}

// ErrNoCapacity means that no request was answered while the capacity was measured.
var ErrNoCapacity = errors.New("no request was answered while the capacity was measured")

const (
	accountRate  = 1e6             // requests per second; high enough that the limit never refuses a request
	capacityTime = 2 * time.Second // of the warm-up, and of the measurement of the capacity
)

// policy has limits that the load does not reach, since only the path is measured.
const policy = `
[service]
name = "booking"
floor = 1
slots = 512
queue = 4096
connections = 1024
echo = "X-Request-Echo"
[[route]]
name = "kits"
methods = ["GET"]
prefix = "/kits"
class = "repeat"
timeout = "5s"
`

// bench is the fleet under measurement.
type bench struct {
	fleet   *crfleet.Fleet
	account crfleet.Account
	seed    uint64
}

// Measure starts the daemons, measures the capacity, and runs the paths in turn.
func Measure(ctx context.Context, opts Options) (*Result, error) {
	account := crfleet.Account{Name: "survey", Rate: accountRate, Burst: accountRate}
	fleet, err := crfleet.New(ctx,
		crfleet.WithBinary(opts.Binary),
		crfleet.WithDaemons(2),
		crfleet.WithoutRelays(),
		crfleet.WithServices(crfleet.Service{Name: "booking", Policy: policy, Targets: 1, Slots: 512, Queue: 4096, ServiceTime: time.Nanosecond}),
		crfleet.WithAccounts(account),
	)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	b := &bench{fleet: fleet, account: account}
	res := &Result{Rate: opts.Rate}
	if res.Capacity, err = b.capacity(ctx); err != nil {
		return nil, err
	}
	if res.Rate == 0 {
		res.Rate = opts.Part * res.Capacity
	}
	for range opts.Rounds {
		for _, path := range []Path{Direct, OneHop, TwoHops} {
			run, err := b.run(ctx, path, res.Rate, opts.Length)
			if err != nil {
				return res, fmt.Errorf("%s: %w", path, err)
			}
			res.Runs = append(res.Runs, run)
		}
	}
	return res, nil
}

// url returns the address to which callers send on a path. The only target is beside the
// first daemon.
func (b *bench) url(path Path) string {
	switch path {
	case Direct:
		return b.fleet.Target(0).URL()
	case OneHop:
		return b.fleet.Daemon(0).URL()
	case TwoHops:
	}
	return b.fleet.Daemon(1).URL()
}

func (b *bench) run(ctx context.Context, path Path, rate float64, length time.Duration) (Run, error) {
	b.seed++
	before, err := b.usages(ctx)
	if err != nil {
		return Run{}, err
	}
	report, err := crload.Run(ctx, crload.Plan{
		Seconds: length.Seconds(), Seed: b.seed, Entries: []string{b.url(path)},
		Accounts: []crload.Account{{
			Name: b.account.Name, Key: b.key(path), Rate: rate, Calls: []crload.Call{{Method: "GET", Path: "/kits/rover-7"}},
		}},
	})
	if err != nil {
		return Run{}, err
	}
	after, err := b.usages(ctx)
	if err != nil {
		return Run{}, err
	}
	line := report.Lines()[0]
	run := Run{Via: path, Sent: line.Sent, Failed: line.Sent - line.Results[crload.Answered], P50: line.P50, P99: line.P99}
	run.Failures = failures(report)
	run.Exit = perRequest(before[0], after[0], line.Sent)
	run.Entry = perRequest(before[1], after[1], line.Sent)
	return run, nil
}

func failures(report *crload.Report) map[string]int {
	counts := make(map[string]int)
	for _, t := range report.Samples() {
		if t.Result != crload.Answered {
			counts[strings.TrimSpace(fmt.Sprintf("%s %d %s", t.Result, t.Status, t.Reason))]++
		}
	}
	return counts
}

// key returns the key that callers send. It is empty on the direct path, since an upstream
// must not receive keys.
func (b *bench) key(path Path) string {
	if path == Direct {
		return ""
	}
	return b.account.Key()
}

func (b *bench) usages(ctx context.Context) ([]crfleet.Usage, error) {
	var all []crfleet.Usage
	for _, d := range b.fleet.Daemons() {
		usage, err := d.Usage(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, usage)
	}
	return all, nil
}

func perRequest(before, after crfleet.Usage, requests int) Use {
	return Use{
		CPU:    time.Duration((after.CPU - before.CPU) / float64(requests) * float64(time.Second)),
		Allocs: (after.Allocs - before.Allocs) / float64(requests),
	}
}
