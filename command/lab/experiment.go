package lab

import (
	"context"
	"fmt"

	"camphorroad/command/factory"
	"camphorroad/lab/crexperiment"
)

// ExperimentOptions are the subcommands of `experiment`.
type ExperimentOptions struct {
	Run ExperimentRunOptions `cmd:"" help:"Run the experiments in files."`
}

// ExperimentRunOptions are the options of `experiment run`.
type ExperimentRunOptions struct {
	File   []string  `arg:"" placeholder:"FILE" help:"Experiment files (TOML)."`
	Load   []float64 `placeholder:"X" help:"Loads, as multiples of the rates in the file; default the file's load."`
	Policy []string  `placeholder:"NAME" help:"Policies; default those of the file."`
	Seeds  int       `help:"Number of seeds to run, starting at 1; default the seeds of the file."`
	Plot   string    `placeholder:"FILE" help:"Plot the served requests against the load into a PNG file."`
	JSON   bool      `name:"json" help:"Print each run as JSON."`
}

// Help is shown with the command's flags.
func (*ExperimentRunOptions) Help() string {
	return `Runs the decision code of the product against simulated targets in virtual time,
and for comparison the baselines and an oracle, which has the state of all targets
without delay. Prints the outcomes for callers and the time until unhealthy targets
were detected. The same seed always gives the same result.

EXAMPLES
  $ camphorlab experiment run lab/crexperiment/testdata/orders.toml
  $ camphorlab experiment run orders.toml --load 1,1.6,2.2 --policy product,oracle
  $ camphorlab experiment run orders.toml --load 0.5,1,1.5,2 --plot served.png --json`
}

// Run runs the experiments of all files in their order.
func (o *ExperimentRunOptions) Run(_ context.Context, f *factory.Factory) error {
	var rows []crexperiment.Row
	var results []crexperiment.Result
	for _, file := range o.File {
		x, err := crexperiment.Load(file)
		if err != nil {
			return err
		}
		if err := o.override(x); err != nil {
			return err
		}
		loads := o.Load
		if len(loads) == 0 {
			loads = []float64{x.Load}
		}
		for _, load := range loads {
			x.Load = load
			runs := x.Run()
			results = append(results, runs...)
			rows = append(rows, x.Rows(runs)...)
			_, _ = fmt.Fprintf(f.ErrOut, "%s: load %.2f: %d runs\n", x.Name, load, len(runs))
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

// override replaces settings of the file by those of the flags and checks the result.
func (o *ExperimentRunOptions) override(x *crexperiment.Experiment) error {
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
