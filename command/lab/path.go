package lab

import (
	"context"
	"fmt"
	"time"

	"camphorroad/command/factory"
	"camphorroad/lab/crpath"
)

// PathOptions measures what the path of a request adds.
type PathOptions struct {
	Rounds int           `default:"5" help:"Runs of each way, in turn."`
	Length time.Duration `default:"3s" help:"Length of each run's load."`
	Part   float64       `default:"0.5" help:"Part of the path's capacity to send."`
	Rate   float64       `help:"Requests a second to send, in place of --part."`
	Binary string        `placeholder:"FILE" help:"The daemon's program; default camphorroad beside this one."`
	JSON   bool          `name:"json" help:"Print each run as JSON."`
}

// Help is shown with the command's flags.
func (*PathOptions) Help() string {
	return `Sends the same open load straight to an upstream, through the daemon beside it,
and through an entry and an exit daemon, and prints what each way adds: time,
processor time and allocations for each request.

EXAMPLES
  $ camphorlab path
  $ camphorlab path --rate 200 --rounds 3
  $ camphorlab path --part 0.25 --json`
}

// Run takes the measure.
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
	_, _ = fmt.Fprintf(f.ErrOut, "capacity of two hops in a closed loop: %.0f requests a second\n", result.Capacity)
	for _, run := range result.Runs {
		if run.Failed > 0 {
			_, _ = fmt.Fprintf(f.ErrOut, "%s: %d of %d failed: %v\n", run.Way, run.Failed, run.Sent, run.Told)
		}
	}
	return writeTSV(f, crpath.Header(), result.Rows())
}
