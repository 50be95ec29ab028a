package policy_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"camphorroad/command/factory"
	"camphorroad/command/policy"
)

const testdata = "../../io/crpolicyfile/testdata/"

func TestCheckPrintsCountsOrProblems(t *testing.T) {
	for name, tc := range map[string]struct {
		file, out, diagnostics string
		err                    error
	}{
		"valid":   {"booking.toml", "services\t1\naccounts\t0\n", "", nil},
		"invalid": {"bad.toml", "", "unknown key", policy.ErrInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			var out, diagnostics bytes.Buffer
			f := &factory.Factory{Out: &out, ErrOut: &diagnostics}
			err := policy.NewCheck(testdata + tc.file).Run(f)
			if !errors.Is(err, tc.err) || out.String() != tc.out || !strings.Contains(diagnostics.String(), tc.diagnostics) {
				t.Errorf("got %v, %q, %q", err, out.String(), diagnostics.String())
			}
		})
	}
}

func TestBuildWritesManifestAndValues(t *testing.T) {
	dir := t.TempDir()
	var out bytes.Buffer
	f := &factory.Factory{Out: &out, ErrOut: &out, IsTerminal: func() bool { return true }}
	if err := policy.NewBuild(dir, testdata+"booking.toml", testdata+"accounts.toml").Run(f); err != nil {
		t.Fatal(err)
	}
	values, err := os.ReadDir(filepath.Join(dir, "values"))
	if err != nil || len(values) != 2 {
		t.Errorf("%d values, %v", len(values), err)
	}
	if !strings.HasPrefix(out.String(), "NAME") {
		t.Errorf("printed %q", out.String())
	}
}
