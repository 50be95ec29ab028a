package factory_test

import (
	"bytes"
	"strings"
	"testing"

	"camphorroad/command/factory"
)

// A usage error must refer to the help of the command, since the help of the program does not
// list the command's flags.
func TestUsageErrorNamesCommandHelp(t *testing.T) {
	var tree struct {
		Policy struct {
			Check struct {
				Out string `required:""`
			} `cmd:""`
		} `cmd:""`
	}
	for args, want := range map[string]string{
		"policy check": "(see prog policy check --help)",
		"policy":       "(see prog policy --help)",
		"none":         "(see prog --help)",
	} {
		var out bytes.Buffer
		p := factory.Program{Name: "prog", Tree: &tree}
		code := p.Run(t.Context(), &factory.Factory{Out: &out, ErrOut: &out}, strings.Fields(args))
		if code != 2 || !strings.Contains(out.String(), want) {
			t.Errorf("%s: %d, %q", args, code, out.String())
		}
	}
}
