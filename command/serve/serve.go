// Package serve holds the command that runs the daemon.
package serve

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"camphorroad/command/factory"
	"camphorroad/io/crdaemon"
	"camphorroad/io/crsettings"
)

// Options runs a daemon.
type Options struct {
	Config string `required:"" short:"c" placeholder:"FILE" help:"Settings of this daemon (TOML)."`
	Check  bool   `help:"Only check the settings."`
}

// New returns the options for a settings file.
func New(config string) *Options { return &Options{Config: config} }

// Help is shown with the command's flags.
func (*Options) Help() string {
	return `Runs the daemon beside an instance until SIGTERM or SIGINT; it then drains and
exits with 0. SIGHUP reads the certificates again.

EXAMPLES
  $ camphorroad serve --config daemon.toml
  $ camphorroad serve --config daemon.toml --check`
}

// Run serves until the context ends.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	cfg, err := crsettings.Load(o.Config)
	if err != nil {
		return err
	}
	if o.Check {
		_, err = fmt.Fprintf(f.Out, "%s: ok\n", o.Config)
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return crdaemon.Run(ctx, cfg, f.ErrOut, reload)
}
