package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crfleet"
)

// The steps of a forward at which a fault is injected. A step is the first part of a
// request's ID.
const (
	stepLate     = "late"    // not received by the exit yet
	stepQueue    = "queue"   // queued at the exit for a slot
	stepRun      = "run"     // running at the upstream
	stepResponse = "answer"  // a part of the response has been forwarded
	stepRequest  = "request" // the request's body is still being sent
)

const (
	stepSlots   = 6
	stepSettle  = 400 * time.Millisecond // time for every request to reach its step
	stepTries   = 3                      // attempts to have every request at its step
	stepService = 20 * time.Millisecond
	dripBytes   = 20_000
)

// stepPolicy lets six requests fill the slots of one exit.
var stepPolicy = strings.Replace(strings.Replace(crfleet.BookingPolicy, "floor = 2", "floor = 1", 1), "slots = 5", "slots = 6", 1)

// slowBody is a request body that arrives slowly.
type slowBody struct {
	left  int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	time.Sleep(b.pause)
	return copy(p, "body"), nil
}

// stepRequests returns the requests for one step, in every variant that could make
// some layer retry by itself: with or without a body, with or without an
// Idempotency-Key.
func stepRequests(a crfleet.Account, step string, n int) []crfleet.Request {
	var out []crfleet.Request
	for i := range n {
		r := crfleet.Request{Account: a, Method: http.MethodPost, ID: fmt.Sprintf("%s-%d", step, i), Header: http.Header{}}
		switch step {
		case stepRun:
			r.Path = "/holds?work=900"
		case stepResponse:
			r.Path = fmt.Sprintf("/holds?drip=900&bytes=%d", dripBytes)
		default:
			r.Path = "/holds"
		}
		switch {
		case step == stepRequest:
			r.Body = &slowBody{left: 20, pause: 40 * time.Millisecond}
		case i%2 == 0:
			r.Body = strings.NewReader("hold")
		}
		if i/2%2 == 0 {
			r.Header.Set("Idempotency-Key", r.ID)
		}
		out = append(out, r)
	}
	return out
}

// stepCalls collects the responses that the callers of a spec get.
type stepCalls struct {
	entry     *crfleet.Daemon
	wg        sync.WaitGroup
	mu        sync.Mutex
	responses map[string]crfleet.Response // by request ID
}

func (c *stepCalls) send(requests []crfleet.Request) {
	client := &http.Client{Transport: &http.Transport{}}
	for _, r := range requests {
		r.Client = client
		c.wg.Go(func() {
			response := c.entry.Call(context.Background(), r)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.responses[r.ID] = response
		})
	}
}

// stepFault is a fault of the table: its injection and its end.
type stepFault struct {
	inject     func(f *crfleet.Fleet, entry, exit *crfleet.Daemon) error
	end        func(f *crfleet.Fleet, entry, exit *crfleet.Daemon) error
	duration   time.Duration
	killsEntry bool // callers may get no response
}

func noAction(*crfleet.Fleet, *crfleet.Daemon, *crfleet.Daemon) error { return nil }

func suspendExit(_ *crfleet.Fleet, _, exit *crfleet.Daemon) error { return exit.Suspend() }

func resumeExit(_ *crfleet.Fleet, _, exit *crfleet.Daemon) error { return exit.Resume() }

func cutForward(f *crfleet.Fleet, entry, exit *crfleet.Daemon) error {
	f.Links().Cut(entry.Name(), exit.Name())
	return nil
}

func cutReverse(f *crfleet.Fleet, entry, exit *crfleet.Daemon) error {
	f.Links().Cut(exit.Name(), entry.Name())
	return nil
}

func healAll(f *crfleet.Fleet, _, _ *crfleet.Daemon) error {
	f.Links().HealAll()
	return nil
}

func killExit(_ *crfleet.Fleet, _, exit *crfleet.Daemon) error { return exit.Kill() }

func startExit(_ *crfleet.Fleet, _, exit *crfleet.Daemon) error { return exit.Start() }

func killEntry(_ *crfleet.Fleet, entry, _ *crfleet.Daemon) error { return entry.Kill() }

// stepFaults are the faults injected while holds are at every step.
var stepFaults = map[string]stepFault{
	"with no fault":                                    {inject: noAction, end: noAction},
	"when the exit is killed":                          {inject: killExit, end: startExit, duration: 500 * time.Millisecond},
	"when the exit is suspended within the deadline":   {inject: suspendExit, end: resumeExit, duration: 700 * time.Millisecond},
	"when the exit is suspended past the deadline":     {inject: suspendExit, end: resumeExit, duration: 3 * time.Second},
	"when the entry is killed":                         {inject: killEntry, end: noAction, killsEntry: true},
	"when the link to the exit is cut":                 {inject: cutForward, end: healAll, duration: 3 * time.Second},
	"when the link back to the entry is cut":           {inject: cutReverse, end: healAll, duration: 3 * time.Second},
	"when the link back to the entry is cut for 0.7 s": {inject: cutReverse, end: healAll, duration: 700 * time.Millisecond},
}

// stepResult is the outcome of the holds under one fault.
type stepResult struct {
	err       error
	before    map[string]int // runs by request ID, at the moment of the fault
	after     map[string]int // runs by request ID, at the end
	responses map[string]crfleet.Response
	logs      string
}

