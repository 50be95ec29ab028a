// Package crmeasure takes the users' four measures over real processes: it
// starts a fleet of a deployment's shape, offers it a load, causes a fault, and
// scores what callers were told against what ran at the upstreams.
//
// Load and fault times come from fixed seeds; the daemons decide in real time,
// so two runs of one seed differ a little. The spread over seeds tells by how
// much, and the tables in virtual time of core/crhealth and core/craccount are
// the part that repeats exactly.
//
// # Usage
//
//	runs, err := crmeasure.Run(ctx, crmeasure.Options{Binary: "bin/camphorroad", Seeds: 3})
//	for _, row := range crmeasure.Rows(runs) {
//		fmt.Println(strings.Join(row, "\t"))
//	}
package crmeasure

import (
	"context"
	"errors"
	"fmt"
	"time"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
)

// Options say what to measure; an empty list means all, of policies the chosen
// one and in each case the baselines that decide otherwise in it.
type Options struct {
	Binary   string // the daemon's program
	Shapes   []string
	Cases    []string
	Policies []string
	Seeds    int           // runs of each, with the seeds 1 to Seeds
	Length   time.Duration // of the load; the fault begins at a quarter of it
	Plots    string        // directory for the timelines of each first seed; empty: none
	Progress func(Result)
}

const (
	settleTime = 2 * time.Second // for buckets to fill after the fleet's start
	leastTime  = 4 * time.Second
)

// Errors of Run.
var (
	ErrUnknown = errors.New("unknown name")
	ErrOptions = errors.New("bad options")
)

// Run takes all runs that the options name, one after another.
func Run(ctx context.Context, opts Options) ([]Result, error) {
	shapes, err := pick("shape", Shapes(), opts.Shapes, func(s Shape) string { return s.Name })
	if err != nil {
		return nil, err
	}
	cases, err := pick("case", Cases(), opts.Cases, func(c Case) string { return c.Name })
	if err != nil {
		return nil, err
	}
	named, err := pick("policy", Policies(), opts.Policies, func(p Policy) string { return p.Name })
	if err != nil {
		return nil, err
	}
	if opts.Seeds < 1 || opts.Length < leastTime {
		return nil, fmt.Errorf("%w: at least one seed and %v of load are needed", ErrOptions, leastTime)
	}
	var runs []Result
	for _, s := range shapes {
		for _, c := range cases {
			policies := c.policies()
			if len(opts.Policies) > 0 {
				policies = named
			}
			for _, p := range policies {
				for seed := range opts.Seeds {
					m, err := opts.run(ctx, trial{shape: s, fault: c, policy: p, seed: uint64(seed) + 1})
					if err != nil {
						return runs, fmt.Errorf("%s, %s, %s, seed %d: %w", s.Name, c.Name, p.Name, seed+1, err)
					}
					runs = append(runs, m)
				}
			}
		}
	}
	return runs, nil
}

func pick[T any](kind string, all []T, names []string, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	for _, name := range names {
		found := false
		for _, v := range all {
			if nameOf(v) == name {
				out = append(out, v)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("%w: there is no %s %q", ErrUnknown, kind, name)
		}
	}
	return out, nil
}

// trial is one run.
type trial struct {
	shape  Shape
	fault  Case
	policy Policy
	seed   uint64
}

func (o Options) run(ctx context.Context, t trial) (Result, error) {
	fleet, err := crfleet.New(ctx, append(t.shape.options(), crfleet.WithBinary(o.Binary),
		crfleet.WithSettings(t.policy.settings(t.shape)))...)
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	time.Sleep(settleTime)
	rec, err := t.observe(ctx, fleet, max(o.Length, t.fault.least))
	if err != nil {
		return Result{}, err
	}
	m := rec.score()
	if o.Progress != nil {
		o.Progress(m)
	}
	if o.Plots != "" && t.seed == 1 {
		return m, rec.plot(o.Plots)
	}
	return m, nil
}

// observe offers the load and causes the fault.
func (t trial) observe(ctx context.Context, fleet *crfleet.Fleet, length time.Duration) (*record, error) {
	from, to := length/4, length*3/4
	stage := &stage{fleet: fleet, sick: t.fault.sick(fleet, t.seed)}
	plan := t.plan(fleet, length, from, to)
	rec := &record{trial: t, plan: plan, stage: stage, fleet: fleet, from: from, to: to, start: time.Now()}
	done := make(chan error, 1)
	go func() { done <- t.fault.cause(ctx, stage, rec.start.Add(from), rec.start.Add(to)) }()
	report, err := crload.Run(ctx, plan)
	if err := errors.Join(err, <-done, ctx.Err()); err != nil {
		return nil, err
	}
	rec.told = report.Samples()
	return rec, nil
}
