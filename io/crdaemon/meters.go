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

// The samples behind the quantiles favour the last five minutes, as the
// library proposes. A histogram is used and not the library's timer, whose
// rates are kept by a goroutine that nothing can end.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters are the daemon's measurements. Those that traffic adds to are kept
// here; all others are read when the page is asked for.
type meters struct {
	request metrics.Histogram // a caller's request, until its answer was passed on; nanoseconds
	run     metrics.Histogram // a run on a target, until the head of its answer; nanoseconds
	step    metrics.Histogram // the reducers on one event; nanoseconds
	failed  metrics.Counter   // runs without a good answer
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		request: metrics.NewRegisteredHistogram("request.seconds", r, newSample()),
		run:     metrics.NewRegisteredHistogram("run.seconds", r, newSample()),
		step:    metrics.NewRegisteredHistogram("control.step.seconds", r, newSample()),
		failed:  metrics.NewRegisteredCounter("runs.failed.total", r),
	}
}

func newSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }

// stepped notes how long the reducers took for one event.
func (m *meters) stepped(took time.Duration) { m.step.Update(int64(took)) }

// ran notes one run on a target.
func (m *meters) ran(_ crid.Target, _ crid.Account, fault crhop.Fault, status int, took time.Duration) {
	m.run.Update(int64(took))
	if fault != 0 || status >= http.StatusInternalServerError {
		m.failed.Inc(1)
	}
}

// timed notes how long each request took, those that end in a panic included:
// that is how net/http is told to cut an answer.
func (m *meters) timed(h http.Handler, clock func() crid.Instant) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started := clock()
		defer func() { m.request.Update(int64(clock().Sub(started))) }()
		h.ServeHTTP(w, r)
	})
}

// gauge is a measurement that is read when asked for. A name that ends with
// total counts upwards from the daemon's start.
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
		{"standing", func() int64 { return bit(s.isTrusted(s.clock())) }},
		{"ready", func() int64 { return bit(s.checkReady() == nil) }},
	}
}

// revision is the configuration in force; zero for none.
func (s *shell) revision() int64 {
	view := s.view.Load()
	if view == nil {
		return 0
	}
	return int64(view.Snapshot().Revision())
}

func bit(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
