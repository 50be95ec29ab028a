package crsoak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"camphorroad/lab/crstage"
	"camphorroad/lab/crtarget"
)

const (
	// coldCallerInterval is the callerInterval of a run with cold targets. With it a warm
	// target gets more requests a second than a cold one may.
	coldCallerInterval = 30 * time.Millisecond
	coldWindow         = time.Second
	// announceTime is the time until a daemon must know that its target became cold without a
	// sign: from the target's record, or from the end of a fault that keeps records back.
	announceTime = time.Second
	// traceTime is how long before a violation faults are listed with it.
	traceTime = 5 * time.Second
)

// coldKinds returns the names of the faults of runs with cold targets, as faultKinds does.
// With "restart" a target's process ends and starts again at once, with "close idle" it
// closes its idle connections, and with "cool" it becomes cold and keeps its connections.
func coldKinds() map[string]int { return map[string]int{"restart": 2, "close idle": 3, "cool": 2} }

// addColdFaults adds faults of coldKinds. Their draws are separate from those of the other
// faults, which stay the same for a seed.
func addColdFaults(faults []fault, opts Options) []fault {
	faults = append(faults, schedule(rand.New(rand.NewPCG(opts.Seed, 2)), coldKinds(), opts.Machines, opts.Length)...)
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return faults
}

// unannounced is a time in which a process of a target is cold and its record does not say so.
type unannounced struct {
	target   string
	process  int
	from, to time.Time
}

// recordFaults keep records back.
var recordFaults = []string{"compact", "store"}

// excuses reports whether an arrival at a cold target came before its daemon had to know.
func (o *observations) excuses(u unannounced, a crtarget.Arrival) bool {
	if u.target != a.Target || u.process != a.Process || a.At.Before(u.from) {
		return false
	}
	known := u.to
	for _, i := range o.injections {
		if slices.Contains(recordFaults, i.kind) && i.overlaps(machineOfTarget(u.target), u.to, known.Add(announceTime)) && i.to.After(known) {
			known = i.to
		}
	}
	return a.At.Before(known.Add(announceTime))
}

// disturbTarget applies a fault of coldKinds to a machine's target. The target's record
// follows a while after the target has become cold.
func (in *injector) disturbTarget(ctx context.Context, m *machine, f fault) error {
	m.replaceMu.Lock()
	defer m.replaceMu.Unlock()
	target, id := m.currentTarget()
	r := rand.New(rand.NewPCG(f.seed, uint64(m.index)))
	switch f.kind {
	case "close idle":
		target.CloseIdle()
	case "restart":
		if err := target.Restart(); err != nil {
			return err
		}
		m.born = int(time.Now().UnixMilli())
		sleep(ctx, time.Duration((0.3+1.7*r.Float64())*float64(time.Second)))
		in.fleet.register(m, false)
	case "cool":
		// Until the end of a warm-up that has begun before, the daemon knows that the target is cold.
		from := time.Now().Add(target.WarmupLeft())
		in.mu.Lock()
		i := len(in.unannounced)
		in.unannounced = append(in.unannounced, unannounced{target: id, process: target.Ends(), from: from, to: from.Add(time.Hour)})
		in.mu.Unlock()
		target.MakeCold()
		sleep(ctx, time.Duration((0.3+0.7*r.Float64())*float64(time.Second)))
		in.fleet.register(m, false)
		in.mu.Lock()
		in.unannounced[i].to = time.Now()
		in.mu.Unlock()
	}
	return nil
}

// allArrivals returns the arrivals at all targets so far, including closed ones.
func (f *fleet) allArrivals() []crtarget.Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []crtarget.Arrival
	for _, target := range f.targets {
		out = append(out, target.Arrivals()...)
	}
	return out
}

// arrivalTimes returns the times of the arrivals at each process of a target, with the time left
// out of the key. Those that came to a cold target before its daemon had to know are left out.
func (o *observations) arrivalTimes() map[crtarget.Arrival][]time.Time {
	out := make(map[crtarget.Arrival][]time.Time)
	for _, a := range o.arrivals {
		if a.Cold && slices.ContainsFunc(o.unannounced, func(u unannounced) bool { return o.excuses(u, a) }) {
			continue
		}
		key := a
		key.At = time.Time{}
		out[key] = append(out[key], a.At)
	}
	return out
}

// peaks returns the maximum numbers of requests to a warm and to a cold target in a second.
func (o *observations) peaks() map[bool]int {
	out := make(map[bool]int)
	for key, times := range o.arrivalTimes() {
		n, _ := maxInWindow(times, coldWindow)
		out[key.Cold] = max(out[key.Cold], n)
	}
	return out
}

// checkCold checks the requests that each process of a target got in a second while it was cold.
func (o *observations) checkCold(v *violations) {
	for key, times := range o.arrivalTimes() {
		n, end := maxInWindow(times, coldWindow)
		if !key.Cold || float64(n) <= crstage.WarmupLimit {
			continue
		}
		var faults []string
		for _, i := range o.injections {
			if i.overlaps(machineOfTarget(key.Target), end.Add(-traceTime), end) {
				faults = append(faults, i.from.Format("15:04:05.000")+" "+i.name)
			}
		}
		v.add("cold: %s, process %d, got %d requests in the second before %s, limit is %.1f; faults: %s",
			key.Target, key.Process, n, end.Format("15:04:05.000"), crstage.WarmupLimit, strings.Join(faults, ", "))
	}
}
