// Package join holds the command that runs the daemon of io/crmesh, which finds targets,
// peers and its configuration in the platform's store. Package serve runs that of
// io/crdaemon.
package join

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"camphorroad/command/factory"
	"camphorroad/io/crmesh"
	"camphorroad/io/crsite"
	"camphorroad/platform"
)

// Options are the options of `join`.
type Options struct {
	Config string `required:"" short:"c" env:"CAMPHORROAD_CONFIG" placeholder:"FILE" help:"Settings of this daemon (TOML)."`
	Check  bool   `help:"Check the settings, then exit."`
}

// Help is shown with the command's flags.
func (*Options) Help() string {
	return `Runs the daemon beside a target of the platform until SIGTERM or SIGINT; it then
drains and exits with 0. It finds targets, peers and its configuration in the
platform's store. SIGHUP checks the settings file; changes apply at the next start.

EXAMPLES
  $ camphorroad join --config /etc/camphorroad/boot.toml
  $ camphorroad join --config boot.toml --check`
}

// Run runs the daemon until the context ends.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	cfg, err := crsite.Load(o.Config)
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
	return crmesh.Run(ctx, crmesh.Options{
		Settings: cfg,
		Store:    platform.NewStore(cfg.Store.Address),
		Decoder:  platform.Decoder{},
		Dialect:  platform.Dialect{},
		Log:      f.Out,
		Reload:   reload,
		Read:     func() (crsite.Settings, error) { return crsite.Load(o.Config) },
	})
}
