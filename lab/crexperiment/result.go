package crexperiment

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Count holds the results of the requests of a kind.
type Count struct {
	Requests int `json:"asked"`
	InTime   int `json:"intime"`
	Late     int `json:"late"`
	Refused  int `json:"refused"` // not run
	Failed   int `json:"failed"`  // failed, or result unknown
}

// Result is the result of one simulation.
type Result struct {
	Policy         string            `json:"policy"`
	Seed           uint64            `json:"seed"`
	Load           float64           `json:"load"`
	Kinds          map[string]*Count `json:"kinds"`
	Detection      []time.Duration   `json:"detection"`  // per unhealthy phase; an undetected phase counts with its length
	FalsePositives int               `json:"mistaken"`   // samples of healthy targets that half of the entries took for unhealthy
	HealthySamples int               `json:"well"`       // samples of healthy targets
	OnceFailures   int               `json:"oncetosick"` // once-only requests failed by unhealthy targets
}

// Row is a table row: one policy at one load, over all seeds.
type Row struct {
	Policy        string
	Load          float64
	Served        float64 // share of requests
	InTime        float64
	Failed        float64
	P50           time.Duration // time to detect an unhealthy target
	P95           time.Duration
	FalsePositive float64 // share of samples of healthy targets that were taken for unhealthy
	OnceFailed    int     // once-only requests failed by unhealthy targets
}

// Served is the share of the counted requests that succeeded. [Experiment.Rows] leaves
// out nested requests.
func (r Result) Served() float64 { return r.share(func(c *Count) int { return c.InTime + c.Late }) }

func (r Result) share(count func(*Count) int) float64 {
	asked, n := 0, 0
	for _, c := range r.Kinds {
		asked += c.Requests
		n += count(c)
	}
	return float64(n) / float64(max(asked, 1))
}

// Rows summarizes results, with one row per policy and load, in the order of the results.
func (x *Experiment) Rows(results []Result) []Row {
	type key struct {
		policy string
		load   float64
	}
	groups := make(map[key][]Result)
	var order []key
	for _, r := range results {
		k := key{r.Policy, r.Load}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	rows := make([]Row, 0, len(order))
	for _, k := range order {
		rows = append(rows, x.row(k.policy, k.load, groups[k]))
	}
	return rows
}

func (x *Experiment) row(policy string, load float64, group []Result) Row {
	out := Row{Policy: policy, Load: load}
	var detection []time.Duration
	falsePositives, healthySamples := 0, 0
	n := float64(len(group))
	for _, r := range group {
		r.Kinds = x.withoutNested(r.Kinds)
		out.Served += r.Served() / n
		out.InTime += r.share(func(c *Count) int { return c.InTime }) / n
		out.Failed += r.share(func(c *Count) int { return c.Failed }) / n
		out.OnceFailed += r.OnceFailures
		detection = append(detection, r.Detection...)
		falsePositives, healthySamples = falsePositives+r.FalsePositives, healthySamples+r.HealthySamples
	}
	slices.Sort(detection)
	out.P50, out.P95 = quantile(detection, 0.5), quantile(detection, 0.95)
	out.FalsePositive = float64(falsePositives) / float64(max(healthySamples, 1))
	return out
}

// withoutNested drops the kinds that occur only as nested requests: their failures already count
// as failures of the requests that made them.
func (x *Experiment) withoutNested(kinds map[string]*Count) map[string]*Count {
	out := maps.Clone(kinds)
	for _, k := range x.Kinds {
		if k.Rate == 0 {
			delete(out, k.Name)
		}
	}
	return out
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Header names the columns of [Row.Cells].
func Header() []string {
	return []string{"policy", "load", "served", "in time", "failed", "found p50", "found p95", "well set aside", "once lost to sick"}
}

// Cells returns the row as text.
func (r Row) Cells() []string {
	return []string{
		r.Policy, fmt.Sprintf("%.2f", r.Load), fmt.Sprintf("%.3f", r.Served), fmt.Sprintf("%.3f", r.InTime), fmt.Sprintf("%.3f", r.Failed),
		r.P50.Round(10 * time.Millisecond).String(), r.P95.Round(10 * time.Millisecond).String(), fmt.Sprintf("%.3f", r.FalsePositive), fmt.Sprint(r.OnceFailed),
	}
}