// injectAtSteps retries until all holds are at their steps when the fault is
// injected. On a busy machine a hold may reach its step late; such a try ends
// before the fault.
func injectAtSteps(fault stepFault) (r stepResult) {
	for range stepTries {
		r = tryAtSteps(fault)
		if r.err != nil || len(misplaced(r.before)) == 0 {
			break
		}
	}
	return r
}

// tryAtSteps brings holds to every step of their forwards to one exit, injects the
// fault, and waits until no hold can start any more.
func tryAtSteps(fault stepFault) (r stepResult) {
	a := account("survey", 5000, 5000)
	f, err := crfleet.New(context.Background(),
		crfleet.WithDaemons(3),
		crfleet.WithServices(crfleet.Service{Name: "booking", Policy: stepPolicy, Targets: 1, Slots: stepSlots, ServiceTime: stepService}),
		crfleet.WithAccounts(a),
	)
	if err != nil {
		return stepResult{err: err}
	}
	defer f.Close()
	time.Sleep(time.Second) // a new fleet's buckets start empty and refill at the rate
	exit, entry := f.Daemon(0), f.Daemon(1)
	calls := &stepCalls{entry: entry, responses: make(map[string]crfleet.Response)}
	calls.send(stepRequests(a, stepRun, 2))
	calls.send(stepRequests(a, stepResponse, 2))
	calls.send(stepRequests(a, stepRequest, 2))
	time.Sleep(stepSettle / 2)
	calls.send(stepRequests(a, stepQueue, 4))
	time.Sleep(stepSettle / 2)
	if r.before = f.Runs(); len(misplaced(r.before)) > 0 {
		return r
	}
	r.err = fault.inject(f, entry, exit)
	if !fault.killsEntry {
		calls.send(stepRequests(a, stepLate, 4))
	}
	time.Sleep(fault.duration)
	r.err = errors.Join(r.err, fault.end(f, entry, exit))
	calls.wg.Wait()
	// A hold may start late at the exit, so wait before counting the runs.
	time.Sleep(2 * time.Second)
	r.after, r.responses = f.Runs(), calls.responses
	for _, d := range f.Daemons() {
		r.logs += d.Log()
	}
	return r
}

// A fault occurs while holds are at every step of a forward to one exit. A caller that gets
// "not run" places the hold again; if it had run, the kit would be held and the deposit
// charged twice. A caller that gets part of a response must see that it was cut.
var _ = Describe("A hold at every step of its forward", Ordered, ContinueOnFailure, func() {
	results := make(map[string]stepResult)

	// Each fault has its own fleet and mostly waits, so four run at a time.
	BeforeAll(func() {
		var mu sync.Mutex
		var wg sync.WaitGroup
		slots := make(chan struct{}, 4)
		for name, fault := range stepFaults {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				r := injectAtSteps(fault)
				mu.Lock()
				defer mu.Unlock()
				results[name] = r
			})
		}
		wg.Wait()
	})

	for _, name := range slices.Sorted(maps.Keys(stepFaults)) {
		It("gets a result that matches its runs "+name, func() {
			r := results[name]
			must(r.err)
			Expect(misplaced(r.before)).To(BeEmpty())
			expectResponsesMatchRuns(r.after, r.responses, stepFaults[name].killsEntry)
			Expect(r.logs).NotTo(Or(ContainSubstring("DATA RACE"), ContainSubstring("panic:")))
		})
	}
})

// misplaced returns the requests that are not at their intended step.
func misplaced(runs map[string]int) []string {
	var names []string
	for _, want := range []struct {
		step        string
		count, runs int
	}{{stepRun, 2, 1}, {stepResponse, 2, 1}, {stepRequest, 2, 0}, {stepQueue, 4, 0}} {
		for i := range want.count {
			if id := fmt.Sprintf("%s-%d", want.step, i); runs[id] != want.runs {
				names = append(names, id)
			}
		}
	}
	return names
}

// expectResponsesMatchRuns compares the response that every caller got with the runs at the
// upstreams. Callers may get no response only if the entry was killed.
func expectResponsesMatchRuns(runs map[string]int, responses map[string]crfleet.Response, entryKilled bool) {
	GinkgoHelper()
	count := make(map[string]int)
	for id, response := range responses {
		step, _, _ := strings.Cut(id, "-")
		outcome := response.Outcome
		switch {
		case response.Err != nil && response.Outcome == "":
			outcome = "noword"
		case response.Err != nil:
			outcome = "cut"
		}
		count[step+" "+outcome]++
		Expect(runs[id]).To(BeNumerically("<=", 1), "%s ran more than once, and its caller got %s", id, outcome)
		switch outcome {
		case "answered":
			Expect(response.Status).To(Equal(http.StatusOK), id)
			Expect(runs[id]).To(Equal(1), "%s got a response but did not run", id)
			Expect(string(response.Body)).To(ContainSubstring(fmt.Sprintf("%q", id)))
			Expect(step != stepResponse || len(response.Body) > dripBytes).To(BeTrue(), "%s: a truncated response looks complete", id)
		case "notrun":
			Expect(runs[id]).To(BeZero(), "%s ran, but its caller got \"not run\"", id)
			Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty(), id)
		case "unknown", "cut":
		case "noword":
			Expect(entryKilled).To(BeTrue(), "%s got no response: %v", id, response.Err)
		default:
			Fail(fmt.Sprintf("%s got the unexpected outcome %q", id, outcome))
		}
	}
	AddReportEntry("outcomes", count)
	Expect(count).NotTo(BeEmpty())
}
