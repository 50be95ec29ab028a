// Package crpath measures what the path of a request adds: the same open load
// straight to an upstream, through the daemon beside it, and through an entry and
// an exit daemon, in turn, in one run. The daemons are processes of their own; the
// load and the upstream's stand-in share this one, in all three ways.
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

// Path is how requests reach the upstream.
type Path string

// The ways.
const (
	Direct  Path = "straight" // no daemon
	OneHop  Path = "onehop"   // the daemon beside the upstream is the entry too
	TwoHops Path = "twohops"  // an entry, a session, an exit
)

// Options configure a measurement.
type Options struct {
	Binary string        // the daemon's program
	Rounds int           // each way is run so often, in turn
	Length time.Duration // of the load of one way in one round
	Part   float64       // of the path's capacity that is sent
	Rate   float64       // requests a second in place of Part; zero: Part
}

// Run is one way in one round.
type Run struct {
	Via    Path          `json:"way"`
	Sent   int           `json:"sent"`
	Failed int           `json:"failed"` // not answered, or not rightly
	P50    time.Duration `json:"p50"`    // nanoseconds, from the planned time
	P99    time.Duration `json:"p99"`
	Entry  Use           `json:"entry"` // for each request
	Exit   Use           `json:"exit"`
	// Failures counts what the failed were told.
	Failures map[string]int `json:"told,omitempty"`
}

// Use is what a daemon's process spends on a request.
type Use struct {
	CPU    time.Duration `json:"cpu"`    // nanoseconds, user and system
	Allocs float64       `json:"allocs"` // objects
}

// Result is a whole measurement.
type Result struct {
	Capacity float64 `json:"capacity"` // requests a second through two hops, closed loop
	Rate     float64 `json:"rate"`     // requests a second that were sent
	Runs     []Run   `json:"runs"`
}

// ErrNoCapacity tells that no request was answered.
var ErrNoCapacity = errors.New("the path answers nothing")

const (
	accountRate = 1e6 // requests a second, far from being used up
	warmUp      = 2 * time.Second
)

// policy has room for whatever is sent: what is measured is the path.
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

// bench is the fleet that is measured.
type bench struct {
	fleet   *crfleet.Fleet
	account crfleet.Account
	seed    uint64
}

// Measure starts the daemons, finds the capacity, and runs the ways in turn.
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
		for _, way := range []Path{Direct, OneHop, TwoHops} {
			run, err := b.run(ctx, way, res.Rate, opts.Length)
			if err != nil {
				return res, fmt.Errorf("%s: %w", way, err)
			}
			res.Runs = append(res.Runs, run)
		}
	}
	return res, nil
}

// url is where the callers of a way send. The only target stands beside the
// first daemon.
func (b *bench) url(way Path) string {
	switch way {
	case Direct:
		return b.fleet.Target(0).URL()
	case OneHop:
		return b.fleet.Daemon(0).URL()
	case TwoHops:
	}
	return b.fleet.Daemon(1).URL()
}

func (b *bench) run(ctx context.Context, way Path, rate float64, length time.Duration) (Run, error) {
	b.seed++
	before, err := b.uses(ctx)
	if err != nil {
		return Run{}, err
	}
	report, err := crload.Run(ctx, crload.Plan{
		Seconds: length.Seconds(), Seed: b.seed, Entries: []string{b.url(way)},
		Accounts: []crload.Account{{
			Name: b.account.Name, Key: b.key(way), Rate: rate, Calls: []crload.Call{{Method: "GET", Path: "/kits/rover-7"}},
		}},
	})
	if err != nil {
		return Run{}, err
	}
	after, err := b.uses(ctx)
	if err != nil {
		return Run{}, err
	}
	line := report.Lines()[0]
	run := Run{Via: way, Sent: line.Sent, Failed: line.Sent - line.Results[crload.Answered], P50: line.P50, P99: line.P99}
	run.Failures = failures(report)
	run.Exit = each(before[0], after[0], line.Sent)
	run.Entry = each(before[1], after[1], line.Sent)
	return run, nil
}

func failures(report *crload.Report) map[string]int {
	told := make(map[string]int)
	for _, t := range report.Samples() {
		if t.Result != crload.Answered {
			told[strings.TrimSpace(fmt.Sprintf("%s %d %s", t.Result, t.Status, t.Reason))]++
		}
	}
	return told
}

// key is empty without a daemon: no upstream may see one.
func (b *bench) key(way Path) string {
	if way == Direct {
		return ""
	}
	return b.account.Key()
}

func (b *bench) uses(ctx context.Context) ([]crfleet.Usage, error) {
	var all []crfleet.Usage
	for _, d := range b.fleet.Daemons() {
		c, err := d.Usage(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	return all, nil
}

func each(before, after crfleet.Usage, n int) Use {
	return Use{
		CPU:    time.Duration((after.CPU - before.CPU) / float64(n) * float64(time.Second)),
		Allocs: (after.Allocs - before.Allocs) / float64(n),
	}
}
