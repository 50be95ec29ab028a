package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"camphorroad/command/factory"
	"camphorroad/lab/crmeasure"
)

// MeasureOptions are the options of `measure`, which takes the users' four measures.
type MeasureOptions struct {
	Shape  []string      `placeholder:"NAME" help:"Deployment shapes: beacon, groupement; default both."`
	Case   []string      `placeholder:"NAME" help:"Cases, for example slow; default all."`
	Policy []string      `placeholder:"NAME" help:"Policies: chosen, roundrobin, fixed, split; default those whose decisions differ in the case."`
	Seeds  int           `default:"2" help:"Runs of each case and policy, with seeds from 1."`
	Length time.Duration `default:"10s" help:"Duration of the load of each run."`
	Plots  string        `placeholder:"DIR" help:"Write plots of the runs with seed 1 to DIR."`
	Binary string        `placeholder:"FILE" help:"Daemon executable; default camphorroad in the directory of this program."`
	JSON   bool          `name:"json" help:"Print each run as JSON."`
}

// Help is shown with the command's flags.
func (*MeasureOptions) Help() string {
	return `Runs fleets of both deployment shapes as real processes, injects one fault into
each, and prints detection time, false ejections, the worst-served account, and
refusals within the rate, for the product and the baselines.

EXAMPLES
  $ camphorlab measure
  $ camphorlab measure --shape beacon --case slow,wrong --policy chosen --seeds 3
  $ camphorlab measure --policy chosen --plots plots --json`
}

// Run runs the measurements. After an error it prints the runs that finished before.
func (o *MeasureOptions) Run(ctx context.Context, f *factory.Factory) error {
	binary, err := daemonBinary(o.Binary)
	if err != nil {
		return err
	}
	runs, err := crmeasure.Run(ctx, crmeasure.Options{
		Binary: binary, Shapes: o.shapes(), Cases: o.Case, Policies: o.Policy,
		Seeds: o.Seeds, Length: o.Length, Plots: o.Plots,
		Progress: func(m crmeasure.Result) {
			row := crmeasure.Rows([]crmeasure.Result{m})[0]
			_, _ = fmt.Fprintf(f.ErrOut, "seed %d: %s\n", m.Seed, strings.Join(row, " "))
			if m.FalseEjections > 0 || m.RefusedWithinRate > 0 {
				_, _ = fmt.Fprintf(f.ErrOut, "worst: %s; refusals: %v; ejected: %s\n", m.WorstAccount, m.RefusalReasons, strings.Join(m.Ejections, "; "))
			}
		},
	})
	if o.JSON {
		if printErr := f.JSON(runs); printErr != nil {
			return printErr
		}
		return err
	}
	if printErr := writeTSV(f, crmeasure.Header(), crmeasure.Rows(runs)); printErr != nil {
		return printErr
	}
	return err
}

// writeTSV writes a table with its header, tab-separated also on a terminal, so that
// saved results can be compared.
func writeTSV(f *factory.Factory, header []string, rows [][]string) error {
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(f.Out, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return nil
}

// shapes returns the selected shapes; nil, meaning all, for "both".
func (o *MeasureOptions) shapes() []string {
	if len(o.Shape) == 1 && o.Shape[0] == "both" {
		return nil
	}
	return o.Shape
}

// daemonBinary returns path, or that of camphorroad in the directory of this program.
func daemonBinary(path string) (string, error) {
	if path != "" {
		return path, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find the daemon executable (set --binary): %w", err)
	}
	return filepath.Join(filepath.Dir(self), "camphorroad"), nil
}
