package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/core/crinstance"
	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
)

var _ = Describe("A planned stop", func() {
	// A daemon is replaced under load. A request in flight at it, as entry or as exit,
	// must not be cut; later requests go to other daemons.
	It("cuts no request in flight and exits with 0", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 20*time.Millisecond, a)
		stopping := f.Daemon(2)
		stopped := timeline(2*time.Second, stopping.Stop)
		// Callers enter at the others: callers must leave an address that stops.
		entries := append(append([]string{}, f.URLs()[:2]...), f.URLs()[3:]...)
		report := run(crload.Plan{
			Seconds: 5, Seed: 3, Entries: entries,
			Accounts: []crload.Account{{
				Name: a.Name, Key: a.Key(), Rate: 200, Calls: append(append([]crload.Call{}, reads...), holds...),
			}},
		})
		stopped()
		Expect(stopping.Wait(withTimeout(10*time.Second))).To(Succeed(), stopping.Log)
		results := report.Lines()[0].Results
		AddReportEntry("results", results)
		Expect(results[crload.Answered]).To(Equal(report.Lines()[0].Sent))
		last := f.Target(2).Log()
		Expect(last[len(last)-1].At.Sub(last[0].At)).To(BeNumerically("<", 5*time.Second))
	})

	// Callers that enter at the stopping daemon get a complete response, a truthful
	// refusal, or a refused connection; none is cut.
	It("leaves its own callers with complete responses or truthful refusals", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(4, 20*time.Millisecond, a)
		stopping := f.Daemon(0)
		stopped := timeline(1500*time.Millisecond, stopping.Stop)
		report := run(crload.Plan{
			Seconds: 3, Seed: 4, Entries: f.URLs()[:1],
			Accounts: []crload.Account{{Name: a.Name, Key: a.Key(), Rate: 100, Calls: holds}},
		})
		stopped()
		Expect(stopping.Wait(withTimeout(10 * time.Second))).To(Succeed())
		runs := f.Runs()
		results := report.Lines()[0].Results
		AddReportEntry("results", results)
		Expect(results[crload.Cut]).To(BeZero())
		Expect(results[crload.Unknown]).To(BeZero())
		for _, t := range report.Samples() {
			if t.Result == crload.NoResponse || t.Result == crload.NotRun {
				Expect(runs[t.ID]).To(BeZero(), "%s ran, but its caller got %s", t.ID, t.Result)
			}
		}
	})
})

// mixedCalls are quick reads and holds, and some long calls: a slow run, and a
// response that comes in parts.
var mixedCalls = []crload.Call{
	{Method: "GET", Path: "/kits/1", Weight: 3},
	{Method: "POST", Path: "/holds", Bytes: 200, Weight: 3},
	{Method: "POST", Path: "/holds?work=300"},
	{Method: "GET", Path: "/kits/1?drip=300&bytes=5000"},
}

// timed reports the duration of a step.
func timed(name string, step func()) func() {
	return func() {
		start := time.Now()
		step()
		AddReportEntry(name+" after", time.Since(start).Round(time.Millisecond).String())
	}
}

func leavePlan(a crfleet.Account, seconds float64, entries []string) crload.Plan {
	return crload.Plan{
		Seconds: seconds, Seed: 71, Entries: entries,
		Accounts: []crload.Account{{Name: a.Name, Key: a.Key(), Rate: 120, Calls: mixedCalls}},
	}
}

// lastNewWork returns when a target last began a request.
func lastNewWork(t *crfleet.Target) time.Time {
	var last time.Time
	for _, r := range t.Log() {
		if r.At.After(last) {
			last = r.At
		}
	}
	return last
}

// newWorkTimeout is the time after which a leaving upstream gets no new work.
const newWorkTimeout = 3 * time.Second

var _ = Describe("A leaving upstream", func() {
	// The platform lists an instance as leaving. Requests sent to it after that may be
	// lost when the instance goes, and requests that it still runs must finish.
	It("gets no new work after a few seconds, and finishes what it has", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 10*time.Millisecond, a)
		list := f.Instances()
		list[2].State = crinstance.StateLeaving
		var listed time.Time
		wait := timeline(1500*time.Millisecond, func() { listed = time.Now() }, func() { f.SetInstances(list) })
		report := run(leavePlan(a, 6, f.URLs()))
		wait()
		told := expectTruthful(f, report)
		AddReportEntry("told", told)
		AddReportEntry("last new work after", lastNewWork(f.Target(2)).Sub(listed).String())
		Expect(lastNewWork(f.Target(2)).Sub(listed)).To(BeNumerically("<", newWorkTimeout))
		Expect(told[crload.Answered]).To(Equal(len(report.Samples())))
	})

	// An upstream drains by itself, long before the list says so, and sheds new
	// requests. It responds faster than any other, so a choice by load alone would
	// send it all holds.
	It("that sheds by itself does not draw work to itself", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 10*time.Millisecond, a)
		const at = 1500 * time.Millisecond
		wait := timeline(at, f.Target(2).Drain)
		report := run(leavePlan(a, 7, f.URLs()))
		wait()
		late := slices.DeleteFunc(report.Samples(), func(t crload.Sample) bool { return t.Planned <= at+newWorkTimeout })
		shed := 0
		for _, t := range late {
			if t.Status == http.StatusServiceUnavailable {
				shed++
			}
		}
		AddReportEntry("shed after a few seconds", fmt.Sprintf("%d of %d", shed, len(late)))
		AddReportEntry("by what they said", refusals(late, http.StatusServiceUnavailable))
		Expect(float64(shed)).To(BeNumerically("<=", 0.02*float64(len(late))))
	})
})

