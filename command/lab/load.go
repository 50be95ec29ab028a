package lab

import (
	"context"

	"camphorroad/command/factory"
	"camphorroad/lab/crload"
)

// LoadOptions are the options of `load`.
type LoadOptions struct {
	Plan string `arg:"" placeholder:"FILE" help:"Load plan (TOML)."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Help is shown with the command's flags.
func (*LoadOptions) Help() string {
	return `Sends an open-loop load and prints for each account the outcomes that its callers
saw, and the latency from the planned send time.

EXAMPLES
  $ camphorlab load mix.toml
  $ camphorlab load --json mix.toml`
}

// Run sends the load and prints the report.
func (o *LoadOptions) Run(ctx context.Context, f *factory.Factory) error {
	plan, err := crload.ReadPlan(o.Plan)
	if err != nil {
		return err
	}
	report, err := crload.Run(ctx, plan)
	if err != nil {
		return err
	}
	if o.JSON {
		return f.JSON(report.Lines())
	}
	return f.Table(crload.Header(), report.Rows())
}
