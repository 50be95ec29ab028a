package crmesh

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
	"camphorroad/io/cringress"
	"camphorroad/io/crpipeline"
	"camphorroad/io/crwatch"
)

// The histograms weight their samples towards the last five minutes. These are the
// values that the library suggests.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters are the metrics that request handling updates. All others are read when the
// metrics page is requested.
type meters struct {
	sent       metrics.Counter // bytes of bodies sent to targets of other domains
	received   metrics.Counter // bytes of bodies received from targets of other domains
	registry   metrics.Registry
	latency    map[crpolicy.Class]metrics.Histogram // in nanoseconds; exported in seconds
	retries    metrics.Counter
	pooled     metrics.Counter // retries that were taken from the pool
	denied     metrics.Counter // requests that were not sent again for want of a retry
	blocked    metrics.Counter // requests refused because targets have ended under them
	takeovers  metrics.Counter // connections taken over from net/http
	concurrent metrics.Counter // requests read while another one of their connection was in progress
}

func newMeters(r metrics.Registry) *meters {
	m := &meters{
		registry: r, latency: make(map[crpolicy.Class]metrics.Histogram), retries: metrics.NewRegisteredCounter("repeats.total", r),
		pooled: metrics.NewRegisteredCounter("repeats.pooled.total", r), denied: metrics.NewRegisteredCounter("repeats.denied.total", r),
		sent: metrics.NewRegisteredCounter("domains.sent.bytes.total", r), received: metrics.NewRegisteredCounter("domains.received.bytes.total", r),
		blocked:   metrics.NewRegisteredCounter("requests.blocked.total", r),
		takeovers: metrics.NewRegisteredCounter("pipeline.connections.total", r), concurrent: metrics.NewRegisteredCounter("pipeline.requests.total", r),
	}
	for _, class := range []crpolicy.Class{crpolicy.ClassOnce, crpolicy.ClassRepeat} {
		sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
		m.latency[class] = metrics.NewRegisteredHistogram("request."+class.String()+".seconds", r, sample)
	}
	return m
}

var (
	_ cringress.Meter  = (*meters)(nil)
	_ crpipeline.Meter = (*meters)(nil)
)

// ObserveResponse implements cringress.Meter.
func (m *meters) ObserveResponse(class crpolicy.Class, status int, local bool, latency time.Duration) {
	name := "answers.target." + strconv.Itoa(status) + ".total"
	if local {
		name = "answers.own." + strconv.Itoa(status) + ".total"
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	if h := m.latency[class]; h != nil && !local {
		h.Update(int64(latency))
	}
}

// ObserveRetry implements cringress.Meter.
func (m *meters) ObserveRetry(pooled bool) {
	m.retries.Inc(1)
	if pooled {
		m.pooled.Inc(1)
	}
}

// ObserveRetryDenied implements cringress.Meter.
func (m *meters) ObserveRetryDenied() { m.denied.Inc(1) }

// ObserveBlocked implements cringress.Meter.
func (m *meters) ObserveBlocked() { m.blocked.Inc(1) }

// ObserveCrossing implements cringress.Meter.
func (m *meters) ObserveCrossing(sent, received int) {
	m.sent.Inc(int64(sent))
	m.received.Inc(int64(received))
}

// ObserveTakeover implements crpipeline.Meter.
func (m *meters) ObserveTakeover() { m.takeovers.Inc(1) }

// ObserveConcurrent implements crpipeline.Meter.
func (m *meters) ObserveConcurrent() { m.concurrent.Inc(1) }

// registerGauges registers the metrics that are read when the metrics page is
// requested.
func (d *daemon) registerGauges() {
	for name, read := range map[string]func() int64{
		"target.load":                            func() int64 { return int64(d.exit.LoadReport().Load) },
		"target.slots":                           func() int64 { return int64(d.exit.LoadReport().Slots) },
		"target.sick.percent":                    func() int64 { return int64(d.exit.LoadReport().UnhealthyProb * 100) },
		"target.cold.milliseconds":               func() int64 { return d.exit.ColdFor().Milliseconds() },
		"target.limit.millis":                    func() int64 { return int64(d.exit.Announced().Limit * 1000) },
		"target.limit.refused.total":             func() int64 { return d.exit.Announced().Refused },
		"target.share.delayed.total":             func() int64 { return int64(d.exit.Shares().Delayed) },
		"targets.limited":                        func() int64 { return d.countTold(func(a crplace.Announcement) bool { return a.Limit > 0 }) },
		"targets.leaving":                        func() int64 { return d.countTold(func(a crplace.Announcement) bool { return a.Leaving }) },
		"domains.evacuated":                      func() int64 { return int64(len(d.loop.view.Load().Evacuations)) },
		"requests.open":                          d.entry.InFlight,
		"peers.silent":                           func() int64 { return int64(len(d.loop.view.Load().Unresponsive)) },
		"peers.alive":                            func() int64 { return int64(len(d.loop.view.Load().Live) - 1) },
		"fleet.members":                          func() int64 { return int64(d.loop.view.Load().Confirmed) },
		"fleet.reachable":                        func() int64 { return int64(d.loop.view.Load().Reachable) },
		"plan.version":                           d.planVersion,
		"heads.refused.total":                    func() int64 { return d.limits.exceeded().heads.sum() },
		"connections.closed.total":               func() int64 { return d.limits.exceeded().conns.sum() },
		"store.calls.total":                      d.feed.StoreCalls,
		"feed.asked.total":                       d.feed.ReaderQueries,
		"store.faults.total":                     d.follower.Failures,
		"store.records.quiet.milliseconds":       func() int64 { return d.follower.SinceLastRead(crwatch.Records).Milliseconds() },
		"store.configuration.quiet.milliseconds": func() int64 { return d.follower.SinceLastRead(crwatch.Configuration).Milliseconds() },
	} {
		// Register fails only for a name that is already registered; these are
		// distinct.
		_ = d.metrics.Register(name, metrics.NewFunctionalGauge(read))
	}
}

// countTold counts the targets that have told this daemon something of themselves.
func (d *daemon) countTold(of func(crplace.Announcement) bool) (n int64) {
	for _, a := range d.balancer.Announced() {
		if of(a) {
			n++
		}
	}
	return n
}

func (d *daemon) planVersion() int64 {
	if p := d.loop.view.Load().Plan; p != nil {
		return int64(p.Version())
	}
	return 0
}
