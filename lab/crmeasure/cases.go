package crmeasure

import (
	"context"
	"slices"
	"time"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crplatform"
	"camphorroad/lab/crupstream"
)

// Case is a fault, or none.
type Case struct {
	Name string
	// beside are the baselines that decide otherwise in this case; the others
	// would only repeat the chosen policy's run.
	beside []string
	least  time.Duration // of load, that the case needs
	count  int           // sick upstreams, of the first service
	apart  int           // last daemons at which no caller enters
	surge  float64       // of the first account
	lone   bool          // each account enters at one daemon only
	// byCallers tells that the fault is between daemons, where the upstreams'
	// logs can not show how long work was still sent into it.
	byCallers bool
	begin     func(ctx context.Context, s *stage) error
	end       func(ctx context.Context, s *stage) error
}

// stage is what a case acts on.
type stage struct {
	fleet *crfleet.Fleet
	sick  []*crfleet.Target
}

const (
	slowFactor  = 5
	surgeFactor = 5
	flapPeriod  = 2 * time.Second
	replaced    = 3 // daemons of a rolling replacement
	readyTime   = 20 * time.Second
	rollingTime = 20 * time.Second // three replacements take longer than ten
)

// Cases are all of them, in the order of the table.
func Cases() []Case {
	slow := crupstream.Fault{Kind: crupstream.FaultSlow, Factor: slowFactor}
	wrong := crupstream.Fault{Kind: crupstream.FaultWrong}
	flap := crupstream.Fault{Kind: crupstream.FaultFlap, Factor: slowFactor, Period: flapPeriod}
	stall := crupstream.Fault{Kind: crupstream.FaultStall}
	ejecting := []string{roundRobin, fixedThresholds}
	rating := []string{localSplit}
	return []Case{
		{Name: "calm", beside: []string{fixedThresholds, localSplit}},
		{Name: "oneentry", lone: true, beside: rating},
		{Name: "slow", count: 1, begin: faults(slow), end: well, beside: ejecting},
		{Name: "wrong", count: 1, begin: faults(wrong), end: well, beside: ejecting},
		{Name: "flapping", count: 1, begin: faults(flap), end: well, beside: ejecting},
		{Name: "stalling", count: 1, begin: faults(stall), end: well, beside: ejecting},
		{Name: "two", count: 2, begin: faults(slow, wrong), end: well, beside: ejecting},
		{Name: "cut", byCallers: true, begin: cut, end: heal},
		{Name: "frozen", apart: 1, byCallers: true, begin: freeze, end: resume},
		{Name: "platform", begin: platform(crplatform.ModeReset), end: platform(crplatform.ModeNone)},
		{Name: "rolling", apart: replaced, begin: replace, beside: rating, least: rollingTime},
		{Name: "surge", surge: surgeFactor, beside: rating},
	}
}

// policies are those that show something in the case.
func (c Case) policies() []Policy {
	var out []Policy
	for _, p := range Policies() {
		if p.Name == chosen || slices.Contains(c.beside, p.Name) {
			out = append(out, p)
		}
	}
	return out
}

// sick returns the upstreams that the case makes sick; the seed moves them.
func (c Case) sick(f *crfleet.Fleet, seed uint64) []*crfleet.Target {
	var first []*crfleet.Target
	for _, t := range f.Targets() {
		if t.Service() == f.Target(0).Service() {
			first = append(first, t)
		}
	}
	var out []*crfleet.Target
	for i := range c.count {
		out = append(out, first[(int(seed)+i*len(first)/2)%len(first)])
	}
	if c.Name == "frozen" {
		daemons := f.Daemons()
		out = daemons[len(daemons)-1].Targets()
	}
	return out
}

// cause begins and ends the fault at its times.
func (c Case) cause(ctx context.Context, s *stage, from, to time.Time) error {
	for _, step := range []struct {
		at time.Time
		do func(context.Context, *stage) error
	}{{from, c.begin}, {to, c.end}} {
		if step.do == nil {
			continue
		}
		select {
		case <-time.After(time.Until(step.at)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := step.do(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func faults(list ...crupstream.Fault) func(context.Context, *stage) error {
	return func(_ context.Context, s *stage) error {
		for i, t := range s.sick {
			t.SetFault(list[i])
		}
		return nil
	}
}

func well(_ context.Context, s *stage) error {
	for _, t := range s.sick {
		t.SetFault(crupstream.Fault{Kind: crupstream.FaultNone})
	}
	return nil
}

func cut(_ context.Context, s *stage) error {
	s.fleet.Links().Cut(s.fleet.Daemon(0).Name(), s.fleet.Daemon(1).Name())
	return nil
}

func heal(_ context.Context, s *stage) error {
	s.fleet.Links().HealAll()
	return nil
}

func (s *stage) last() *crfleet.Daemon {
	daemons := s.fleet.Daemons()
	return daemons[len(daemons)-1]
}

func freeze(_ context.Context, s *stage) error { return s.last().Suspend() }

func resume(_ context.Context, s *stage) error { return s.last().Resume() }

func platform(mode crplatform.Mode) func(context.Context, *stage) error {
	return func(_ context.Context, s *stage) error {
		s.fleet.Platform().SetFault(crplatform.Fault{Mode: mode})
		return nil
	}
}

// replace stops the last daemons one after another and starts each anew.
func replace(ctx context.Context, s *stage) error {
	ctx, cancel := context.WithTimeout(ctx, replaced*readyTime)
	defer cancel()
	daemons := s.fleet.Daemons()
	for _, d := range daemons[len(daemons)-replaced:] {
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
