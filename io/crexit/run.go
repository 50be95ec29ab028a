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

// Headers that the exit sets towards the upstream, in their canonical form. The
// entry has removed any that the caller had sent.
const (
	HeaderRequest  = "Camphorroad-Request"  // the request's identity
	HeaderAccount  = "Camphorroad-Account"  // the client account it runs for
	HeaderDeadline = "Camphorroad-Deadline" // milliseconds left
)

// Run admits a forward and runs it on its target. The exchange is never nil;
// its body must be closed. The body given is read only once the forward has
// been started.
func (x *Exit) Run(ctx context.Context, ledger *crforward.Ledger, f *crhop.Forward, body io.Reader) *crhop.Exchange {
	t := x.targets[f.Target]
	if t == nil || t.spec.Service != f.Service {
		return refusal("no such target here", true, refusedRetry)
	}
	if t.leaving.Load() {
		return refusal("target draining", true, refusedRetry)
	}
	now := x.opts.Clock()
	if f.Class != crpolicy.ClassRepeat {
		if left := t.holdoff.Remaining(f.Account, now); left > 0 {
			ex := refusal("target sheds", true, max(refusedRetry, left))
			ex.Response.Fault = crhop.FaultShed
			return ex
		}
	}
	deadline := now.Add(f.Timeout)
	if err := ledger.Register(f.ID, f.Class, now, deadline); err != nil {
		return refused(err)
	}
	t.inflight.Add(1)
	run := &run{exit: x, target: t, ledger: ledger, forward: f, id: f.ID.String(), deadline: deadline}
	ex := run.do(ctx, body)
	ex.Response.InFlight = t.inflight.Load()
	ex.Body = &runBody{ReadCloser: ex.Body, end: run.end}
	return ex
}

type run struct {
	exit     *Exit
	target   *target
	ledger   *crforward.Ledger
	forward  *crhop.Forward
	id       string // of the forward, as the upstream sees it
	deadline crid.Instant
	lease    *crslot.Lease
	started  crid.Instant
	cancel   context.CancelFunc
	body     *requestBody
	conn     *countedConn // that the request was last given
	written  int64        // writes on conn before the request
	ended    atomic.Bool
}

// end gives back what the run holds, once: after the answer's body, or when the
// entry has given up on it.
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
		ex := refusal("target has no policy", true, refusedRetry)
		ex.Response.Fault = crhop.FaultNotReady
		return ex
	}
	lease, err := queue.Acquire(ctx, r.forward.Account, r.deadline)
	if err != nil {
		// Whatever the queue's reason, the forward must never start from here
		// on, or the refusal would not be true.
		r.ledger.Cancel(r.forward.ID, r.exit.opts.Clock())
		return queueRefusal(err)
	}
	r.started = r.exit.opts.Clock()
	if err := r.ledger.Start(r.forward.ID, r.started); err != nil {
		lease.Cancel()
		return refused(err)
	}
	r.lease = lease
	return r.call(ctx, body)
}

func refused(err error) *crhop.Exchange {
	var refusalErr *crforward.Refusal
	if errors.As(err, &refusalErr) {
		return refusal(refusalErr.Reason().String(), refusalErr.NotRun(), refusedRetry)
	}
	return refusal(err.Error(), false, refusedRetry)
}

func queueRefusal(err error) *crhop.Exchange {
	retry := refusedRetry
	var slotErr *crslot.Error
	if errors.As(err, &slotErr) {
		retry = max(retry, slotErr.RetryAfter())
	}
	return refusal(err.Error(), true, retry)
}

// call runs the request. Only a request of which nothing was written provably
// did not run; after that the upstream may have read any part of it.
func (r *run) call(ctx context.Context, body io.Reader) *crhop.Exchange {
	caller := ctx
	left := r.deadline.Sub(r.started)
	ctx, r.cancel = context.WithCancel(ctx)
	timer := time.AfterFunc(left, r.cancel)
	req := r.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: r.gotConn}), body, left)
	transport := r.target.transport.Load()
	resp, err := transport.RoundTrip(req)
	// The upstream closes kept connections when it likes. A request that met a
	// closed one has not left, and goes out again on another.
	for tries := 0; err != nil && ctx.Err() == nil && tries < staleTries && r.unsent() && r.body.unread(); tries++ {
		resp, err = transport.RoundTrip(req)
	}
	late := !timer.Stop()
	if err != nil {
		return r.failed(caller, late)
	}
	if ex := r.reject(resp); ex != nil {
		_ = resp.Body.Close()
		r.dropConn()
		return ex
	}
	r.noteShed(resp)
	r.observe(0, resp.StatusCode)
	return &crhop.Exchange{
		Response: crhop.Response{
			Kind:   crhop.KindResponse,
			Status: resp.StatusCode,
			Header: resp.Header,
			Length: resp.ContentLength,
		},
		Body: r.answerBody(caller, resp.Body),
	}
}

