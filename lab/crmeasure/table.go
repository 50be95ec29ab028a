package crmeasure

import (
	"fmt"
	"math"
	"strconv"
)

// Header names the columns of [Rows]. Each figure is the median over the seeds, followed
// by the lowest and the highest one if they differ.
func Header() []string {
	return []string{
		"SHAPE", "CASE", "POLICY", "RUNS", "DETECT_S", "SICKWORK", "FALSE", "WORSTSHARE", "WORSTP99MS", "MEDIANP99MS",
		"REFUSED", "SENT", "UNKNOWN", "CUT", "NOWORD", "MIXED", "TWICE", "LIED",
	}
}

// Rows summarizes the runs, with one row per shape, case and policy.
func Rows(runs []Result) [][]string {
	type key struct{ shape, fault, policy string }
	groups := make(map[key][]Result)
	var order []key
	for _, m := range runs {
		k := key{m.Shape, m.Case, m.Policy}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], m)
	}
	var rows [][]string
	for _, k := range order {
		rows = append(rows, append([]string{k.shape, k.fault, k.policy}, cells(groups[k])...))
	}
	return rows
}

func cells(group []Result) []string {
	count := func(f func(Result) int) string {
		return spread(group, 0, func(m Result) float64 { return float64(f(m)) })
	}
	return []string{
		strconv.Itoa(len(group)),
		detectCell(group),
		spread(group, 2, func(m Result) float64 { return m.UnhealthyWork }),
		count(func(m Result) int { return m.FalseEjections }),
		spread(group, 4, func(m Result) float64 { return m.WorstShare }),
		spread(group, 0, func(m Result) float64 { return m.WorstP99Millis }),
		spread(group, 0, func(m Result) float64 { return m.MedianP99Millis }),
		count(func(m Result) int { return m.RefusedWithinRate }),
		count(func(m Result) int { return m.Sent }),
		count(func(m Result) int { return m.Unknown }),
		count(func(m Result) int { return m.Cut }),
		count(func(m Result) int { return m.WithoutResponse }),
		count(func(m Result) int { return m.MismatchedResponses }),
		count(func(m Result) int { return m.RanTwice }),
		count(func(m Result) int { return m.FalseNotRun }),
	}
}

// detectCell returns "-" for a case without a fault to detect.
func detectCell(group []Result) string {
	for _, c := range Cases() {
		if c.Name == group[0].Case && c.unhealthyCount == 0 && !c.byCallers {
			return "-"
		}
	}
	return spread(group, 2, func(m Result) float64 {
		if m.DetectSeconds < 0 {
			return math.Inf(1)
		}
		return m.DetectSeconds
	})
}

func spread(group []Result, digits int, f func(Result) float64) string {
	values := make([]float64, 0, len(group))
	for _, m := range group {
		values = append(values, f(m))
	}
	mid := number(quantile(values, 0.5), digits)
	low, high := number(values[0], digits), number(values[len(values)-1], digits)
	if low == high {
		return mid
	}
	return fmt.Sprintf("%s (%s to %s)", mid, low, high)
}

func number(v float64, digits int) string {
	if math.IsInf(v, 1) {
		return "never"
	}
	return strconv.FormatFloat(v, 'f', digits, 64)
}
