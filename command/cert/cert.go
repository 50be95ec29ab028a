// Package cert holds the command that makes certificates for trying the fleet
// out on one machine.
package cert

import (
	"errors"
	"fmt"

	"camphorroad/command/factory"
	"camphorroad/io/crcert"
)

// Commands are the verbs on certificates.
type Commands struct {
	Dev DevOptions `cmd:"" help:"Make an authority and daemons' certificates for development."`
}

// DevOptions makes development certificates.
type DevOptions struct {
	Out   string   `required:"" placeholder:"DIR" help:"Directory to write to; an authority that is there is used again."`
	Names []string `arg:"" name:"daemon" help:"Names of daemons."`
}

// NewDev returns the options for a directory and daemons' names.
func NewDev(out string, names ...string) *DevOptions { return &DevOptions{Out: out, Names: names} }

// Help is shown with the command's flags.
func (*DevOptions) Help() string {
	return `Writes ca.pem, and NAME.pem with NAME.key for each daemon. The authority's key
stays in the directory, so these are for development only.

EXAMPLES
  $ camphorroad cert dev --out certs booking-1 booking-2`
}

// Run writes the files.
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
