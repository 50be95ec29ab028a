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

// Where a forward is when the fault strikes; it leads the request's name.
const (
	stepLate    = "late"    // the exit does not have it yet
	stepQueue   = "queue"   // it waits at the exit for a slot
	stepRun     = "run"     // the upstream runs it
	stepAnswer  = "answer"  // part of the answer has been passed on
	stepRequest = "request" // the request's body is still being sent
)

const (
	stepSlots   = 6
	stepSettle  = 400 * time.Millisecond // until every request is at its step
	stepTries   = 3                      // of bringing them there
	stepService = 20 * time.Millisecond
	dripBytes   = 20_000
)

// stepPolicy has one exit's slots filled by six requests.
var stepPolicy = strings.Replace(strings.Replace(crfleet.BookingPolicy, "floor = 2", "floor = 1", 1), "slots = 5", "slots = 6", 1)

// slowBody is a request's body that comes over a while.
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

// stepRequests are the requests that stand at one step, in every variant that
// could make some layer send one again by itself: with a body or without, with
// an Idempotency-Key or without.
func stepRequests(a crfleet.Account, step string, n int) []crfleet.Request {
	var out []crfleet.Request
	for i := range n {
		r := crfleet.Request{Account: a, Method: http.MethodPost, ID: fmt.Sprintf("%s-%d", step, i), Header: http.Header{}}
		switch step {
		case stepRun:
			r.Path = "/holds?work=900"
		case stepAnswer:
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

// stepCalls collects what the callers of a spec were told.
type stepCalls struct {
	entry *crfleet.Daemon
	wg    sync.WaitGroup
	mu    sync.Mutex
	told  map[string]crfleet.Response
}

func (c *stepCalls) send(requests []crfleet.Request) {
	client := &http.Client{Transport: &http.Transport{}}
	for _, r := range requests {
		r.Client = client
		c.wg.Go(func() {
			reply := c.entry.Call(context.Background(), r)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.told[r.ID] = reply
		})
	}
}

// stepFault is a fault of the table: strike, and what ends it.
type stepFault struct {
	strike func(f *crfleet.Fleet, entry, exit *crfleet.Daemon) error
	mend   func(f *crfleet.Fleet, entry, exit *crfleet.Daemon) error
	lasts  time.Duration
	entry  bool // the entry dies: its callers get no word
}

func none(*crfleet.Fleet, *crfleet.Daemon, *crfleet.Daemon) error { return nil }

func freezeExit(_ *crfleet.Fleet, _, exit *crfleet.Daemon) error { return exit.Suspend() }

func resumeExit(_ *crfleet.Fleet, _, exit *crfleet.Daemon) error { return exit.Resume() }

func cutForth(f *crfleet.Fleet, entry, exit *crfleet.Daemon) error {
	f.Links().Cut(entry.Name(), exit.Name())
	return nil
}

func cutBack(f *crfleet.Fleet, entry, exit *crfleet.Daemon) error {
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

// stepFaults are the faults that holds at every step meet.
var stepFaults = map[string]stepFault{
	"with no fault":                               {strike: none, mend: none},
	"when the exit is killed":                     {strike: killExit, mend: startExit, lasts: 500 * time.Millisecond},
	"when the exit is frozen within the deadline": {strike: freezeExit, mend: resumeExit, lasts: 700 * time.Millisecond},
	"when the exit is frozen past the deadline":   {strike: freezeExit, mend: resumeExit, lasts: 3 * time.Second},
	"when the entry is killed":                    {strike: killEntry, mend: none, entry: true},
	"when the way to the exit is cut":             {strike: cutForth, mend: healAll, lasts: 3 * time.Second},
	"when the way back is cut":                    {strike: cutBack, mend: healAll, lasts: 3 * time.Second},
	"when the way back is cut for a moment":       {strike: cutBack, mend: healAll, lasts: 700 * time.Millisecond},
}

// stepResult is what became of one fault's holds.
type stepResult struct {
	err    error
	before map[string]int // runs at the moment of the fault
	after  map[string]int
	told   map[string]crfleet.Response
	logs   string
}

// strikeAtSteps tries until the holds were at their steps when the fault struck.
// On a busy machine one may come late to its step; the fault would then strike
// elsewhere than it should, so such a try ends before it.
func strikeAtSteps(fault stepFault) (r stepResult) {
	for range stepTries {
		r = tryAtSteps(fault)
		if r.err != nil || len(misplaced(r.before)) == 0 {
			break
		}
	}
	return r
}

// tryAtSteps brings holds to every step of their forwards to one exit, lets
// the fault strike, and waits until nothing can run late any more.
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
	time.Sleep(time.Second) // a fleet just started has few tokens
	exit, entry := f.Daemon(0), f.Daemon(1)
	calls := &stepCalls{entry: entry, told: make(map[string]crfleet.Response)}
	calls.send(stepRequests(a, stepRun, 2))
	calls.send(stepRequests(a, stepAnswer, 2))
	calls.send(stepRequests(a, stepRequest, 2))
	time.Sleep(stepSettle / 2)
	calls.send(stepRequests(a, stepQueue, 4))
	time.Sleep(stepSettle / 2)
	if r.before = f.Runs(); len(misplaced(r.before)) > 0 {
		return r
	}
	r.err = fault.strike(f, entry, exit)
	if !fault.entry {
		calls.send(stepRequests(a, stepLate, 4))
	}
	time.Sleep(fault.lasts)
	r.err = errors.Join(r.err, fault.mend(f, entry, exit))
	calls.wg.Wait()
	// What an exit might still start late has its chance before the count.
	time.Sleep(2 * time.Second)
	r.after, r.told = f.Runs(), calls.told
	for _, d := range f.Daemons() {
		r.logs += d.Log()
	}
	return r
}

// Holds stand at every step of a forward to one exit when something happens: a
// part has been sent to the upstream, a part waits for a slot, a part is being
// answered. Whoever is told "not run" places the hold again; had it run, the
// kit would be held and the deposit charged twice. Whoever gets the first half
// of an answer must see that it broke off.
var _ = Describe("A hold at every step of its forward", Ordered, ContinueOnFailure, func() {
	results := make(map[string]stepResult)

	// Each fault has a fleet of its own, and mostly waits: four at a time.
	BeforeAll(func() {
		var mu sync.Mutex
		var wg sync.WaitGroup
		slots := make(chan struct{}, 4)
		for name, fault := range stepFaults {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				r := strikeAtSteps(fault)
				mu.Lock()
				defer mu.Unlock()
				results[name] = r
			})
		}
		wg.Wait()
	})

	for _, name := range slices.Sorted(maps.Keys(stepFaults)) {
		It("is told the truth "+name, func() {
			r := results[name]
			must(r.err)
			Expect(misplaced(r.before)).To(BeEmpty())
			expectToldTrue(r.after, r.told, stepFaults[name].entry)
			Expect(r.logs).NotTo(Or(ContainSubstring("DATA RACE"), ContainSubstring("panic:")))
		})
	}
})

// misplaced names the requests that are not where the spec wants them.
func misplaced(runs map[string]int) []string {
	var names []string
	for _, want := range []struct {
		step        string
		count, runs int
	}{{stepRun, 2, 1}, {stepAnswer, 2, 1}, {stepRequest, 2, 0}, {stepQueue, 4, 0}} {
		for i := range want.count {
			if id := fmt.Sprintf("%s-%d", want.step, i); runs[id] != want.runs {
				names = append(names, id)
			}
		}
	}
	return names
}

func expectToldTrue(runs map[string]int, told map[string]crfleet.Response, entryDies bool) {
	GinkgoHelper()
	count := make(map[string]int)
	for id, reply := range told {
		step, _, _ := strings.Cut(id, "-")
		word := reply.Outcome
		switch {
		case reply.Err != nil && reply.Outcome == "":
			word = "noword"
		case reply.Err != nil:
			word = "cut"
		}
		count[step+" "+word]++
		Expect(runs[id]).To(BeNumerically("<=", 1), "%s ran more than once, told %s", id, word)
		switch word {
		case "answered":
			Expect(reply.Status).To(Equal(http.StatusOK), id)
			Expect(runs[id]).To(Equal(1), "%s was answered and did not run", id)
			Expect(string(reply.Body)).To(ContainSubstring(fmt.Sprintf("%q", id)))
			Expect(step != stepAnswer || len(reply.Body) > dripBytes).To(BeTrue(), "%s: half an answer looks whole", id)
		case "notrun":
			Expect(runs[id]).To(BeZero(), "%s was told as not run", id)
			Expect(reply.Header.Get("Retry-After")).NotTo(BeEmpty(), id)
		case "unknown", "cut":
		case "noword":
			Expect(entryDies).To(BeTrue(), "%s got no word: %v", id, reply.Err)
		default:
			Fail(fmt.Sprintf("%s was told %q", id, word))
		}
	}
	AddReportEntry("told", count)
	Expect(count).NotTo(BeEmpty())
}
