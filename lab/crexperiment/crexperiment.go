// Package crexperiment plays a fleet's decisions in virtual time, under a load and with
// targets that turn sick, beside baselines.
//
// What decides is the product's own code: the board that chooses targets, the gate and
// the judgement at each exit, the budget of repeats. What is modelled is the world: the
// targets with their slots, work and gray phases, the calls between services, links
// and callers. A run of one seed always gives the same result. Of accounts, the store,
// cuts, pauses and the ways to lose machines it knows nothing yet, and the loop over
// targets is written again here, as the entry's own waits on sockets.
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

// ErrExperiment tells what is wrong with an experiment's file.
var ErrExperiment = errors.New("bad experiment")

// Duration is a time as a file writes it, for example "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as 1.5s", text)
	}
	*d = Duration(v)
	return nil
}

// Service is a set of targets that do the same.
type Service struct {
	Name    crid.Service `toml:"name"`
	Targets int          `toml:"targets"`
	Slots   int          `toml:"slots"` // of each
}

// Kind is a kind of request.
type Kind struct {
	Name      string       `toml:"name"`
	Service   crid.Service `toml:"service"`
	Once      bool         `toml:"once"`     // may run only once
	Priority  int          `toml:"priority"` // 0 is the most urgent
	Rate      float64      `toml:"rate"`     // a second; zero: it comes only as a call
	Work      Duration     `toml:"work"`     // mean
	Spread    float64      `toml:"spread"`   // of the logarithm
	Objective Duration     `toml:"objective"`
	Timeout   Duration     `toml:"timeout"`
	Call      string       `toml:"call"`  // the kind that it calls; empty: none
	Share     float64      `toml:"share"` // of requests that make the call
}

func (k *Kind) class() crpolicy.Class {
	if k.Once {
		return crpolicy.ClassOnce
	}
	return crpolicy.ClassRepeat
}

// Sick says how targets turn sick.
type Sick struct {
	Share float64  `toml:"share"` // of the time that a target is sick
	Every Duration `toml:"every"` // after which it is drawn anew whether a target is sick
	Fails float64  `toml:"fails"` // share of requests that a sick target breaks off
	Error float64  `toml:"error"` // share that a well target fails
}

// Experiment is what is played.
type Experiment struct {
	Name     string    `toml:"name"`
	Seeds    []uint64  `toml:"seeds"`
	Length   Duration  `toml:"length"`
	Load     float64   `toml:"load"` // times the kinds' rates
	Domains  int       `toml:"domains"`
	Delay    Duration  `toml:"delay"` // one way between domains
	Policies []string  `toml:"policies"`
	Services []Service `toml:"service"`
	Kinds    []Kind    `toml:"kind"`
	Sick     Sick      `toml:"sick"`
}

// Load reads and checks an experiment's file. The error names file, line and key.
func Load(file string) (*Experiment, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrExperiment, err)
	}
	defer func() { _ = f.Close() }() // it was only read
	x := &Experiment{Load: 1, Domains: 1, Seeds: []uint64{1}, Policies: PolicyNames()}
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(x); err != nil {
		return nil, fmt.Errorf("%w: %s: %s", ErrExperiment, file, place(err))
	}
	if err := x.Check(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrExperiment, file, err)
	}
	return x, nil
}

// place says in one line where in a file an error is.
func place(err error) string {
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

// Check says what is wrong with an experiment.
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
			return fmt.Errorf("policies: %q is none of %v", p, PolicyNames())
		}
	}
	switch {
	case len(x.Services) == 0 || len(x.Kinds) == 0:
		return errors.New("a service and a kind are needed")
	case x.Length <= 0:
		return errors.New("length: must be above zero")
	case x.Domains < 1 || x.Load <= 0:
		return errors.New("domains and load must be above zero")
	case x.Sick.Share < 0 || x.Sick.Share >= 1 || (x.Sick.Share > 0 && x.Sick.Every <= 0):
		return errors.New("sick: share must be from 0 to under 1, and every above zero with it")
	}
	return nil
}

// Run plays all policies with all seeds, in their order.
func (x *Experiment) Run() []Result {
	var out []Result
	for _, name := range x.Policies {
		for _, seed := range x.Seeds {
			out = append(out, x.play(name, seed))
		}
	}
	return out
}
