package crexit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crslot"
	"camphorroad/io/crhop"
	"camphorroad/io/crlink"
)

// Headers that the exit sets on requests to the upstream, in canonical form. The
// entry has removed those of the caller.
const (
	HeaderRequest  = "Camphorroad-Request"  // the request's ID
	HeaderAccount  = "Camphorroad-Account"  // the client account of the request
	HeaderDeadline = "Camphorroad-Deadline" // milliseconds until the deadline
)

// Run admits a forward and runs it on its target. The exchange is never nil, and
// its body must be closed. The request body is read only after the forward has
// started.
func (x *Exit) Run(ctx context.Context, ledger *crforward.Ledger, f *crhop.Forward, body io.Reader) *crhop.Exchange {
	t := x.targets[f.Target]
	if t == nil || t.spec.Service != f.Service {
		return refusal("no such target here", true, defaultRetryAfter)
	}
	if t.leaving.Load() {
		return refusal("target draining", true, defaultRetryAfter)
	}
	now := x.opts.Clock()
	if f.Class != crpolicy.ClassRepeat {
		if left := t.backoff.Remaining(f.Account, now); left > 0 {
			ex := refusal("target sheds", true, max(defaultRetryAfter, left))
			ex.Response.Fault = crhop.FaultShed
			return ex
		}
	}
	deadline := now.Add(f.Timeout)
	if err := ledger.Register(f.ID, f.Class, now, deadline); err != nil {
		return ledgerRefusal(err)
	}
	t.inflight.Add(1)
	run := &run{exit: x, target: t, ledger: ledger, forward: f, id: f.ID.String(), deadline: deadline}
	ex := run.do(ctx, body)
	ex.Response.InFlight = t.inflight.Load()
	ex.Body = &runBody{ReadCloser: ex.Body, end: run.end}
	return ex
}

type run struct {
	exit         *Exit
	target       *target
	ledger       *crforward.Ledger
	forward      *crhop.Forward
	id           string // of the forward, as sent to the upstream
	deadline     crid.Instant
	lease        *crslot.Lease
	started      crid.Instant
	cancel       context.CancelFunc
	body         *requestBody
	conn         *countingConn // the connection of the last try
	writesBefore int64         // writes on conn before the request
	ended        atomic.Bool
}

// end releases the run's resources. It is called when the response body is closed; only
// the first call has an effect.
func (r *run) end() {
	if r.ended.Swap(true) {
		return
	}
	now := r.exit.opts.Clock()
	if r.cancel != nil {
		r.cancel()
	}
	if r.lease != nil {
		r.lease.Release()
	}
	r.ledger.Finish(r.forward.ID, now)
	r.target.inflight.Add(-1)
}

func (r *run) do(ctx context.Context, body io.Reader) *crhop.Exchange {
	queue := r.target.queue.Load()
	if queue == nil {
		r.ledger.Cancel(r.forward.ID, r.exit.opts.Clock())
		ex := refusal("target has no policy", true, defaultRetryAfter)
		ex.Response.Fault = crhop.FaultNotReady
		return ex
	}
	lease, err := queue.Acquire(ctx, r.forward.Account, r.deadline)
	if err != nil {
		// The refusal states that the forward did not run. Whatever the queue's
		// reason, the ledger must not let it start later.
		r.ledger.Cancel(r.forward.ID, r.exit.opts.Clock())
		return queueRefusal(err)
	}
	r.started = r.exit.opts.Clock()
	if err := r.ledger.Start(r.forward.ID, r.started); err != nil {
		lease.Cancel()
		return ledgerRefusal(err)
	}
	r.lease = lease
	return r.call(ctx, body)
}

func ledgerRefusal(err error) *crhop.Exchange {
	var refusalErr *crforward.Refusal
	if errors.As(err, &refusalErr) {
		return refusal(refusalErr.Reason().String(), refusalErr.NotRun(), defaultRetryAfter)
	}
	return refusal(err.Error(), false, defaultRetryAfter)
}

func queueRefusal(err error) *crhop.Exchange {
	retryAfter := defaultRetryAfter
	var slotErr *crslot.Error
	if errors.As(err, &slotErr) {
		retryAfter = max(retryAfter, slotErr.RetryAfter())
	}
	return refusal(err.Error(), true, retryAfter)
}

// call sends the request to the upstream. A request provably did not run only if
// none of it was written; otherwise the upstream may have read any part of it.
func (r *run) call(ctx context.Context, body io.Reader) *crhop.Exchange {
	callerCtx := ctx
	left := r.deadline.Sub(r.started)
	ctx, r.cancel = context.WithCancel(ctx)
	timer := time.AfterFunc(left, r.cancel)
	req := r.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: r.gotConn}), body, left)
	transport := r.target.transport.Load()
	resp, err := transport.RoundTrip(req)
	// The upstream may close an idle connection at any time. A request that was
	// assigned a closed connection was not sent, and is retried on another one.
	for tries := 0; err != nil && ctx.Err() == nil && tries < maxStaleConnRetries && r.unsent() && r.body.unread(); tries++ {
		resp, err = transport.RoundTrip(req)
	}
	timedOut := !timer.Stop()
	if err != nil {
		return r.noResponse(callerCtx, timedOut)
	}
	if ex := r.reject(resp); ex != nil {
		_ = resp.Body.Close()
		r.closeConn()
		return ex
	}
	r.recordShed(resp)
	r.observe(0, resp.StatusCode)
	return &crhop.Exchange{
		Response: crhop.Response{
			Kind:   crhop.KindResponse,
			Status: resp.StatusCode,
			Header: resp.Header,
			Length: resp.ContentLength,
		},
		Body: r.responseBody(callerCtx, resp.Body),
	}
}

