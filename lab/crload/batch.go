package crload

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"camphorroad/lab/crbatch"
)

// NotRead is the result of a pipelined request behind a response that closes the
// connection. It counts as not run.
const NotRead Result = "notread"

// connPool holds the idle connections of pipelining callers, by the host of the entry.
type connPool struct {
	mu   sync.Mutex
	idle map[string][]*crbatch.Conn
}

func (p *connPool) get(ctx context.Context, host string) (*crbatch.Conn, error) {
	p.mu.Lock()
	if list := p.idle[host]; len(list) > 0 {
		defer p.mu.Unlock()
		p.idle[host] = list[:len(list)-1]
		return list[len(list)-1], nil
	}
	p.mu.Unlock()
	if _, _, err := net.SplitHostPort(host); err != nil {
		host = net.JoinHostPort(host, "80")
	}
	return crbatch.Dial(ctx, host)
}

func (p *connPool) put(host string, c *crbatch.Conn) {
	if !c.Reusable() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*crbatch.Conn)
	}
	p.idle[host] = append(p.idle[host], c)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
}

// sendBatch sends the requests of a pipelining call on one connection. Each is a sample,
// and all were planned for the same time.
func (r *runner) sendBatch(ctx context.Context, a Account, call Call, entry, id string, at time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, r.client.Timeout)
	defer cancel()
	samples := make([]Sample, call.Pipeline+1)
	for i := range samples {
		samples[i] = Sample{ID: fmt.Sprintf("%s-%d", id, i), Account: a.Name, Method: call.Method, Planned: at, Result: NoResponse}
	}
	responses, err := r.exchangeBatch(ctx, a, call, entry, samples)
	for i := range samples {
		resp := crbatch.Response{Err: err, At: time.Now()}
		if err == nil {
			resp = responses[i]
		}
		r.setBatchResult(&samples[i], a, call, resp)
		samples[i].Latency = resp.At.Sub(r.startTime) - at
		r.record(samples[i])
	}
}

func (r *runner) exchangeBatch(ctx context.Context, a Account, call Call, entry string, samples []Sample) ([]crbatch.Response, error) {
	base, err := url.Parse(entry)
	if err != nil {
		return nil, err
	}
	requests := make([]*http.Request, len(samples))
	for i := range samples {
		if requests[i], err = r.newRequest(ctx, a, call, entry, samples[i].ID); err != nil {
			return nil, err
		}
	}
	conn, err := r.conns.get(ctx, base.Host)
	if err != nil {
		return nil, err
	}
	defer r.conns.put(base.Host, conn)
	return conn.Do(ctx, requests), nil
}

func (r *runner) setBatchResult(sample *Sample, a Account, call Call, resp crbatch.Response) {
	sample.Status = resp.Status
	switch {
	case resp.Err == nil:
		r.setResult(sample, a, call, resp.Status, resp.Header, resp.Body)
		return
	case errors.Is(resp.Err, crbatch.ErrNotRead):
		sample.Result = NotRead
	case errors.Is(resp.Err, crbatch.ErrSurplus):
		sample.Result = Mismatched
	case resp.Status != 0:
		sample.Result = Cut
	}
	sample.Reason = resp.Err.Error()
}
