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
)

// Headers that the exit sets towards the upstream. The entry has removed any
// that the caller had sent.
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
	now := x.opts.Clock()
	deadline := now.Add(f.Left)
	if err := ledger.Offer(f.ID, f.Class, now, deadline); err != nil {
		return refused(err)
	}
	t.inflight.Add(1)
	run := &run{exit: x, target: t, ledger: ledger, forward: f, deadline: deadline}
	ex := run.do(ctx, body)
	ex.Answer.InFlight = t.inflight.Load()
	ex.Body = &runBody{ReadCloser: ex.Body, end: run.end}
	return ex
}

type run struct {
	exit     *Exit
	target   *target
	ledger   *crforward.Ledger
	forward  *crhop.Forward
	deadline crid.Instant
	lease    *crslot.Lease
	started  crid.Instant
	cancel   context.CancelFunc
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
		ex.Answer.Fault = crhop.FaultUnready
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

// call runs the request. Only a failure before a connection was had proves that
// nothing ran; after that the upstream may have read any part of it.
func (r *run) call(ctx context.Context, body io.Reader) *crhop.Exchange {
	left := r.deadline.Sub(r.started)
	ctx, r.cancel = context.WithCancel(ctx)
	timer := time.AfterFunc(left, r.cancel)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req := r.request(httptrace.WithClientTrace(ctx, trace), body, left)
	resp, err := r.target.transport.RoundTrip(req)
	headInTime := timer.Stop()
	if err != nil {
		return r.failed(connected.Load(), !headInTime)
	}
	if !r.echoed(resp) {
		_ = resp.Body.Close()
		r.observe(crhop.FaultWrong, resp.StatusCode)
		return failure(crhop.FaultWrong, "the answer is not this request's")
	}
	r.observe(0, resp.StatusCode)
	return &crhop.Exchange{
		Answer: crhop.Answer{
			Kind:   crhop.KindAnswer,
			Status: resp.StatusCode,
			Header: resp.Header,
			Length: resp.ContentLength,
		},
		Body: resp.Body,
	}
}

func (r *run) failed(connected, late bool) *crhop.Exchange {
	switch {
	case !connected:
		r.observe(crhop.FaultConnect, 0)
		ex := refusal("upstream takes no connection", true, refusedRetry)
		ex.Answer.Fault = crhop.FaultConnect
		return ex
	case late:
		r.observe(crhop.FaultTimeout, 0)
		return failure(crhop.FaultTimeout, "no answer before the deadline")
	default:
		r.observe(crhop.FaultBroken, 0)
		return failure(crhop.FaultBroken, "the upstream broke off")
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
func (r *run) echoed(resp *http.Response) bool {
	name := r.target.echo()
	return name == "" || resp.Header.Get(name) == r.forward.ID.String()
}

func (r *run) request(ctx context.Context, body io.Reader, left time.Duration) *http.Request {
	f := r.forward
	header := http.Header(f.Header)
	if header == nil {
		header = make(http.Header)
	}
	header.Set(HeaderRequest, f.ID.String())
	header.Set(HeaderAccount, string(f.Account))
	header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
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
	req.Body = upstreamBody(f, body)
	return req.WithContext(ctx)
}

// upstreamBody returns the body to send. net/http replays a request that has
// no body on a fresh connection when the reused one breaks, for safe methods and
// for anything with an Idempotency-Key header; a charge without a body would
// then run twice behind our back. It never replays a body that it can not
// rewind, so a once request that it might replay gets such a body, though empty.
func upstreamBody(f *crhop.Forward, body io.Reader) io.ReadCloser {
	if f.Length != 0 && body != nil {
		return &unrewindable{Reader: body}
	}
	if f.Class == crpolicy.ClassOnce && replayable(f) {
		return &unrewindable{Reader: eofReader{}}
	}
	return http.NoBody
}

func replayable(f *crhop.Forward) bool {
	switch f.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	h := http.Header(f.Header)
	return h.Get("Idempotency-Key") != "" || h.Get("X-Idempotency-Key") != ""
}

type unrewindable struct {
	io.Reader
}

// Close implements io.Closer; the stream that is read is the session's to close.
func (*unrewindable) Close() error { return nil }

type runBody struct {
	io.ReadCloser
	end func()
}

// Close ends the run.
func (b *runBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}
