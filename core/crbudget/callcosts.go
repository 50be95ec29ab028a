package crbudget

import (
	"cmp"
	"slices"
	"sync"

	"camphorroad/core/crid"
)

// callReportDecay is the factor by which a report reduces the weight of earlier ones of the same
// service.
const callReportDecay = 0.95

// CallCosts estimates the calls that a repeated request makes, from the reports of the daemons
// beside the targets of its service. An entry so knows them from its first failed request on,
// whichever service its own target belongs to. It is safe for concurrent use.
//
//	costs.Record(service, report)
//	calls := costs.Estimate(service, report.Failed)
type CallCosts struct {
	mu       sync.Mutex
	services map[crid.Service]*reportedCalls
}

// reportedCalls are the weighted sums of the reports of one service.
type reportedCalls struct {
	runs  float64
	calls map[crid.Service]float64
}

// NewCallCosts returns costs without reports.
func NewCallCosts() *CallCosts { return &CallCosts{services: make(map[crid.Service]*reportedCalls)} }

// Record adds a report of a target of a service.
func (c *CallCosts) Record(s crid.Service, r CallReport) {
	if r.Runs <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := c.services[s]
	if sums == nil {
		sums = &reportedCalls{calls: make(map[crid.Service]float64)}
		c.services[s] = sums
	}
	sums.runs = sums.runs*callReportDecay + r.Runs
	for called := range sums.calls {
		sums.calls[called] *= callReportDecay
	}
	for _, call := range r.Calls {
		sums.calls[call.Service] += call.PerRun * r.Runs
	}
}

// Estimate returns the calls that a run of a service makes, sorted by service. A request whose
// call to one of the given services has failed makes that call again.
func (c *CallCosts) Estimate(s crid.Service, failed []crid.Service) []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Call
	if sums := c.services[s]; sums != nil {
		out = perRun(sums.calls, sums.runs)
	}
	for _, f := range failed {
		i, found := slices.BinarySearchFunc(out, f, func(call Call, s crid.Service) int { return cmp.Compare(call.Service, s) })
		if !found {
			out = slices.Insert(out, i, Call{Service: f})
		}
		out[i].PerRun = max(out[i].PerRun, 1)
	}
	return out
}
