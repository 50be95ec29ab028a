package crload

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Report collects the results of all requests. It is safe for concurrent use while
// the load runs.
type Report struct {
	mu         sync.Mutex
	samples    []Sample
	plan       Plan
	histograms map[string]*hdrhistogram.Histogram
}

func newReport(plan Plan) *Report {
	r := &Report{plan: plan, histograms: make(map[string]*hdrhistogram.Histogram)}
	for _, a := range plan.Accounts {
		r.histograms[a.Name] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	}
	return r
}

func (r *Report) add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
	if s.Result == Answered {
		_ = r.histograms[s.Account].RecordValue(max(minLatencyMicros, min(s.Latency.Microseconds(), maxLatencyMicros)))
	}
}

// Samples returns the finished requests.
func (r *Report) Samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.samples)
}

// Line is the summary of one account. Latencies are those of answered requests.
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

// Lines returns a summary of each account, and a total as the last line.
func (r *Report) Lines() []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	total := newLine(Total)
	byName := make(map[string]*Line)
	var lines []*Line
	for _, a := range r.plan.Accounts {
		line := newLine(a.Name)
		byName[a.Name] = line
		lines = append(lines, line)
	}
	for _, s := range r.samples {
		byName[s.Account].add(s)
		total.add(s)
	}
	for _, line := range lines {
		line.setLatencies(r.histograms[line.Account])
		all.Merge(r.histograms[line.Account])
	}
	total.setLatencies(all)
	out := make([]Line, 0, len(lines)+1)
	for _, line := range append(lines, total) {
		out = append(out, *line)
	}
	return out
}

func newLine(name string) *Line {
	return &Line{Account: name, Results: make(map[Result]int), Statuses: make(map[int]int)}
}

func (l *Line) add(s Sample) {
	l.Sent++
	l.Results[s.Result]++
	l.Statuses[s.Status]++
}

func (l *Line) setLatencies(h *hdrhistogram.Histogram) {
	l.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	l.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	l.Max = time.Duration(h.Max()) * time.Microsecond
}

// Header names the columns of [Report.Rows].
func Header() []string {
	return []string{"ACCOUNT", "SENT", "ANSWERED", "NOTRUN", "NOTREAD", "UNKNOWN", "CUT", "NOWORD", "MIXED", "P50MS", "P99MS", "MAXMS"}
}

// Rows returns the lines as table cells.
func (r *Report) Rows() [][]string {
	var rows [][]string
	for _, l := range r.Lines() {
		row := []string{l.Account, strconv.Itoa(l.Sent)}
		for _, result := range []Result{Answered, NotRun, NotRead, Unknown, Cut, NoResponse, Mismatched} {
			row = append(row, strconv.Itoa(l.Results[result]))
		}
		for _, d := range []time.Duration{l.P50, l.P99, l.Max} {
			row = append(row, strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 2, 64))
		}
		rows = append(rows, row)
	}
	return rows
}
