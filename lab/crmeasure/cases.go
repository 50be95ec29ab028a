package crmeasure

import (
	"context"
	"slices"
	"time"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crplatform"
	"camphorroad/lab/crupstream"
)

// Case is a fault to inject, or none.
type Case struct {
	Name string
	// baselines are the baseline policies whose decisions differ in this case. The
	// others would only repeat the run of the product's policy.
	baselines             []string
	minLength             time.Duration // of the load, at least
	unhealthyCount        int           // targets of the first service at which the fault is set
	daemonsWithoutCallers int           // number of the last daemons, to which no caller sends requests
	surge                 float64       // factor on the rate of the first account during the fault; zero: none
	singleEntry           bool          // all requests of an account are sent to one daemon
	// byCallers is set for a fault between daemons. The logs of the upstreams do
	// not show how long it affected requests, so detection is measured at callers.
	byCallers bool
	begin     func(ctx context.Context, env *environment) error
	end       func(ctx context.Context, env *environment) error
}

// environment is what a case acts on.
type environment struct {
	fleet            *crfleet.Fleet
	unhealthyTargets []*crfleet.Target
}

const (
	slowFactor      = 5
	surgeFactor     = 5
	flapPeriod      = 2 * time.Second
	replacedDaemons = 3 // daemons replaced in the case rolling
	readyTimeout    = 20 * time.Second
	rollingLength   = 20 * time.Second // three replacements take longer than 10 s
)

// Cases returns all cases, in the order of the table.
func Cases() []Case {
	slow := crupstream.Fault{Kind: crupstream.FaultSlow, Factor: slowFactor}
	wrong := crupstream.Fault{Kind: crupstream.FaultWrong}
	flap := crupstream.Fault{Kind: crupstream.FaultFlap, Factor: slowFactor, Period: flapPeriod}
	stall := crupstream.Fault{Kind: crupstream.FaultStall}
	ejectionBaselines := []string{roundRobin, fixedThresholds}
	rateBaselines := []string{localSplit}
	return []Case{
		{Name: "calm", baselines: []string{fixedThresholds, localSplit}},
		{Name: "oneentry", singleEntry: true, baselines: rateBaselines},
		{Name: "slow", unhealthyCount: 1, begin: setFaults(slow), end: clearFaults, baselines: ejectionBaselines},
		{Name: "wrong", unhealthyCount: 1, begin: setFaults(wrong), end: clearFaults, baselines: ejectionBaselines},
		{Name: "flapping", unhealthyCount: 1, begin: setFaults(flap), end: clearFaults, baselines: ejectionBaselines},
		{Name: "stalling", unhealthyCount: 1, begin: setFaults(stall), end: clearFaults, baselines: ejectionBaselines},
		{Name: "two", unhealthyCount: 2, begin: setFaults(slow, wrong), end: clearFaults, baselines: ejectionBaselines},
		{Name: "cut", byCallers: true, begin: cutLink, end: healLinks},
		{Name: "frozen", daemonsWithoutCallers: 1, byCallers: true, begin: suspendDaemon, end: resumeDaemon},
		{Name: "platform", begin: setPlatformFault(crplatform.ModeReset), end: setPlatformFault(crplatform.ModeNone)},
		{Name: "rolling", daemonsWithoutCallers: replacedDaemons, begin: replaceDaemons, baselines: rateBaselines, minLength: rollingLength},
		{Name: "surge", surge: surgeFactor, baselines: rateBaselines},
	}
}

// policies returns the product's policy and the baselines of the case.
func (c Case) policies() []Policy {
	var out []Policy
	for _, p := range Policies() {
		if p.Name == productPolicy || slices.Contains(c.baselines, p.Name) {
			out = append(out, p)
		}
	}
	return out
}

// unhealthyTargets returns the targets that the case makes unhealthy. The seed determines
// which ones; for frozen they are those of the last daemon.
func (c Case) unhealthyTargets(f *crfleet.Fleet, seed uint64) []*crfleet.Target {
	var first []*crfleet.Target
	for _, t := range f.Targets() {
		if t.Service() == f.Target(0).Service() {
			first = append(first, t)
		}
	}
	var out []*crfleet.Target
	for i := range c.unhealthyCount {
		out = append(out, first[(int(seed)+i*len(first)/2)%len(first)])
	}
	if c.Name == "frozen" {
		daemons := f.Daemons()
		out = daemons[len(daemons)-1].Targets()
	}
	return out
}

// injectFault begins the fault at from and ends it at to.
func (c Case) injectFault(ctx context.Context, env *environment, from, to time.Time) error {
	for _, step := range []struct {
		at time.Time
		do func(context.Context, *environment) error
	}{{from, c.begin}, {to, c.end}} {
		if step.do == nil {
			continue
		}
		select {
		case <-time.After(time.Until(step.at)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := step.do(ctx, env); err != nil {
			return err
		}
	}
	return nil
}

func setFaults(list ...crupstream.Fault) func(context.Context, *environment) error {
	return func(_ context.Context, env *environment) error {
		for i, t := range env.unhealthyTargets {
			t.SetFault(list[i])
		}
		return nil
	}
}

func clearFaults(_ context.Context, env *environment) error {
	for _, t := range env.unhealthyTargets {
		t.SetFault(crupstream.Fault{Kind: crupstream.FaultNone})
	}
	return nil
}

func cutLink(_ context.Context, env *environment) error {
	env.fleet.Links().Cut(env.fleet.Daemon(0).Name(), env.fleet.Daemon(1).Name())
	return nil
}

func healLinks(_ context.Context, env *environment) error {
	env.fleet.Links().HealAll()
	return nil
}

func (env *environment) lastDaemon() *crfleet.Daemon {
	daemons := env.fleet.Daemons()
	return daemons[len(daemons)-1]
}

func suspendDaemon(_ context.Context, env *environment) error { return env.lastDaemon().Suspend() }

func resumeDaemon(_ context.Context, env *environment) error { return env.lastDaemon().Resume() }

func setPlatformFault(mode crplatform.Mode) func(context.Context, *environment) error {
	return func(_ context.Context, env *environment) error {
		env.fleet.Platform().SetFault(crplatform.Fault{Mode: mode})
		return nil
	}
}

// replaceDaemons stops the last daemons one after another, and starts each one again.
func replaceDaemons(ctx context.Context, env *environment) error {
	ctx, cancel := context.WithTimeout(ctx, replacedDaemons*readyTimeout)
	defer cancel()
	daemons := env.fleet.Daemons()
	for _, d := range daemons[len(daemons)-replacedDaemons:] {
		if err := d.Stop(); err != nil {
			return err
		}
		if err := d.Wait(ctx); err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
