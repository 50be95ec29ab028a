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
		// Callers enter at the other daemons: a caller must stop using the address of a
		// daemon that stops.
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
		runLog := f.Target(2).Log()
		Expect(runLog[len(runLog)-1].At.Sub(runLog[0].At)).To(BeNumerically("<", 5*time.Second))
	})

	// Callers that enter at the stopping daemon get a complete response, a refusal of a
	// request that did not run, or a refused connection; no response is cut.
	It("gives its own callers complete responses, or refusals of requests that did not run", func() {
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
		for _, sample := range report.Samples() {
			if sample.Result == crload.NoResponse || sample.Result == crload.NotRun {
				Expect(runs[sample.ID]).To(BeZero(), "%s ran, but its caller got %s", sample.ID, sample.Result)
			}
		}
	})
})

// mixedCalls are short reads and holds, and some long calls: one with a long service
// time, and one whose response is sent in parts.
var mixedCalls = []crload.Call{
	{Method: "GET", Path: "/kits/1", Weight: 3},
	{Method: "POST", Path: "/holds", Bytes: 200, Weight: 3},
	{Method: "POST", Path: "/holds?work=300"},
	{Method: "GET", Path: "/kits/1?drip=300&bytes=5000"},
}

// timed wraps a step so that its duration is added to the report.
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

// lastNewWork returns when a target last started a request.
func lastNewWork(t *crfleet.Target) time.Time {
	var last time.Time
	for _, r := range t.Log() {
		if r.At.After(last) {
			last = r.At
		}
	}
	return last
}

// newWorkBound is the time after the start of a drain from which an upstream must get no
// new work.
const newWorkBound = 3 * time.Second

var _ = Describe("A leaving upstream", func() {
	// The platform lists an instance as leaving. Requests sent to it after that may be
	// lost when the instance stops, and requests that it still runs must finish.
	It("gets no new work after a few seconds, and finishes its accepted requests", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 10*time.Millisecond, a)
		list := f.Instances()
		list[2].State = crinstance.StateLeaving
		var listed time.Time
		wait := timeline(1500*time.Millisecond, func() { listed = time.Now() }, func() { f.SetInstances(list) })
		report := run(leavePlan(a, 6, f.URLs()))
		wait()
		results := expectResultsMatchRuns(f, report)
		AddReportEntry("results", results)
		AddReportEntry("last new work after", lastNewWork(f.Target(2)).Sub(listed).String())
		Expect(lastNewWork(f.Target(2)).Sub(listed)).To(BeNumerically("<", newWorkBound))
		Expect(results[crload.Answered]).To(Equal(len(report.Samples())))
	})

	// An upstream drains by itself, long before the list reports it, and sheds new
	// requests. It responds faster than any other, so a choice by load alone would
	// send it all holds.
	It("that sheds by itself does not draw work to itself", func() {
		a := account("survey", 2000, 2000)
		f := newFleet(5, 10*time.Millisecond, a)
		const at = 1500 * time.Millisecond
		wait := timeline(at, f.Target(2).Drain)
		report := run(leavePlan(a, 7, f.URLs()))
		wait()
		late := slices.DeleteFunc(report.Samples(), func(s crload.Sample) bool { return s.Planned <= at+newWorkBound })
		shed := 0
		for _, sample := range late {
			if sample.Status == http.StatusServiceUnavailable {
				shed++
			}
		}
		AddReportEntry("shed after a few seconds", fmt.Sprintf("%d of %d", shed, len(late)))
		AddReportEntry("refusals by message", refusals(late, http.StatusServiceUnavailable))
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
		results := make(map[crload.Result]int)
		runs := f.Runs()
		for _, sample := range report.Samples() {
			results[sample.Result]++
			if sample.Method == http.MethodPost {
				Expect(runs[sample.ID]).To(BeNumerically("<=", 1), sample.ID)
			}
			if sample.Result == crload.NotRun {
				Expect(runs[sample.ID]).To(BeZero(), sample.ID)
			}
		}
		AddReportEntry("results", results)
		Expect(results[crload.Mismatched]).To(BeZero())
		for _, sample := range report.Samples() {
			if sample.Result == crload.Unknown {
				AddReportEntry("unknown", fmt.Sprintf("%s %s at %s, took %s, ran %d", sample.ID, sample.Method, sample.Planned, sample.Latency, runs[sample.ID]))
			}
		}
		// Only the cut link causes unknown results, and only until it is detected.
		for _, sample := range report.Samples() {
			if sample.Planned > 3500*time.Millisecond {
				Expect(sample.Result).NotTo(Or(Equal(crload.Cut), Equal(crload.Unknown)), "%s at %s", sample.ID, sample.Planned)
			}
		}
	})

	// In a rolling upgrade under load, the only failures that callers may get are a refused
	// connection and a refusal of a request that did not run. A daemon that cannot serve
	// yet accepts no connection, so that callers try another at once.
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
		results := make(map[crload.Result]int)
		reasons := make(map[string]int)
		for _, sample := range report.Samples() {
			results[sample.Result]++
			if sample.Method == http.MethodPost {
				Expect(runs[sample.ID]).To(BeNumerically("<=", 1), sample.ID)
			}
			if sample.Result == crload.NotRun {
				Expect(runs[sample.ID]).To(BeZero(), sample.ID)
				reasons[sample.Reason]++
			}
		}
		AddReportEntry("results", results)
		AddReportEntry("refusals", reasons)
		for reason := range reasons {
			Expect(reason).NotTo(Or(ContainSubstring("no configuration yet"), ContainSubstring("cut off")))
		}
		Expect(results[crload.Mismatched] + results[crload.Unknown] + results[crload.Cut]).To(BeZero())
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
		calls := &stepCalls{entry: entry, responses: make(map[string]crfleet.Response)}
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
		for id, response := range calls.responses {
			Expect(response.Outcome).To(Equal("answered"), "%s: %s", id, response.Body)
			Expect(response.Err).NotTo(HaveOccurred(), id)
		}
	})
})
