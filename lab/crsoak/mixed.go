package crsoak

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"camphorroad/lab/crbatch"
	"camphorroad/lab/crstage"
)

// readyMargin is the time before a request's deadline after which a response may be late
// at its entry, although its target had it ready.
const readyMargin = 500 * time.Millisecond

// Sort is a sort of requests of a run with mixed callers.
type Sort string

// The sorts.
const (
	Pipelined Sort = "pipelined"
	Upload    Sort = "uploads"
	Download  Sort = "downloads"
)

// sort returns the sort of a call; empty: an ordinary one.
func (c *call) sort() Sort {
	switch {
	case c.pipelined:
		return Pipelined
	case c.download > 0:
		return Download
	case len(c.kind.sizes) > 0:
		return Upload
	}
	return ""
}

// linkFaults break connections between the daemons, or between a daemon and its target.
var linkFaults = []string{"kill", "herd", "pause", "peer", "target link", "crash", "leave", "restart", "close idle"}

// maxBatch is the maximum number of pipelined requests in a batch.
const maxBatch = 8

func uploadKind() requestKind {
	return requestKind{path: "/put/", method: http.MethodPost, service: "s0", nonIdempotent: true, maxAttempts: 3, sizes: []int{60_000, 400_000}}
}

func downloadKind() requestKind {
	return requestKind{path: "/get/", method: http.MethodGet, service: "s1", maxAttempts: 2, sizes: []int{90_000, 1_500_000}}
}

func pipelinedKinds() []requestKind {
	return slices.DeleteFunc(requestKinds(), func(k requestKind) bool { return k.nonIdempotent })
}

// startMixedCallers starts callers with uploads, downloads and pipelined requests. Their
// draws are separate from those of the other callers, which stay the same for a seed.
func (s *soak) startMixedCallers(ctx context.Context, callers *sync.WaitGroup, m *machine) {
	for i, kinds := range [][]requestKind{{uploadKind()}, {downloadKind()}, pipelinedKinds()} {
		c := newCaller(m, kinds, s.calls, s.keys, s.opts.Seed*1000+callersPerMachine+uint64(i), s.callerInterval)
		if len(kinds) > 1 {
			p := &pipeliner{caller: c}
			callers.Go(func() { p.run(ctx) })
			continue
		}
		callers.Go(func() { c.run(ctx, c.send) })
	}
}

// pipeliner is a caller that sends batches of requests over one connection, which stays
// open until the daemon closes it.
type pipeliner struct {
	*caller
	conn *crbatch.Conn
}

func (p *pipeliner) run(ctx context.Context) {
	p.caller.run(ctx, p.send)
	if p.conn != nil {
		p.conn.Close()
	}
}

// send sends one batch and records its results. As in [caller.send], the end of the run
// does not abort it.
func (p *pipeliner) send(ctx context.Context) {
	n := 2 + p.rand.IntN(maxBatch-1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(n)*callerTimeout)
	defer cancel()
	if p.conn == nil || !p.conn.Reusable() {
		conn, err := crbatch.Dial(ctx, p.machine.addrs.listenAddr(p.machine.index, crstage.PortCaller))
		if err != nil {
			return // the daemon does not run
		}
		p.conn = conn
	}
	calls, requests := make([]call, n), make([]*http.Request, n)
	for i := range calls {
		calls[i], _ = p.newCall()
		calls[i].pipelined, calls[i].position = true, i
		var err error
		if requests[i], err = p.newRequest(ctx, calls[i], ""); err != nil {
			return
		}
		requests[i].Body, requests[i].ContentLength = nil, 0
	}
	for i, resp := range p.conn.Do(ctx, requests) {
		calls[i].receivedPipelined(resp)
		p.calls.add(calls[i])
	}
}

func (c *call) receivedPipelined(resp crbatch.Response) {
	c.latency = resp.At.Sub(c.sent)
	switch {
	case errors.Is(resp.Err, crbatch.ErrSurplus):
		c.received(resp.Status, resp.Header, resp.Body)
		c.mismatch = resp.Err.Error()
	case resp.Err != nil:
		c.err, c.notRead, c.broken = resp.Err.Error(), errors.Is(resp.Err, crbatch.ErrNotRead), resp.Status != 0
	default:
		c.received(resp.Status, resp.Header, resp.Body)
	}
}

// brokenByTarget reports whether a response broke off because its target, or a connection
// on its way, did.
func (o *observations) brokenByTarget(c call) bool {
	if !c.broken {
		return false
	}
	for _, r := range o.runsByRequest[c.id] {
		if r.Responded.IsZero() || o.affected(linkFaults, machineOfTarget(r.Target), c.sent, c.sent.Add(c.latency)) {
			return true
		}
	}
	return o.affected(linkFaults, c.machine, c.sent, c.sent.Add(c.latency))
}

// checkReady reports requests whose target had a response ready in time, but whose callers
// did not get it, although no fault touched its way.
func (o *observations) checkReady(v *violations, c call) {
	if c.status == http.StatusOK || c.notRead {
		return
	}
	for _, r := range o.runsByRequest[c.id] {
		if r.Responded.IsZero() || r.Responded.Sub(r.At) > r.Timeout-readyMargin {
			continue
		}
		end := c.sent.Add(c.latency)
		if !o.affected(linkFaults, c.machine, c.sent, end) && !o.affected(linkFaults, machineOfTarget(r.Target), c.sent, end) {
			v.add("ready: %s had a response at %s after %v, but its caller got status %d after %v %s",
				c.id, r.Target, r.Responded.Sub(r.At).Round(time.Millisecond), c.status, c.latency.Round(time.Millisecond), c.err)
		}
	}
}
