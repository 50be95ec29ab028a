// Package e2e tests the users' requirements over real processes. Daemons are
// started from this test binary, killed, suspended, restarted and partitioned, while
// fake upstreams count the requests that ran. Most specs check one requirement
// under one scripted fault; the soak specs run package lab/crsoak, which draws its
// faults from a seed.
package e2e_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/command"
	"camphorroad/lab/crfleet"
	"camphorroad/lab/crload"
)

func TestMain(m *testing.M) {
	crfleet.ServeIfDaemon(command.RunProcess)
	os.Exit(m.Run())
}

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet over real processes")
}

// account is a client account of a spec.
func account(name string, rate, burst float64) crfleet.Account {
	return crfleet.Account{Name: name, Rate: rate, Burst: burst}
}

// booking is the service of most specs, with a service time.
func booking(service time.Duration) crfleet.Service {
	return crfleet.Service{Name: "booking", Policy: crfleet.BookingPolicy, ServiceTime: service}
}

// newFleet starts n daemons with one upstream each, and ends them with the spec.
func newFleet(n int, service time.Duration, accounts ...crfleet.Account) *crfleet.Fleet {
	return startFleet(crfleet.WithDaemons(n), crfleet.WithServices(booking(service)), crfleet.WithAccounts(accounts...))
}

// startFleet starts a fleet and ends it with the spec. A panic or a data race in a
// daemon's log fails the spec, whatever its callers got. A spec that fails reports the
// warnings of all daemons.
func startFleet(opts ...crfleet.Option) *crfleet.Fleet {
	f, err := crfleet.New(context.Background(), opts...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		f.Close()
		for _, d := range f.Daemons() {
			if CurrentSpecReport().Failed() {
				AddReportEntry(d.Name()+" warnings", warnings(d.Log()))
			}
			Expect(d.Log()).NotTo(ContainSubstring("DATA RACE"), d.Name())
			Expect(d.Log()).NotTo(ContainSubstring("panic:"), d.Name())
		}
	})
	return f
}

// warnings returns the lines of a daemon's log above level info.
func warnings(log string) string {
	var out strings.Builder
	for line := range strings.Lines(log) {
		if !strings.Contains(line, `"level":"info"`) {
			out.WriteString(line)
		}
	}
	return out.String()
}

// refusals counts the responses with a status by method, result and message.
func refusals(samples []crload.Sample, status int) string {
	counts := make(map[string]int)
	for _, sample := range samples {
		if sample.Status == status {
			counts[fmt.Sprintf("%s %s %s", sample.Method, sample.Result, sample.Reason)]++
		}
	}
	return fmt.Sprint(counts)
}

// must fails the spec if a setup step returned an error.
func must(err error) { ExpectWithOffset(1, err).NotTo(HaveOccurred()) }

// timeline runs steps in the background, each a given delay after the one before;
// the returned function waits for the last.
func timeline(steps ...any) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		for _, step := range steps {
			switch step := step.(type) {
			case time.Duration:
				time.Sleep(step)
			case func() error:
				must(step())
			case func():
				step()
			default:
				Fail(fmt.Sprintf("unsupported type of step: %T", step))
			}
		}
	}()
	return func() { <-done }
}

// run sends a plan's load and returns the report of the callers' results.
func run(plan crload.Plan) *crload.Report {
	report, err := crload.Run(context.Background(), plan)
	must(err)
	return report
}

// withTimeout returns a context for a wait of at most d.
func withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

// reads and holds are the calls of most specs.
var (
	reads = []crload.Call{{Method: "GET", Path: "/kits/1"}}
	holds = []crload.Call{{Method: "POST", Path: "/holds", Bytes: 200}}
)

// expectResultsMatchRuns compares the result that every caller got with the runs at the
// upstreams, and returns the number of requests by result.
func expectResultsMatchRuns(f *crfleet.Fleet, report *crload.Report) map[crload.Result]int {
	GinkgoHelper()
	runs := f.Runs()
	results := make(map[crload.Result]int)
	for _, sample := range report.Samples() {
		results[sample.Result]++
		if sample.Method != "GET" {
			Expect(runs[sample.ID]).To(BeNumerically("<=", 1), "%s ran more than once, and its caller got %s", sample.ID, sample.Result)
		}
		switch sample.Result {
		case crload.Answered:
			Expect(runs[sample.ID]).To(BeNumerically(">=", 1), "%s got a response but did not run", sample.ID)
		case crload.NotRun:
			Expect(runs[sample.ID]).To(BeZero(), "%s ran, but its caller got \"not run\"", sample.ID)
			Expect(sample.RetryAfter).To(BeTrue(), "%s was refused without a Retry-After header", sample.ID)
		case crload.Unknown, crload.Cut, crload.NoResponse, crload.Mismatched:
		}
	}
	Expect(results[crload.Mismatched]).To(BeZero())
	for _, u := range f.Targets() {
		Expect(u.Runs().Leaks).To(BeZero())
	}
	return results
}
