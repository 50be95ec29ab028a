package crload

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
)

// Report collects what callers were told. It is safe for concurrent use while
// the load runs.
type Report struct {
	mu     sync.Mutex
	told   []Sample
	plan   Plan
	histos map[string]*hdrhistogram.Histogram
}

func newReport(plan Plan) *Report {
	r := &Report{plan: plan, histos: make(map[string]*hdrhistogram.Histogram)}
	for _, a := range plan.Accounts {
		r.histos[a.Name] = hdrhistogram.New(lowestMicros, highestMicros, digits)
	}
	return r
}

func (r *Report) add(t Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, t)
	if t.Result == Answered {
		_ = r.histos[t.Account].RecordValue(max(lowestMicros, min(t.Latency.Microseconds(), highestMicros)))
	}
}

// Samples returns every request and what was told of it.
func (r *Report) Samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.told)
}

// Line is one account's summary; latencies are of answered requests.
type Line struct {
	Account  string         `json:"account"`
	Sent     int            `json:"sent"`
	Results  map[Result]int `json:"results"`
	Statuses map[int]int    `json:"statuses"`
	P50      time.Duration  `json:"p50"` // nanoseconds
	P99      time.Duration  `json:"p99"`
	Max      time.Duration  `json:"max"`
}

// Total is the name of the line over all accounts.
const Total = "total"

// Lines summarises each account, and all together last.
func (r *Report) Lines() []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := hdrhistogram.New(lowestMicros, highestMicros, digits)
	total := newLine(Total)
	byName := make(map[string]*Line)
	var lines []*Line
	for _, a := range r.plan.Accounts {
		line := newLine(a.Name)
		byName[a.Name] = line
		lines = append(lines, line)
	}
	for _, t := range r.told {
		byName[t.Account].count(t)
		total.count(t)
	}
	for _, line := range lines {
		line.latency(r.histos[line.Account])
		all.Merge(r.histos[line.Account])
	}
	total.latency(all)
	out := make([]Line, 0, len(lines)+1)
	for _, line := range append(lines, total) {
		out = append(out, *line)
	}
	return out
}

func newLine(name string) *Line {
	return &Line{Account: name, Results: make(map[Result]int), Statuses: make(map[int]int)}
}

func (l *Line) count(t Sample) {
	l.Sent++
	l.Results[t.Result]++
	l.Statuses[t.Status]++
}

func (l *Line) latency(h *hdrhistogram.Histogram) {
	l.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	l.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	l.Max = time.Duration(h.Max()) * time.Microsecond
}

// Header names the columns of Rows.
func Header() []string {
	return []string{"ACCOUNT", "SENT", "ANSWERED", "NOTRUN", "UNKNOWN", "CUT", "NOWORD", "MIXED", "P50MS", "P99MS", "MAXMS"}
}

// Rows are the lines as cells of a table.
func (r *Report) Rows() [][]string {
	var rows [][]string
	for _, l := range r.Lines() {
		row := []string{l.Account, strconv.Itoa(l.Sent)}
		for _, result := range []Result{Answered, NotRun, Unknown, Cut, NoResponse, Mismatched} {
			row = append(row, strconv.Itoa(l.Results[result]))
		}
		for _, d := range []time.Duration{l.P50, l.P99, l.Max} {
			row = append(row, strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 2, 64))
		}
		rows = append(rows, row)
	}
	return rows
}