// maxStaleConnRetries bounds the retries of a request that was assigned closed idle
// connections.
const maxStaleConnRetries = 3

// gotConn is called on the goroutine of RoundTrip, before the request is written. The
// upstream may have closed a reused connection before net/http has detected it, and a
// request written to it would be lost.
func (r *run) gotConn(info httptrace.GotConnInfo) {
	r.conn, _ = info.Conn.(*countingConn)
	if r.conn == nil {
		return
	}
	r.writesBefore = r.conn.writes.Load()
	if info.Reused && !crlink.Reusable(r.conn.Conn) {
		r.conn.retire()
	}
}

// unsent reports whether no part of the request was written. It closes the
// connection first: no later write can succeed, so an unchanged count of writes is
// proof.
func (r *run) unsent() bool {
	if r.conn == nil {
		return true
	}
	_ = r.conn.Close()
	return r.conn.writes.Load() == r.writesBefore
}

// closeConn closes the connection of a response that was rejected. After a
// duplicate response on a reused connection, each later request would get the
// response to the request before it.
func (r *run) closeConn() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// recordShed records whether the target sheds load, as its response shows.
func (r *run) recordShed(resp *http.Response) {
	if shedsWithRetryAfter(resp) {
		r.target.queue.Load().RecordOverload()
	}
	if isShedStatus(resp.StatusCode) {
		r.target.backoff.RecordOverload(r.forward.Account, r.exit.opts.Clock())
		return
	}
	r.target.backoff.RecordAccepted()
}

// shedsWithRetryAfter reports whether the upstream sheds load and sets Retry-After.
func shedsWithRetryAfter(resp *http.Response) bool {
	return isShedStatus(resp.StatusCode) && resp.Header.Get("Retry-After") != ""
}

func isShedStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// reject returns the failure for a response that must not be returned to the entry, or
// nil.
func (r *run) reject(resp *http.Response) *crhop.Exchange {
	switch {
	case r.body.broken():
		return failure(crhop.FaultRequestBody, "the request's body broke off")
	case resp.StatusCode < http.StatusOK:
		r.observe(crhop.FaultUpstreamFailed, resp.StatusCode)
		return failure(crhop.FaultUpstreamFailed, "the upstream gave no final status")
	case !r.echoMatches(resp):
		r.observe(crhop.FaultWrongResponse, resp.StatusCode)
		return failure(crhop.FaultWrongResponse, "the answer is not this request's")
	case closeDelimited(resp):
		r.observe(crhop.FaultUpstreamFailed, resp.StatusCode)
		return failure(crhop.FaultUpstreamFailed, "the answer has neither length nor chunks")
	}
	return nil
}

// closeDelimited reports whether the end of the connection ends the body. A
// truncated body of this kind looks like a complete one.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

func (r *run) noResponse(callerCtx context.Context, timedOut bool) *crhop.Exchange {
	switch {
	case r.unsent():
		ex := refusal("upstream takes no connection", true, defaultRetryAfter)
		if callerCtx.Err() == nil && !r.body.broken() {
			r.observe(crhop.FaultConnectFailed, 0)
			ex.Response.Fault = crhop.FaultConnectFailed
		}
		return ex
	case r.body.broken(), callerCtx.Err() != nil:
		return failure(crhop.FaultRequestBody, "the request broke off")
	case timedOut:
		r.observe(crhop.FaultTimeout, 0)
		return failure(crhop.FaultTimeout, "no answer before the deadline")
	default:
		r.observe(crhop.FaultUpstreamFailed, 0)
		return failure(crhop.FaultUpstreamFailed, "the upstream broke off")
	}
}

func (r *run) observe(fault crhop.Fault, status int) {
	if r.exit.opts.Observe == nil {
		return
	}
	took := r.exit.opts.Clock().Sub(r.started)
	r.exit.opts.Observe(r.target.spec.Name, r.forward.Account, fault, status, took)
}

// echoMatches reports whether the response echoes this request's ID, if the policy
// requires an echo. Without the check, an upstream that mixes up responses could
// return one account's data to another.
//
// A target may shed a request before it has read it, so a shed response may lack the
// echo, but it may not carry a wrong one.
func (r *run) echoMatches(resp *http.Response) bool {
	name := r.target.echoHeader()
	if name == "" {
		return true
	}
	echo := resp.Header.Get(name)
	return echo == r.id || (echo == "" && isShedStatus(resp.StatusCode))
}

func (r *run) request(ctx context.Context, body io.Reader, left time.Duration) *http.Request {
	f := r.forward
	header := http.Header(f.Header)
	if header == nil {
		header = make(http.Header)
	}
	values := [...]string{r.id, string(f.Account), strconv.FormatInt(left.Milliseconds(), 10)}
	header[HeaderRequest], header[HeaderAccount], header[HeaderDeadline] = values[0:1:1], values[1:2:2], values[2:3:3]
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its default
	}
	req := &http.Request{
		Method:        f.Method,
		URL:           &url.URL{Scheme: "http", Host: r.target.spec.Addr, Opaque: f.URI},
		Host:          f.Host,
		Header:        header,
		ContentLength: f.Length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	r.body = newRequestBody(f, body)
	if r.body != nil {
		req.Body = r.body
	}
	return req.WithContext(ctx)
}
