package crexit

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

const (
	pollInterval     = time.Second // of the health and load pages
	pollTimeout      = time.Second
	probeTimeout     = 2 * time.Second
	minProbeInterval = 100 * time.Millisecond // lower bound for the policy's interval
	maxPageBytes     = 64 << 10               // of a health or load page
	// probeAccount is the account of probes in the queue; no client account has this name.
	probeAccount crid.Account = ""
)

// HeaderDraining on a health page with status 503 means that the upstream is
// draining, not unhealthy.
const HeaderDraining = "X-Draining"

// Watch polls the health and load pages of each target and sends known-answer
// probes until ctx ends. It then closes the idle connections and returns.
func (x *Exit) Watch(ctx context.Context) {
	var wg sync.WaitGroup
	for _, t := range x.targets {
		w := &watcher{exit: x, target: t}
		wg.Go(func() { loop(ctx, w.pollDelay, w.poll) })
		wg.Go(func() { loop(ctx, w.probeDelay, w.probe) })
	}
	wg.Wait()
	for _, t := range x.targets {
		if transport := t.transport.Load(); transport != nil {
			transport.CloseIdleConnections()
		}
	}
}

// loop calls do after each delay. The first delay is random up to its full length,
// so that not all targets of a machine are polled at the same time.
func loop(ctx context.Context, delay func() time.Duration, do func(ctx context.Context)) {
	timer := time.NewTimer(rand.N(delay()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		do(ctx)
		timer.Reset(delay())
	}
}

type watcher struct {
	exit            *Exit
	target          *target
	reportedLeaving bool // the last value passed to Options.Leaving
}

func (*watcher) pollDelay() time.Duration { return pollInterval }

func (w *watcher) probeDelay() time.Duration {
	svc := w.target.policy.Load()
	if svc == nil || svc.Probe.Path == "" {
		return pollInterval
	}
	return max(svc.Probe.Interval, minProbeInterval)
}

// poll reads the target's health and load pages. They are stale or wrong at times,
// so the result is only a hint. A report that the target is draining takes effect at
// once, since a false one harms no other target.
func (w *watcher) poll(ctx context.Context) {
	svc := w.target.policy.Load()
	if svc == nil || (svc.HealthPath == "" && svc.LoadPath == "") {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	unhealthy, healthLeaving := w.health(ctx, svc.HealthPath)
	overloaded, loadLeaving := w.load(ctx, svc)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	leaving := healthLeaving || loadLeaving
	w.setLeaving(leaving)
	if w.exit.opts.ReportedUnhealthy != nil {
		w.exit.opts.ReportedUnhealthy(w.target.spec.Name, (unhealthy || overloaded) && !leaving)
	}
}

func (w *watcher) setLeaving(leaving bool) {
	w.target.leaving.Store(leaving)
	if leaving == w.reportedLeaving {
		return
	}
	w.reportedLeaving = leaving
	if w.exit.opts.Leaving != nil {
		w.exit.opts.Leaving(w.target.spec.Name, leaving)
	}
}

func (w *watcher) health(ctx context.Context, path string) (unhealthy, leaving bool) {
	if path == "" {
		return false, false
	}
	got, err := w.get(ctx, path, maxPageBytes)
	if err != nil {
		return true, false
	}
	var p statusPage
	_ = json.Unmarshal(got.body, &p) // a health page need not be JSON
	draining := got.status == http.StatusServiceUnavailable && (got.header.Get(HeaderDraining) != "" || p.Draining)
	return got.status != http.StatusOK, draining
}

// statusPage holds the fields that are read from a target's health and load pages.
type statusPage struct {
	InFlight int  `json:"inflight"`
	Draining bool `json:"draining"`
}

func (w *watcher) load(ctx context.Context, svc *crpolicy.Service) (overloaded, leaving bool) {
	if svc.LoadPath == "" {
		return false, false
	}
	got, err := w.get(ctx, svc.LoadPath, maxPageBytes)
	var p statusPage
	if err != nil || got.status != http.StatusOK || json.Unmarshal(got.body, &p) != nil {
		return false, false
	}
	return p.InFlight > overloadFactor*svc.Slots, p.Draining
}

// overloadFactor: a target whose load page reports more requests in flight than
// overloadFactor times its slots counts as unhealthy.
const overloadFactor = 2

// probe sends a known-answer probe. A probe costs the target as much as a request and
// so takes a slot. If no slot is free in time, probe reports nothing: the traffic then
// shows the target's health.
func (w *watcher) probe(ctx context.Context) {
	svc := w.target.policy.Load()
	queue := w.target.queue.Load()
	if svc == nil || queue == nil || svc.Probe.Path == "" || w.target.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	lease, err := queue.Acquire(ctx, probeAccount, w.exit.opts.Clock().Add(probeTimeout/2))
	if err != nil {
		return
	}
	defer lease.Release()
	started := w.exit.opts.Clock()
	got, err := w.get(ctx, svc.Probe.Path, int64(len(svc.Probe.Body))+1)
	if errors.Is(ctx.Err(), context.Canceled) || w.exit.opts.Probe == nil {
		return
	}
	ok := err == nil && got.status == svc.Probe.Status && string(got.body) == svc.Probe.Body
	w.exit.opts.Probe(w.target.spec.Name, ok, w.exit.opts.Clock().Sub(started))
}

// response is the response to a poll or a probe.
type response struct {
	status int
	header http.Header
	body   []byte
}

// get sends a GET request and reads at most maxBytes bytes of the response body.
func (w *watcher) get(ctx context.Context, path string, maxBytes int64) (response, error) {
	u := &url.URL{Scheme: "http", Host: w.target.spec.Addr, Opaque: path}
	req := (&http.Request{Method: http.MethodGet, URL: u, Host: w.target.spec.Addr, Header: http.Header{}}).WithContext(ctx)
	resp, err := w.target.transport.Load().RoundTrip(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	return response{status: resp.StatusCode, header: resp.Header, body: body}, err
}
