package crdaemon

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"camphorroad/core/crid"
	"camphorroad/io/crentry"
	"camphorroad/io/crexit"
	"camphorroad/io/crhop"
)

// Parameters of the samples of the histograms, as recommended by the library: they
// are biased towards the last five minutes. The library's timer is not used
// because it starts a goroutine that cannot be stopped.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// instruments are the metrics that are updated on events. All other metrics are
// gauges that are read when /metrics is requested.
type instruments struct {
	request metrics.Histogram // time of a caller's request until its response was forwarded, in nanoseconds
	run     metrics.Histogram // time of a run on a target until the header of its response, in nanoseconds
	step    metrics.Histogram // time of the reducers for one event, in nanoseconds
	failed  metrics.Counter   // runs that failed or got a 5xx response
}

func newInstruments(r metrics.Registry) *instruments {
	return &instruments{
		request: metrics.NewRegisteredHistogram("request.seconds", r, newSample()),
		run:     metrics.NewRegisteredHistogram("run.seconds", r, newSample()),
		step:    metrics.NewRegisteredHistogram("control.step.seconds", r, newSample()),
		failed:  metrics.NewRegisteredCounter("runs.failed.total", r),
	}
}

func newSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }

// observeStep records how long the reducers took for one event.
func (m *instruments) observeStep(took time.Duration) { m.step.Update(int64(took)) }

// observeRun records one run on a target.
func (m *instruments) observeRun(_ crid.Target, _ crid.Account, fault crhop.Fault, status int, took time.Duration) {
	m.run.Update(int64(took))
	if fault != 0 || status >= http.StatusInternalServerError {
		m.failed.Inc(1)
	}
}

// timeRequests returns a handler that records how long each request took. This
// includes requests that panic, which is how a handler aborts a response in net/http.
func (m *instruments) timeRequests(h http.Handler, clock func() crid.Instant) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started := clock()
		defer func() { m.request.Update(int64(clock().Sub(started))) }()
		h.ServeHTTP(w, r)
	})
}

// gauge is a metric that is read when it is requested. A gauge whose name ends with
// total is a counter since the start of the daemon.
type gauge struct {
	name string
	read func() int64
}

func register(r metrics.Registry, gauges []gauge) error {
	for _, g := range gauges {
		if err := r.Register(g.name, metrics.NewFunctionalGauge(g.read)); err != nil {
			return err
		}
	}
	return nil
}

func entryGauges(e *crentry.Entry) []gauge {
	c := e.Counters()
	return []gauge{
		{"requests.answered.total", c.Answered.Load},
		{"requests.notrun.total", c.NotRun.Load},
		{"requests.unknown.total", c.Unknown.Load},
		{"requests.cut.total", c.Cut.Load},
		{"requests.denied.total", c.Denied.Load},
		{"requests.limited.total", c.Limited.Load},
		{"retries.total", c.Retried.Load},
		{"requests.inflight", e.InFlight},
	}
}

func (s *shell) gauges(x *crexit.Exit) []gauge {
	return []gauge{
		{"runs.inflight", x.InFlight},
		{"control.dropped.total", s.loop.Dropped},
		{"control.sent.bytes.total", func() int64 { sent, _ := s.peers.Traffic(); return sent }},
		{"control.received.bytes.total", func() int64 { _, received := s.peers.Traffic(); return received }},
		{"revision", s.revision},
		{"standing", func() int64 { return boolToInt(s.isTrusted(s.clock())) }},
		{"ready", func() int64 { return boolToInt(s.checkReady() == nil) }},
	}
}

// revision returns the revision of the active configuration, or zero if there is none.
func (s *shell) revision() int64 {
	view := s.view.Load()
	if view == nil {
		return 0
	}
	return int64(view.Snapshot().Revision())
}

func boolToInt(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
