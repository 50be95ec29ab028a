package crload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"camphorroad/lab/crupstream"
)

// Result is what a caller was told of one request.
type Result string

// The results. The first four are the fleet's outcomes.
const (
	Answered Result = "answered"
	NotRun   Result = "notrun"
	Unknown  Result = "unknown"
	Cut      Result = "cut"
	NoWord   Result = "noword" // the connection failed with no answer at all
	Mixed    Result = "mixed"  // an answer that was not this request's; never right
)

const (
	headerOutcome = "Camphorroad-Outcome"
	maxInFlight   = 20_000
	idlePerHost   = 1024
)

// Told is one finished request.
type Told struct {
	ID      string
	Account string
	Method  string
	Status  int
	Result  Result
	Took    time.Duration // from the planned time
	At      time.Duration // planned, after the start
	Retry   bool          // came with Retry-After
	Reason  string        // the body of a refusal, or why there was no word
}

type runner struct {
	plan   Plan
	client *http.Client
	record func(Told)
	slots  chan struct{}
	wg     sync.WaitGroup
	start  time.Time
}

// Run sends the plan's load and returns what callers were told. The end of ctx
// ends the load; what was sent by then still gets its word, within the plan's
// timeout: a caller that the tool itself cut off would count against the fleet.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	timeout, err := plan.timeout()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}
	defer transport.CloseIdleConnections()
	report := newReport(plan)
	r := &runner{
		plan:   plan,
		client: &http.Client{Transport: transport, Timeout: timeout},
		record: report.add,
		slots:  make(chan struct{}, maxInFlight),
		start:  time.Now(),
	}
	var callers sync.WaitGroup
	for i := range plan.Accounts {
		callers.Go(func() { r.account(ctx, i) })
	}
	callers.Wait()
	r.wg.Wait()
	return report, nil
}

// account plans one account's requests by an exponential gap and sends each at
// its time.
func (r *runner) account(ctx context.Context, index int) {
	a := r.plan.Accounts[index]
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)))
	end := time.Duration(r.plan.Seconds * float64(time.Second))
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / a.rate(at) * float64(time.Second))
		if at >= end {
			return
		}
		if !sleepUntil(ctx, r.start.Add(at)) {
			return
		}
		call := pick(a.Calls, rng)
		entry := r.entry(a, n)
		planned := at
		id := fmt.Sprintf("%s-%d-%d", a.Name, r.plan.Seed, n)
		r.slots <- struct{}{}
		r.wg.Go(func() {
			defer func() { <-r.slots }()
			r.send(context.WithoutCancel(ctx), a, call, entry, id, planned)
		})
	}
}

func (r *runner) entry(a Account, n int) string {
	if a.Entry > 0 {
		return r.plan.Entries[a.Entry-1]
	}
	return r.plan.Entries[n%len(r.plan.Entries)]
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func pick(calls []Call, rng *rand.Rand) Call {
	total := 0
	for _, c := range calls {
		total += max(c.Weight, 1)
	}
	n := rng.IntN(total)
	for _, c := range calls {
		if n -= max(c.Weight, 1); n < 0 {
			return c
		}
	}
	return calls[0]
}

func (r *runner) send(ctx context.Context, a Account, call Call, entry, id string, at time.Duration) {
	told := Told{ID: id, Account: a.Name, Method: call.Method, At: at}
	r.exchange(ctx, a, call, entry, &told)
	told.Took = time.Since(r.start) - at
	r.record(told)
}

// exchange fills in what the caller was told; at first it is no word.
func (r *runner) exchange(ctx context.Context, a Account, call Call, entry string, told *Told) {
	told.Result = NoWord
	var body io.Reader
	if call.Bytes > 0 {
		body = strings.NewReader(strings.Repeat("b", call.Bytes))
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, entry+call.Path, body)
	if err != nil {
		return
	}
	req.GetBody = nil // a retry by the client would count as a run of ours
	req.Header.Set(crupstream.HeaderLabID, told.ID)
	if a.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.Key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		told.Reason = err.Error()
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	told.Status, told.Retry = resp.StatusCode, resp.Header.Get("Retry-After") != ""
	if err != nil {
		told.Result = Cut
		return
	}
	told.Result = judge(resp, b, a, told.ID)
	if told.Result == NotRun {
		told.Reason = strings.TrimSpace(string(b))
	}
}

// judge checks an answer against its request.
func judge(resp *http.Response, body []byte, a Account, id string) Result {
	outcome := Result(resp.Header.Get(headerOutcome))
	if outcome == "" {
		outcome = Answered // sent straight to an upstream
	}
	if outcome != Answered || resp.StatusCode >= http.StatusBadRequest {
		return outcome
	}
	var answer crupstream.Response
	if err := json.Unmarshal(body, &answer); err != nil {
		return Mixed
	}
	if answer.ID != id || (a.Key != "" && answer.Account != a.Name) {
		return Mixed
	}
	return Answered
}
