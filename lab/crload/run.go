package crload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"camphorroad/lab/crtarget"
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
	conns     connPool
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
	r.conns.close()
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
			if call.Pipeline > 0 {
				r.sendBatch(context.WithoutCancel(ctx), a, call, entry, id, planned)
				return
			}
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
	req, err := r.newRequest(ctx, a, call, entry, sample.ID)
	if err != nil {
		return
	}
	resp, err := r.client.Do(req)
	if err != nil {
		sample.Reason = err.Error()
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		sample.Status, sample.Result = resp.StatusCode, Cut
		return
	}
	r.setResult(sample, a, call, resp.StatusCode, resp.Header, b)
}

func (r *runner) newRequest(ctx context.Context, a Account, call Call, entry, id string) (*http.Request, error) {
	var body io.Reader
	if call.Bytes > 0 {
		body = strings.NewReader(crtarget.Answer(id, "", "", call.Bytes)[:call.Bytes])
	}
	if call.Chunked {
		body = io.MultiReader(body) // hides the length
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, entry+call.uri(), body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // a retry by http.Client would look like a second run by the fleet
	req.Header.Set(crupstream.HeaderLabID, id)
	if a.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.Key)
	}
	if r.plan.Host != "" {
		req.Host = r.plan.Host
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(r.client.Timeout.Milliseconds(), 10))
	}
	return req, nil
}

// setResult fills in a sample from a complete response.
func (r *runner) setResult(sample *Sample, a Account, call Call, status int, header http.Header, body []byte) {
	sample.Status, sample.RetryAfter = status, header.Get("Retry-After") != ""
	if r.plan.Host != "" {
		sample.Result = classifyPlatform(status, body, call, sample.ID)
	} else {
		sample.Result = classify(status, header, body, a, call, sample.ID)
	}
	if sample.Result == NotRun {
		sample.Reason = strings.TrimSpace(string(body))
	}
}

// classifyPlatform returns the result of a response of a fleet on the users' platform.
func classifyPlatform(status int, body []byte, call Call, id string) Result {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return NotRun
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return Unknown
	case http.StatusOK:
		if string(body) != crtarget.Answer(id, call.Method, call.uri(), call.Response) {
			return Mismatched
		}
	}
	return Answered
}

// classify returns the result of a response and checks that it belongs to its request.
func classify(status int, header http.Header, body []byte, a Account, call Call, id string) Result {
	outcome := Result(header.Get(headerOutcome))
	if outcome == "" {
		outcome = Answered // the request was sent directly to an upstream
	}
	if outcome != Answered || status >= http.StatusBadRequest {
		return outcome
	}
	var content crupstream.Response
	if err := json.Unmarshal(body, &content); err != nil {
		return Mismatched
	}
	if content.Length != call.Bytes || (call.Response > 0 && len(content.Fill) != call.Response) {
		return Mismatched
	}
	if content.ID != id || (a.Key != "" && content.Account != a.Name) {
		return Mismatched
	}
	return Answered
}
