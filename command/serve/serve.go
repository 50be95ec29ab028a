// Package serve holds the command that runs the daemon of io/crdaemon. Package join
// runs that of io/crmesh, which finds its fleet through records in the store.
package serve

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"camphorroad/command/factory"
	"camphorroad/io/crdaemon"
	"camphorroad/io/crentry"
	"camphorroad/io/crpeer"
	"camphorroad/io/crsettings"
)

// Options are the options of `serve`.
type Options struct {
	Config string `required:"" short:"c" placeholder:"FILE" help:"Settings of this daemon (TOML)."`
	Check  bool   `help:"Check the settings and the certificates, then exit."`
}

// New returns the options for a settings file.
func New(config string) *Options { return &Options{Config: config} }

// Help is shown with the command's flags.
func (*Options) Help() string {
	return `Runs the daemon beside an instance until SIGTERM or SIGINT; it then drains and
exits with 0. SIGHUP reloads the certificates.

EXAMPLES
  $ camphorroad serve --config daemon.toml
  $ camphorroad serve --config daemon.toml --check`
}

// Run runs the daemon until the context ends.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	cfg, err := crsettings.Load(o.Config)
	if err != nil {
		return err
	}
	if o.Check {
		if err := checkCertificates(o.Config, cfg); err != nil {
			return err
		}
		_, err = fmt.Fprintf(f.Out, "%s: ok\n", o.Config)
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return crdaemon.Run(ctx, cfg, f.ErrOut, reload)
}

// checkCertificates loads the files that the daemon loads at its start. Without it,
// settings that name a missing file, or the key of another certificate, would pass the
// check, and the daemon would fail to restart.
func checkCertificates(file string, cfg crsettings.Settings) error {
	t := cfg.TLS
	if _, err := crpeer.LoadIdentity(t.Cert, t.Key, t.CA); err != nil {
		return fmt.Errorf("%s: tls.cert, tls.key and tls.ca: %w; give readable PEM files that match each other", file, err)
	}
	if err := checkCertificateName(file, cfg); err != nil {
		return err
	}
	if t.CallerCert == "" {
		return nil
	}
	if _, err := crentry.LoadCertificate(t.CallerCert, t.CallerKey); err != nil {
		return fmt.Errorf("%s: tls.callercert and tls.callerkey: %w; give readable PEM files that match each other", file, err)
	}
	return nil
}

// checkCertificateName rejects another daemon's certificate. With such a certificate the
// daemon would start, but peers would refuse sessions to it, since they expect its name.
func checkCertificateName(file string, cfg crsettings.Settings) error {
	pair, err := tls.LoadX509KeyPair(cfg.TLS.Cert, cfg.TLS.Key)
	if err != nil {
		return fmt.Errorf("%s: tls.cert: %w", file, err)
	}
	if err := pair.Leaf.VerifyHostname(cfg.Name); err != nil {
		return fmt.Errorf("%s: tls.cert is not for %q: %w; give this daemon's own certificate", file, cfg.Name, err)
	}
	return nil
}
