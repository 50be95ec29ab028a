// Package crexperiment simulates request routing in virtual time, with targets that
// become unhealthy, and compares the product's policy with baseline policies.
// The command lab experiment uses it. Package crload, in contrast, sends real requests to
// running daemons.
//
// The simulation runs the product's own code for load balancing, admission control and
// health estimation at each exit, and for the retry budget. It models the targets (slots,
// work, phases in which they fail requests), nested requests, network delay and callers.
// A run with the same seed always gives the same result. Accounts, the store, network
// partitions, process pauses and loss of machines are not modelled. The loop over targets
// is implemented again here, because that of the product waits on sockets.
//
// # Usage
//
//	x, err := crexperiment.Load("quiet.toml")
//	for _, r := range x.Run() {
//		fmt.Println(r.Policy, r.Served())
//	}
package crexperiment

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// ErrExperiment is the error of an invalid experiment file.
var ErrExperiment = errors.New("bad experiment")

// Duration is a duration in an experiment file, for example "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 1.5s", text)
	}
	*d = Duration(v)
	return nil
}

// Service is a set of equivalent targets.
type Service struct {
	Name    crid.Service `toml:"name"`
	Targets int          `toml:"targets"`
	Slots   int          `toml:"slots"` // of each target
}

// Kind is a kind of request.
type Kind struct {
	Name      string       `toml:"name"`
	Service   crid.Service `toml:"service"`
	Once      bool         `toml:"once"`     // may run only once
	Priority  int          `toml:"priority"` // 0 is the most urgent
	Rate      float64      `toml:"rate"`     // requests per second; zero: only nested requests
	Work      Duration     `toml:"work"`     // mean work time
	Spread    float64      `toml:"spread"`   // standard deviation of the logarithm of the work time
	Objective Duration     `toml:"objective"`
	Timeout   Duration     `toml:"timeout"`
	Call      string       `toml:"call"`  // kind of its nested request; empty: none
	Share     float64      `toml:"share"` // of requests that make a nested request
}

func (k *Kind) class() crpolicy.Class {
	if k.Once {
		return crpolicy.ClassOnce
	}
	return crpolicy.ClassRepeat
}

// Faults describes when targets are unhealthy and how often requests fail.
type Faults struct {
	Share float64  `toml:"share"` // of the time that a target is unhealthy
	Every Duration `toml:"every"` // length of a phase; the health of a target is drawn again after it
	Fails float64  `toml:"fails"` // share of requests that an unhealthy target fails
	Error float64  `toml:"error"` // share of the other requests that fail
}

// Experiment is the configuration of a simulation.
type Experiment struct {
	Name      string    `toml:"name"`
	Seeds     []uint64  `toml:"seeds"`
	Length    Duration  `toml:"length"`
	Load      float64   `toml:"load"` // factor on the rates of the kinds
	Domains   int       `toml:"domains"`
	Skew      float64   `toml:"skew"`      // requests of the first domain, in multiples of those of another one
	Delay     Duration  `toml:"delay"`     // one-way delay between domains
	Heartbeat Duration  `toml:"heartbeat"` // between load reports of an exit
	Policies  []string  `toml:"policies"`
	Services  []Service `toml:"service"`
	Kinds     []Kind    `toml:"kind"`
	Faults    Faults    `toml:"sick"`
}

// Load reads and checks an experiment file. The error names the file, and the line and
// key of a syntax error.
func Load(file string) (*Experiment, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrExperiment, err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	x := &Experiment{Load: 1, Domains: 1, Skew: 1, Heartbeat: Duration(time.Second), Seeds: []uint64{1}, Policies: PolicyNames()}
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(x); err != nil {
		return nil, fmt.Errorf("%w: %s: %s", ErrExperiment, file, describeError(err))
	}
	if err := x.Check(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrExperiment, file, err)
	}
	return x, nil
}

// describeError formats a decoding error with its line and key.
func describeError(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return fmt.Sprintf("line %d: unknown key %v", row, strict.Errors[0].Key())
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return fmt.Sprintf("line %d: %v: %s", row, decode.Key(), decode.Error())
	}
	return err.Error()
}

// Check returns the first fault of an experiment.
func (x *Experiment) Check() error {
	services := make(map[crid.Service]bool)
	for _, s := range x.Services {
		if s.Targets < 1 || s.Slots < 1 {
			return fmt.Errorf("service %q: targets and slots must be 1 or more", s.Name)
		}
		services[s.Name] = true
	}
	kinds := make(map[string]bool)
	for _, k := range x.Kinds {
		kinds[k.Name] = true
	}
	for _, k := range x.Kinds {
		switch {
		case !services[k.Service]:
			return fmt.Errorf("kind %q: no service is named %q", k.Name, k.Service)
		case k.Call != "" && !kinds[k.Call]:
			return fmt.Errorf("kind %q: no kind is named %q", k.Name, k.Call)
		case k.Work <= 0 || k.Objective <= 0 || k.Timeout <= 0:
			return fmt.Errorf("kind %q: work, objective and timeout must be above zero", k.Name)
		}
	}
	for _, p := range x.Policies {
		if _, ok := policies[p]; !ok {
			return fmt.Errorf("policies: %q is not one of %v", p, PolicyNames())
		}
	}
	switch {
	case len(x.Services) == 0 || len(x.Kinds) == 0:
		return errors.New("at least one service and one kind are required")
	case x.Length <= 0:
		return errors.New("length: must be above zero")
	case x.Domains < 1 || x.Load <= 0:
		return errors.New("domains and load must be above zero")
	case x.Faults.Share < 0 || x.Faults.Share >= 1 || (x.Faults.Share > 0 && x.Faults.Every <= 0):
		return errors.New("sick: share must be from 0 to under 1, and every must be above zero with it")
	}
	return nil
}

// Run simulates every policy with every seed, in the order of the file.
func (x *Experiment) Run() []Result {
	var out []Result
	for _, name := range x.Policies {
		for _, seed := range x.Seeds {
			out = append(out, x.simulate(name, seed))
		}
	}
	return out
}
