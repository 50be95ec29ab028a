package cert_test

import (
	"bytes"
	"errors"
	"testing"

	"camphorroad/command/cert"
	"camphorroad/command/factory"
)

// The certificate of a daemon named "ca" would overwrite the authority's, and no daemon would
// trust another. With a path in a name, a private key would be written outside the directory.
func TestDevRejectsInvalidDaemonNames(t *testing.T) {
	for _, name := range []string{"ca", "../x", "Booking", ""} {
		var out bytes.Buffer
		err := cert.NewDev(t.TempDir(), "booking-1", name).Run(&factory.Factory{Out: &out})
		if !errors.Is(err, factory.ErrUsage) || out.Len() > 0 {
			t.Errorf("%q: got %v, printed %q", name, err, out.String())
		}
	}
}
