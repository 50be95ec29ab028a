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
	pollEvery    = time.Second // health and load
	pollTimeout  = time.Second
	probeTimeout = 2 * time.Second
	probeLeast   = 100 * time.Millisecond // however often the policy asks
	maxReport    = 64 << 10               // bytes read of a health or load answer
	// probeAccount holds the slots of probes; no client account has this name.
	probeAccount crid.Account = ""
)

// HeaderDraining is how an upstream's health page, with status 503, says that it
// is draining rather than sick.
const HeaderDraining = "X-Draining"

// Watch asks each target's health and load pages and its known answer until ctx
// ends, closes the connections that are idle then, and returns.
func (x *Exit) Watch(ctx context.Context) {
	var wg sync.WaitGroup
	for _, t := range x.targets {
		w := &watcher{exit: x, target: t}
		wg.Go(func() { repeat(ctx, w.pollWait, w.poll) })
		wg.Go(func() { repeat(ctx, w.probeWait, w.probe) })
	}
	wg.Wait()
	for _, t := range x.targets {
		if transport := t.transport.Load(); transport != nil {
			transport.CloseIdleConnections()
		}
	}
}

// repeat calls do after each wait. The first wait is cut at random, so that a
// machine's targets are not all asked in one moment.
func repeat(ctx context.Context, wait func() time.Duration, do func(ctx context.Context)) {
	timer := time.NewTimer(rand.N(wait()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		do(ctx)
		timer.Reset(wait())
	}
}

type watcher struct {
	exit   *Exit
	target *target
	told   bool // that the target is leaving
}

func (*watcher) pollWait() time.Duration { return pollEvery }

func (w *watcher) probeWait() time.Duration {
	svc := w.target.policy.Load()
	if svc == nil || svc.Probe.Path == "" {
		return pollEvery
	}
	return max(svc.Probe.Interval, probeLeast)
}

// poll reads what the target says of itself. It is a hint only: these pages lag
// and mislead. That a target is leaving is believed, as it loses by it alone.
func (w *watcher) poll(ctx context.Context) {
	svc := w.target.policy.Load()
	if svc == nil || (svc.HealthPath == "" && svc.LoadPath == "") {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	bad, healthLeaving := w.health(ctx, svc.HealthPath)
	full, loadLeaving := w.load(ctx, svc)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	leaving := healthLeaving || loadLeaving
	w.leave(leaving)
	if w.exit.opts.Hint != nil {
		w.exit.opts.Hint(w.target.spec.Name, (bad || full) && !leaving)
	}
}

func (w *watcher) leave(leaving bool) {
	w.target.leaving.Store(leaving)
	if leaving == w.told {
		return
	}
	w.told = leaving
	if w.exit.opts.Leaving != nil {
		w.exit.opts.Leaving(w.target.spec.Name, leaving)
	}
}

func (w *watcher) health(ctx context.Context, path string) (bad, leaving bool) {
	if path == "" {
		return false, false
	}
	got, err := w.get(ctx, path, maxReport)
	if err != nil {
		return true, false
	}
	var r report
	_ = json.Unmarshal(got.body, &r) // a health page need not be JSON
	drains := got.status == http.StatusServiceUnavailable && (got.header.Get(HeaderDraining) != "" || r.Draining)
	return got.status != http.StatusOK, drains
}

// report is what is read of a target's pages.
type report struct {
	InFlight int  `json:"inflight"`
	Draining bool `json:"draining"`
}

func (w *watcher) load(ctx context.Context, svc *crpolicy.Service) (full, leaving bool) {
	if svc.LoadPath == "" {
		return false, false
	}
	got, err := w.get(ctx, svc.LoadPath, maxReport)
	var r report
	if err != nil || got.status != http.StatusOK || json.Unmarshal(got.body, &r) != nil {
		return false, false
	}
	return r.InFlight > overload*svc.Slots, r.Draining
}

// overload is how many times its slots a target holds when its own word counts
// as a hint against it.
const overload = 2

// probe asks for the known answer. It takes a slot like any request, as it costs
// the target as much; where none is free in time there is traffic enough to judge
// by, and nothing is said.
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

// page is what a target answered.
type page struct {
	status int
	header http.Header
	body   []byte
}

// get reads at most so many bytes of an answer.
func (w *watcher) get(ctx context.Context, path string, most int64) (page, error) {
	u := &url.URL{Scheme: "http", Host: w.target.spec.Addr, Opaque: path}
	req := (&http.Request{Method: http.MethodGet, URL: u, Host: w.target.spec.Addr, Header: http.Header{}}).WithContext(ctx)
	resp, err := w.target.transport.Load().RoundTrip(req)
	if err != nil {
		return page{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, most))
	return page{status: resp.StatusCode, header: resp.Header, body: body}, err
}
