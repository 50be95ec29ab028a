package crplatform_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"camphorroad/core/crinstance"
	"camphorroad/lab/crplatform"
)

func TestIncompleteBundleIsNotPublished(t *testing.T) {
	p := crplatform.New(0)
	if _, err := p.Publish([]byte("junk"), nil); !errors.Is(err, crplatform.ErrBundle) {
		t.Errorf("got %v", err)
	}
}

func TestReadInstances(t *testing.T) {
	dir := t.TempDir()
	text := `[[instance]]
daemon = "booking-1"
domain = "north"
addr = "127.0.0.1:7001"
state = "leaving"
[[instance.target]]
name = "booking-1-a"
service = "booking"
`
	if err := os.WriteFile(filepath.Join(dir, "instances.toml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, ok, err := crplatform.ReadInstances(dir)
	if err != nil || !ok || len(got) != 1 || got[0].State != crinstance.StateLeaving || got[0].Targets[0].Service != "booking" {
		t.Errorf("got %+v, %v, %v", got, ok, err)
	}
}
