package lab

import (
	"context"
	"time"

	"camphorroad/command/factory"
	"camphorroad/lab/crmemory"
)

// MemoryOptions measures the memory of a daemon.
type MemoryOptions struct {
	Accounts  []int         `default:"0,20000,100000,410000" help:"Accounts in the configuration, each in a run of its own."`
	Instances int           `default:"5500" help:"Instances in the list of the last stage; 0 leaves it out."`
	Targets   int           `default:"47000" help:"Targets in that list."`
	Services  int           `default:"1800" help:"Services of those targets."`
	Settle    time.Duration `default:"5s" help:"From a configuration in force to its row."`
	Env       []string      `placeholder:"NAME=VALUE" help:"Variables of the daemon, such as GOGC=50."`
	Settings  string        `help:"TOML added to the daemon's settings."`
	Binary    string        `placeholder:"FILE" help:"The daemon's program; default camphorroad beside this one."`
	JSON      bool          `name:"json" help:"Print each stage as JSON."`
}

// Help is shown with the command's flags.
func (*MemoryOptions) Help() string {
	return `Starts a daemon under a configuration of many accounts, changes it once and ten
times more, puts a long list of instances in place, and prints after each stage
where the process's memory stands, in millions of bytes.

EXAMPLES
  $ camphorlab memory
  $ camphorlab memory --accounts 410000 --instances 0 --env GOGC=50`
}

// Run takes the measure.
func (o *MemoryOptions) Run(ctx context.Context, f *factory.Factory) error {
	binary, err := daemonBinary(o.Binary)
	if err != nil {
		return err
	}
	var all []crmemory.Row
	for _, accounts := range o.Accounts {
		rows, err := crmemory.Measure(ctx, crmemory.Options{
			Binary: binary, Accounts: accounts, Instances: o.Instances, Targets: o.Targets, Services: o.Services,
			Settle: o.Settle, Env: o.Env, Settings: o.Settings,
		})
		if err != nil {
			return err
		}
		all = append(all, rows...)
	}
	if o.JSON {
		return f.JSON(all)
	}
	rows := make([][]string, 0, len(all))
	for _, row := range all {
		rows = append(rows, row.Cells())
	}
	return writeTSV(f, crmemory.Header(), rows)
}
