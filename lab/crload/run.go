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

// Result is the result of one request, as its caller received it.
type Result string

// The results. The first four are values of the outcome header.
const (
	Answered   Result = "answered"
	NotRun     Result = "notrun"
	Unknown    Result = "unknown"
	Cut        Result = "cut"
	NoResponse Result = "noword" // the connection failed or timed out without a response
	Mismatched Result = "mixed"  // a response that does not belong to the request; always a fault
)

const (
	headerOutcome  = "Camphorroad-Outcome"
	maxInFlight    = 20_000
	maxIdlePerHost = 1024
)

// Sample is one finished request.
type Sample struct {
	ID         string
	Account    string
	Method     string
	Status     int
	Result     Result
	Latency    time.Duration // from the planned time
	Planned    time.Duration // planned send time, after the start
	RetryAfter bool          // the response had a Retry-After header
	Reason     string        // body of a refusal, or the error if there was no response
}

type runner struct {
	plan      Plan
	client    *http.Client
	record    func(Sample)
	inFlight  chan struct{}
	wg        sync.WaitGroup
	startTime time.Time
}

// Run sends the load of a plan and returns the results. When ctx ends, no new requests
// are sent. Requests in flight still wait for their response up to the plan's timeout,
// because a request cancelled by the load generator would count as a failure of the fleet.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	timeout, err := plan.timeout()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}
	defer transport.CloseIdleConnections()
	report := newReport(plan)
	r := &runner{
		plan:      plan,
		client:    &http.Client{Transport: transport, Timeout: timeout},
		record:    report.add,
		inFlight:  make(chan struct{}, maxInFlight),
		startTime: time.Now(),
	}
	var accounts sync.WaitGroup
	for i := range plan.Accounts {
		accounts.Go(func() { r.sendAccount(ctx, i) })
	}
	accounts.Wait()
	r.wg.Wait()
	return report, nil
}

// sendAccount sends one account's requests, with exponentially distributed gaps.
func (r *runner) sendAccount(ctx context.Context, index int) {
	a := r.plan.Accounts[index]
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)))
	end := time.Duration(r.plan.Seconds * float64(time.Second))
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / a.rateAt(at) * float64(time.Second))
		if at >= end {
			return
		}
		if !sleepUntil(ctx, r.startTime.Add(at)) {
			return
		}
		call := pickCall(a.Calls, rng)
		entry := r.entryURL(a, n)
		planned := at
		id := fmt.Sprintf("%s-%d-%d", a.Name, r.plan.Seed, n)
		r.inFlight <- struct{}{}
		r.wg.Go(func() {
			defer func() { <-r.inFlight }()
			r.send(context.WithoutCancel(ctx), a, call, entry, id, planned)
		})
	}
}

func (r *runner) entryURL(a Account, n int) string {
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

func pickCall(calls []Call, rng *rand.Rand) Call {
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
	sample := Sample{ID: id, Account: a.Name, Method: call.Method, Planned: at}
	r.exchange(ctx, a, call, entry, &sample)
	sample.Latency = time.Since(r.startTime) - at
	r.record(sample)
}

// exchange sends a request and fills in the sample. The result is [NoResponse] until a
// response arrives.
func (r *runner) exchange(ctx context.Context, a Account, call Call, entry string, sample *Sample) {
	sample.Result = NoResponse
	var body io.Reader
	if call.Bytes > 0 {
		body = strings.NewReader(strings.Repeat("b", call.Bytes))
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, entry+call.Path, body)
	if err != nil {
		return
	}
	req.GetBody = nil // a retry by http.Client would look like a second run by the fleet
	req.Header.Set(crupstream.HeaderLabID, sample.ID)
	if a.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.Key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		sample.Reason = err.Error()
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	sample.Status, sample.RetryAfter = resp.StatusCode, resp.Header.Get("Retry-After") != ""
	if err != nil {
		sample.Result = Cut
		return
	}
	sample.Result = classify(resp, b, a, sample.ID)
	if sample.Result == NotRun {
		sample.Reason = strings.TrimSpace(string(b))
	}
}

// classify returns the result of a response and checks that it belongs to its request.
func classify(resp *http.Response, body []byte, a Account, id string) Result {
	outcome := Result(resp.Header.Get(headerOutcome))
	if outcome == "" {
		outcome = Answered // the request was sent directly to an upstream
	}
	if outcome != Answered || resp.StatusCode >= http.StatusBadRequest {
		return outcome
	}
	var content crupstream.Response
	if err := json.Unmarshal(body, &content); err != nil {
		return Mismatched
	}
	if content.ID != id || (a.Key != "" && content.Account != a.Name) {
		return Mismatched
	}
	return Answered
}