var _ = Describe("A planned stop under faults", func() {
	// A daemon is stopped as planned while one of its links works in one direction
	// only and its upstream drains. No request in flight may be cut, and none may run
	// twice.
	It("cuts nothing while a link is cut one way and the upstream drains", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 10*time.Millisecond, a)
		stopping := f.Daemon(3)
		wait := timeline(
			time.Second,
			func() { f.Links().Cut(stopping.Name(), "daemon-1") },
			3*time.Second,
			f.Target(3).Drain, stopping.Stop,
		)
		report := run(leavePlan(a, 6, f.URLs()[:3]))
		wait()
		Expect(stopping.Wait(withTimeout(15*time.Second))).To(Succeed(), stopping.Log)
		told := make(map[crload.Result]int)
		runs := f.Runs()
		for _, t := range report.Samples() {
			told[t.Result]++
			if t.Method == http.MethodPost {
				Expect(runs[t.ID]).To(BeNumerically("<=", 1), t.ID)
			}
			if t.Result == crload.NotRun {
				Expect(runs[t.ID]).To(BeZero(), t.ID)
			}
		}
		AddReportEntry("told", told)
		Expect(told[crload.Mismatched]).To(BeZero())
		for _, t := range report.Samples() {
			if t.Result == crload.Unknown {
				AddReportEntry("unknown", fmt.Sprintf("%s %s at %s, took %s, ran %d", t.ID, t.Method, t.Planned, t.Latency, runs[t.ID]))
			}
		}
		// Only the cut link causes unknown results, and only until it is detected.
		for _, t := range report.Samples() {
			if t.Planned > 3500*time.Millisecond {
				Expect(t.Result).NotTo(Or(Equal(crload.Cut), Equal(crload.Unknown)), "%s at %s", t.ID, t.Planned)
			}
		}
	})

	// In a rolling upgrade under load, callers may see only a refused connection or a
	// truthful refusal. A daemon that cannot serve yet accepts no connection, so that
	// callers try another at once.
	It("of all daemons, one after the other, cuts nothing", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(4, 10*time.Millisecond, a)
		var steps []any
		steps = append(steps, time.Second)
		for _, d := range f.Daemons() {
			steps = append(steps, d.Stop,
				timed("stopped", func() { Expect(d.Wait(withTimeout(10*time.Second))).To(Succeed(), d.Log) }),
				d.Start,
				timed("ready", func() { must(d.WaitReady(withTimeout(15 * time.Second))) }),
				500*time.Millisecond,
			)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		wait := timeline(append(steps, func() { cancel() })...)
		plan := leavePlan(a, 60, f.URLs())
		start := time.Now()
		report, err := crload.Run(ctx, plan)
		must(err)
		wait()
		AddReportEntry("all replaced after", time.Since(start).Round(100*time.Millisecond).String())
		runs := f.Runs()
		told := make(map[crload.Result]int)
		reasons := make(map[string]int)
		for _, t := range report.Samples() {
			told[t.Result]++
			if t.Method == http.MethodPost {
				Expect(runs[t.ID]).To(BeNumerically("<=", 1), t.ID)
			}
			if t.Result == crload.NotRun {
				Expect(runs[t.ID]).To(BeZero(), t.ID)
				reasons[t.Reason]++
			}
		}
		AddReportEntry("told", told)
		AddReportEntry("refusals", reasons)
		for reason := range reasons {
			Expect(reason).NotTo(Or(ContainSubstring("no configuration yet"), ContainSubstring("cut off")))
		}
		Expect(told[crload.Mismatched] + told[crload.Unknown] + told[crload.Cut]).To(BeZero())
	})
})

var _ = Describe("The last responses of a daemon that stops", func() {
	// The network loses packets just after a stopping daemon has written the last
	// responses. A daemon that exits after the write cannot retransmit them, and the
	// callers get an unknown result for a deposit that was charged.
	It("reach the callers despite a short packet loss", func() {
		a := account("survey", 5000, 5000)
		f := startFleet(
			crfleet.WithDaemons(3),
			crfleet.WithServices(crfleet.Service{Name: "booking", Policy: stepPolicy, Targets: 1, Slots: stepSlots, ServiceTime: stepService}),
			crfleet.WithAccounts(a),
		)
		exit, entry := f.Daemon(0), f.Daemon(1)
		calls := &stepCalls{entry: entry, told: make(map[string]crfleet.Response)}
		for n := range stepSlots {
			calls.send([]crfleet.Request{{Account: a, Method: http.MethodPost, Path: "/holds?work=500", ID: fmt.Sprintf("last-%d", n)}})
		}
		time.Sleep(100 * time.Millisecond)
		must(exit.Stop())
		time.Sleep(320 * time.Millisecond)
		f.Links().Cut(exit.Name(), entry.Name())
		time.Sleep(380 * time.Millisecond)
		f.Links().Heal(exit.Name(), entry.Name())
		calls.wg.Wait()
		Expect(exit.Wait(withTimeout(10*time.Second))).To(Succeed(), exit.Log)
		for id, reply := range calls.told {
			Expect(reply.Outcome).To(Equal("answered"), "%s: %s", id, reply.Body)
			Expect(reply.Err).NotTo(HaveOccurred(), id)
		}
	})
})
