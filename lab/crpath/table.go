package crpath

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Header names the columns of [Result.Rows].
func Header() []string {
	return []string{
		"WAY", "RATE", "SENT", "FAILED", "P50MS", "P99MS", "P99MIN", "P99MAX", "ADDEDP50MS", "ADDEDP99MS", "P50RATIO", "P99RATIO",
		"ENTRYCPUUS", "EXITCPUUS", "ENTRYALLOCS", "EXITALLOCS",
	}
}

// Rows returns a table with one row per path. Latencies and costs are medians over the
// rounds. Added latencies and ratios are medians over the rounds, each compared with the
// direct path in the same round.
func (r *Result) Rows() [][]string {
	var rows [][]string
	direct := r.runsOf(Direct)
	for _, path := range []Path{Direct, OneHop, TwoHops} {
		runs := r.runsOf(path)
		sent, failed := 0, 0
		for _, run := range runs {
			sent += run.Sent
			failed += run.Failed
		}
		row := []string{string(path), strconv.FormatFloat(r.Rate, 'f', 0, 64), strconv.Itoa(sent), strconv.Itoa(failed)}
		p50 := func(run Run) time.Duration { return run.P50 }
		p99 := func(run Run) time.Duration { return run.P99 }
		p99s := valuesOf(runs, p99)
		row = append(row, millis(median(valuesOf(runs, p50))), millis(median(p99s)), millis(slices.Min(p99s)), millis(slices.Max(p99s)))
		for _, of := range []func(Run) time.Duration{p50, p99} {
			row = append(row, millis(median(compare(runs, direct, func(a, b Run) time.Duration { return of(a) - of(b) }))))
		}
		for _, of := range []func(Run) time.Duration{p50, p99} {
			row = append(row, decimal(median(compare(runs, direct, func(a, b Run) float64 { return float64(of(a)) / float64(of(b)) }))))
		}
		row = append(row,
			micros(median(valuesOf(runs, func(run Run) time.Duration { return run.Entry.CPU }))),
			micros(median(valuesOf(runs, func(run Run) time.Duration { return run.Exit.CPU }))),
			decimal(median(valuesOf(runs, func(run Run) float64 { return run.Entry.Allocs }))),
			decimal(median(valuesOf(runs, func(run Run) float64 { return run.Exit.Allocs }))),
		)
		rows = append(rows, row)
	}
	return rows
}

func (r *Result) runsOf(path Path) []Run {
	var runs []Run
	for _, run := range r.Runs {
		if run.Via == path {
			runs = append(runs, run)
		}
	}
	return runs
}

func valuesOf[T any](runs []Run, of func(Run) T) []T {
	out := make([]T, 0, len(runs))
	for _, run := range runs {
		out = append(out, of(run))
	}
	return out
}

// compare applies of to each run and the direct run of the same round.
func compare[T any](runs, direct []Run, of func(a, b Run) T) []T {
	out := make([]T, 0, len(runs))
	for i, run := range runs {
		out = append(out, of(run, direct[i]))
	}
	return out
}

func median[T cmp.Ordered](all []T) T {
	all = slices.Sorted(slices.Values(all))
	return all[len(all)/2]
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

func micros(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Microsecond), 'f', 0, 64)
}

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }
