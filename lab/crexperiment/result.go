package crexperiment

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Count is what became of the requests of a kind.
type Count struct {
	Asked   int `json:"asked"`
	InTime  int `json:"intime"`
	Late    int `json:"late"`
	Refused int `json:"refused"` // not run
	Failed  int `json:"failed"`  // failed, or nobody knows
}

// Result is one play.
type Result struct {
	Policy     string            `json:"policy"`
	Seed       uint64            `json:"seed"`
	Load       float64           `json:"load"`
	Kinds      map[string]*Count `json:"kinds"`
	Detection  []time.Duration   `json:"detection"`  // of each sick phase; one never found counts with its length
	Mistaken   int               `json:"mistaken"`   // looks at well targets that half of the entries held sick
	Well       int               `json:"well"`       // looks at well targets
	OnceToSick int               `json:"oncetosick"` // requests that may run once broken off by sick targets
}

// Row is a line of a table: one policy at one load, over its seeds.
type Row struct {
	Policy string
	Load   float64
	Served float64 // share of the callers' requests
	InTime float64
	Failed float64
	P50    time.Duration // until a sick target is found
	P95    time.Duration
	Aside  float64 // share of well targets' time in which they were held sick
	Lost   int     // once-only requests broken off by sick targets
}

// Served is the share of requests of callers, not of calls, that were answered well.
func (r Result) Served() float64 { return r.share(func(c *Count) int { return c.InTime + c.Late }) }

func (r Result) share(of func(*Count) int) float64 {
	asked, n := 0, 0
	for _, c := range r.Kinds {
		asked += c.Asked
		n += of(c)
	}
	return float64(n) / float64(max(asked, 1))
}

// Rows sums results up, a row a policy and load, in the order of the results.
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
	var found []time.Duration
	aside, well := 0, 0
	n := float64(len(group))
	for _, r := range group {
		r.Kinds = x.outer(r.Kinds)
		out.Served += r.Served() / n
		out.InTime += r.share(func(c *Count) int { return c.InTime }) / n
		out.Failed += r.share(func(c *Count) int { return c.Failed }) / n
		out.Lost += r.OnceToSick
		found = append(found, r.Detection...)
		aside, well = aside+r.Mistaken, well+r.Well
	}
	slices.Sort(found)
	out.P50, out.P95 = quantile(found, 0.5), quantile(found, 0.95)
	out.Aside = float64(aside) / float64(max(well, 1))
	return out
}

// outer leaves kinds away that come only as calls: they fail their parents.
func (x *Experiment) outer(kinds map[string]*Count) map[string]*Count {
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
		r.P50.Round(10 * time.Millisecond).String(), r.P95.Round(10 * time.Millisecond).String(), fmt.Sprintf("%.3f", r.Aside), fmt.Sprint(r.Lost),
	}
}
