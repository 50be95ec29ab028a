package crpath

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Header names the columns of Rows.
func Header() []string {
	return []string{
		"WAY", "RATE", "SENT", "FAILED", "P50MS", "P99MS", "P99MIN", "P99MAX", "ADDEDP50MS", "ADDEDP99MS", "P50RATIO", "P99RATIO",
		"ENTRYCPUUS", "EXITCPUUS", "ENTRYALLOCS", "EXITALLOCS",
	}
}

// Rows is a table with one row a way. Latencies and uses are medians over the
// rounds; added and ratio are medians of what each round gave beside the straight
// way of the same round.
func (r *Result) Rows() [][]string {
	var rows [][]string
	straight := r.of(Direct)
	for _, way := range []Path{Direct, OneHop, TwoHops} {
		runs := r.of(way)
		sent, failed := 0, 0
		for _, run := range runs {
			sent += run.Sent
			failed += run.Failed
		}
		row := []string{string(way), strconv.FormatFloat(r.Rate, 'f', 0, 64), strconv.Itoa(sent), strconv.Itoa(failed)}
		p50 := func(run Run) time.Duration { return run.P50 }
		p99 := func(run Run) time.Duration { return run.P99 }
		all := values(runs, p99)
		row = append(row, millis(median(values(runs, p50))), millis(median(all)), millis(slices.Min(all)), millis(slices.Max(all)))
		for _, of := range []func(Run) time.Duration{p50, p99} {
			row = append(row, millis(median(beside(runs, straight, func(a, b Run) time.Duration { return of(a) - of(b) }))))
		}
		for _, of := range []func(Run) time.Duration{p50, p99} {
			row = append(row, decimal(median(beside(runs, straight, func(a, b Run) float64 { return float64(of(a)) / float64(of(b)) }))))
		}
		row = append(row,
			micros(median(values(runs, func(run Run) time.Duration { return run.Entry.CPU }))),
			micros(median(values(runs, func(run Run) time.Duration { return run.Exit.CPU }))),
			decimal(median(values(runs, func(run Run) float64 { return run.Entry.Allocs }))),
			decimal(median(values(runs, func(run Run) float64 { return run.Exit.Allocs }))),
		)
		rows = append(rows, row)
	}
	return rows
}

func (r *Result) of(way Path) []Run {
	var runs []Run
	for _, run := range r.Runs {
		if run.Via == way {
			runs = append(runs, run)
		}
	}
	return runs
}

func values[T any](runs []Run, of func(Run) T) []T {
	out := make([]T, 0, len(runs))
	for _, run := range runs {
		out = append(out, of(run))
	}
	return out
}

// beside compares each round of a way with the straight one of the same round.
func beside[T any](runs, straight []Run, of func(a, b Run) T) []T {
	out := make([]T, 0, len(runs))
	for i, run := range runs {
		out = append(out, of(run, straight[i]))
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
