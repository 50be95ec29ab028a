package cert_test

import (
	"bytes"
	"errors"
	"testing"

	"camphorroad/command/cert"
	"camphorroad/command/factory"
)

// An operator names a daemon "ca", or with a path in it. The daemon's
// certificate would take the authority's place, and no daemon trusts another;
// or a private key would be written outside of the directory.
func TestDevRefusesNamesThatAreNoDaemons(t *testing.T) {
	for _, name := range []string{"ca", "../x", "Booking", ""} {
		var out bytes.Buffer
		err := cert.NewDev(t.TempDir(), "booking-1", name).Run(&factory.Factory{Out: &out})
		if !errors.Is(err, factory.ErrUsage) || out.Len() > 0 {
			t.Errorf("%q: got %v, printed %q", name, err, out.String())
		}
	}
}
