// Package cert holds the command that issues certificates for a development
// fleet on one machine.
package cert

import (
	"errors"
	"fmt"

	"camphorroad/command/factory"
	"camphorroad/io/crcert"
)

// Commands are the subcommands of `cert`.
type Commands struct {
	Dev DevOptions `cmd:"" help:"Create a certificate authority and certificates of daemons for development."`
}

// DevOptions are the options of `cert dev`.
type DevOptions struct {
	Out   string   `required:"" placeholder:"DIR" help:"Directory to write to; an existing authority in it is reused."`
	Names []string `arg:"" name:"daemon" help:"Names of daemons."`
}

// NewDev returns the options for a directory and daemons' names.
func NewDev(out string, names ...string) *DevOptions { return &DevOptions{Out: out, Names: names} }

// Help is shown with the command's flags.
func (*DevOptions) Help() string {
	return `Writes ca.pem, and NAME.pem and NAME.key for each daemon. The authority's private
key stays in the directory, so use the certificates for development only.

EXAMPLES
  $ camphorroad cert dev --out certs booking-1 booking-2`
}

// Run writes the files and prints the path of each daemon's certificate.
func (o *DevOptions) Run(f *factory.Factory) error {
	if err := crcert.Issue(o.Out, o.Names...); err != nil {
		if errors.Is(err, crcert.ErrInvalidName) {
			return fmt.Errorf("%w: %w", factory.ErrUsage, err)
		}
		return err
	}
	for _, name := range o.Names {
		if _, err := fmt.Fprintf(f.Out, "%s\t%s\n", name, crcert.CertPath(o.Out, name)); err != nil {
			return err
		}
	}
	return nil
}
