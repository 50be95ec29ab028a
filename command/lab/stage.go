package lab

import (
	"context"
	"fmt"

	"camphorroad/command/factory"
	"camphorroad/lab/crstage"
)

// StageOptions are the options of `stage`, which prepares machines for daemons that join
// through a store.
type StageOptions struct {
	Dir      string `required:"" placeholder:"DIR" help:"Directory for the daemons' settings."`
	Machines int    `default:"3" help:"Number of machines, each with a target."`
	Net      int    `default:"70" help:"Second byte of the loopback addresses."`
	Key      string `required:"" help:"Key of the only account."`

	Limit   float64 `default:"0" placeholder:"RATE" help:"Requests a second that the first target says it takes; 0: it names no limit."`
	Leaving bool    `help:"The first target says in its responses that it leaves."`
}

// Help is shown with the command's flags.
func (*StageOptions) Help() string {
	return `Serves fakes of the store and of the targets until SIGTERM or SIGINT, writes a
settings file for each daemon, and prints a line for each machine: name, settings
file, address for callers, address of the daemon's pages.

EXAMPLES
  $ camphorlab stage --dir stage --key crk_demo
  $ camphorlab stage --dir stage --key crk_demo --limit 2.5
  $ camphorroad join --config stage/machine-0.toml`
}

// Run serves until the context ends.
func (o *StageOptions) Run(ctx context.Context, f *factory.Factory) error {
	if o.Limit < 0 {
		return fmt.Errorf("%w: --limit %v is negative", factory.ErrUsage, o.Limit)
	}
	stage, err := crstage.Start(ctx, crstage.Options{
		Dir: o.Dir, Machines: o.Machines, Net: o.Net, Key: o.Key, Limit: o.Limit, Leaving: o.Leaving,
	})
	if err != nil {
		return err
	}
	rows := make([][]string, 0, o.Machines)
	for _, m := range stage.Machines() {
		rows = append(rows, []string{m.Name(), m.File(), m.Caller(), m.Ready()})
	}
	if err := f.Table([]string{"NAME", "SETTINGS", "CALLERS", "PAGES"}, rows); err != nil {
		return fmt.Errorf("print the machines: %w", err)
	}
	<-ctx.Done()
	return stage.Close()
}
