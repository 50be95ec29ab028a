package lab

import (
	"context"
	"fmt"
	"time"

	"camphorroad/command/factory"
	"camphorroad/lab/crpath"
)

// PathOptions are the options of `path`, which measures the overhead of the daemons.
type PathOptions struct {
	Rounds int           `default:"5" help:"Runs of each path, in turn."`
	Length time.Duration `default:"3s" help:"Duration of the load of each run."`
	Part   float64       `default:"0.5" help:"Load, as a fraction of the capacity of the path."`
	Rate   float64       `help:"Load in requests per second, instead of --part."`
	Binary string        `placeholder:"FILE" help:"Daemon executable; default camphorroad in the directory of this program."`
	JSON   bool          `name:"json" help:"Print each run as JSON."`
}

// Help is shown with the command's flags.
func (*PathOptions) Help() string {
	return `Sends the same open-loop load directly to an upstream, through the daemon beside
it, and through an entry and an exit daemon. Prints the overhead of each path per
request: latency, CPU time and allocations.

EXAMPLES
  $ camphorlab path
  $ camphorlab path --rate 200 --rounds 3
  $ camphorlab path --part 0.25 --json`
}

// Run measures all paths and prints their overhead.
func (o *PathOptions) Run(ctx context.Context, f *factory.Factory) error {
	binary, err := daemonBinary(o.Binary)
	if err != nil {
		return err
	}
	result, err := crpath.Measure(ctx, crpath.Options{
		Binary: binary, Rounds: o.Rounds, Length: o.Length, Part: o.Part, Rate: o.Rate,
	})
	if err != nil {
		return err
	}
	if o.JSON {
		return f.JSON(result)
	}
	_, _ = fmt.Fprintf(f.ErrOut, "closed-loop capacity of two hops: %.0f requests per second\n", result.Capacity)
	for _, run := range result.Runs {
		if run.Failed > 0 {
			_, _ = fmt.Fprintf(f.ErrOut, "%s: %d of %d failed: %v\n", run.Via, run.Failed, run.Sent, run.Failures)
		}
	}
	return writeTSV(f, crpath.Header(), result.Rows())
}
