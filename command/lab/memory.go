package lab

import (
	"context"
	"time"

	"camphorroad/command/factory"
	"camphorroad/lab/crmemory"
)

// MemoryOptions are the options of `memory`.
type MemoryOptions struct {
	Accounts  []int         `default:"0,20000,100000,410000" help:"Numbers of accounts in the configuration, one run for each."`
	Instances int           `default:"5500" help:"Instances in the list of the last stage; 0 skips the stage."`
	Targets   int           `default:"47000" help:"Targets in the list of instances."`
	Services  int           `default:"1800" help:"Services in the list of instances."`
	Settle    time.Duration `default:"5s" help:"Wait after a configuration is in force before memory is measured."`
	Env       []string      `placeholder:"NAME=VALUE" help:"Environment variables of the daemon, such as GOGC=50."`
	Settings  string        `help:"TOML to append to the daemon's settings."`
	Binary    string        `placeholder:"FILE" help:"Daemon executable; default camphorroad in the directory of this program."`
	JSON      bool          `name:"json" help:"Print each stage as JSON."`
}

// Help is shown with the command's flags.
func (*MemoryOptions) Help() string {
	return `Runs a daemon with a configuration of many accounts, changes the configuration
once and then ten more times, and publishes a long list of instances. Prints the
memory of the process after each stage, in millions of bytes.

EXAMPLES
  $ camphorlab memory
  $ camphorlab memory --accounts 410000 --instances 0 --env GOGC=50`
}

// Run measures the daemon with each number of accounts.
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
