package crexperiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the share of served requests over the load, with one line per policy.
func Plot(rows []Row, file string) error {
	p := plot.New()
	p.Title.Text = "Requests served"
	p.X.Label.Text = "load"
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1
	points := make(map[string]plotter.XYs)
	var order []string
	for _, r := range rows {
		if points[r.Policy] == nil {
			order = append(order, r.Policy)
		}
		points[r.Policy] = append(points[r.Policy], plotter.XY{X: r.Load, Y: r.Served})
	}
	var lines []any
	for _, policy := range order {
		lines = append(lines, policy, points[policy])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
