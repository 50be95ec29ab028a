package crmeasure

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"camphorroad/lab/crload"
)

const (
	plotBin       = 250 * time.Millisecond
	plotWidth     = 24 * vg.Centimeter
	plotHeight    = 18 * vg.Centimeter
	lineWidth     = vg.Length(1.5)
	dirMode       = 0o755
	binsPerSecond = float64(time.Second / plotBin)
	plotPadding   = 8 * vg.Millimeter

	legendHeight = 2 * vg.Centimeter
)

var (
	colorAnswered = color.RGBA{G: 130, A: 255}
	colorRefused  = color.RGBA{R: 230, G: 150, A: 255}
	colorUnknown  = color.RGBA{R: 200, A: 255}
	colorLatency  = color.RGBA{B: 180, A: 255}
	colorFault    = color.Gray{Y: 120}
)

// plot draws the run over time: requests by outcome in the upper part, p99 in the lower
// part, and the start and the end of the fault as grey lines.
func (r *record) plot(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("plots: %w", err)
	}
	outcomes, err := r.outcomePlot()
	if err != nil {
		return fmt.Errorf("plots: %w", err)
	}
	latency, err := r.latencyPlot()
	if err != nil {
		return fmt.Errorf("plots: %w", err)
	}
	name := fmt.Sprintf("%s-%s-%s.png", r.shape.Name, r.fault.Name, r.policy.Name)
	return save(filepath.Join(dir, name), outcomes, latency)
}

func save(path string, upper, lower *plot.Plot) error {
	img := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadX: plotPadding, PadY: plotPadding, PadTop: plotPadding, PadRight: plotPadding}
	canvases := plot.Align([][]*plot.Plot{{upper}, {lower}}, tiles, draw.New(img))
	upper.Draw(canvases[0][0])
	lower.Draw(canvases[1][0])
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plots: %w", err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("plots: %w", err)
	}
	return f.Close()
}

func (r *record) outcomePlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, %s, seed %d", r.shape.Name, r.fault.Name, r.policy.Name, r.seed)
	p.Y.Label.Text = "requests per second"
	p.Y.Min = 0
	for _, kind := range []struct {
		name string
		is   func(crload.Result) bool
		c    color.Color
	}{
		{"answered", func(x crload.Result) bool { return x == crload.Answered }, colorAnswered},
		{"refused", func(x crload.Result) bool { return x == crload.NotRun }, colorRefused},
		{"unknown, cut, no response", func(x crload.Result) bool { return x != crload.Answered && x != crload.NotRun }, colorUnknown},
	} {
		xys := r.binned(func(in []crload.Sample) float64 {
			n := 0.0
			for _, t := range in {
				if kind.is(t.Result) {
					n++
				}
			}
			return n * binsPerSecond
		})
		if err := addLine(p, kind.name, xys, kind.c); err != nil {
			return nil, err
		}
	}
	p.Legend.YOffs = legendHeight // in an area without lines, unless many requests fail
	return p, r.markFault(p)
}

func (r *record) latencyPlot() (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since the start of the load"
	p.Y.Label.Text = "p99 of responses, ms"
	p.Y.Min = 0
	xys := r.binned(func(in []crload.Sample) float64 {
		var took []float64
		for _, t := range in {
			if t.Result == crload.Answered {
				took = append(took, t.Latency.Seconds()*1e3)
			}
		}
		return quantile(took, 0.99)
	})
	if err := addLine(p, "p99", xys, colorLatency); err != nil {
		return nil, err
	}
	return p, r.markFault(p)
}

// binned applies f to the requests planned in each bin.
func (r *record) binned(f func([]crload.Sample) float64) plotter.XYs {
	bins := make([][]crload.Sample, int(time.Duration(r.plan.Seconds*float64(time.Second))/plotBin))
	for _, t := range r.samples {
		if i := int(t.Planned / plotBin); i < len(bins) {
			bins[i] = append(bins[i], t)
		}
	}
	var out plotter.XYs
	for i, in := range bins {
		out = append(out, plotter.XY{X: (time.Duration(i) * plotBin).Seconds(), Y: f(in)})
	}
	return out
}

func addLine(p *plot.Plot, name string, xys plotter.XYs, c color.Color) error {
	line, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	line.Color = c
	line.Width = lineWidth
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// markFault draws lines at the start and the end of the fault. The case calm has none.
func (r *record) markFault(p *plot.Plot) error {
	if r.fault.begin == nil && r.fault.surge == 0 {
		return nil
	}
	top := p.Y.Max
	for _, at := range []time.Duration{r.from, r.to} {
		x := at.Seconds()
		if err := addLine(p, "", plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}}, colorFault); err != nil {
			return err
		}
	}
	return nil
}
