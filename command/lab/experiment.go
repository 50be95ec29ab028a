package lab

import (
	"context"
	"fmt"

	"camphorroad/command/factory"
	"camphorroad/lab/crexperiment"
)

// ExperimentOptions are the commands that play a fleet in virtual time.
type ExperimentOptions struct {
	Run ExperimentRunOptions `cmd:"" help:"Play an experiment's file."`
}

// ExperimentRunOptions plays experiments.
type ExperimentRunOptions struct {
	File   []string  `arg:"" placeholder:"FILE" help:"Experiments, in TOML."`
	Load   []float64 `placeholder:"X" help:"Loads, in times the rates of the file; default the file's."`
	Policy []string  `placeholder:"NAME" help:"Policies; default the file's."`
	Seeds  int       `help:"Seeds from 1 on; default the file's."`
	Plot   string    `placeholder:"FILE" help:"Draw what was served over the load into a PNG file."`
	JSON   bool      `name:"json" help:"Print each play as JSON."`
}

// Help is shown with the command's flags.
func (*ExperimentRunOptions) Help() string {
	return `Plays the product's own decisions against modelled targets in virtual time, beside
baselines and beside a fleet that knows all targets' states at once, and prints
what callers got and how soon sick targets were found. A seed always gives the
same result.

EXAMPLES
  $ camphorlab experiment run lab/crexperiment/testdata/orders.toml
  $ camphorlab experiment run orders.toml --load 1,1.6,2.2 --policy product,oracle
  $ camphorlab experiment run orders.toml --load 0.5,1,1.5,2 --plot served.png --json`
}

// Run plays all files in their order.
func (o *ExperimentRunOptions) Run(_ context.Context, f *factory.Factory) error {
	var rows []crexperiment.Row
	var results []crexperiment.Result
	for _, file := range o.File {
		x, err := crexperiment.Load(file)
		if err != nil {
			return err
		}
		if err := o.change(x); err != nil {
			return err
		}
		loads := o.Load
		if len(loads) == 0 {
			loads = []float64{x.Load}
		}
		for _, load := range loads {
			x.Load = load
			played := x.Run()
			results = append(results, played...)
			rows = append(rows, x.Rows(played)...)
			_, _ = fmt.Fprintf(f.ErrOut, "%s: load %.2f: %d plays\n", x.Name, load, len(played))
		}
	}
	if o.Plot != "" {
		if err := crexperiment.Plot(rows, o.Plot); err != nil {
			return err
		}
	}
	if o.JSON {
		return f.JSON(results)
	}
	cells := make([][]string, 0, len(rows))
	for _, row := range rows {
		cells = append(cells, row.Cells())
	}
	return f.Table(crexperiment.Header(), cells)
}

// change puts what the command line says in place of what the file says.
func (o *ExperimentRunOptions) change(x *crexperiment.Experiment) error {
	if len(o.Policy) > 0 {
		x.Policies = o.Policy
	}
	if o.Seeds > 0 {
		x.Seeds = nil
		for seed := range o.Seeds {
			x.Seeds = append(x.Seeds, uint64(seed)+1)
		}
	}
	for _, load := range o.Load {
		if load <= 0 {
			return fmt.Errorf("%w: --load must be above zero", crexperiment.ErrExperiment)
		}
	}
	return x.Check()
}