// staleTries bounds the tries on kept connections that turn out closed.
const staleTries = 3

// gotConn is called on the goroutine of RoundTrip, before the request is written. A kept
// connection may have been closed by the upstream without net/http having noticed yet,
// and what is written then is lost.
func (r *run) gotConn(info httptrace.GotConnInfo) {
	r.conn, _ = info.Conn.(*countedConn)
	if r.conn == nil {
		return
	}
	r.written = r.conn.writes.Load()
	if info.Reused && !crlink.Quiet(r.conn.Conn) {
		r.conn.retire()
	}
}

// unsent reports whether nothing of the request was written. It closes the
// connection first: from then on no write can succeed, so that a count that has
// not moved is a proof.
func (r *run) unsent() bool {
	if r.conn == nil {
		return true
	}
	_ = r.conn.Close()
	return r.conn.writes.Load() == r.written
}

// dropConn closes the connection of an answer that can not be trusted. An
// upstream that once answered twice on a kept connection would go on giving each
// request the answer of the one before.
func (r *run) dropConn() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// noteShed takes an answer as word on whether its target takes work.
func (r *run) noteShed(resp *http.Response) {
	if shed(resp) {
		r.target.queue.Load().RecordOverload()
	}
	if isShed(resp.StatusCode) {
		r.target.holdoff.RecordOverload(r.forward.Account, r.exit.opts.Clock())
		return
	}
	r.target.holdoff.RecordAccepted()
}

// shed reports whether the upstream asks for less load.
func shed(resp *http.Response) bool {
	return isShed(resp.StatusCode) && resp.Header.Get("Retry-After") != ""
}

func isShed(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// reject returns the failure to tell of an answer that must not be passed on, or
// nil.
func (r *run) reject(resp *http.Response) *crhop.Exchange {
	switch {
	case r.body.broken():
		return failure(crhop.FaultRequestBody, "the request's body broke off")
	case resp.StatusCode < http.StatusOK:
		r.observe(crhop.FaultUpstreamFailed, resp.StatusCode)
		return failure(crhop.FaultUpstreamFailed, "the upstream gave no final status")
	case !r.echoed(resp):
		r.observe(crhop.FaultWrong, resp.StatusCode)
		return failure(crhop.FaultWrong, "the answer is not this request's")
	case endless(resp):
		r.observe(crhop.FaultUpstreamFailed, resp.StatusCode)
		return failure(crhop.FaultUpstreamFailed, "the answer has neither length nor chunks")
	}
	return nil
}

// endless reports whether the body ends with the connection. Such a body that
// was cut can not be told from a whole one.
func endless(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

func (r *run) failed(caller context.Context, late bool) *crhop.Exchange {
	switch {
	case r.unsent():
		ex := refusal("upstream takes no connection", true, refusedRetry)
		if caller.Err() == nil && !r.body.broken() {
			r.observe(crhop.FaultConnectFailed, 0)
			ex.Response.Fault = crhop.FaultConnectFailed
		}
		return ex
	case r.body.broken(), caller.Err() != nil:
		return failure(crhop.FaultRequestBody, "the request broke off")
	case late:
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

// echoed reports whether the answer names this request, where the policy says
// that answers do. An upstream that mixes up answers would otherwise hand one
// account's data to another.
//
// A target that sheds may do so before it has read the request; an answer that
// only says "come back" may lack the echo, though not carry a wrong one.
func (r *run) echoed(resp *http.Response) bool {
	name := r.target.echo()
	if name == "" {
		return true
	}
	echo := resp.Header.Get(name)
	return echo == r.id || (echo == "" && isShed(resp.StatusCode))
}

func (r *run) request(ctx context.Context, body io.Reader, left time.Duration) *http.Request {
	f := r.forward
	header := http.Header(f.Header)
	if header == nil {
		header = make(http.Header)
	}
	own := [...]string{r.id, string(f.Account), strconv.FormatInt(left.Milliseconds(), 10)}
	header[HeaderRequest], header[HeaderAccount], header[HeaderDeadline] = own[0:1:1], own[1:2:2], own[2:3:3]
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
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
