// Package crmeasure takes the users' four measures of a fleet of real processes. It
// starts a fleet in the shape of a deployment, sends it a load, injects a fault, and
// compares the responses to callers with the requests that ran at the upstreams.
//
// The load and the times of the fault follow from the seed. The daemons run in real
// time, so two runs with the same seed differ a little; the spread over the seeds shows
// by how much. The tables of core/crhealth and core/craccount are in virtual time and
// equal in each run.
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

// Options configure the runs. An empty list means all shapes, all cases, or as policies
// the product's one and, in each case, the baselines whose decisions differ in it.
type Options struct {
	Binary   string // daemon executable
	Shapes   []string
	Cases    []string
	Policies []string
	Seeds    int           // runs of each combination, with seeds 1 to Seeds
	Length   time.Duration // of the load; the fault begins at a quarter of it
	Plots    string        // directory for plots of the runs with seed 1; empty: no plots
	Progress func(Result)
}

const (
	settleTime    = 2 * time.Second // until the token buckets are full after the start of the fleet
	minLoadLength = 4 * time.Second
)

// Errors of Run.
var (
	ErrUnknown = errors.New("unknown name")
	ErrOptions = errors.New("invalid options")
)

// Run runs all combinations that the options name, one after another. After an error it also
// returns the results of the runs that finished before.
func Run(ctx context.Context, opts Options) ([]Result, error) {
	shapes, err := selectByName("shape", Shapes(), opts.Shapes, func(s Shape) string { return s.Name })
	if err != nil {
		return nil, err
	}
	cases, err := selectByName("case", Cases(), opts.Cases, func(c Case) string { return c.Name })
	if err != nil {
		return nil, err
	}
	named, err := selectByName("policy", Policies(), opts.Policies, func(p Policy) string { return p.Name })
	if err != nil {
		return nil, err
	}
	if opts.Seeds < 1 || opts.Length < minLoadLength {
		return nil, fmt.Errorf("%w: at least one seed and a load of %v are required", ErrOptions, minLoadLength)
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
					m, err := opts.run(ctx, runConfig{shape: s, fault: c, policy: p, seed: uint64(seed) + 1})
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

func selectByName[T any](kind string, all []T, names []string, nameOf func(T) string) ([]T, error) {
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
			return nil, fmt.Errorf("%w: no %s is named %q", ErrUnknown, kind, name)
		}
	}
	return out, nil
}

// runConfig is the configuration of one run.
type runConfig struct {
	shape  Shape
	fault  Case
	policy Policy
	seed   uint64
}

func (o Options) run(ctx context.Context, t runConfig) (Result, error) {
	fleet, err := crfleet.New(ctx, append(t.shape.options(), crfleet.WithBinary(o.Binary),
		crfleet.WithSettings(t.policy.settings(t.shape)))...)
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	time.Sleep(settleTime)
	rec, err := t.observe(ctx, fleet, max(o.Length, t.fault.minLength))
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

// observe sends the load and injects the fault.
func (t runConfig) observe(ctx context.Context, fleet *crfleet.Fleet, length time.Duration) (*record, error) {
	from, to := length/4, length*3/4
	environment := &environment{fleet: fleet, unhealthyTargets: t.fault.unhealthyTargets(fleet, t.seed)}
	plan := t.plan(fleet, length, from, to)
	rec := &record{runConfig: t, plan: plan, environment: environment, fleet: fleet, from: from, to: to, start: time.Now()}
	done := make(chan error, 1)
	go func() { done <- t.fault.injectFault(ctx, environment, rec.start.Add(from), rec.start.Add(to)) }()
	report, err := crload.Run(ctx, plan)
	if err := errors.Join(err, <-done, ctx.Err()); err != nil {
		return nil, err
	}
	rec.samples = report.Samples()
	return rec, nil
}
