package lab_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"camphorroad/command/factory"
	"camphorroad/command/lab"
	"camphorroad/command/policy"
)

func TestPublishToFakePlatform(t *testing.T) {
	dir := t.TempDir()
	discard := &factory.Factory{Out: io.Discard, ErrOut: io.Discard}
	file := "../../io/crpolicyfile/testdata/booking.toml"
	if err := policy.NewBuild(dir, file).Run(discard); err != nil {
		t.Fatal(err)
	}
	instances := "[[instance]]\ndaemon = \"booking-1\"\n"
	if err := os.WriteFile(filepath.Join(dir, "instances.toml"), []byte(instances), 0o600); err != nil {
		t.Fatal(err)
	}
	ignore := goleak.IgnoreCurrent()
	ctx, stop := context.WithCancel(t.Context())
	r, w := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		f := &factory.Factory{Out: io.Discard, ErrOut: w}
		ended <- lab.NewPlatform("127.0.0.1:0", "").Run(ctx, f)
	}()
	line := make([]byte, 100)
	n, err := r.Read(line)
	if err != nil {
		t.Fatal(err)
	}
	addr := strings.Fields(string(line[:n]))[3]
	var out bytes.Buffer
	f := &factory.Factory{Out: &out, ErrOut: io.Discard}
	if err := lab.NewPublish(addr, dir).Run(ctx, f); err != nil {
		t.Fatal(err)
	}
	if out.String() != "instances\t1\npublish\t2\n" {
		t.Errorf("wrote %q", out.String())
	}
	if err := lab.NewPublish(addr, t.TempDir()).Run(ctx, f); !errors.Is(err, factory.ErrUsage) {
		t.Errorf("an empty directory gives %v", err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	goleak.VerifyNone(t, ignore)
}
